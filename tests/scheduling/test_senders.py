"""Runs whose orders fail unexpectedly are not left alone."""

import asyncio
import dataclasses
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import runs
from tests.scheduling import harness
from tests.scheduling import round_harness
from tests.scheduling import test_advice


class EndedRunTest(round_harness.RoundTestCase):
    """A run that was detached cannot be sent any more."""

    async def test_ended_run_stays_ended(self):
        """Whatever a coroutine sets that began before."""
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.running_of(job_id), 2)
        cluster = self.scheduler.cluster
        (run,) = cluster.jobs_by_id[job_id].runs
        cluster.detach(run)
        for phase in runs.Phase:
            run.phase = phase
            self.assertIs(run.phase, runs.Phase.ENDED)

    async def test_start_that_waited_for_the_store_too_long_is_not_sent(self):
        """Its worker's lease has expired, and its task is elsewhere."""
        # Of the same worker: one that has nothing to run is not polled.
        lasting = self.submit(harness.make_step(width=2, accelerators=2))
        self.fleet.durations_by_job[lasting] = harness.seconds(60)
        await self.wait_until(lambda: self.running_of(lasting) == 2, 2)
        await self.pass_time(1)
        self.store.faults.drop_appends = 1000
        job_id = self.submit(harness.make_step(accelerators=3))
        self.fleet.durations_by_job[job_id] = harness.seconds(20)
        await self.wait_until(
            lambda: self.phases()[runs.Phase.ASSIGNED], round_harness.SOON_S
        )
        cluster = self.scheduler.cluster
        job = cluster.jobs_by_id[job_id]
        (run,) = job.runs
        worker = self.fleet.workers_by_id[run.worker_id]
        worker.is_cut = True
        await self.wait_until(lambda: run not in job.runs, 12)
        worker.is_cut = False
        self.store.faults.drop_appends = 0
        await self.pass_time(5)
        started = [i for i in self.fleet.running() if i[0].startswith(job_id)]
        self.assertEqual(len(started), 1)
        lost = [
            fields
            for event, fields in self.logged
            if event == "start_ordered"
            and fields["run"] == run.number
            and fields["task"] == run.name
        ]
        self.assertEqual(lost, [], "an ended run was sent")
        self.assertNotIn(fleet.End.DONE, {i.end for i in self.fleet.intervals})


class SenderErrorTest(round_harness.RoundTestCase):
    """The coroutine that sends orders ends by an error."""

    async def check_starts_again(self, target, method: str, error) -> None:
        """Check that tasks start although a call fails three times."""
        original = getattr(target, method)
        failed = []

        async def fail(*arguments, **keywords):
            if len(failed) < 3:
                failed.append(method)
                raise error
            return await original(*arguments, **keywords)

        gang = harness.make_step(width=2, accelerators=4, is_gang=True)
        with mock.patch.object(target, method, fail):
            job_ids = [
                self.submit(harness.make_step(width=6)),
                self.submit(gang),
            ]
            await self.pass_time(10)
        self.assertEqual(len(failed), 3)
        for job_id in job_ids:
            self.assertEqual(self.state(job_id), "completed")
            self.check_run_once(job_id)

    async def test_error_of_a_start_order(self):
        """Its run is looked for, and those not sent start again."""
        await self.check_starts_again(self.fleet, "start", round_harness.ERROR)

    async def test_cancelled_start_order(self):
        """A connection that closes may cancel the calls on it."""
        cancelled = asyncio.CancelledError()
        await self.check_starts_again(self.fleet, "start", cancelled)

    async def test_error_of_a_commit(self):
        """Nothing was sent, so all tasks wait again."""
        journal = self.scheduler.journal
        await self.check_starts_again(journal, "commit", round_harness.ERROR)

    async def test_error_after_a_start_was_carried_out(self):
        """The run is found in the inventory and goes on."""
        cluster = self.scheduler.cluster
        job_id = self.submit(harness.make_step())
        with mock.patch.object(
            cluster,
            "record_first_start",
            autospec=True,
            side_effect=round_harness.ERROR,
        ) as failing:
            await self.check_completes(job_id, 4)
        self.assertEqual(failing.call_count, 1)

    async def test_error_of_a_stop_order(self):
        """The order is repeated until the worker confirms it."""
        self.fleet.duration = harness.seconds(60)
        job_id = self.submit(harness.make_step(width=2))
        await self.wait_until(lambda: self.running_of(job_id) == 2, 2)
        errors = [
            round_harness.ERROR,
            asyncio.CancelledError(),
            round_harness.ERROR,
            round_harness.ERROR,
        ]
        original = self.fleet.stop

        async def fail(*arguments):
            if errors:
                raise errors.pop()
            return await original(*arguments)

        with mock.patch.object(self.fleet, "stop", fail):
            self.cancel(job_id)
            await self.wait_until(lambda: not self.running_of(job_id), 3)
        self.assertEqual(errors, [])
        await self.pass_time(1)
        self.assertEqual(self.scheduler.cluster.jobs_by_id, {})

    async def test_error_of_an_advice_call(self):
        """The step asks again, after a pause."""
        scheduler = self.scheduler
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.running_of(job_id), 2)
        job = scheduler.cluster.jobs_by_id[job_id]
        job.job = dataclasses.replace(job.job, queue=test_advice.QUEUE)
        state = job.steps_by_key[0, 0]
        state.waiting.add(0)
        with mock.patch.object(
            self.fleet,
            "advise",
            autospec=True,
            side_effect=round_harness.ERROR,
        ) as advise:
            await self.pass_time(1)
        self.assertGreater(advise.call_count, 1)
        self.assertLess(advise.call_count, 6, "there is no pause")

    async def test_error_while_a_stray_run_is_stopped(self):
        """The next inventory repeats the order."""
        orders = self.scheduler._orders
        worker = self.scheduler.cluster.workers_by_id["w1"]
        with mock.patch.object(
            self.fleet, "stop", autospec=True, side_effect=round_harness.ERROR
        ) as stop:
            for _ in range(2):
                orders.stop_orphan(worker, "0.0.0.0", 1)
                await self.pass_time(0.1)
        self.assertEqual(stop.call_count, 2)

    async def test_directory_that_fails_goes_on(self):
        """A worker listed later is used."""
        directory = self.scheduler._directory
        with mock.patch.object(
            directory, "update", autospec=True, side_effect=round_harness.ERROR
        ):
            await self.pass_time(1)
        self.add_workers(1)
        job_id = self.submit(harness.make_step(width=24))
        await self.wait_until(lambda: self.running_of(job_id) == 24, 2)

    async def test_journal_that_fails_gives_its_claim_up(self):
        """Another scheduler takes over at once."""
        journal = self.scheduler.journal
        with mock.patch.object(
            journal, "_flush", autospec=True, side_effect=round_harness.ERROR
        ):
            await self.wait_until(lambda: journal.is_claim_lost, 1)
        job_id = self.submit(harness.make_step())
        await self.check_completes(job_id, 10)
