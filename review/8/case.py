"""Jobs whose queue needs advice never begin once many of them wait."""

import asyncio
import pathlib
import random
import time

import harness

DECISION_MS, PERIOD_MS = 20, 4  # 116 ms for a call on 24 workers
JOBS = 12
OCCURRENCES = 8
INTERVAL_MS = 2000
LARGE_JOBS = 3
LARGE = {
    "Count": 30,
    "Cpu": 26_000,
    "MemMb": 53_000,
    "Gpu": 8,
    "EstimateMs": 11_000,
}
SMALL = {
    "Count": 2,
    "Cpu": 5_600,
    "MemMb": 8_200,
    "Gpu": 1,
    "EstimateMs": 7600,
}
GPUS = 24 * 8
FINISH_S = 14.0  # after the end of the traffic
STANDING_S = 3.0
MARGIN_S = 0.5
WATCH_S = 65.0


class Watch:
    """Follow which of the jobs have nothing running beside free room."""

    def __init__(self, deployment: harness.Deployment) -> None:
        """Follow the jobs that are added."""
        self._fleet = deployment.fleet
        self.first_due: dict[str, float] = {}
        self._since: dict[str, float] = {}
        self.longest: dict[str, float] = {}
        self.standing = 0

    def _is_due(self, job_id: str, done: set[str]) -> bool:
        """Return whether a task's turn has come that has not ended."""
        waited_s = time.time() - self.first_due[job_id]
        return any(
            f"{job_id}.{occurrence}.0.{index}" not in done
            for occurrence in range(OCCURRENCES)
            if waited_s >= occurrence * INTERVAL_MS / 1000
            for index in range(SMALL["Count"])
        )

    def look(self, now: float, is_counted: bool) -> None:
        """Note the jobs that stand now."""
        done = {
            interval.task
            for interval in self._fleet.intervals
            if interval.how == "done"
        }
        has_room = self._fleet.used_gpus() * 2 < GPUS
        self.standing = 0
        for job_id in self.first_due:
            stands = self._is_due(job_id, done) and not self._fleet.running(
                job_id
            )
            self.standing += stands
            if stands and has_room and is_counted:
                since = self._since.setdefault(job_id, now)
                stood = now - since
                known = self.longest.get(job_id, 0.0)
                self.longest[job_id] = max(known, stood)
            else:
                self._since.pop(job_id, None)


async def hand_in(deployment: harness.Deployment, watch: Watch) -> None:
    """Hand the scheduled jobs in; among them large ones at once."""
    for number in range(JOBS):
        if number == 2 and harness.TROUBLE:
            for _ in range(LARGE_JOBS):
                await deployment.submit(
                    "/scan/", "k-south", [LARGE], harness.Work(11.0)
                )
        first_due = time.time() + 1.0
        timetable = {
            "RepeatCount": OCCURRENCES,
            "StartAtMs": int(first_due * 1000),
            "IntervalMs": INTERVAL_MS,
        }
        work = harness.Work(random.uniform(5.3, 9.9))
        job_id = await deployment.submit(
            "/match/", "k-south", [SMALL], work, timetable
        )
        watch.first_due[job_id] = first_due
        await asyncio.sleep(1.3)


async def play(deployment: harness.Deployment) -> list[str]:
    """Let scheduled jobs wait behind large ones, then watch them."""
    advice = harness.Advice(deployment.record, DECISION_MS, PERIOD_MS)
    deployment.advice = advice
    config = harness.make_config(
        [
            harness.make_route("resin-scan", "/scan/", 1, attempts=2),
            harness.make_route("colour-match", "/match/", 2, target_ms=3000),
        ],
        [{"Name": "south", "ApiKeys": ["k-south"]}],
    )
    for route in config["Routes"]:
        route["Advice"] = advice.terms()
    await deployment.start(config, workers=24, instances=3)
    record = deployment.record
    watch = Watch(deployment)
    await hand_in(deployment, watch)
    ended_at = record.add("traffic_ended")
    reported = -1
    while (now := record.now()) < ended_at + WATCH_S:
        watch.look(now, now > ended_at + FINISH_S)
        if int(now) != reported:
            reported = int(now)
            record.add(
                "sample",
                jobs_standing=watch.standing,
                gpus_in_use=deployment.fleet.used_gpus(),
                advice_answered=advice.answered,
                advice_refused=advice.refused,
            )
        await asyncio.sleep(0.1)
    longest = max(watch.longest.values(), default=0.0)
    record.add("longest_stand", seconds=f"{longest:.1f}")
    return [
        f"LOST: job {job_id} had nothing running for {stood:.1f} s, over"
        f" {FINISH_S:.0f} s after the traffic, with over half of the room free"
        for job_id, stood in watch.longest.items()
        if stood > STANDING_S + MARGIN_S
    ]


if __name__ == "__main__":
    raise SystemExit(
        harness.run_case(play, pathlib.Path(__file__).resolve().parent)
    )
