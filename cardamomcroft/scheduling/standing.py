"""Find jobs of which nothing runs although a task's turn has come.

They show in the log and in a metric, each with the reason. Nothing here
changes what is scheduled.
"""

import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom as headrooms
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import standing_reasons as reasons
from cardamomcroft.scheduling import standing_room

LOOK_PERIOD = datetime.timedelta(seconds=0.5)
# The users count a job as standing still from this time on.
STANDING_AFTER = datetime.timedelta(seconds=3)
REPEAT_PERIOD = datetime.timedelta(seconds=10)  # of a job's line
MAX_LINES_PER_SECOND = 20  # a twentieth of events.MAX_LINES_PER_SECOND
# Under overload many jobs wait for room, which must not hide the others.
MAX_ORDINARY_LINES = MAX_LINES_PER_SECOND // 2
_ZERO = datetime.timedelta()
_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What the scheduler knows right after a round."""

    jobs_by_id: collections.abc.Mapping[str, runs.JobState]
    workers_by_id: collections.abc.Mapping[str, runs.Worker]
    now: datetime.timedelta  # monotonic
    wall: datetime.datetime
    confirmed_at: datetime.timedelta  # of the newest durable record
    reservations: reservations.Reservations
    holds: holding.Holds
    headroom: headrooms.Headroom
    durations: estimates.RunTimes


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """An event to log."""

    event: str
    fields: dict[str, object]


@dataclasses.dataclass(slots=True)
class _Stand:
    """Track a job that stands."""

    job_id: str
    step: runs.StepState
    # The last sign of a run at work, or else the first look without one.
    since: datetime.timedelta
    mark: tuple[int, ...]  # changes when a task ends
    cause: reasons.Cause | None = None
    examined_at: datetime.timedelta = _ZERO
    due_at: datetime.timedelta = _ZERO  # of its next line
    is_shown: bool = False

    def has_lasted(self, now: datetime.timedelta) -> bool:
        """Return whether the job has stood for long enough to count."""
        return now - self.since >= STANDING_AFTER


class StandingJobs:
    """Track the jobs that stand, and bound the lines about them."""

    def __init__(self) -> None:
        """Track no job yet."""
        self._stands: dict[str, _Stand] = {}
        self._next_look = _ZERO
        self._second = -1
        self._lines = 0
        self._not_shown = 0

    def look(self, view: View) -> list[Line]:
        """Return the lines that are due; nothing between two looks."""
        if view.now < self._next_look:
            return []
        self._next_look = view.now + LOOK_PERIOD
        lines = self._update(view)
        lasting = [
            stand
            for stand in self._stands.values()
            if stand.has_lasted(view.now)
        ]
        self._examine(lasting, view)
        lines += self._due_lines(lasting, view.now)
        return lines

    def count_by_reason(self) -> collections.Counter[str]:
        """Count the jobs that had stood for 3 s at the last look."""
        return collections.Counter(
            stand.cause.reason.value
            for stand in self._stands.values()
            if stand.cause is not None
        )

    def _update(self, view: View) -> list[Line]:
        """Update which jobs stand; return the lines of those that moved."""
        working, last_signs = _jobs_at_work(view.workers_by_id)
        moved: list[_Stand] = []
        for job_id, job in view.jobs_by_id.items():
            known = self._stands.get(job_id)
            if job.is_cancelled or job.final_state:
                self._stands.pop(job_id, None)
                continue
            step = None
            if job_id not in working:
                steps = _open_steps(job, view.wall)
                step = next(steps, None)
            mark = _mark(step) if step else None
            if known and known.mark != mark:
                moved.append(self._stands.pop(job_id))
                known = None
            if step and not known:
                since = last_signs.get(job_id, view.now)
                self._stands[job_id] = _Stand(job_id, step, since, mark)
        self._forget_untracked(view)
        return self._moves_lines(moved, view.now)

    def _moves_lines(
        self, moved: list[_Stand], now: datetime.timedelta
    ) -> list[Line]:
        lines = [
            self._line(
                "job_moves",
                stand,
                now,
                {"reason": stand.cause.reason.value},
            )
            for stand in moved
            if stand.is_shown
        ]
        return [line for line in lines if line]

    def _forget_untracked(self, view: View) -> None:
        for job_id in self._stands.keys() - view.jobs_by_id.keys():
            del self._stands[job_id]

    def _examine(self, stands: list[_Stand], view: View) -> None:
        """Determine the reasons, first of those not examined for longest."""
        room = standing_room.Room(
            standing_room.RoomInputs(
                view.workers_by_id,
                view.now,
                view.reservations,
                view.headroom,
                view.durations,
                lambda: self._holders(view),
            )
        )
        for stand in sorted(stands, key=lambda stand: stand.examined_at):
            cause = _cause(stand.step, view, room)
            if cause is not None:
                stand.cause, stand.examined_at = cause, view.now
            elif stand.cause is None:
                stand.cause = reasons.Cause(reasons.Reason.NOT_EXAMINED)

    def _holders(self, view: View) -> list[standing_room.Holder]:
        """Return the steps for which workers are held."""
        return [
            (step, held)
            for job in view.jobs_by_id.values()
            for step in _open_steps(job, view.wall)
            if step.waiting and (held := view.holds.of(step))
        ]

    def _due_lines(
        self, stands: list[_Stand], now: datetime.timedelta
    ) -> list[Line]:
        lines = []
        for stand in stands:
            # An old reason could be wrong by now.
            if stand.due_at <= now == stand.examined_at:
                stand.due_at = now + REPEAT_PERIOD
                tasks = reasons.phases_of(stand.step)
                fields = {**stand.cause.fields(), "tasks": tasks}
                line = self._line("job_stands", stand, now, fields)
                if line:
                    stand.is_shown = True
                    lines.append(line)
        return lines

    def _line(
        self,
        event: str,
        stand: _Stand,
        now: datetime.timedelta,
        fields: dict[str, object],
    ) -> Line | None:
        """Return a line, or count it as not shown."""
        second = now // _SECOND
        if second != self._second:
            self._second, self._lines = second, 0
        is_ordinary = stand.cause.reason is reasons.Reason.NO_ROOM
        limit = MAX_ORDINARY_LINES if is_ordinary else MAX_LINES_PER_SECOND
        if self._lines >= limit:
            self._not_shown += 1
            return None
        self._lines += 1
        common: dict[str, object] = {
            "job_id": stand.job_id,
            "occurrence": stand.step.occurrence,
            "step": stand.step.number,
            "stood_s": round((now - stand.since).total_seconds(), 3),
        }
        if self._not_shown:
            fields = {**fields, "not_shown": self._not_shown}
            self._not_shown = 0
        return Line(event, {**common, **fields})


def _open_steps(
    job: runs.JobState, wall: datetime.datetime
) -> collections.abc.Iterator[runs.StepState]:
    """Yield the steps whose turn has come and that are not done."""
    timetable = job.job.timetable
    for (occurrence, _), step in job.steps_by_key.items():
        is_due = not timetable or timetable.due(occurrence) <= wall
        if (
            is_due
            and not step.is_done
            and all(
                job.steps_by_key[occurrence, number].is_done
                for number in step.model.after
            )
        ):
            yield step


def _jobs_at_work(
    workers_by_id: collections.abc.Mapping[str, runs.Worker],
) -> tuple[set[str], dict[str, datetime.timedelta]]:
    """Return the jobs with a run that is surely at work.

    A start under way may yet be refused. A run on a worker that does not
    answer may be lost; the second result has the last sign of it, by job.
    """
    working: set[str] = set()
    last_signs: dict[str, datetime.timedelta] = {}
    for worker in workers_by_id.values():
        is_silent = worker.unreachable_since is not None
        for run in worker.runs_by_task.values():
            if run.phase is runs.Phase.AT_WORK and is_silent:
                sign = run.reported_at or run.began_at
                known = last_signs.get(run.key.job_id, sign)
                last_signs[run.key.job_id] = max(known, sign)
            elif run.phase is runs.Phase.AT_WORK:
                working.add(run.key.job_id)
    return working, last_signs


def _mark(step: runs.StepState) -> tuple[int, ...]:
    """Return numbers that change when a run begins and ends between looks."""
    failures = sum(known[0] for known in step.failures_by_index.values())
    return step.occurrence, step.number, len(step.done), failures


def _cause(
    step: runs.StepState, view: View, room: standing_room.Room
) -> reasons.Cause | None:
    """Return why a step stands; None if the room could not be searched."""
    cause = reasons.cause_of_runs(
        step, view.workers_by_id, view.now, view.confirmed_at
    )
    # Beside runs that have a place, other tasks wait for room of their own.
    waits_for_room = step.waiting and not (
        cause and (step.model.is_gang or cause.reason in reasons.UNSENT)
    )
    if waits_for_room:
        return room.cause(step)
    return cause or reasons.Cause(reasons.Reason.UNKNOWN)
