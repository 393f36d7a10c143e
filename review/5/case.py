"""Cancel a job whose submission got no answer and is stored late."""

import asyncio
import pathlib
import time

from standins import deployment as deployments
from standins import scenario
from standins import store as stores

JOB = "5c0e7a21d94b36f8"
PATH = f"/pule252/{JOB}"
# Answers of the store are lost for 4.5 s, for a share of 0.35 of the writes
# at most; those writes are done 1 to 6 s later.
LOSSY_S = 4.5
MAX_SHARE = 0.35
LATE_S = 5.5
DUE_S = 20.0  # after the submission
CANCEL_S = deployments.BOUNDS["cancel_ms"] / 1000
TASK_S = 2.0


class Cancel(scenario.Scenario):
    """A client that gives up a timed job after a 504."""

    folder = pathlib.Path(__file__).resolve().parent

    def __init__(self) -> None:
        """Prepare the stand-ins."""
        super().__init__()
        self._lossy_until = 0.0
        self._served_before = 0
        self.cancelled_at: float | None = None

    def describe(self, task: str, spec: str):
        """Return a task's demand and time in seconds."""
        return (5600, 8200, 1), TASK_S

    def _lose(self, append: stores.Append) -> float | None:
        is_submission = any(key == f"s/{JOB}" for key in append.keys)
        if self.record.now() < self._lossy_until and is_submission:
            return LATE_S
        return None

    async def use(self) -> None:
        """Submit the job; cancel it when the answer is 504."""
        first, second, _ = self.deployment.instances
        due_ms = round((time.time() + DUE_S) * 1000)
        body = {
            "Spec": "fill colours",
            "Phases": [{"Count": 2, "Cpu": 5600, "MemMb": 8200, "Gpu": 1}],
            "RepeatCount": 1,
            "IntervalMs": 3000,
            "StartAtMs": due_ms,
        }
        if self.has_trouble:
            self._lossy_until = self.record.now() + LOSSY_S
            self._served_before = self.store.appends_served
            self.store.lose = self._lose
        until = self.record.now() + LOSSY_S
        status, _ = await self.client.call(first, "POST", PATH, body)
        if status not in (200, 504, None):
            raise RuntimeError(f"submission answered {status}")
        status, _ = await self.client.call(second, "DELETE", PATH)
        if status not in (200, 410):
            raise RuntimeError(f"cancellation answered {status}")
        self.cancelled_at = self.record.now()
        await asyncio.sleep(max(0.0, until - self.record.now()))
        lost = self.store.appends_lost
        served = self.store.appends_served - self._served_before
        self.record.write("store", f"{lost} writes lost, {served} answered")
        if self.has_trouble and lost > MAX_SHARE * (lost + served):
            raise RuntimeError("more writes were lost than the pages allow")
        await asyncio.sleep(DUE_S + 5 - LOSSY_S)
        await self.client.call(second, "GET", PATH)

    def check(self) -> list[str]:
        """Return what broke UNASKED."""
        return [
            f"{start.task} began at {start.began_at:.3f}, its job's cancelling"
            f" was acknowledged at {self.cancelled_at:.3f}"
            for start in self.starts
            if start.began_at > self.cancelled_at + CANCEL_S
        ]


if __name__ == "__main__":
    Cancel().main()
