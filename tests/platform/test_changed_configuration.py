"""A change of the configuration takes nothing from work accepted before."""

import dataclasses
import json
from unittest import mock

from cardamomcroft.platform import configuration
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness

RECLAIM_S = 2.7
# A claim of a dead instance expires, and its successor hears the workers.
TAKEOVER_S = 12.0
QUEUE = harness.make_queue()
ADVICE = {"DecisionMs": 10, "PeriodMs": 1, "ValidMs": 20_000}
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

    def relist(self, *worker_ids: str, **changes: object) -> None:
        """List workers anew with these changes, all if none is named."""
        for worker_id in worker_ids or tuple(self.listings):
            listing = dataclasses.replace(self.listings[worker_id], **changes)
            self.listings[worker_id] = listing
            self.fleet.workers_by_id[worker_id].listing = listing
            self.store.put(store.Stream.SERVERS, worker_id, b"")

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


class QueueTest(ChangedConfigurationTestCase):
    """A queue changes or goes while jobs that it accepted wait."""

    async def asyncSetUp(self):
        """Fill the workers, so that accepted jobs wait."""
        await super().asyncSetUp()
        self.configure_queue()
        self.lasting = await self.fill()
        self.asked: list[str] = []
        self.enterContext(mock.patch.object(self.fleet, "advise", self.advise))
        self.tickets: list[str] = []
        start = self.fleet.start

        async def note_ticket(address, order, timeout):
            self.tickets.append(order.ticket)
            return await start(address, order, timeout)

        self.enterContext(mock.patch.object(self.fleet, "start", note_ticket))

    async def advise(self, step: str, worker_ids: tuple[str, ...], timeout):
        """Allow every worker."""
        self.asked.append(step)
        tickets = (fleet.Ticket(worker_id, "t") for worker_id in worker_ids)
        return fleet.Advice(tuple(tickets), harness.seconds(20))

    def configure_queue(self, **changes: object) -> None:
        """Put the queue in force with these changes."""
        queue = {
            "Host": "h",
            "PathPrefix": "/p/",
            "Name": QUEUE.name,
            "Service": "svc",
            "Priority": 1,
            "MaxAttempts": 3,
        }
        tenants = make_tenant("a", 0, "ka"), make_tenant("b", 8, "kb")
        self.configure(*tenants, routes=(queue | changes,))

    def accept(self, **fields: object) -> str:
        """Accept a job by the queue in force."""
        (route,) = self.nodes_by_name["a"].configuration.routes
        return self.submit(harness.make_step(**fields), queue=route.queue)

    async def check_completes(self, *job_ids: str) -> None:
        """Make room and check that each job runs whole, once."""
        self.cancel(self.lasting)
        for job_id in job_ids:
            await self.wait_until(
                lambda job_id=job_id: self.state(job_id) == "completed"
            )
            self.check_run_once(job_id)

    async def test_job_of_a_dropped_queue_runs(self):
        """Nobody can ask for it any more, and it is not lost."""
        job_id = self.accept()
        self.configure()
        await self.pass_time(1)
        await self.check_completes(job_id)

    async def test_job_keeps_its_service_while_that_has_workers(self):
        """Workers of the new service may lack its image or its data."""
        job_id = self.accept()
        self.configure_queue(Service="other")
        await self.pass_time(1)
        await self.check_completes(job_id)

    async def test_job_follows_its_queue_to_another_service(self):
        """It stood for ever once its service had lost its last worker."""
        first = self.accept()
        self.configure_queue(Service="other")
        await self.pass_time(1)
        self.relist(service="other")
        await self.check_completes(first)

    async def test_job_returns_to_its_service(self):
        """A successor that has seen neither change decides the same."""
        job_id = self.accept()
        self.configure_queue(Service="other")
        self.relist(service="third")
        await self.pass_time(1)
        self.start_node("b")
        self.nodes_by_name["b"].configuration = self.nodes_by_name[
            "a"
        ].configuration
        await self.pass_time(1)
        self.kill("a")
        await self.wait_until(self.holder)
        self.relist(service="svc")
        await self.check_completes(job_id)

    async def test_advice_is_needed_from_now_on(self):
        """Workers refused each start without a ticket, for ever."""
        job_id = self.accept()
        self.configure_queue(Advice=ADVICE)
        await self.pass_time(1)
        await self.check_completes(job_id)
        self.assertEqual(self.asked[0][:16], job_id)
        self.assertEqual(set(self.tickets), {"t"})

    async def test_advice_is_no_longer_needed(self):
        """The job waited for a service that answers nothing any more."""
        self.configure_queue(Advice=ADVICE)
        self.fleet.advise = mock.AsyncMock(return_value=None)
        job_id = self.accept()
        await self.pass_time(1)
        self.configure_queue()
        await self.check_completes(job_id)

    async def test_priority_and_attempts_stay_as_accepted(self):
        """They are what the job was promised."""
        job_id = self.accept()
        self.configure_queue(Priority=0, MaxAttempts=1, SlackFactor=9.0)
        await self.pass_time(1)
        scheduler = self.nodes_by_name["a"].scheduler
        queue = scheduler.cluster.jobs_by_id[job_id].job.queue
        self.assertEqual((queue.priority, queue.max_attempts), (1, 3))
        self.assertEqual(queue.slack_factor, 1.0)
        await self.check_completes(job_id)


class WorkerTest(ChangedConfigurationTestCase):
    """Workers change so that accepted work has no place, for some time."""

    async def test_label_that_no_worker_has_any_more(self):
        """The job waits, and begins on the first worker that has it again."""
        self.relist("w1", labels=frozenset({"gpu"}))
        await self.pass_time(1)
        needs_gpu = {"accelerators": 8, "required_label": "gpu"}
        earlier = self.submit(harness.make_step(**needs_gpu))
        await self.check_begins(earlier, 2)
        job_id = self.submit(harness.make_step(**needs_gpu))
        self.relist("w1", labels=frozenset())
        await self.wait_until(lambda: self.state(earlier) == "completed")
        await self.pass_time(5)
        self.assertEqual(self.state(job_id), "queued")
        self.relist("w3", labels=frozenset({"gpu"}))
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)

    async def test_run_goes_on_without_its_label(self):
        """Only starts ask for the label; nothing that runs is stopped."""
        self.relist("w1", labels=frozenset({"gpu"}))
        await self.pass_time(1)
        job_id = self.submit(harness.make_step(required_label="gpu"))
        self.fleet.durations_by_job[job_id] = harness.seconds(6)
        await self.check_begins(job_id, 2)
        self.relist("w1", labels=frozenset())
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)

    async def test_spread_beyond_the_workers_that_are_left(self):
        """The tasks run by turns where there were workers for all."""
        job_id = self.submit(harness.make_step(width=3, spread_limit=1))
        self.store.put(store.Stream.SERVERS, "w3", None)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        self.assertNotIn("w3", {i.worker_id for i in self.fleet.intervals})
