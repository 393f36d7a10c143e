"""A job that lasts and fails again and again keeps all others from work."""

import asyncio
import pathlib
import random

import harness

ORDINARY_JOBS = 14
LASTING_TASKS = 64  # of one job; a queue's jobs have up to 94
FAILS_AFTER_S = 1.5  # right after the start-up
FINISH_S = 14.0  # after the end of the traffic
STANDING_S = 3.0
MARGIN_S = 0.5
SAMPLE_S = 0.1
WATCH_S = 34.0  # after the end of the traffic
GPUS = 24 * 8


def make_step(count: int, after: list[int] | None = None) -> dict:
    """Return a step of the queue's usual tasks."""
    step = {
        "Count": count,
        "Cpu": 5_600,
        "MemMb": 8_200,
        "Gpu": 1,
        "EstimateMs": 7600,
    }
    return step | ({"After": after} if after else {})


class Watch:
    """Follow which jobs have nothing running beside free room."""

    def __init__(self, deployment: harness.Deployment) -> None:
        """Follow the ordinary jobs of a deployment."""
        self._deployment = deployment
        self.steps_by_job: dict[str, list[dict]] = {}
        self._since: dict[str, float] = {}
        self.longest: dict[str, float] = {}

    def look(self, is_counted: bool) -> None:
        """Note the jobs that stand now."""
        fleet, record = self._deployment.fleet, self._deployment.record
        now = record.now()
        done = {
            interval.task
            for interval in fleet.intervals
            if interval.how == "done"
        }
        is_half_used = fleet.used_gpus() * 2 >= GPUS
        for job_id, steps in self.steps_by_job.items():
            is_due = any(
                f"{job_id}.0.{number}.{index}" not in done
                for number, step in enumerate(steps)
                for index in range(step["Count"])
            )
            stands = is_due and not fleet.running(job_id)
            # Under half of the room is in use, so any task fits twice.
            if stands and is_counted and not is_half_used:
                since = self._since.setdefault(job_id, now)
                stood = now - since
                self.longest[job_id] = max(
                    self.longest.get(job_id, 0.0), stood
                )
            else:
                self._since.pop(job_id, None)


async def play(deployment: harness.Deployment) -> list[str]:
    """Hand in a job that lasts and fails again and again, and others."""
    config = harness.make_config(
        [harness.make_route("colour-match", "/match/", 2, target_ms=3000)],
        [
            {"Name": "north", "ApiKeys": ["k-north"]},
            {"Name": "south", "ApiKeys": ["k-south"]},
        ],
    )
    await deployment.start(config, workers=24, instances=3)
    fleet, record = deployment.fleet, deployment.record
    watch = Watch(deployment)
    life = harness.Work(1e9)
    if harness.TROUBLE:
        life = harness.Work(FAILS_AFTER_S, "failed")
    lasting = make_step(LASTING_TASKS) | {"LongRunning": True}
    await deployment.submit("/match/", "k-south", [lasting], life)
    for _ in range(ORDINARY_JOBS):
        await asyncio.sleep(0.6)
        steps = [make_step(4), make_step(4, [0])]
        work = harness.Work(random.uniform(5.3, 9.9))
        job_id = await deployment.submit("/match/", "k-north", steps, work)
        watch.steps_by_job[job_id] = steps
    ended_at = record.add("traffic_ended")
    reported = -1
    while (now := record.now()) < ended_at + WATCH_S:
        watch.look(now > ended_at + FINISH_S)
        if int(now) != reported:
            reported = int(now)
            at_work = [j for j in watch.steps_by_job if fleet.running(j)]
            record.add(
                "sample",
                gpus_in_use=fleet.used_gpus(),
                other_jobs_at_work=len(at_work),
            )
        await asyncio.sleep(SAMPLE_S)
    breaks = [
        f"LOST: job {job_id} had nothing running for {stood:.1f} s, over"
        f" {FINISH_S:.0f} s after the traffic, with over half of the room free"
        for job_id, stood in watch.longest.items()
        if stood > STANDING_S + MARGIN_S
    ]
    longest = max(watch.longest.values(), default=0.0)
    record.add("longest_stand", seconds=f"{longest:.1f}")
    return breaks


if __name__ == "__main__":
    raise SystemExit(
        harness.run_case(play, pathlib.Path(__file__).resolve().parent)
    )
