"""Write what was sent, answered and run, with the time since the start."""

import pathlib
import time


class Record:
    """A text file with one line for each event."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Begin a new record in the folder."""
        self._file = (folder / "record.txt").open("w")
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def write(self, source: str, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {source:10} {text}\n")
        self._file.flush()
