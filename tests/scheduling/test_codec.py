"""A job's progress stays within a record, also for version 0.3.0."""

import datetime
import json
import unittest

from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import runs
from tests.scheduling import harness

LIMIT = 262_144  # the protocol's RecordBytes
WIDTH = 32
NOW = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
MINUTE = datetime.timedelta(minutes=1)


def make_state(count: int, done: range) -> runs.JobState:
    """Return a timetable's state with occurrences done."""
    step = harness.make_step(WIDTH)
    timetable = models.Timetable(NOW, MINUTE, count)
    queue = harness.make_queue()
    job = models.Job("j", queue, "a", "", (step,), timetable, NOW)
    state = runs.make_job_state(job, None, harness.seconds(0))
    state.is_start_recorded = True
    for occurrence in done:
        state.steps_by_key[occurrence, 0].done.update(range(WIDTH))
    return state


def restore(state: runs.JobState) -> runs.JobState:
    """Return the state that a successor has from the record."""
    value = codec.encode_progress(state.progress(0.0))
    progress = codec.decode_progress(value)
    return runs.make_job_state(state.job, progress, harness.seconds(0))


class ProgressRecordTest(unittest.TestCase):
    """A timetable with many occurrences."""

    def check_restored(self, state: runs.JobState) -> None:
        """Assert that a successor knows the same of every task."""
        restored = restore(state)
        self.assertTrue(restored.is_start_recorded)
        for key, step in state.steps_by_key.items():
            found = restored.steps_by_key[key]
            self.assertEqual(found.done, step.done)
            self.assertEqual(found.waiting, set(range(WIDTH)) - step.done)
            self.assertEqual(found.failures_by_index, step.failures_by_index)
            self.assertEqual(
                found.checkpoints_by_index, step.checkpoints_by_index
            )

    def test_record_does_not_grow_with_the_occurrences_done(self):
        """A job that repeats each minute fits after two months as well."""
        state = make_state(90_000, range(89_000))
        value = codec.encode_progress(state.progress(0.0))
        self.assertLess(len(value), 200)

    def test_successor_knows_each_task_from_ranges(self):
        """Neither an end nor an attempt nor a checkpoint is lost."""
        state = make_state(16_000, range(15_900))
        late = state.steps_by_key[77, 0]
        late.done.discard(5)
        late.failures_by_index[5] = (2, 10_007)
        late.checkpoints_by_index[5] = "c"
        state.steps_by_key[15_950, 0].done.update({0, 31})
        state.steps_by_key[15_990, 0].done.update(range(WIDTH))
        value = codec.encode_progress(state.progress(0.0))
        self.assertIn("done", json.loads(value).keys())
        self.check_restored(state)

    def test_what_fits_has_the_form_of_the_old_version(self):
        """In a rolling upgrade 0.3.0 runs no task again."""
        state = make_state(9_000, range(8_990))
        state.steps_by_key[8_995, 0].done.add(3)
        value = codec.encode_progress(state.progress(0.0))
        data = json.loads(value)
        self.assertEqual(data.keys(), {"state", "steps", "at"})
        self.assertEqual(data["state"], "running")
        self.assertEqual(len(data["steps"]), 8_991)
        self.assertGreater(len(value), LIMIT * 0.9)
        self.check_restored(state)

    def test_record_of_the_old_version_is_read(self):
        """What 0.3.0 recorded as done never runs again."""
        steps = {f"{n}.0": ["ffffffff", {}, {}] for n in range(9)}
        steps["9.0"] = ["3", {"4": [1, 10_001]}, {"4": "c"}]
        data = {"state": "running", "steps": steps, "at": 0.0}
        progress = codec.decode_progress(json.dumps(data).encode())
        state = make_state(10, range(0))
        found = runs.make_job_state(state.job, progress, harness.seconds(0))
        for occurrence in range(9):
            self.assertTrue(found.steps_by_key[occurrence, 0].is_done)
        last = found.steps_by_key[9, 0]
        self.assertEqual(last.done, {0, 1})
        self.assertEqual(last.failures_by_index, {4: (1, 10_001)})
        self.assertEqual(last.checkpoints_by_index, {4: "c"})

    def test_old_version_takes_ranges_for_an_ended_job(self):
        """0.3.0, which reads no ranges, neither runs nor drops the job."""
        state = make_state(16_000, range(15_900))
        state.steps_by_key[15_950, 0].done.add(3)
        data = json.loads(codec.encode_progress(state.progress(0.0)))
        self.assertIn(data["state"], ledgers.FINAL_STATES)
        ended_at = datetime.datetime.fromtimestamp(data["at"], datetime.UTC)
        self.assertGreater(ended_at.year, 2126)
        self.assertEqual(data["steps"], {"15950.0": ["8", {}, {}]})

    def test_end_of_a_job_always_fits(self):
        """Whatever a job has recorded, its end becomes durable."""
        state = make_state(2, range(1))
        open_step = state.steps_by_key[1, 0]
        open_step.checkpoints_by_index[0] = "c" * LIMIT
        state.final_state = "failed"
        value = codec.encode_progress(state.progress(5.0))
        progress = codec.decode_progress(value)
        self.assertEqual((progress.state, progress.ended_at), ("failed", 5.0))
        self.assertLess(len(value), 100)
