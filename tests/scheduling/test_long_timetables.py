"""A timetable outlives the size of a record."""

import datetime
import json

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness

WIDTH = 32
MINUTE = datetime.timedelta(minutes=1)


class LongTimetableTest(harness.SchedulingTestCase):
    """A timetable of 32 tasks reaches the limit of a record."""

    ADDED = 12

    async def asyncSetUp(self):
        """Record occurrences up to the limit as version 0.3.0 does."""
        await super().asyncSetUp()
        self.add_workers(2)
        self.ended = 525
        value = self.old_record(self.ended)
        limit = standin_store.MAX_RECORD_BYTES
        while len(value) < limit - 100:
            self.ended += 1
            value = self.old_record(self.ended)
        self.count = self.ended + self.ADDED
        first_due = self.clock.now() - MINUTE * self.count
        self.job_id = self.submit(
            harness.make_step(WIDTH, 0),
            timetable=models.Timetable(first_due, MINUTE, self.count),
        )
        key = ledgers.Kind.PROGRESS.key(self.job_id)
        self.assertLessEqual(1 + len(key) + len(value), limit)
        self.store.put(store.Stream.JOBS, key, value)

    def old_record(self, count: int) -> bytes:
        """Return 0.3.0's record; most were done at the second try."""
        failures = {str(index): [1, 10_007] for index in range(WIDTH)}
        steps = {
            f"{n}.0": ["ffffffff", failures if n < 525 else {}, {}]
            for n in range(count)
        }
        data = {"state": "running", "steps": steps, "at": 0.0}
        return json.dumps(data, separators=(",", ":")).encode()

    def done(self) -> list[str]:
        """Return the names of the tasks that workers have done."""
        return [
            interval.task
            for interval in self.fleet.intervals
            if interval.end is fleet.End.DONE
        ]

    async def test_timetable_goes_on_beyond_the_limit(self):
        """Each occurrence runs once, also over a restart of all instances."""
        self.start_node("a")
        self.start_node("b")
        await self.wait_until(lambda: len(self.done()) > 8 * WIDTH, 60)
        self.kill("a")
        self.kill("b")
        await self.pass_time(2)
        self.start_node("a")
        await self.wait_until(
            lambda: self.state(self.job_id) == "completed", 60
        )
        expected = {
            f"{self.job_id}.{occurrence}.0.{index}"
            for occurrence in range(self.ended, self.count)
            for index in range(WIDTH)
        }
        self.assertEqual(sorted(self.done()), sorted(expected))
        self.assertNotIn("too_large", self.store.injected)
