"""A job's progress stays within a record, also for version 0.3.0."""

import dataclasses
import datetime
import json
import unittest

from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import index_set
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import runs
from tests.scheduling import harness

LIMIT = 262_144  # the protocol's RecordBytes
WIDTH = 32
NOW = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
MINUTE = datetime.timedelta(minutes=1)


def make_state(
    count: int,
    done: tuple[tuple[int, int], ...] = (),
    steps: int = 1,
    width: int = WIDTH,
) -> runs.JobState:
    """Return a timetable's state; ``done`` are first and last occurrences."""
    step = harness.make_step(width)
    timetable = models.Timetable(NOW, MINUTE, count)
    queue = harness.make_queue()
    job = models.Job("j", queue, "a", "", (step,) * steps, timetable, NOW)
    progress = codec.Progress(
        "running", {}, 0.0, dict.fromkeys(range(steps), done)
    )
    return occurrences.make_job_state(job, progress, harness.seconds(0))


def open_step(
    state: runs.JobState, occurrence: int, done: set[int] | range
) -> runs.StepState:
    """Open an occurrence; return its step, of which some tasks are done."""
    step = occurrences.find_step(state, occurrence, 0)
    step.done.update(done)
    step.waiting -= step.done
    return step


def encode(state: runs.JobState) -> bytes:
    """Return the record of a job's progress."""
    return codec.encode_progress(state.progress(0.0))


def restore(state: runs.JobState) -> runs.JobState:
    """Return the state that a successor has from the record."""
    progress = codec.decode_progress(encode(state))
    return occurrences.make_job_state(state.job, progress, harness.seconds(0))


