"""Submit jobs that run every minute of a month."""

import asyncio
import pathlib
import time

from standins import scenario

JOBS = 24
PERIOD_S = 1.3  # 0.77 jobs a second, as in a burst of colour-match
TIMES = 30 * 24 * 60  # every minute of a month
SITE_TIMES = 8  # the most of the site's own jobs
INTERVAL_MS = 60_000
LEAD_S = 3.0
TASK_S = 1.0
FINISH_S = 14.0
IDLE_S = 3.0
PREFIX = "/pule252/"
TIMED = "0000000000000a%02x"
PLAIN = "00000000000000b1"


class Timetable(scenario.Scenario):
    """Small jobs with timetables, and a plain job after them."""

    folder = pathlib.Path(__file__).resolve().parent

    def __init__(self) -> None:
        """Prepare the stand-ins."""
        super().__init__()
        self._found: list[str] = []

    def describe(self, task: str, spec: str):
        """Return a task's demand and time in seconds."""
        return (1000, 1000, 0), TASK_S

    async def use(self) -> None:
        """Submit the jobs, and ask for them when they should have run."""
        accepted: list[str] = []
        calls = []
        step = {"Count": 2, "Cpu": 1000, "MemMb": 1000, "EstimateMs": 1000}
        for number in range(JOBS):
            due_ms = round((time.time() + LEAD_S) * 1000)
            body = {
                "Spec": "timed",
                "Phases": [step],
                "RepeatCount": TIMES if self.has_trouble else SITE_TIMES,
                "IntervalMs": INTERVAL_MS,
                "StartAtMs": due_ms,
            }
            submission = self._submit(TIMED % number, body, accepted)
            calls.append(asyncio.ensure_future(submission))
            await asyncio.sleep(PERIOD_S)
        body = {"Spec": "plain", "Phases": [step]}
        calls.append(
            asyncio.ensure_future(self._submit(PLAIN, body, accepted))
        )
        await asyncio.gather(*calls)
        await asyncio.sleep(FINISH_S)
        begun = {start.task.partition(".")[0] for start in self.starts}
        count = len(self.starts)
        until = self.record.now() + IDLE_S
        is_idle = True
        while self.record.now() < until:
            await asyncio.sleep(scenario.POLL_S)
            is_idle = is_idle and not any(w.runs for w in self.fleet)
        if is_idle and len(self.starts) == count:
            self._found += [
                f"{job} was accepted over {FINISH_S + IDLE_S:.0f} s before and"
                " its first tasks were due; none has begun, all workers are"
                " idle"
                for job in accepted
                if job not in begun
            ]
        for instance in self.deployment.instances:
            for job in (TIMED % 0, PLAIN):
                path = PREFIX + job
                status, _ = await self.client.call(instance, "GET", path)
                if job in accepted and status is None:
                    self.record.write("client", f"{path}: no answer in time")

    async def _submit(self, job: str, body: dict, accepted: list) -> None:
        """Submit a job; after no answer again, at another machine."""
        for instance in self.deployment.instances:
            path = PREFIX + job
            status, _ = await self.client.call(instance, "POST", path, body)
            if status == 200:
                accepted.append(job)
                return

    def check(self) -> list[str]:
        """Return what broke LOST."""
        return self._found


if __name__ == "__main__":
    Timetable().main()
