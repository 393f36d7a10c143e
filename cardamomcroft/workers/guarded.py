"""Turn unexpected errors of calls to workers into failures."""

import expression
import structlog

from cardamomcroft.ports import base
from cardamomcroft.ports import verdict


class GuardedWorkers(base.WorkerClient):
    """Call workers; a call that raises may have taken effect."""

    def __init__(
        self, workers: base.WorkerClient, metrics: base.Metrics
    ) -> None:
        """Guard the calls of a client."""
        self._workers = workers
        self._metrics = metrics
        self._logger = structlog.get_logger()

    async def _call(self, operation: str, worker_id: str, command):
        try:
            return await getattr(self._workers, operation)(worker_id, command)
        except Exception as error:
            self._logger.exception(
                "worker_call_failed", operation=operation, worker_id=worker_id
            )
            self._metrics.increment("workers.call_failed")
            return expression.Error(
                verdict.may_have_run(verdict.Reason.REMOTE, repr(error))
            )

    async def reserve(self, worker_id, command):
        """Reserve capacity for a gang member for a limited time."""
        return await self._call("reserve", worker_id, command)

    async def start(self, worker_id, command):
        """Start a gang member on its reserved capacity under a lease."""
        return await self._call("start", worker_id, command)

    async def stop(self, worker_id, command):
        """Stop a gang member or release its reserved capacity."""
        return await self._call("stop", worker_id, command)

    async def renew(self, worker_id, command):
        """Renew leases, raise the fence and return the inventory.

        The inventory of another worker at that address shows neither that
        tasks have ended nor that the worker is fenced.
        """
        result = await self._call("renew", worker_id, command)
        if result.is_error() or result.ok.worker_id == worker_id:
            return result
        self._logger.error(
            "worker_address_taken",
            worker_id=worker_id,
            answered_by=result.ok.worker_id,
        )
        self._metrics.increment("workers.address_taken")
        return expression.Error(
            verdict.may_have_run(
                verdict.Reason.REMOTE,
                f"answered by worker {result.ok.worker_id}",
            )
        )

    async def execute(self, worker_id, command):
        """Run a request on the backend server and return its answer."""
        return await self._call("execute", worker_id, command)