class ProgressRecordTest(unittest.TestCase):
    """A timetable with many occurrences."""

    def check_restored(self, state: runs.JobState) -> None:
        """Assert that a successor knows the same of every task."""
        restored = restore(state)
        self.assertTrue(restored.is_start_recorded)
        self.assertEqual(restored.closed.pairs(), state.closed.pairs())
        self.assertEqual(
            restored.steps_by_key.keys(), state.steps_by_key.keys()
        )
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
        state = make_state(90_000, ((0, 88_999),))
        self.assertLess(len(encode(state)), 200)

    def test_record_of_an_end_is_short_after_some_occurrences(self):
        """It was written anew at each end, up to 256 KiB (review/4)."""
        for width in (1, WIDTH, 5_000):
            longest = max(
                len(encode(make_state(90_000, ((0, last),), 2, width)))
                for last in (*range(100), 20_000)
            )
            self.assertLess(longest, runs.MAX_LISTED_BYTES * 1.1)

    def test_successor_knows_each_task_from_ranges(self):
        """Neither an end nor an attempt nor a checkpoint is lost."""
        state = make_state(16_000, ((0, 76), (78, 15_899), (15_990, 15_990)))
        late = open_step(state, 77, set(range(WIDTH)) - {5})
        late.failures_by_index[5] = (3, 10_007, 10_002)
        late.checkpoints_by_index[5] = "c"
        open_step(state, 15_950, {0, 31})
        self.assertIn("done", json.loads(encode(state)).keys())
        self.check_restored(state)

    def test_successor_knows_each_task_of_later_steps(self):
        """An occurrence of which only the first step is done goes on."""
        state = make_state(16_000, ((0, 99), (101, 15_899)), steps=2)
        open_step(state, 100, range(WIDTH))
        self.check_restored(state)
        self.assertFalse(restore(state).steps_by_key[100, 1].is_done)

    def test_successor_knows_each_task_of_a_plain_job(self):
        """A job without a timetable has one occurrence, which is open."""
        job = dataclasses.replace(make_state(1).job, timetable=None)
        state = occurrences.make_job_state(job, None, harness.seconds(0))
        state.is_start_recorded = True
        step = open_step(state, 0, {1, 3})
        step.failures_by_index[2] = (2, 10_007)
        step.checkpoints_by_index[2] = "c"
        self.check_restored(state)

    def test_short_record_has_the_form_of_the_old_version(self):
        """In a rolling upgrade 0.3.0 runs no task again."""
        state = make_state(9_000, ((0, 59),))
        open_step(state, 70, {3})
        data = json.loads(encode(state))
        self.assertEqual(data.keys(), {"state", "steps", "at"})
        self.assertEqual(data["state"], "running")
        self.assertEqual(len(data["steps"]), 61)
        self.assertEqual(data["steps"]["59.0"], ["ffffffff", {}, {}])
        self.check_restored(state)

    def test_record_of_the_old_version_is_read(self):
        """What 0.3.0 recorded as done never runs again."""
        steps = {f"{n}.0": ["ffffffff", {}, {}] for n in range(9)}
        steps["9.0"] = ["3", {"4": [1, 10_001]}, {"4": "c"}]
        data = {"state": "running", "steps": steps, "at": 0.0}
        progress = codec.decode_progress(json.dumps(data).encode())
        job = make_state(10).job
        found = occurrences.make_job_state(job, progress, harness.seconds(0))
        for occurrence in range(9):
            step = occurrences.find_step(found, occurrence, 0)
            self.assertTrue(step.is_done)
        last = found.steps_by_key[9, 0]
        self.assertEqual(last.done, {0, 1})
        self.assertEqual(last.failures_by_index, {4: (1, 10_001)})
        self.assertEqual(last.checkpoints_by_index, {4: "c"})

    def test_ranges_that_differ_by_step_are_read(self):
        """As builds since 0.3.0 record them."""
        data = {
            "state": "completed",
            "true": ["running", 0.0],
            "at": 253_370_764_800.0,
            "steps": {},
            "done": {"0": [[0, 9_999]], "1": [[0, 9_997]]},
        }
        progress = codec.decode_progress(json.dumps(data).encode())
        job = make_state(10_000, steps=2).job
        found = occurrences.make_job_state(job, progress, harness.seconds(0))
        self.assertEqual(found.closed.pairs(), ((0, 9_997),))
        waiting = {
            key: len(step.waiting) for key, step in found.steps_by_key.items()
        }
        self.assertEqual(
            waiting,
            {
                (9_998, 0): 0,
                (9_998, 1): WIDTH,
                (9_999, 0): 0,
                (9_999, 1): WIDTH,
            },
        )

    def test_old_version_takes_ranges_for_an_ended_job(self):
        """0.3.0, which reads no ranges, neither runs nor drops the job."""
        state = make_state(16_000, ((0, 15_899),))
        open_step(state, 15_950, {3})
        data = json.loads(encode(state))
        self.assertIn(data["state"], ledgers.FINAL_STATES)
        ended_at = datetime.datetime.fromtimestamp(data["at"], datetime.UTC)
        self.assertGreater(ended_at.year, 2126)
        self.assertEqual(data["steps"], {"15950.0": ["8", {}, {}]})

    def test_end_of_a_job_always_fits(self):
        """Whatever a job has recorded, its end becomes durable."""
        state = make_state(2, ((0, 0),))
        step = open_step(state, 1, set())
        step.checkpoints_by_index[0] = "c" * LIMIT
        state.final_state = "failed"
        value = codec.encode_progress(state.progress(5.0))
        progress = codec.decode_progress(value)
        self.assertEqual((progress.state, progress.ended_at), ("failed", 5.0))
        self.assertLess(len(value), 100)

    def test_tasks_of_a_wide_step_are_read_as_recorded(self):
        """The record has a bit for each task."""
        done = index_set.IndexSet({0, 19_999})
        progress = codec.Progress(
            "running", {(0, 0): codec.StepProgress(done)}
        )
        value = codec.encode_progress(progress)
        self.assertLess(len(value), 20_000 / 4 + 200)
        found = codec.decode_progress(value).steps_by_key[0, 0].done
        self.assertEqual(found, done)


class AssignmentTest(unittest.TestCase):
    """Encode the runs of a worker, with those that were given up."""

    def test_runs_given_up_are_told_from_the_others(self):
        record = codec.Assignment("h:1", 5, {"j.0.0.0": 2}, {"j.0.0.1": 3})
        value = codec.encode_assignment(record)
        self.assertEqual(codec.decode_assignment(value), record)

    def test_late_starts_name_no_task(self):
        """Earlier versions take the mark for a run of an unknown task."""
        record = codec.Assignment("h:1", 5, {"j.0.0.0": 2}, {}, True)
        value = codec.encode_assignment(record)
        self.assertEqual(codec.decode_assignment(value), record)
        _, _, names = json.loads(value)
        self.assertEqual(sorted(names), ["?late", "j.0.0.0"])

    def test_earlier_versions_find_no_task_of_a_run_given_up(self):
        """They take all names for tasks, and split them at the dots."""
        record = codec.Assignment("h:1", 5, {}, {"j.0.0.1": 3})
        value = codec.encode_assignment(record)
        _, _, runs_by_task = json.loads(value)
        (name,) = runs_by_task
        self.assertNotEqual(name.rsplit(".", 3)[0], "j")
