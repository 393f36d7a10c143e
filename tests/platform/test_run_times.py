"""Test that run times are learned and stored over HTTP where it is on."""

import os
import unittest
from unittest import mock

from cardamomcroft.platform import settings
from cardamomcroft.ports import store
from tests.platform import test_path

BODY = {"Spec": "x", "Phases": [{"Count": 2, "Cpu": 1, "EstimateMs": 100}]}


class LearningTestCase(unittest.IsolatedAsyncioTestCase):
    """Two instances and two workers on loopback; a run takes 0.3 s."""

    source = ""  # of run times

    async def asyncSetUp(self):
        """Start everything with the variables of the environment."""
        patch = mock.patch.dict(
            os.environ,
            {
                settings.PLANNING_VARIABLE: "ahead",
                settings.RUN_TIMES_VARIABLE: self.source,
            },
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.path = test_path.PathTest()
        await self.path.asyncSetUp()
        self.addAsyncCleanup(self.path.asyncTearDown)

    async def run_jobs(self, count: int) -> None:
        """Run jobs one after the other."""
        for number in range(count):
            url = f"/scan/{number + 1:016x}"
            await self.path.call_until_served("POST", url, BODY)

            async def is_over(url=url) -> bool:
                _, data = await self.path.call("GET", url)
                return data.get("State") == "completed"

            await self.path.wait_for(is_over)

    def records(self) -> list[store.Record]:
        """Return the records of the learned run times."""
        service = self.path.platform.store
        return service.records_by_stream[store.Stream.RUNTIMES]


class LearnedTest(LearningTestCase):
    """The instances plan ahead."""

    async def test_records_are_written_and_read(self):
        """The stream's name on the wire has to be the platform's."""
        await self.run_jobs(4)

        async def is_known() -> bool:
            views = [
                process.run_times.times.known.by_key
                for process in self.path.cluster.processes_by_name.values()
            ]
            return all(views)

        await self.path.wait_for(is_known, 20)
        self.assertTrue(self.records())


class DeclaredTest(LearningTestCase):
    """Learning is switched off."""

    source = "declared"

    async def test_nothing_is_written_or_read(self):
        """No instance has a view of the records."""
        await self.run_jobs(2)
        self.assertEqual(self.records(), [])
        for process in self.path.cluster.processes_by_name.values():
            self.assertIsNone(process.run_times)
