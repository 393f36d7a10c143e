"""Compare what was expected of finished runs with what they took."""

import dataclasses
import math

from cardamomcroft.runtimes import kinds

MAX_KINDS = 32  # reported at once; the rest is dropped
MAX_RATIOS = 2_000  # kept until they are reported


@dataclasses.dataclass(frozen=True, slots=True)
class Error:
    """Errors of a kind's estimates since the last report."""

    runs: int = 0
    total: float = 0.0  # of |log(actual / expected)|

    def add(self, ratio: float) -> "Error":
        """Return the errors with that of one more run."""
        return Error(self.runs + 1, self.total + abs(math.log(ratio)))


class Accuracy:
    """Errors by kind and ratios by queue until they are reported."""

    def __init__(self) -> None:
        self._errors: dict[kinds.Subject, Error] = {}
        self._ratios: list[tuple[str, float]] = []

    def record(
        self, subject: kinds.Subject, actual_s: float, expected_s: float
    ) -> None:
        """Record a finished run and what was expected of it."""
        ratio = actual_s / expected_s
        if len(self._ratios) < MAX_RATIOS:
            self._ratios.append((subject.queue, ratio))
        named = dataclasses.replace(subject, declared_s=0.0)
        if named in self._errors or len(self._errors) < MAX_KINDS:
            known = self._errors.get(named, Error())
            self._errors[named] = known.add(ratio)

    def take_errors(self) -> dict[kinds.Subject, Error]:
        """Return the errors since the last call."""
        taken, self._errors = self._errors, {}
        return taken

    def take_ratios(self) -> list[tuple[str, float]]:
        """Return the ratios, actual to expected, since the last call."""
        taken, self._ratios = self._ratios, []
        return taken
