"""The reason for a wait beside room is the one of the round."""

import unittest

from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import standing_reasons
from tests.placement import play as plays
from tests.scheduling import harness


class HeadroomTest(unittest.TestCase):
    """Workers that a round kept for urgent jobs."""

    def setUp(self):
        """Let a round keep the worker that leaves, of two with room.

        The other has more accelerators free, and too little memory.
        """
        self.play = plays.Play(
            [plays.make_worker("w0"), plays.make_worker("w1")]
        )
        self.play.headroom.mean_accelerators = 4 / headroom.HEADROOM_JOBS
        self.add_run("w0", models.Demand(4_000, 4_096, 4))
        self.add_run("w1", models.Demand(4_000, 131_072, 0))
        workers = self.play.workers_by_id.values()
        now = self.play.now
        free_workers = [capacities.free_worker(w, now) for w in workers]
        kept_ids = self.play.headroom.headroom_workers(
            free_workers, 100, {"w0"}
        )
        self.assertEqual(kept_ids, {"w0"})

    def add_run(self, worker_id: str, demand: models.Demand) -> None:
        """Put a task at work on a worker."""
        job = self.play.submit(models.Step(1, demand, harness.seconds(30)))
        plays.occupy(self.play, self.play.workers_by_id[worker_id], job)

    def cause_of(self, priority: int) -> standing_reasons.Cause:
        """Return why a job of one small task waits."""
        job = self.play.submit(plays.make_step(), priority=priority)
        return self.play.room().cause(job.steps_by_key[0, 0])

    def test_room_that_the_round_kept_is_not_called_unused(self):
        """The workers were chosen anew, without those expected to leave."""
        cause = self.cause_of(priority=1)
        self.assertIs(cause.reason, standing_reasons.Reason.HELD_WORKERS)
        self.assertEqual((cause.held, cause.headroom), (0, 1))

    def test_room_that_urgent_jobs_may_use_is_called_unused(self):
        """It is kept for them, so no round should leave it."""
        cause = self.cause_of(priority=0)
        self.assertIs(cause.reason, standing_reasons.Reason.ROOM_UNUSED)
        self.assertEqual(cause.fitting, 4)
