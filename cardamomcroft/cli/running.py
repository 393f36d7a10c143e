"""Run an application with the documented exit codes."""

import sys
import typing

import cyclopts

from cardamomcroft.cli import client


def run(app: cyclopts.App) -> typing.NoReturn:
    """Run the command line and exit; usage errors have their own code."""
    try:
        app(exit_on_error=False)
    except cyclopts.CycloptsError:
        sys.exit(client.ExitCode.WRONG_USE)
    sys.exit(client.ExitCode.DONE)
