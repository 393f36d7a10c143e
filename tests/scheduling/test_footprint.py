"""The estimates of memory bound what jobs take."""

import datetime
import tracemalloc
import unittest

from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import footprint
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from tests.scheduling import harness

WALL = datetime.datetime(2026, 12, 5, tzinfo=datetime.UTC)
MINUTE = datetime.timedelta(minutes=1)
MONTH = 43_200  # occurrences
COUNT = 20  # jobs measured together


def make_job(
    job_id: str, steps: int = 1, width: int = 1, count: int = 0
) -> models.Job:
    """Return a job of which all occurrences are due."""
    step = harness.make_step(width, required_label="a")
    timetable = None
    if count:
        timetable = models.Timetable(WALL - MINUTE * count, MINUTE, count)
    queue = harness.make_queue()
    return models.Job(
        job_id, queue, "a", "x", (step,) * steps, timetable, WALL
    )


class JobBytesTest(unittest.TestCase):
    """Jobs of several shapes, in a ledger and in a scheduler."""

    def test_bounds_jobs_that_have_ended(self):
        """Their records stay for minutes, so they are the most by number."""
        job = make_job("x", steps=3)
        value = codec.encode_job(job)
        end = codec.encode_progress(codec.Progress("completed", {}, 5.0))
        estimate = COUNT * footprint.ended_job_bytes(len(value))
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            ledger = ledgers.Ledger()
            for number in range(COUNT):
                for kind, record in (("s/", value), ("p/", end)):
                    offset = ledger.end_offset
                    key = f"{kind}{number:016x}"
                    copied = bytes(bytearray(record))
                    page = store.Page(
                        (store.Record(offset, key, copied),), offset + 1
                    )
                    ledger.apply(page, harness.seconds(0))
                self.assertEqual(ledger.pending("q1"), 0)
            ledger.footprint.total()
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(after - before, estimate)

    def check_bound(self, **shape: int) -> None:
        """Compare the estimate with the memory that jobs take."""
        values = [
            codec.encode_job(make_job(f"{n:016x}", **shape))
            for n in range(COUNT)
        ]
        estimate = sum(
            footprint.job_bytes(make_job("x", **shape), len(value))
            for value in values
        )
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            ledger = ledgers.Ledger()
            records = tuple(
                store.Record(n, f"s/{n:016x}", bytes(bytearray(value)))
                for n, value in enumerate(values)
            )
            ledger.apply(store.Page(records, COUNT), harness.seconds(0))
            states = []
            for job_id in ledger.jobs_by_id:
                job = ledger.jobs_by_id[job_id]
                state = occurrences.make_job_state(
                    job, None, harness.seconds(0)
                )
                occurrences.open_due(state, WALL)
                for step in state.steps_by_key.values():
                    step.count_run(step.model.width - 1)
                states.append(state)
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(after - before, estimate)
        self.assertGreater((after - before) * 8, estimate)

    def test_bounds_jobs_of_every_shape(self):
        """One task, many steps, many tasks, and a backlog of a month."""
        for shape in (
            {"width": 4},
            {"steps": 200},
            {"width": 200_000},
            {"count": MONTH},
            {"steps": 30, "count": MONTH},
        ):
            with self.subTest(**shape):
                self.check_bound(**shape)


class FootprintTest(unittest.TestCase):
    """The sum over all jobs of a ledger."""

    def setUp(self):
        """Create a ledger with two jobs."""
        self.ledger = ledgers.Ledger()
        self.offset = 0
        self.value = codec.encode_job(make_job("x", steps=50))
        self.put("s/a", self.value)
        self.put("s/b", self.value)

    def put(self, key: str, value: bytes | None) -> None:
        """Apply a record."""
        record = store.Record(self.offset, key, value)
        self.offset += 1
        page = store.Page((record,), self.offset)
        self.ledger.apply(page, harness.seconds(0))

    def test_job_counts_until_it_ends_and_its_record_until_it_is_dropped(self):
        """Each change is taken into account once."""
        job = make_job("x", steps=50)
        full = footprint.job_bytes(job, len(self.value))
        self.assertEqual(self.ledger.footprint.total(), 2 * full)
        running = codec.Progress("running", {})
        self.put("p/a", codec.encode_progress(running))
        self.assertEqual(self.ledger.footprint.total(), 2 * full)
        ended = codec.Progress("completed", {}, 5.0)
        self.put("p/a", codec.encode_progress(ended))
        record = footprint.ended_job_bytes(len(self.value))
        self.assertEqual(self.ledger.footprint.total(), full + record)
        self.put("s/a", None)
        self.put("p/a", None)
        self.assertEqual(self.ledger.footprint.total(), full)

    def test_budget_is_that_of_the_smallest_instance(self):
        """Instances of earlier versions do not register their memory."""
        budget = footprint.budget_bytes([300, 0, 160])
        self.assertEqual(budget, 160_000_000 * footprint.JOBS_SHARE)
        self.assertIsNone(footprint.budget_bytes([0, 0]))
