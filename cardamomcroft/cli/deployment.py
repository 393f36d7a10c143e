"""Check a deployment's settings."""

import pathlib
import sys

import cyclopts

from cardamomcroft.cli import client
from cardamomcroft.platform import settings

app = cyclopts.App(name="config", help="Check a deployment's settings.")


@app.command
def check(path: pathlib.Path) -> None:
    """Check the settings file that the platform writes for a process.

    Parameters
    ----------
    path
        YAML file with the settings of the process.
    """
    try:
        loaded = settings.load(str(path))
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    print(f"{path}: valid, instance {loaded.instance}")
