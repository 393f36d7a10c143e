"""Draw cuts of workers beyond their leases, and faults before they return."""

import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from tests.scheduling import harness
from tests.scheduling import restart_episodes

ATTEMPTS = 2
LONG_S = 18.0
GIVE_UP_S = 6.3  # a lease, on a slow clock
CUT_S = (6.5, 9.0)
# From a holder's fault until workers are back; its successor no longer waits
# for the leases of before from 7.65 s on.
LATER_S = (0.0, 12.0)


class ReturnEpisodes(restart_episodes.RestartEpisodes):
    """Actions that cut workers off until their runs are given up."""

    def submit_work(self) -> None:
        """Submit a job of a drawn shape."""
        kind = self.rng.choice(
            ("plain", "plain", "chain", "chain", "timed", "gang", "long")
        )
        if kind == "long":  # one at most, as they fill the workers
            kind, self.has_long = "plain" if self.has_long else kind, True
        width = {"plain": 3, "long": 1}.get(kind, 2)
        width = self.rng.randint(1, width)
        step = harness.make_step(width, is_gang=kind == "gang")
        steps = (step,)
        if kind == "chain":
            steps = (step, harness.make_step(1, after=(0,)))
        timetable = None
        if kind == "timed":
            first_due = self.clock.now() + harness.seconds(1)
            interval = harness.seconds(self.rng.uniform(1, 6))
            timetable = models.Timetable(first_due, interval, 3)
        job_id = self.submit(
            *steps,
            queue=harness.make_queue(attempts=ATTEMPTS),
            timetable=timetable,
        )
        length_s = LONG_S if kind == "long" else self.rng.uniform(1, 5)
        self.fleet.durations_by_job[job_id] = harness.seconds(length_s)
        self.timetables[job_id] = timetable
        self.fleet.note(f"job {job_id} {kind} {width} {length_s:.2f} s")

    def begin_return(self) -> None:
        """Cut workers off beyond their leases; the holder may fail then."""
        names = sorted(self.fleet.workers_by_id)
        busy = [w for _, w in self.fleet.running()]
        count = self.rng.choice((1, len(names) - 1, len(names), len(names)))
        chosen = self.rng.sample(names, max(count, 1))
        if count == 1 and busy:
            chosen = [self.rng.choice(sorted(set(busy)))]
        if self.rng.random() < 0.3:
            self.fail_tasks(chosen)
        for worker_id in chosen:
            self.cut(worker_id, True)
        cut_s = self.rng.uniform(*CUT_S)
        if self.rng.random() < 0.8:
            fault = self.rng.choice(
                (
                    self.replace_holder,
                    self.replace_holder,
                    self.refuse_holder,
                    self.hand_over,
                    self.kill_all,
                )
            )
            self.after(self.rng.uniform(GIVE_UP_S, cut_s), fault)
            cut_s += self.rng.uniform(*LATER_S)
        for worker_id in chosen:
            apart_s = self.rng.choice((0, self.rng.uniform(0, 1)))
            self.after(cut_s + apart_s, self.cut, worker_id, False)

    def fail_tasks(self, worker_ids: list[str]) -> None:
        """Let the tasks of workers that are cut off end as failed."""
        for worker_id in worker_ids:
            worker = self.fleet.workers_by_id[worker_id]
            worker.fails_everything = True
            self.fleet.note(f"{worker_id} fails")
            self.after(CUT_S[0], self.set_well, worker_id)

    def set_well(self, worker_id: str) -> None:
        """Let a worker's tasks end well again."""
        self.fleet.workers_by_id[worker_id].fails_everything = False

    def check_order(self) -> None:
        """Assert that no task began before its time or its turn."""
        done_at: dict[str, datetime.timedelta] = {}
        for interval in self.fleet.intervals:
            if interval.end is fleet.End.DONE:
                done_at.setdefault(interval.task, interval.ended_at)
        for interval in self.fleet.intervals:
            self.check_turn(interval, done_at)

    def check_turn(
        self, interval, done_at: dict[str, datetime.timedelta]
    ) -> None:
        """Assert that a run began in time and after the steps before it."""
        job_id, occurrence, number, _ = interval.task.rsplit(".", 3)
        timetable = self.timetables[job_id]
        if timetable is not None:
            due = timetable.due(int(occurrence)) - self.clock.now()
            due += self.clock.monotonic()
            self.assertGreaterEqual(
                interval.began_at, due, f"{interval.task} early"
            )
        steps = self.fleet.steps_by_job[job_id]
        for earlier in steps[int(number)].after:
            for index in range(steps[earlier].width):
                name = f"{job_id}.{occurrence}.{earlier}.{index}"
                self.assertGreaterEqual(
                    interval.began_at,
                    done_at.get(name, datetime.timedelta.max),
                    f"{interval.task} before {name}",
                )

    def ended_job_ids(self) -> set[str]:
        """Return the jobs that are recorded as completed or failed."""
        ledger = ledgers.Ledger()
        records = self.store.records_by_stream[store.Stream.JOBS]
        page = store.Page(tuple(records), len(records))
        ledger.apply(page, self.clock.monotonic())
        return {
            job_id
            for job_id in self.timetables
            if ledger.state(job_id) in ("completed", "failed")
        }

    def cut(self, worker_id: str, is_cut: bool) -> None:
        """Cut a worker off, or back; note the ends that nobody has read."""
        super().cut(worker_id, is_cut)
        worker = self.fleet.workers_by_id[worker_id]
        if not is_cut and worker.clock_ms() > worker.lease_deadline_ms:
            unread = [(e.task, e.end.value) for e in worker.finished]
            self.fleet.note(f"{worker_id} lists {unread}")
