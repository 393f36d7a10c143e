"""Play the load of several accounts against one node and fake workers."""

import collections
import dataclasses
import datetime
from unittest import mock

from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import scheduler as schedulers
from tests.scheduling import harness

AHEAD = dataclasses.replace(
    harness.PARAMETERS, stop_bound=harness.seconds(0.9), plans_ahead=True
)


def make_configuration(
    accelerators_by_account: dict[str, int],
) -> configuration.Configuration:
    """Return a configuration with these guarantees."""
    accounts = tuple(
        configuration.Account(name, 0, number, (f"key of {name}",))
        for name, number in accelerators_by_account.items()
    )
    return configuration.Configuration(1, (), accounts, 0)


class LoadTestCase(harness.SchedulingTestCase):
    """One node that plans ahead, and workers of eight accelerators."""

    worker_count = 4
    parameters = AHEAD

    async def asyncSetUp(self):
        """Start the node and wait for the workers' inventories."""
        await super().asyncSetUp()
        patch = mock.patch.object(harness, "PARAMETERS", self.parameters)
        patch.start()
        self.addCleanup(patch.stop)
        self.submitted_at: dict[str, datetime.timedelta] = {}
        self.account_by_job: dict[str, str] = {}
        self.add_workers(self.worker_count)
        self.start_node("a")
        await self.wait_until(self.holder)
        await self.pass_time(0.5)

    @property
    def scheduler(self) -> schedulers.Scheduler:
        """Return the scheduler of the node."""
        return self.nodes_by_name["a"].scheduler

    def submit_as(
        self,
        account: str,
        step: models.Step,
        queue: models.Queue | None = None,
    ) -> str:
        """Store a submission and note when."""
        job_id = self.submit(step, queue=queue, account=account)
        self.submitted_at[job_id] = self.clock.monotonic()
        self.account_by_job[job_id] = account
        return job_id

    def started_at(self) -> dict[str, datetime.timedelta]:
        """Return when the first task of each job began."""
        times: dict[str, datetime.timedelta] = {}
        begun = [(run.task, run.began_at) for run in self.fleet.intervals]
        for worker in self.fleet.workers_by_id.values():
            for task, run in worker.runs_by_task.items():
                begun.append((task, run.began_at))
        for task, began_at in begun:
            job_id = task.partition(".")[0]
            times[job_id] = min(times.get(job_id, began_at), began_at)
        return times

    def waits_s(self) -> dict[str, list[float]]:
        """Return the accounts' waits; those of waiting jobs end now."""
        now, started_at = self.clock.monotonic(), self.started_at()
        waits = collections.defaultdict(list)
        for job_id, submitted_at in self.submitted_at.items():
            wait = started_at.get(job_id, now) - submitted_at
            waits[self.account_by_job[job_id]].append(wait.total_seconds())
        return waits

    def served(self) -> collections.Counter[str]:
        """Count the accounts' jobs that have begun."""
        return collections.Counter(
            self.account_by_job[job_id] for job_id in self.started_at()
        )
