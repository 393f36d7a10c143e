"""Test admission, retries, the matching of answers, and planned stops."""

import asyncio
import collections
import itertools

from cardamomcroft.membership import members
from cardamomcroft.ports import verdict
from cardamomcroft.requests import messages
from cardamomcroft.settings import documents
from cardamomcroft.workers import allotment
from tests import harness


class RequestCase(harness.ClusterCase):
    """Send requests through nodes on fakes."""

    async def asyncSetUp(self) -> None:
        """Set up the counter of request ids."""
        await super().asyncSetUp()
        self.numbers = itertools.count()

    def request(self, caller="counter", limit=5.0, **changes):
        """Return a request with a unique id."""
        request_id = f"r{next(self.numbers)}"
        deadline = self.cluster.clock.monotonic() + harness.seconds(limit)
        return messages.Request(
            request_id,
            harness.ACCOUNT,
            caller,
            f"body-{request_id}",
            deadline,
            **changes,
        )

    async def send(self, request, instance_id="entry-1"):
        """Run a request through one instance's router."""
        router = self.cluster.node(instance_id).router
        return await self.cluster.run(router.run(request))

    def executed(self, request_id):
        """Return how many times workers ran a request."""
        return sum(
            worker.executed.count(request_id)
            for worker in self.cluster.workers.by_id.values()
        )

    def each_worker(self):
        """Return every stand-in worker."""
        return self.cluster.workers.by_id.values()


class VerdictTest(RequestCase):
    """Verdicts after lost, refused and mismatched answers."""

    async def test_idempotent_request_is_tried_again(self):
        await self.cluster.ready()
        for worker in self.each_worker():
            worker.faults.lost_answers["execute"] = 1
        request = self.request(is_idempotent=True, limit=30)
        await self.send(request)
        self.assertGreater(self.executed(request.request_id), 1)
        self.assert_injected("execute_answer_lost")

    async def test_other_request_runs_once_and_says_may_have_run(self):
        await self.cluster.ready()
        for worker in self.each_worker():
            worker.faults.lost_answers["execute"] = 1
        request = self.request()
        result = await self.send(request)
        self.assertIs(verdict.Verdict.MAY_HAVE_RUN, result.error.verdict)
        self.assertEqual(1, self.executed(request.request_id))
        self.assert_injected("execute_answer_lost")

    async def test_refusal_is_tried_elsewhere(self):
        await self.cluster.ready()
        for worker_id in ("w1", "w2", "w3"):
            worker = self.cluster.workers.by_id[worker_id]
            worker.faults.refused["execute"] = 100
        request = self.request()
        result = await self.send(request)
        self.assertEqual("w4", result.ok.worker_id)
        self.assertEqual(1, self.executed(request.request_id))

    async def test_answer_to_another_request_is_never_passed_on(self):
        await self.cluster.ready()
        for worker in self.each_worker():
            worker.faults.crossed_answers = 1
        result = await self.send(self.request())
        self.assertIs(verdict.Verdict.MAY_HAVE_RUN, result.error.verdict)
        crossed = self.cluster.metrics["entry-1"].counters
        self.assertEqual(1, crossed["requests.crossed"])

    async def test_earlier_unknown_try_outlasts_later_refusals(self):
        await self.cluster.ready()
        for worker in self.each_worker():
            worker.faults.lost_answers["execute"] = 1
            worker.faults.refused["execute"] = 0
        request = self.request(is_idempotent=True, limit=30)
        task = asyncio.ensure_future(
            self.cluster.node("entry-1").router.run(request)
        )
        await self.cluster.clock.settle()
        for worker in self.each_worker():
            worker.faults.refused["execute"] = 100
        result = await self.cluster.run(task)
        self.assertEqual(1, self.executed(request.request_id))
        self.assertIs(verdict.Verdict.MAY_HAVE_RUN, result.error.verdict)
        self.assert_injected("execute_refused")

    async def test_key_runs_once_through_two_instances(self):
        await self.cluster.ready()
        first = await self.send(self.request(key="k"), "entry-1")
        second = await self.send(self.request(key="k"), "entry-2")
        self.assertEqual(first.ok.body, second.ok.body)
        total = sum(len(worker.executed) for worker in self.each_worker())
        self.assertEqual(1, total)

    async def test_outage_serves_idempotent_and_refuses_keyed(self):
        await self.cluster.ready()
        self.cluster.log.down = True
        await self.cluster.advance(5)
        served = await self.send(self.request(is_idempotent=True))
        self.assertTrue(served.is_ok())
        refused = self.request(key="k")
        result = await self.send(refused)
        self.assertIs(verdict.Verdict.NOT_RUN, result.error.verdict)
        self.assertIsNotNone(result.error.retry_after)
        self.assertEqual(0, self.executed(refused.request_id))
        self.assert_injected("log_down")


