"""A change of the configuration takes nothing from work accepted before."""

import json

from cardamomcroft.platform import configuration
from tests.scheduling import harness

RECLAIM_S = 2.7
# A claim of a dead instance expires, and its successor hears the workers.
TAKEOVER_S = 12.0
URGENT = harness.make_queue(priority=0)
WHOLE_WORKER = harness.make_step(accelerators=8)


def make_tenant(name: str, accelerators: int, *keys: str) -> dict[str, object]:
    """Return an account as the operator writes it."""
    return {
        "Name": name,
        "Guaranteed": {"Gpu": accelerators},
        "ApiKeys": list(keys),
    }


class ChangedConfigurationTestCase(harness.SchedulingTestCase):
    """Lasting work fills all workers; another account has a guarantee."""

    worker_count = 3

    async def asyncSetUp(self):
        """Start a node that knows the accounts."""
        await super().asyncSetUp()
        self.add_workers(self.worker_count)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.version = 0
        self.configure(make_tenant("a", 0, "ka"), make_tenant("b", 16, "kb"))

    def configure(
        self, *tenants: dict[str, object], routes: tuple[dict, ...] = ()
    ) -> None:
        """Put the next version in force on every node."""
        self.version += 1
        data = {"Version": self.version, "Routes": routes, "Tenants": tenants}
        config = configuration.decode(json.dumps(data).encode())
        for node in self.nodes_by_name.values():
            node.configuration = config

    async def fill(self) -> str:
        """Fill the workers with tasks that last."""
        step = harness.make_step(
            width=2 * self.worker_count, accelerators=4, is_lasting=True
        )
        job_id = self.submit(step)
        self.fleet.lasting_job_ids.add(job_id)
        await self.wait_until(lambda: self.running_of(job_id) == step.width)
        await self.pass_time(4)
        return job_id

    def running_of(self, job_id: str) -> int:
        """Count a job's tasks at work."""
        return sum(task.startswith(job_id) for task, _ in self.fleet.running())

    async def check_begins(self, job_id: str, limit: float) -> None:
        """Check that a job of one task begins in time."""
        await self.wait_until(lambda: self.running_of(job_id) == 1, limit)


class AccountTest(ChangedConfigurationTestCase):
    """An account loses keys, its guarantee or its entry."""

    async def test_guarantee_holds_without_a_key(self):
        """Work that was accepted waited for ever after the last key went."""
        await self.fill()
        job_id = self.submit(WHOLE_WORKER, queue=URGENT, account="b")
        self.configure(make_tenant("a", 0, "ka"), make_tenant("b", 16))
        await self.check_begins(job_id, RECLAIM_S)

    async def test_successor_keeps_the_guarantee_without_a_key(self):
        """It knows the account from the configuration alone."""
        await self.fill()
        self.start_node("b")
        self.configure(make_tenant("a", 0, "ka"), make_tenant("b", 16))
        await self.pass_time(1)
        self.kill("a")
        job_id = self.submit(WHOLE_WORKER, queue=URGENT, account="b")
        await self.check_begins(job_id, TAKEOVER_S + RECLAIM_S)

    async def test_job_of_a_dropped_account_runs_without_guarantee(self):
        """It waits for room as work that only borrows, and is not lost."""
        lasting = await self.fill()
        job_id = self.submit(WHOLE_WORKER, queue=URGENT, account="b")
        self.configure(make_tenant("a", 0, "ka"))
        await self.pass_time(5)
        self.assertEqual(self.running_of(lasting), 6)
        self.cancel(lasting)
        await self.wait_until(lambda: self.state(job_id) == "completed")

    async def test_lowered_guarantee_stops_nothing(self):
        """Work that has begun goes on; later work only borrows."""
        lasting = await self.fill()
        first = self.submit(WHOLE_WORKER, queue=URGENT, account="b")
        self.fleet.durations_by_job[first] = harness.seconds(60)
        await self.check_begins(first, RECLAIM_S)
        self.configure(make_tenant("a", 0, "ka"), make_tenant("b", 8, "kb"))
        self.submit(WHOLE_WORKER, queue=URGENT, account="b")
        await self.pass_time(5)
        self.assertEqual(self.running_of(first), 1)
        self.assertEqual(self.running_of(lasting), 4)
