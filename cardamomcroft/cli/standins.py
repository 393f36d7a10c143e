"""Commands that serve the platform's stand-ins."""

import asyncio
import datetime
import pathlib
import random
import sys

import cyclopts

from cardamomcroft.cli import client
from cardamomcroft.ports import clock as clocks
from cardamomcroft.settings import directory
from cardamomcroft.settings import documents
from cardamomcroft.standin import instances
from cardamomcroft.standin import log
from cardamomcroft.standin import service
from cardamomcroft.standin import workers

app = cyclopts.App(
    name="standin", help="Serve a stand-in for a service of the platform."
)


def _serve(web_app, listen: str) -> None:
    try:
        asyncio.run(service.serve_until_cancelled(web_app, listen))
    except KeyboardInterrupt:
        return


@app.command(name="log")
def serve_log(*, listen: str, retention: int = 1_000_000) -> None:
    """Serve an append-only log; PUT /faults sets the faults to inject.

    Parameters
    ----------
    listen
        The host and port to listen on.
    retention
        Number of records to keep.
    """
    standin = log.StandinLog(clocks.SystemClock(), retention)
    _serve(service.log_app(standin), listen)


@app.command(name="workers")
def serve_workers(declarations: pathlib.Path, *, listen: str) -> None:
    """Serve every worker that the settings declarations name.

    Parameters
    ----------
    declarations
        Directory of settings declarations.
    listen
        The host and port to listen on.
    """
    loaded = directory.load(declarations)
    if loaded.is_error():
        for problem in loaded.error:
            print(problem, file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    standin = workers.StandinWorkers(
        clocks.SystemClock(), listen, random.Random()
    )
    for document in loaded.ok.values():
        if isinstance(document, documents.DataCentre):
            standin.add_declared(document)
    _serve(service.workers_app(standin), listen)


@app.command(name="instances")
def serve_instances(*, listen: str, lag_s: float = 0.0) -> None:
    """Serve an instance list; PUT and DELETE change it.

    Parameters
    ----------
    listen
        The host and port to listen on.
    lag_s
        Seconds until a change shows in the list.
    """
    lag = datetime.timedelta(seconds=lag_s)
    standin = instances.StandinInstances(clocks.SystemClock(), lag)
    _serve(service.instances_app(standin), listen)
