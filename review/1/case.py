"""Cut a worker off while the store does not take the record of its start."""

import asyncio
import pathlib
import time

from standins import scenario

PATH_LONG = "/pule252/00000000000000a1"
PATH_TIMED = "/pule252/00000000000000b2"
JOBS_TOPIC = "keyed.jobs"
DOWN_S = 6.3  # of a part of the store, as in the site's day scale-1
CUT_S = 5.5  # of one worker of six, as in the site's list
SHARE_WORKERS = 6
LONG_S = 60.0
TASK_S = 4.0
POLL_S = 2.0  # of a worker that has work
SINCE_POLL_S = 1.0  # when the disruptions begin
DUE_AFTER_S = 0.6  # after that


class Drop(scenario.Scenario):
    """One worker has a long task and room for the tasks of a timed job."""

    folder = pathlib.Path(__file__).resolve().parent
    worker_count = SHARE_WORKERS

    def describe(self, task: str, spec: str):
        """Return a task's demand and time in seconds."""
        if spec == "long":
            return (32000, 1000, 0), LONG_S
        return (4000, 1000, 0), TASK_S

    async def use(self) -> None:
        """Let the store and then the worker fail when the tasks are due."""
        first, second, _ = self.deployment.instances
        long_step = {"Count": 1, "Cpu": 32000, "MemMb": 1000}
        long_step["EstimateMs"] = round(LONG_S * 1000)
        body = {"Spec": "long", "Phases": [long_step]}
        status, _ = await self.client.call(first, "POST", PATH_LONG, body)
        await self.wait_for(lambda: bool(self.starts), 20)
        (worker,) = [w for w in self.fleet if w.starts]
        await asyncio.sleep(3 * POLL_S)
        begin = worker.last_hold_at + 2 * POLL_S + SINCE_POLL_S
        due_at = begin + DUE_AFTER_S
        due_ms = round((time.time() + due_at - self.record.now()) * 1000)
        short_step = {"Count": 4, "Cpu": 4000, "MemMb": 1000}
        short_step["EstimateMs"] = round(TASK_S * 1000)
        body = {
            "Spec": "timed",
            "Phases": [short_step],
            "RepeatCount": 1,
            "IntervalMs": 3000,
            "StartAtMs": due_ms,
        }
        status, _ = await self.client.call(first, "POST", PATH_TIMED, body)
        if status != 200:
            raise RuntimeError(f"submission answered {status}")
        await asyncio.sleep(begin - self.record.now())
        if self.has_trouble:
            self.store.reset_topics.add(JOBS_TOPIC)
            self.record.write("store", f"resets calls for {JOBS_TOPIC}")
            worker.cut()
        await asyncio.sleep(CUT_S)
        if self.has_trouble:
            worker.heal()
        await asyncio.sleep(DOWN_S - CUT_S)
        if self.has_trouble:
            self.store.reset_topics.clear()
            self.record.write("store", "serves again")
        state = ""
        async with asyncio.timeout(50):
            while state != "completed":
                await asyncio.sleep(1)
                _, data = await self.client.call(second, "GET", PATH_TIMED)
                state = data.get("State", "")

    def check(self) -> list[str]:
        """Return what broke TWICE."""
        return scenario.breaks_of_twice(self.starts)


if __name__ == "__main__":
    Drop().main()
