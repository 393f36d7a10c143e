"""Let the tasks of a worker end while it is cut off and runs on."""

import asyncio
import pathlib

from standins import scenario

JOBS = 13
TASKS = 94  # of each job; the most that a job of the site has in a step
TASK_S = 4.0
CUT_S = 4.5  # at most 5.5 in the site's list; below the lease of 6 s
PATH = "/pule252/00000000000000a%x"
LABEL = "b"
BODY = {
    "Spec": "fill colours",
    "Phases": [
        {
            "Count": TASKS,
            "Cpu": 50,
            "MemMb": 100,
            "EstimateMs": round(TASK_S * 1000),
            "Requirements": LABEL,
        },
        {"Count": 1, "Cpu": 50, "MemMb": 100, "After": [0]},
    ],
}


class Ends(scenario.Scenario):
    """One worker of six has the label that the tasks require."""

    folder = pathlib.Path(__file__).resolve().parent

    def labels(self, number: int) -> list[str]:
        """Return a worker's kind and rack."""
        return [LABEL if number == 0 else "a", "r1-1"]

    def describe(self, task: str, spec: str):
        """Return a task's demand and time in seconds."""
        return (50, 100, 0), TASK_S

    async def use(self) -> None:
        """Submit the jobs, cut their worker off and wait for their ends."""
        first, second, _ = self.deployment.instances
        worker = self.fleet[0]
        paths = [PATH % number for number in range(JOBS)]
        for path in paths:
            status, _ = await self.client.call(first, "POST", path, BODY)
            if status != 200:
                raise RuntimeError(f"job answered {status}")
        await self.wait_for(lambda: len(worker.starts) >= JOBS * TASKS, 30)
        if self.has_trouble:
            worker.cut()
            await asyncio.sleep(CUT_S)
            worker.heal()
        async with asyncio.timeout(40):
            while paths:
                await asyncio.sleep(1)
                _, data = await self.client.call(second, "GET", paths[-1])
                if data.get("State") == "completed":
                    paths.pop()

    def check(self) -> list[str]:
        """Return what broke TWICE."""
        return scenario.breaks_of_twice(self.starts)


if __name__ == "__main__":
    Ends().main()
