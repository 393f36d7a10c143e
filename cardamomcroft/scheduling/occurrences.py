"""Open the occurrences of a job when they are due, close them when done.

A timetable may declare many thousands of occurrences. Only those that are due
or at work have steps in memory.
"""

import datetime

from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import index_set
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ranges
from cardamomcroft.scheduling import runs

# Open occurrences of a job that are due and have no run yet. Each round may
# start that many and open as many again, so the limit does not slow a job.
MAX_IDLE_OCCURRENCES = 64
MAX_IDLE_STEPS = 256  # of these; at least one occurrence is open


def make_job_state(
    job: models.Job,
    progress: codec.Progress | None,
    accepted_at: datetime.timedelta,
) -> runs.JobState:
    """Return a job's state in which every unfinished task waits."""
    state = runs.JobState(job, accepted_at)
    if progress is not None:
        state.is_start_recorded = progress.state == "running"
        _restore(state, progress)
    if not job.timetable:
        open_occurrence(state, 0)
    return state


def _restore(state: runs.JobState, progress: codec.Progress) -> None:
    """Open the occurrences that have begun, and close those that are done."""
    done_by_step = [
        ranges.Ranges(progress.done_by_step.get(number, ()))
        for number in range(len(state.job.steps))
    ]
    state.closed = ranges.common(done_by_step)
    begun = {occurrence for occurrence, _ in progress.steps_by_key}
    for done in done_by_step:
        begun.update(_outside(done, state.closed))
    for occurrence in sorted(begun):
        is_declared = 0 <= occurrence < state.job.occurrences
        if is_declared and occurrence not in state.closed:
            _restore_occurrence(state, occurrence, progress, done_by_step)


def _outside(done: ranges.Ranges, closed: ranges.Ranges) -> list[int]:
    """Return the numbers of ``done`` that are not in ``closed``."""
    found = []
    for first, last in done.pairs():
        number = closed.next_missing(first)
        while number <= last:
            found.append(number)
            number = closed.next_missing(number + 1)
    return found


def _restore_occurrence(
    state: runs.JobState,
    occurrence: int,
    progress: codec.Progress,
    done_by_step: list[ranges.Ranges],
) -> None:
    for number, model in enumerate(state.job.steps):
        known = progress.steps_by_key.get((occurrence, number))
        if occurrence in done_by_step[number]:
            known = codec.StepProgress(index_set.IndexSet.full(model.width))
        step = _make_step(state, occurrence, number, known)
        state.steps_by_key[occurrence, number] = step
    close_if_done(state, occurrence)


def _make_step(
    state: runs.JobState,
    occurrence: int,
    number: int,
    known: codec.StepProgress | None = None,
) -> runs.StepState:
    known = known or codec.StepProgress()
    model = state.job.steps[number]
    return runs.StepState(
        state,
        occurrence,
        number,
        model,
        index_set.IndexSet.full(model.width) - known.done,
        known.done.copy(),
        {},
        dict(known.failures_by_index),
        dict(known.checkpoints_by_index),
    )


def open_occurrence(state: runs.JobState, occurrence: int) -> None:
    """Let all tasks of an occurrence wait, unless it is open or closed."""
    if _is_open(state, occurrence) or occurrence in state.closed:
        return
    for number in range(len(state.job.steps)):
        step = _make_step(state, occurrence, number)
        state.steps_by_key[occurrence, number] = step
    close_if_done(state, occurrence)  # without any task


def max_idle(step_count: int) -> int:
    """Return how many occurrences of a job may be open without a run."""
    return max(min(MAX_IDLE_OCCURRENCES, MAX_IDLE_STEPS // step_count), 1)


def open_due(state: runs.JobState, wall: datetime.datetime) -> None:
    """Open the occurrences that are due, in order, some at a time."""
    timetable = state.job.timetable
    due = timetable.due_count(wall) if timetable else 0
    if state.next_occurrence >= due:
        return
    limit = max_idle(len(state.job.steps))
    idle = _count_idle(state)
    while state.next_occurrence < due and idle < limit:
        occurrence = state.closed.next_missing(state.next_occurrence)
        state.next_occurrence = min(occurrence + 1, due)
        if occurrence < due and not _is_open(state, occurrence):
            open_occurrence(state, occurrence)
            idle += 1


def count_unopened(state: runs.JobState, wall: datetime.datetime) -> int:
    """Count the occurrences that are due and not open yet."""
    timetable = state.job.timetable
    if not timetable:
        return 0
    opened = {occurrence for occurrence, _ in state.steps_by_key}
    is_done = sum(occurrence in state.closed for occurrence in opened)
    known = len(state.closed) + len(opened) - is_done
    return max(timetable.due_count(wall) - known, 0)


def _is_open(state: runs.JobState, occurrence: int) -> bool:
    return (occurrence, 0) in state.steps_by_key


def _count_idle(state: runs.JobState) -> int:
    """Count the open occurrences that wait for a first run.

    Those of which only later steps wait do not count: their first steps have
    run, and what they wait for need not hold up other occurrences.
    """
    waiting: set[int] = set()
    at_work: set[int] = set()
    for (occurrence, _), step in state.steps_by_key.items():
        if step.runs_by_index:
            at_work.add(occurrence)
        elif step.waiting and not step.model.after:
            waiting.add(occurrence)
    return len(waiting - at_work)


def find_step(
    state: runs.JobState, occurrence: int, number: int
) -> runs.StepState | None:
    """Return a step of a task that a worker or a record names, if declared.

    An earlier scheduler may have opened its occurrence. A step that has been
    closed is returned as one that is done.
    """
    is_declared = 0 <= occurrence < state.job.occurrences
    if not is_declared or not 0 <= number < len(state.job.steps):
        return None
    if not _is_open(state, occurrence):
        if occurrence in state.closed:
            width = state.job.steps[number].width
            done = codec.StepProgress(index_set.IndexSet.full(width))
            return _make_step(state, occurrence, number, done)
        open_occurrence(state, occurrence)
    return state.steps_by_key[occurrence, number]


def close_if_done(state: runs.JobState, occurrence: int) -> None:
    """Close an occurrence if it is done; forget its steps without runs.

    Those of a job without a timetable stay until the job has ended.
    """
    if not _is_open(state, occurrence):
        return
    keys = [(occurrence, number) for number in range(len(state.job.steps))]
    steps = [state.steps_by_key[key] for key in keys]
    if not all(step.is_done for step in steps):
        return
    state.closed.add(occurrence)
    if state.job.timetable and not any(s.runs_by_index for s in steps):
        for key in keys:
            del state.steps_by_key[key]
