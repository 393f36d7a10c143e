"""The ``cardamomcroft`` command."""

import cyclopts

from cardamomcroft.cli import callers
from cardamomcroft.cli import deployment
from cardamomcroft.cli import estimates
from cardamomcroft.cli import explain
from cardamomcroft.cli import operators
from cardamomcroft.cli import running
from cardamomcroft.cli import standins

app = cyclopts.App(
    name="cardamomcroft",
    help=(
        "Schedule multi-accelerator jobs under client accounts' "
        "guarantees.\n\nExit codes: 0 done, 1 refused or failed, 2 wrong "
        "use or invalid input, 3 conflict, 4 try later (not run), 5 may "
        "have run."
    ),
)
app.command(standins.app)
app.command(deployment.app)
for function in (
    operators.validate,
    operators.diff,
    operators.apply,
    operators.get,
    operators.history,
    operators.workers,
    operators.instances,
    callers.submit,
    callers.status,
    callers.cancel,
    callers.request,
    explain.explain,
    estimates.estimates,
):
    app.command(function)


def main() -> None:
    """Run the ``cardamomcroft`` command."""
    running.run(app)


if __name__ == "__main__":
    main()
