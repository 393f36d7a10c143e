"""Lose a worker for good while a rack-local step has tasks waiting."""

import asyncio
import pathlib

from standins import scenario

WORKERS = 8  # one of them is lost: 0.125; at most 0.14 in the site's list
TASKS = 60
OTHER_JOBS = 12
FINISH_S = 14.0
IDLE_S = 3.0
PATH = "/pule252/00000000000000a1"
PATH_OTHER = "/pule252/00000000000000b%x"


class RackLocal(scenario.Scenario):
    """A rack-local step of many tasks, and small jobs beside it."""

    folder = pathlib.Path(__file__).resolve().parent
    worker_count = WORKERS

    def __init__(self) -> None:
        """Prepare the stand-ins."""
        super().__init__()
        self._found: list[str] = []

    def describe(self, task: str, spec: str):
        """Return a task's demand and time in seconds."""
        if spec == "other":
            return (1000, 1000, 0), 2.0
        index = int(task.rpartition(".")[2])
        return (5600, 8200, 4), 2.0 + index % 7 * 0.4

    async def use(self) -> None:
        """Submit jobs, lose a worker and wait for their ends."""
        first, second, _ = self.deployment.instances
        step = {"Count": TASKS, "Cpu": 5600, "MemMb": 8200, "Gpu": 4}
        step |= {"EstimateMs": 3000, "RackLocal": True}
        body = {"Spec": "local", "Phases": [step]}
        status, _ = await self.client.call(first, "POST", PATH, body)
        if status != 200:
            raise RuntimeError(f"submission answered {status}")
        await asyncio.sleep(1.5)
        losing = None
        lost = self.fleet[0]
        polled_at = lost.last_hold_at
        await self.wait_for(lambda: lost.last_hold_at > polled_at, 5)
        if self.has_trouble:
            losing = asyncio.ensure_future(lost.crash())
        paths = [PATH]
        for number in range(OTHER_JOBS):
            await asyncio.sleep(0.5)
            step = {"Count": 1, "Cpu": 1000, "MemMb": 1000}
            step["EstimateMs"] = 2000
            body = {"Spec": "other", "Phases": [step]}
            path = PATH_OTHER % number
            status, _ = await self.client.call(first, "POST", path, body)
            if status == 200:
                paths.append(path)
        if losing is not None:
            await losing
        await asyncio.sleep(16)  # at least the lease and the work itself
        await self._ask(second, paths)

    async def _ask(self, instance, paths: list[str]) -> None:
        """Ask for the jobs `finish_s` after the end of the traffic."""
        await asyncio.sleep(FINISH_S)
        open_paths = []
        for path in paths:
            status, data = await self.client.call(instance, "GET", path)
            if status != 200 or data["State"] != "completed":
                open_paths.append(path)
        if not open_paths:
            return
        starts = len(self.starts)
        until = self.record.now() + IDLE_S
        while self.record.now() < until:
            busy = sum(bool(w.runs) for w in self.fleet if w.is_up)
            if busy or len(self.starts) > starts:
                return
            await asyncio.sleep(0.05)
        for path in open_paths:
            _, data = await self.client.call(instance, "GET", path)
            self._found.append(
                f"{path} is {data.get('State')}; no worker has run anything"
                f" for {IDLE_S:.0f} s, all {WORKERS - 1} are idle"
            )

    def check(self) -> list[str]:
        """Return what broke LOST."""
        return self._found


if __name__ == "__main__":
    RackLocal().main()
