"""Watch for jobs that stand still although their tasks could run."""

import asyncio
import collections
import contextlib
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet as standin_fleet
from soak import checks
from soak import clients
from soak import faults as faults_module
from soak import instances as processes

# The users' rule: a job must not have nothing running for so long while a task
# could run, there is room for it twice over and under half of the capacity is
# in use, if nothing is disturbed in this time and for so long before it.
STILL = datetime.timedelta(seconds=3)
CALM_BEFORE = datetime.timedelta(seconds=4)
ROOM_FACTOR = 2
BUSY_SHARE = 0.5
# The stand-ins run in the process that watches; what holds this process up
# for longer disturbs the deployment as well.
MAX_LOOK_GAP = datetime.timedelta(seconds=1)
LOOK_INTERVAL_S = 0.2
# visible_ms and 2 s, after which a job that waits counts as pending, and the
# least share of such jobs that an instance has to count.
PENDING_AFTER_S = 5.0
PENDING_SHARE = 0.5


class Watch:
    """Follow what the workers run, and find the jobs that stand still."""

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
        """Return the jobs found to stand still that were not before."""
        now = self._fleet.clock.monotonic()
        if is_disturbed or now - self._looked_at > MAX_LOOK_GAP:
            self._disturbed_at = now
        self._looked_at = now
        self._still_since = {
            job_id: self._still_since.get(job_id, now)
            for job_id in self._still_jobs()
        }
        self._reported &= self._still_since.keys()
        if not self.is_calm():
            return []
        found = {
            job_id
            for job_id, since in self._still_since.items()
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

    def describe(self, job_id: str) -> str:
        """Return the state of a job's tasks as the workers know it."""
        now = self._fleet.clock.monotonic()
        steps = self._fleet.steps_of(job_id)
        parts = [f"since {now - self._still_since[job_id]}"]
        for occurrence, number in self._due_steps(job_id):
            step = steps[number]
            name = f"{job_id}.{occurrence}.{number}"
            tasks = [f"{name}.{index}" for index in range(step.width)]
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

    def _still_jobs(self) -> list[str]:
        """Return the jobs that have nothing running and could run."""
        running = {checks.job_of(task) for task, _ in self._fleet.running()}
        self._begun |= running
        self._places = [
            (worker.listing.labels, _amounts(worker.free_capacity()))
            for worker in self._fleet.workers_by_id.values()
        ]
        self._read_ends()
        if self._used_share() >= BUSY_SHARE:
            return []
        return [
            job_id
            for job_id, job in self._jobs_by_id.items()
            if is_open(job)
            and job_id not in running
            and self._could_run(job_id)
        ]

    def _read_ends(self) -> None:
        for interval in self._fleet.intervals[self._read_intervals :]:
            self._last[interval.task] = interval
            self._begun.add(checks.job_of(interval.task))
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


class Monitor:
    """Look at a deployment all the time."""

    def __init__(
        self,
        fake_fleet: standin_fleet.FakeFleet,
        callers: clients.Callers,
        faults: faults_module.Faults,
        instances: list[processes.Instance],
    ) -> None:
        """Monitor the callers' jobs and the instances; ``start`` begins."""
        self._watch = Watch(fake_fleet, callers.jobs_by_id)
        self._callers = callers
        self._faults = faults
        self._instances = instances
        self._still: list[str] = []
        self._miscounted: list[str] = []  # of the jobs that wait
        self._peak_mb_by_name: dict[str, float] = {}
        self._looking: asyncio.Task | None = None
        self._confirming: list[asyncio.Task] = []

    def start(self) -> None:
        """Look from now on."""
        self._looking = asyncio.ensure_future(self._look())

    async def stop(self) -> dict[str, list[str]]:
        """Look no more; return the violations of what was watched.

        Raise the error that ended the looks, if one did.
        """
        self._looking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._looking
        await asyncio.gather(*self._confirming)
        return {
            "stands_still": self._still,
            "miscounted": self._miscounted,
            "memory": [
                f"{name}: {peak_mb:.0f} MB"
                for name, peak_mb in self._peak_mb_by_name.items()
                if peak_mb > processes.MEMORY_MB
            ],
        }

    async def _look(self) -> None:
        while True:
            for job_id in self._watch.look(self._faults.take_disturbed()):
                now = datetime.datetime.now(datetime.UTC).time()
                text = f"{job_id} at {now}: {self._watch.describe(job_id)}"
                job = self._callers.jobs_by_id[job_id]
                self._confirming.append(
                    asyncio.ensure_future(self._confirm(job, text))
                )
            self._look_at_memory()
            if self._watch.is_calm():
                await self._look_at_pending()
            await asyncio.sleep(LOOK_INTERVAL_S)

    def _look_at_memory(self) -> None:
        for instance in self._instances:
            used_mb = instance.used_memory_mb()
            peak_mb = self._peak_mb_by_name.get(instance.name, 0.0)
            self._peak_mb_by_name[instance.name] = max(peak_mb, used_mb)

    async def _look_at_pending(self) -> None:
        """Ask an instance how many jobs wait, which the workers know."""
        before = asyncio.get_running_loop().time() - PENDING_AFTER_S
        for prefix in clients.PREFIXES:
            waiting = self._watch.waiting_since(before, prefix)
            if not waiting:
                continue
            pending = await self._callers.pending(prefix)
            self._watch.look(self._faults.take_disturbed())
            waiting &= self._watch.waiting_since(before, prefix)
            is_short = pending is not None and pending < PENDING_SHARE * len(
                waiting
            )
            if is_short and self._watch.is_calm():
                self._miscounted.append(f"{prefix}: {pending} of {waiting}")

    async def _confirm(self, job: clients.Submission, text: str) -> None:
        """Record a job unless it has ended, which the workers cannot show."""
        if await self._callers.query(job) not in checks.FINAL_STATES:
            self._still.append(text)