class AdmissionTest(RequestCase):
    """Fairness, limits and deadlines of admission."""

    async def test_flooding_caller_does_not_delay_another(self):
        await self.cluster.ready()
        for worker in self.each_worker():
            worker.faults.service_time = harness.seconds(1)
        router = self.cluster.node("entry-1").router
        flood = [
            asyncio.ensure_future(
                router.run(self.request("counter", 60, is_idempotent=True))
            )
            for _ in range(100)
        ]
        await self.cluster.advance(0.1)
        began = self.cluster.clock.monotonic()
        request = self.request("workshop", 60, is_idempotent=True)
        result = await self.cluster.run(router.run(request))
        took = self.cluster.clock.monotonic() - began
        self.assertTrue(result.is_ok())
        self.assertLessEqual(took, harness.seconds(2.5))
        for task in flood:
            task.cancel()

    async def test_urgent_goes_ahead_and_batch_is_not_starved(self):
        await self.cluster.ready()
        for worker in self.each_worker():
            worker.faults.service_time = harness.seconds(1)
        router = self.cluster.node("entry-1").router
        ends = collections.defaultdict(list)

        async def run(urgency):
            request = self.request("counter", 60, urgency=urgency)
            result = await router.run(request)
            if result.is_ok():
                ends[urgency].append(self.cluster.clock.monotonic())

        tasks = [
            asyncio.ensure_future(run(urgency))
            for urgency in documents.Urgency
            for _ in range(30)
        ]
        await self.cluster.advance(4)
        urgent = len(ends[documents.Urgency.URGENT])
        batch = len(ends[documents.Urgency.BATCH])
        self.assertGreater(urgent, batch)
        self.assertGreater(batch, 0)
        for task in tasks:
            task.cancel()

    async def test_full_queue_refuses_at_once(self):
        limits = documents.Limits(concurrent_requests=1, queued_requests=2)
        await self.cluster.ready(limits=limits)
        for worker in self.each_worker():
            worker.faults.service_time = harness.seconds(5)
        router = self.cluster.node("entry-1").router
        tasks = [
            asyncio.ensure_future(router.run(self.request(limit=30)))
            for _ in range(3)
        ]
        await self.cluster.advance(0.1)
        request = self.request(limit=30)
        result = await self.send(request)
        self.assertIs(verdict.Reason.OVERLOADED, result.error.reason)
        self.assertIs(verdict.Verdict.NOT_RUN, result.error.verdict)
        self.assertEqual(0, self.executed(request.request_id))
        for task in tasks:
            task.cancel()

    async def test_deadline_in_queue_is_not_run(self):
        limits = documents.Limits(concurrent_requests=1)
        await self.cluster.ready(limits=limits)
        for worker in self.each_worker():
            worker.faults.service_time = harness.seconds(5)
        router = self.cluster.node("entry-1").router
        first = asyncio.ensure_future(router.run(self.request(limit=30)))
        await self.cluster.advance(0.1)
        request = self.request(limit=1)
        result = await self.send(request)
        self.assertIs(verdict.Verdict.NOT_RUN, result.error.verdict)
        self.assertEqual(0, self.executed(request.request_id))
        first.cancel()

    def test_slots_are_shared_whole(self):
        live = tuple(f"entry-{number}" for number in range(7))
        for key in ("w1", "w2", "w3"):
            parts = [
                allotment.instance_share(64, key, instance_id, live)
                for instance_id in live
            ]
            self.assertEqual(64, sum(parts))
            self.assertLessEqual(max(parts) - min(parts), 1)

    def test_rank_moves_little_when_one_leaves(self):
        live = tuple(f"entry-{number}" for number in range(7))
        keys = [f"w{number}" for number in range(200)]
        before = {key: members.rank(key, live)[0] for key in keys}
        after = {key: members.rank(key, live[:-1])[0] for key in keys}
        for key in keys:
            if before[key] != live[-1]:
                self.assertEqual(before[key], after[key])


class LeavingTest(RequestCase):
    """Planned stops of backend servers and instances."""

    async def test_leaving_server_gets_no_new_work_after_3_s(self):
        await self.cluster.ready()
        worker = self.cluster.workers.by_id["w2"]
        worker.leaving = True
        worker.faults.accepts_while_leaving = True
        await self.cluster.advance(3)
        before = len(worker.executed), len(worker.runs)
        for number in range(60):
            instance_id = f"entry-{1 + number % 3}"
            request = self.request(is_idempotent=True)
            result = await self.send(request, instance_id)
            self.assertTrue(result.is_ok())
        for _ in range(4):
            await self.cluster.submit(accelerators=8, run_s=1.0)
        await self.cluster.advance(5)
        self.assertEqual(before, (len(worker.executed), len(worker.runs)))

    async def test_planned_stop_cuts_no_request(self):
        await self.cluster.ready()
        for worker in self.each_worker():
            worker.faults.service_time = harness.seconds(3)
        node = self.cluster.node("entry-1")
        tasks = [
            asyncio.ensure_future(node.router.run(self.request(limit=20)))
            for _ in range(10)
        ]
        await self.cluster.advance(0.1)
        await self.cluster.run(node.drain())
        await node.stop()
        for task in tasks:
            self.assertTrue(task.done())
            self.assertTrue(task.result().is_ok())
        late = await node.router.run(self.request())
        self.assertIs(verdict.Verdict.NOT_RUN, late.error.verdict)

    async def test_planned_stop_hands_the_claim_over(self):
        await self.cluster.ready()
        owner = self.cluster.owner
        job_id = await self.cluster.submit(
            members=3, accelerators=8, run_s=20.0
        )
        await self.cluster.advance(1)
        await self.cluster.run(owner.drain())
        await self.cluster.kill(owner.settings.instance_id)
        began = self.cluster.clock.monotonic()
        await self.cluster.until(lambda: self.cluster.owner is not None)
        took = self.cluster.clock.monotonic() - began
        self.assertLessEqual(took, harness.seconds(3))
        await self.cluster.advance(25)
        self.assertEqual(1, self.cluster.job(job_id).starts)
        self.assertTrue(self.cluster.job(job_id).phase.is_final)
