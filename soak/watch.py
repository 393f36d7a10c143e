"""Watch for jobs that stand still although their tasks could run."""

import collections
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet as standin_fleet
from soak import checks
from soak import clients

# The users' rule: a job must not have nothing running for so long while a task
# could run, there is room for it twice over and under half of the capacity is
# in use, if nothing is disturbed in this time and for so long before it.
STILL = datetime.timedelta(seconds=3)
CALM_BEFORE = datetime.timedelta(seconds=4)
ROOM_FACTOR = 2
BUSY_SHARE = 0.5
# Each task that lasts is judged by itself, from so long after its last run,
# and however much is in use.
REST_OF_LASTING = datetime.timedelta(seconds=6)
# The stand-ins run in the process that watches; what holds this process up
# for longer disturbs the deployment as well.
MAX_LOOK_GAP = datetime.timedelta(seconds=1)


class Watch:
    """Follow what the workers run, and find what stands still.

    That is a job, or a task of a job that lasts.
    """

    def __init__(
        self,
        fake_fleet: standin_fleet.FakeFleet,
        jobs_by_id: dict[str, clients.Submission],
    ) -> None:
        """Watch the jobs that the callers have submitted."""
        self._fleet = fake_fleet
        self._jobs_by_id = jobs_by_id
        self._looked_at = self._disturbed_at = fake_fleet.clock.monotonic()
        self._still_since: dict[str, datetime.timedelta] = {}
        self._reported: set[str] = set()
        self._read_intervals = self._read_losses = 0
        self._done: dict[str, set[int]] = {}  # completed runs by task
        self._begun: set[str] = set()  # jobs of which a task has begun
        # Labels and free capacity of each worker.
        self._places: list[tuple[frozenset[str], dict[str, int]]] = []
        self._last: dict[str, standin_fleet.Interval] = {}

    def look(self, is_disturbed: bool) -> list[str]:
        """Return the jobs and tasks found to stand still, each once."""
        now = self._fleet.clock.monotonic()
        if is_disturbed or now - self._looked_at > MAX_LOOK_GAP:
            self._disturbed_at = now
        self._looked_at = now
        running = {task for task, _ in self._fleet.running()}
        at_work = self._read_workers(running)
        still = self._still_jobs(at_work) + self._still_tasks(running)
        self._still_since = {
            name: self._still_since.get(name, now) for name in still
        }
        self._reported &= self._still_since.keys()
        if not self.is_calm():
            return []
        found = {
            name
            for name, since in self._still_since.items()
            if now - since >= STILL
        }
        found -= self._reported
        self._reported |= found
        return sorted(found)

    def is_calm(self) -> bool:
        """Return whether the rules judge this moment."""
        return self._looked_at - self._disturbed_at >= CALM_BEFORE + STILL

    def waiting_since(self, accepted_before: float, prefix: str) -> set[str]:
        """Return a queue's jobs accepted by then that have not begun."""
        return {
            job_id
            for job_id, job in self._jobs_by_id.items()
            if is_open(job)
            and not job.repeats
            and job.path.startswith(prefix)
            and job.accepted_at < accepted_before
            and job_id not in self._begun
        }

    def describe(self, name: str) -> str:
        """Return the state of the job's tasks as the workers know it."""
        now = self._fleet.clock.monotonic()
        job_id = checks.job_of(name)
        steps = self._fleet.steps_of(job_id)
        parts = [f"since {now - self._still_since[name]}"]
        for occurrence, number in self._due_steps(job_id):
            step = steps[number]
            group = f"{job_id}.{occurrence}.{number}"
            tasks = [f"{group}.{index}" for index in range(step.width)]
            done = sum(bool(self._done.get(task)) for task in tasks)
            last = [
                f"{task} run {end.run} {end.end.value} on {end.worker_id}"
                f" {now - end.ended_at} ago"
                for task in tasks
                if not self._done.get(task) and (end := self._last.get(task))
            ]
            parts.append(
                f"occurrence {occurrence}, step {number} of {len(steps)}:"
                f" {done} of {step.width} done,"
                f" gang {step.is_gang}, rack-local {step.is_rack_local},"
                f" run before: {'; '.join(last[:3]) or 'none'}"
            )
        return ", ".join(parts)

    def _read_workers(self, running: set[str]) -> set[str]:
        """Return the jobs with something running since the look before."""
        ended = self._fleet.intervals[self._read_intervals :]
        at_work = {checks.job_of(task) for task in running}
        at_work |= {checks.job_of(interval.task) for interval in ended}
        self._begun |= at_work
        self._places = [
            (worker.listing.labels, _amounts(worker.free_capacity()))
            for worker in self._fleet.workers_by_id.values()
        ]
        self._read_ends()
        return at_work

    def _still_jobs(self, at_work: set[str]) -> list[str]:
        """Return the jobs that have nothing running and could run."""
        if self._used_share() >= BUSY_SHARE:
            return []
        return [
            job_id
            for job_id, job in self._jobs_by_id.items()
            if is_open(job)
            and job_id not in at_work
            and self._could_run(job_id)
        ]

    def _still_tasks(self, running: set[str]) -> list[str]:
        """Return the tasks that last, are not at work and could run."""
        rested_since = self._fleet.clock.monotonic() - REST_OF_LASTING
        return [
            task
            for job_id, job in self._jobs_by_id.items()
            if job.is_lasting and is_open(job)
            for number, step in enumerate(self._fleet.steps_of(job_id))
            if self._has_room(step)
            for task in (f"{job_id}.0.{number}.{i}" for i in range(step.width))
            if task not in running
            and task in self._last
            and self._last[task].ended_at <= rested_since
        ]

    def _read_ends(self) -> None:
        for interval in self._fleet.intervals[self._read_intervals :]:
            self._last[interval.task] = interval
            if interval.end is fleet.End.DONE:
                self._done.setdefault(interval.task, set()).add(interval.run)
        for task, run in self._fleet.lost_completions[self._read_losses :]:
            self._done.get(task, set()).discard(run)
        self._read_intervals = len(self._fleet.intervals)
        self._read_losses = len(self._fleet.lost_completions)

    def _used_share(self) -> float:
        """Return the share in use of the scarcest kind of capacity."""
        total: collections.Counter[str] = collections.Counter()
        free: collections.Counter[str] = collections.Counter()
        for worker in self._fleet.workers_by_id.values():
            total.update(_amounts(standin_fleet.capacity_of(worker.listing)))
        for _, amounts in self._places:
            free.update(amounts)
        return max((1 - free[kind] / total[kind] for kind in total), default=1)

    def _could_run(self, job_id: str) -> bool:
        steps = self._fleet.steps_of(job_id)
        return any(
            self._has_room(steps[number])
            for _, number in self._due_steps(job_id)
        )

    def _due_steps(self, job_id: str) -> list[tuple[int, int]]:
        """Return the occurrences' steps with tasks left that need not wait."""
        steps = self._fleet.steps_of(job_id)
        now = self._fleet.clock.monotonic()
        due = []
        for occurrence in self._jobs_by_id[job_id].due_occurrences(now):
            ended = {
                number
                for number, step in enumerate(steps)
                if self._has_ended(f"{job_id}.{occurrence}.{number}", step)
            }
            due += [
                (occurrence, number)
                for number, step in enumerate(steps)
                if number not in ended and ended.issuperset(step.after)
            ]
        return due

    def _has_ended(self, name: str, step: models.Step) -> bool:
        done = (
            bool(self._done.get(f"{name}.{index}"))
            for index in range(step.width)
        )
        # The end of one member of a gang counts for all.
        return any(done) if step.is_gang else all(done)

    def _has_room(self, step: models.Step) -> bool:
        needed = ROOM_FACTOR * (step.width if step.is_gang else 1)
        demand = _amounts(step.demand)
        for labels, free in self._places:
            if step.required_label and step.required_label not in labels:
                continue
            fitting = min(
                free[kind] // amount
                for kind, amount in demand.items()
                if amount
            )
            needed -= min(fitting, step.spread_limit or fitting)
        return needed <= 0


def is_open(job: clients.Submission) -> bool:
    """Return whether a job was accepted and neither cancelled nor ended."""
    return (
        job.is_accepted
        and not job.cancel_sent
        and job.states[-1:] not in [[state] for state in checks.FINAL_STATES]
    )


def _amounts(demand: models.Demand) -> dict[str, int]:
    return {
        "cpu": demand.milli_cores,
        "memory": demand.memory_mb,
        "accelerators": demand.accelerators,
    }
