"""Command line of the daemon of one entry instance."""

import asyncio
import pathlib
import sys

import cyclopts

from cardamomcroft.cli import client
from cardamomcroft.cli import running
from cardamomcroft.daemon import logs
from cardamomcroft.daemon import serving
from cardamomcroft.settings import instance

app = cyclopts.App(
    name="cardamomcroftd", help="Run one instance of cardamomcroft."
)


@app.default
def run(*, settings: pathlib.Path) -> None:
    """Run an instance; SIGTERM or SIGINT drains and stops it.

    Parameters
    ----------
    settings
        YAML file with the settings of this instance.
    """
    loaded = instance.load(settings)
    if loaded.is_error():
        for problem in loaded.error:
            print(problem, file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    logs.configure(loaded.ok.logging, loaded.ok.instance_id)
    asyncio.run(serving.Server(loaded.ok).run_until_signalled())


def main() -> None:
    """Run the ``cardamomcroftd`` command."""
    running.run(app)


if __name__ == "__main__":
    main()
