"""Faults around unread ends that a review found."""

import dataclasses

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import worker_polling
from tests.scheduling import harness
from tests.scheduling import test_unread_ends

DONE, FAILED = fleet.End.DONE, fleet.End.FAILED
DRAIN_S = 2  # DrainMs


class FailureOverTakeoverTest(test_unread_ends.UnreadEndTestCase):
    """A failure is recorded, and its worker is cut off unacknowledged."""

    async def test_failure_counts_once_though_its_run_is_given_up(self):
        """The successor gives the run up and reads its end after another."""
        job_id = await self.start_with_job(
            harness.make_step(), queue=harness.make_queue(attempts=3)
        )
        self.answer_slowly()
        tracked = self.tracked("w1")
        # It gets no other start.
        self.store.put(store.Stream.SERVERS, "w1", None)
        await self.wait_until(lambda: tracked.listing is None)
        ((task, _),) = self.fleet.running()
        self.worker().end(task, FAILED)
        await self.wait_until(lambda: tracked.received_end)
        self.worker().is_cut = True
        await self.wait_until(lambda: tracked.durable_end)
        self.assertTrue(self.worker().finished)
        self.kill("a")
        self.add_workers(1)
        self.start_node("b")
        await self.wait_until(lambda: self.fleet.running(), 30)
        self.worker("w2").end(task, FAILED)
        await self.wait_until(lambda: not self.worker("w2").finished)
        self.bring_back("w1")
        await self.wait_until(lambda: not self.worker("w1").finished)
        await self.pass_time(2)
        self.assertEqual(self.state(job_id), "running", self.ends(job_id))


class EarlierBirthTest(test_unread_ends.UnreadEndTestCase):
    """A worker restarts elsewhere after its time of day has gone back."""

    async def test_new_incarnation_at_another_address_gets_starts(self):
        """The former one, whose ends are unread, answers no more."""
        job_id = await self.start_with_job(harness.make_step())
        await self.give_up(DONE, "w1")
        old = self.listings["w1"]
        self.fleet.restart("w1")
        address = fleet.Address("w1", "moved:80")
        listing = dataclasses.replace(
            old, address=address, born_ms=old.born_ms - 5
        )
        self.worker().listing = self.listings["w1"] = listing

        def only_there(call):
            async def reach(at, *arguments):
                if at.host_port == address.host_port:
                    return await call(at, *arguments)
                await self.clock.sleep(fleet.CONNECT_TIMEOUT)
                return fleet.OrderResult(fleet.OrderStatus.UNREACHED)

            return reach

        self.fleet.renew_lease = only_there(self.fleet.renew_lease)
        self.fleet.start = only_there(self.fleet.start)
        self.fleet.stop = only_there(self.fleet.stop)
        self.store.put(store.Stream.SERVERS, "w1", b"reborn")
        # The longest hold, counted on the slowest clock.
        await self.wait_until(lambda: self.fleet.running(), 15)
        self.fleet.durations_by_job[job_id] = harness.seconds(1)
        await self.wait_for_state(job_id, "completed", 10)


class LateInventoryTest(test_unread_ends.UnreadEndTestCase):
    """An inventory that lists a run arrives after the run was given up."""

    async def test_end_after_the_inventory_is_read(self):
        """The run is done before its lease ends."""
        job_id = await self.start_with_job(harness.make_step())
        renew, delayed = self.fleet.renew_lease, []

        async def transfer_slowly(address, order, timeout):
            answer = await renew(address, order, timeout)
            if not delayed:
                delayed.append(answer)
                await self.clock.sleep(harness.seconds(8))
            return answer

        self.fleet.renew_lease = transfer_slowly
        await self.wait_until(lambda: delayed)
        self.assertTrue(delayed[0].running)
        tracked = self.tracked("w1")
        ((task, _),) = self.fleet.running()
        self.worker().end(task, DONE)
        await self.wait_until(lambda: not tracked.runs_by_task)
        await self.wait_for_state(job_id, "completed", 10)
        self.check_started_once(job_id)


class SilentReturnCase(test_unread_ends.UnreadEndTestCase):
    """A worker with an unread end accepts connections and answers nothing."""

    async def return_silent(self) -> None:
        """Give a run up on such a worker."""
        await self.start_with_job(harness.make_step())
        await self.give_up(fleet.End.LAPSED, "w1")
        await self.pass_time(1)
        renew = self.fleet.renew_lease

        async def leave_unanswered(address, order, timeout):
            if address.worker_id != "w1":
                return await renew(address, order, timeout)
            await self.clock.sleep(timeout)
            return fleet.OrderResult(fleet.OrderStatus.MAY_HAVE_RUN)

        self.fleet.renew_lease = leave_unanswered
        self.bring_back("w1")


class DrainingTest(SilentReturnCase):
    """A start waits for an end while its own worker begins to drain."""

    async def test_no_start_is_sent_to_a_worker_that_drains(self):
        """Its task was at work on the silent worker."""
        await self.return_silent()
        await self.pass_time(0.6)
        sent = []
        start = self.fleet.start

        async def record_start(address, order, timeout):
            sent.append((address.worker_id, self.clock.monotonic()))
            return await start(address, order, timeout)

        self.fleet.start = record_start
        self.add_workers(1)
        cluster = self.cluster()
        await self.wait_until(
            lambda: (
                "w2" in cluster.workers_by_id
                and cluster.workers_by_id["w2"].runs_by_task
            )
        )
        await self.pass_time(0.2)
        self.listings["w2"] = dataclasses.replace(
            self.listings["w2"], state=fleet.ServerState.DRAINING
        )
        self.store.put(store.Stream.SERVERS, "w2", b"draining")
        latest = self.clock.monotonic() + harness.seconds(DRAIN_S)
        await self.pass_time(6)
        late = [at - latest for name, at in sent if name == "w2"]
        self.assertEqual([wait for wait in late if wait.days >= 0], [])


class RetryPauseTest(test_unread_ends.UnreadEndTestCase):
    """A worker refuses connections while an end is not acknowledged."""

    async def test_silent_worker_is_not_polled_more_often_than_usual(self):
        """Its lease has ended and it has no runs."""
        job_id = await self.start_with_job(harness.make_step())
        tracked = self.tracked("w1")
        self.store.faults.delay = harness.seconds(0.6)
        ((task, _),) = self.fleet.running()
        self.worker().end(task, DONE)
        await self.wait_until(lambda: tracked.received_end)
        polls = []

        async def refuse(address, order, timeout):
            polls.append(self.clock.monotonic())
            await self.clock.sleep(harness.seconds(0.002))
            return fleet.OrderResult(fleet.OrderStatus.NOT_RUN)

        self.fleet.renew_lease = refuse
        self.store.faults.delay = harness.seconds(0)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        await self.pass_time(10)
        polls.clear()
        await self.pass_time(4)
        most = harness.seconds(4) / worker_polling.RETRY_PAUSE + 1
        self.assertLessEqual(len(polls), most)


class SilentReturnTest(SilentReturnCase):
    """Its task has room elsewhere later."""

    async def test_starts_long_after_its_return_do_not_wait_for_it(self):
        """No job may stand for 3 s."""
        await self.return_silent()
        await self.pass_time(10)
        self.add_workers(1)
        await self.wait_until(lambda: self.fleet.running(), 3)
