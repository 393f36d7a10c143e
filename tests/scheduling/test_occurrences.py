"""Jobs keep what is known of each task, whatever is open, over takeovers."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import runs
from tests.scheduling import harness

FIRST_DUE = datetime.datetime(2026, 12, 5, tzinfo=datetime.UTC)
MINUTE = datetime.timedelta(minutes=1)
NOW = harness.seconds(100)
# By number of the steps: the widths, and the steps that each one follows.
SHAPES = (
    ((1, ()),),
    ((2, ()), (0, ()), (1, (0, 1))),
    ((3, ()), (1, (0,)), (2, ())),
)
Task = tuple[int, int, int]  # occurrence, step, index


class Model:
    """What a job should know, kept in plain sets."""

    def __init__(self, shape: tuple, count: int | None) -> None:
        """Create a job of a shape, with a timetable if it has a count."""
        steps = tuple(
            harness.make_step(width, after=after) for width, after in shape
        )
        timetable = count and models.Timetable(FIRST_DUE, MINUTE, count)
        queue = harness.make_queue()
        self.job = models.Job(
            "j", queue, "a", "", steps, timetable or None, FIRST_DUE
        )
        self.wall = FIRST_DUE - MINUTE
        self.done: set[Task] = set()
        self.failures: dict[Task, tuple[int, int]] = {}
        self.state = occurrences.make_job_state(self.job, None, NOW)

    def due(self) -> int:
        """Return how many occurrences are due."""
        timetable = self.job.timetable
        return timetable.due_count(self.wall) if timetable else 1

    def is_step_done(self, occurrence: int, number: int) -> bool:
        """Return whether all tasks of a step are done."""
        return all(
            (occurrence, number, index) in self.done
            for index in range(self.job.steps[number].width)
        )

    def ready(self) -> set[Task]:
        """Return the tasks that may start."""
        return {
            (occurrence, number, index)
            for occurrence in range(self.due())
            for number, step in enumerate(self.job.steps)
            if all(self.is_step_done(occurrence, n) for n in step.after)
            for index in range(step.width)
            if (occurrence, number, index) not in self.done
        }

    def found_ready(self) -> set[Task]:
        """Return the tasks that the planner may start."""
        return {
            (step.occurrence, step.number, index)
            for step in planning.ready_steps(self.state, NOW, self.wall)
            for index in step.waiting
        }

    def succeed(self, task: Task) -> None:
        """Record a task's success as the scheduler does."""
        occurrence, number, index = task
        step = occurrences.find_step(self.state, occurrence, number)
        step.done.add(index)
        step.waiting.discard(index)
        if step.is_done:
            occurrences.close_if_done(self.state, occurrence)
        self.done.add(task)
        self.failures.pop(task, None)

    def fail(self, task: Task) -> None:
        """Record a failed attempt as the scheduler does."""
        occurrence, number, index = task
        step = occurrences.find_step(self.state, occurrence, number)
        count, _ = self.failures.get(task, (0, 0))
        self.failures[task] = count + 1, count + 7
        step.failures_by_index[index] = self.failures[task]

    def take_over(self) -> None:
        """Restore the state from the record, as a successor does."""
        value = codec.encode_progress(self.state.progress(0.0))
        progress = codec.decode_progress(value)
        self.state = occurrences.make_job_state(self.job, progress, NOW)


class JobStateTest(unittest.TestCase):
    """Random ends and takeovers of jobs of several shapes."""

    # Shrinking takes minutes.
    @hypothesis.settings(
        derandomize=True,
        max_examples=60,
        deadline=None,
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(
        strategies.sampled_from(SHAPES),
        strategies.sampled_from((None, 1, 5, 400)),
        strategies.randoms(use_true_random=False),
    )
    def test_no_task_is_forgotten_or_offered_again(self, shape, count, rng):
        """A successor once began jobs without a timetable anew."""
        model = Model(shape, count)
        for _ in range(60):
            model.wall += MINUTE * rng.choice((0, 0, 1, 2, 30))
            self.check(model)
            ready = sorted(model.found_ready())
            for task in rng.sample(ready, min(len(ready), rng.randint(0, 9))):
                if rng.random() < 0.2:
                    model.fail(task)
                else:
                    model.succeed(task)
            if rng.random() < 0.3:
                model.take_over()
        self.check(model)

    def check(self, model: Model) -> None:
        """Compare the state with the model."""
        found, ready = model.found_ready(), model.ready()
        self.assertLessEqual(found, ready)
        steps = len(model.job.steps)
        if len({occurrence for occurrence, _, _ in ready}) <= (
            occurrences.max_idle(steps)
        ):
            self.assertEqual(found, ready)
        self.assertEqual(bool(found), bool(ready))
        for occurrence, number, index in model.done:
            step = occurrences.find_step(model.state, occurrence, number)
            self.assertIn(index, step.done)
            self.assertNotIn(index, step.waiting)
        for (occurrence, number, index), known in model.failures.items():
            step = occurrences.find_step(model.state, occurrence, number)
            self.assertEqual(step.failures_by_index[index], known)
        all_tasks = sum(step.width for step in model.job.steps)
        is_done = len(model.done) == all_tasks * model.job.occurrences
        self.assertEqual(model.state.is_done, is_done)
        self.check_unopened(model)

    def check_unopened(self, model: Model) -> None:
        """Check what the forecast adds for occurrences that are not open."""
        opened: set[int] = {key[0] for key in model.state.steps_by_key}
        missing = [
            occurrence
            for occurrence in range(model.due())
            if occurrence not in opened
            and occurrence not in model.state.closed
        ]
        count = occurrences.count_unopened(model.state, model.wall)
        self.assertEqual(count, len(missing) if model.job.timetable else 0)

    def test_done_occurrences_are_kept_while_they_have_runs(self):
        """The runs have to be found until they have ended."""
        model = Model(SHAPES[0], 5)
        model.wall = FIRST_DUE
        self.assertEqual(model.found_ready(), {(0, 0, 0)})
        step = model.state.steps_by_key[0, 0]
        run = runs.Run(step.key(0), 1, "w", step, runs.Phase.AT_WORK, NOW)
        step.runs_by_index[0] = run
        model.succeed((0, 0, 0))
        self.assertEqual(model.state.runs, [run])
        step.runs_by_index.clear()
        occurrences.close_if_done(model.state, 0)
        self.assertEqual(model.state.steps_by_key, {})
