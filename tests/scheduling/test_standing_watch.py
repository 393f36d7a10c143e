"""Watching standing jobs costs little and never harms the scheduling."""

import datetime
import unittest.mock

from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import standing
from cardamomcroft.scheduling import standing_watch
from tests.scheduling import harness
from tests.scheduling import standing_harness

TOO_LARGE = harness.make_step(accelerators=16)


class ErrorTest(standing_harness.StandingTestCase):
    """The look for standing jobs raises an error."""

    async def test_error_in_the_watch_does_not_stop_scheduling(self):
        """It is logged once in a while, and jobs go on."""
        await self.start()
        crash = unittest.mock.patch.object(
            standing.StandingJobs, "look", side_effect=KeyError("broken")
        )
        with crash as look:
            job_id = self.submit(harness.make_step())
            await self.wait_until(lambda: self.state(job_id) == "completed", 5)
            await self.pass_time(5)
        self.assertGreater(look.call_count, 0)
        self.assertEqual(len(self.lines("standing_watch_crashed")), 1)
        self.assertEqual(self.lines("round_crashed"), [])
        job_id = self.submit(TOO_LARGE)
        await self.wait_until_stands(job_id, 15)


class CostTest(standing_harness.StandingTestCase):
    """A timetable of thousands of occurrences, of which most are done."""

    DONE = 3000

    async def test_looks_do_not_walk_over_what_is_done(self):
        """A look visits the occurrences that are due and not done."""
        await self.start()
        interval = datetime.timedelta(seconds=1)
        first_due = self.clock.now() - interval * self.DONE
        timetable = models.Timetable(first_due, interval, 2 * self.DONE)
        job_id = self.submit(TOO_LARGE, timetable=timetable)
        done = {0: ((0, self.DONE - 1),)}
        progress = codec.Progress("running", {}, 0.0, done)
        self.store.put(
            store.Stream.JOBS,
            ledgers.Kind.PROGRESS.key(job_id),
            codec.encode_progress(progress),
        )
        # A new scheduler reads the record of the progress.
        self.kill("a")
        self.start_node("b")
        await self.wait_until(lambda: self.holder() == "b")
        await self.wait_until(lambda: job_id in self.cluster.jobs_by_id)
        await self.pass_time(2)
        job = self.cluster.jobs_by_id[job_id]
        seconds = (self.clock.now() - first_due).total_seconds()
        due = int(seconds) + 1 - self.DONE
        self.assertEqual(
            [occurrence for occurrence, _ in job.steps_by_key],
            list(range(self.DONE, self.DONE + due)),
        )
        (line,) = self.lines("job_stands", job_id) or [None]
        if line is None:
            line = await self.wait_until_stands(job_id)
        self.assertEqual(line["occurrence"], self.DONE)


class PauseTest(standing_harness.StandingTestCase):
    """Looks that take long, as with thousands of runs."""

    async def test_looks_take_a_fiftieth_of_the_time_at_most(self):
        """They come the more rarely the longer they take."""
        await self.start()
        now = self.clock.monotonic()
        taken = datetime.timedelta(seconds=0.1)
        cluster = self.cluster

        def take_long(jobs, view):
            # Within the call, since a fake clock stands still.
            cluster.clock._elapsed += taken
            return []

        with unittest.mock.patch.object(
            standing.StandingJobs, "look", autospec=True, side_effect=take_long
        ) as look:
            await self.pass_time(20)
        took = self.clock.monotonic() - now
        self.assertGreater(look.call_count, 1)
        self.assertLessEqual(look.call_count * taken, took / 50 + taken)


class RoundTest(standing_harness.StandingTestCase):
    """Rounds that take long or come late are told from other reasons."""

    async def asyncSetUp(self):
        """Watch a cluster whose scheduler is stopped."""
        await super().asyncSetUp()
        await self.start()
        scheduler = self.scheduler
        self.watch = standing_watch.StandingWatch(
            scheduler.cluster,
            scheduler._reservations,
            scheduler._holds,
            scheduler._headroom,
        )
        self.registry = scheduler.cluster.log.metrics.registry
        self.kill("a")

    def seconds_of(self, name: str) -> float:
        """Return the sum of a histogram of seconds."""
        return self.registry.get_sample_value(f"cardamomcroft_{name}_sum")

    async def test_standstill_of_the_event_loop_shows(self):
        """The next round begins later than planned, by 2.5 s."""
        late_s = self.seconds_of("round_late_seconds")
        wait = harness.seconds(0.5)
        zero = harness.seconds(0)
        self.watch.after_round(self.clock.monotonic(), zero, wait)
        await self.clock.advance(harness.seconds(3))
        self.watch.after_round(self.clock.monotonic(), zero, wait)
        added_s = self.seconds_of("round_late_seconds") - late_s
        self.assertAlmostEqual(added_s, 2.5)
        (fields,) = self.lines("round_late")
        self.assertEqual((fields["late_s"], fields["took_s"]), (2.5, 0))

    async def test_long_round_shows(self):
        """Its duration is in the log and in the metric."""
        took_s = self.seconds_of("round_seconds")
        began_at = self.clock.monotonic()
        took = harness.seconds(1.5)
        self.watch.after_round(began_at, took, harness.seconds(0.5))
        self.assertAlmostEqual(self.seconds_of("round_seconds") - took_s, 1.5)
        (fields,) = self.lines("round_late")
        self.assertEqual((fields["late_s"], fields["took_s"]), (0, 1.5))

    async def test_rounds_in_time_are_not_logged(self):
        """Each round of a working scheduler is in the metrics only."""
        count = self.registry.get_sample_value
        self.assertGreater(count("cardamomcroft_round_seconds_count"), 1)
        self.assertEqual(self.seconds_of("round_late_seconds"), 0)
        self.assertEqual(self.lines("round_late"), [])
