"""No round overlooks room that nothing keeps."""

import dataclasses
import os
import random
import unittest

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import standing_reasons
from tests.placement import play as plays

SEEDS = int(os.environ.get("CARDAMOMCROFT_SEEDS", "6"))
RACKS = ("r0", "r1", "r2")
PLAYED_S = 40
SUBMISSION_PROBABILITY = 0.15  # a round


def make_workers() -> list[runs.Worker]:
    """Return the workers of three racks."""
    return [plays.make_worker(f"w{n}", RACKS[n % 3]) for n in range(24)]


def draw_step(rng: random.Random) -> tuple[models.Step, int]:
    """Return a step, one of a few demands, and its job's priority."""
    kind = rng.choices(("urgent", "large", "small"), (4, 2, 3))[0]
    if kind == "urgent":
        accelerators = rng.choice((1, 2, 4, 8))
        step = plays.make_step(rng.randint(1, 8), accelerators, 2.5)
        is_gang = rng.random() < 0.5
        return dataclasses.replace(step, is_gang=is_gang), 0
    if kind == "large":
        step = dataclasses.replace(
            plays.make_step(rng.randint(1, 8), rng.choice((2, 4, 8)), 8),
            demand=models.Demand(26_000, 53_000, rng.choice((2, 4, 8))),
            is_gang=True,
            is_rack_local=rng.random() < 0.6,
        )
        return step, 1
    step = dataclasses.replace(
        plays.make_step(rng.randint(1, 40), 1, 6),
        spread_limit=rng.choice((0, 0, 0, 1, 2)),
        data_rack=rng.choice(("", "", *RACKS)),
        is_filling=rng.random() < 0.2,
    )
    return step, 2


class WatchedPlay(plays.Play):
    """A play that looks for overlooked room after each round."""

    def __init__(self, plans_ahead: bool) -> None:
        """Start with idle workers."""
        super().__init__(make_workers(), plans_ahead)
        self.unused: list[tuple[float, standing_reasons.Cause]] = []

    def plan(self) -> plans.Plan:
        """Plan a round and look at the room that it leaves."""
        plan = super().plan()
        # What stops free here at once, only the next round can use.
        if not plan.stops:
            now_s = self.now.total_seconds()
            self.unused.extend((now_s, c) for c in self._unused_rooms())
        return plan

    def _unused_rooms(self) -> list[standing_reasons.Cause]:
        """Return the causes of waiting jobs for which there is room."""
        causes = []
        for job in self.jobs:
            (step,) = job.steps_by_key.values()
            if step.waiting and not step.runs_by_index:
                # A room for each step, as it allows a few searches only.
                causes.append(self.room().cause(step))
        unused = standing_reasons.Reason.ROOM_UNUSED
        return [cause for cause in causes if cause.reason is unused]


class RoomUsedTest(unittest.TestCase):
    """Jobs of few demands wait beside each other, as those of one queue."""

    def test_no_room_is_overlooked(self):
        """Jobs stood as one of the same demand had reached its spread."""
        for plans_ahead in (False, True):
            for seed in range(SEEDS):
                with self.subTest(plans_ahead=plans_ahead, seed=seed):
                    self.check_play(plans_ahead, random.Random(seed))

    def check_play(self, plans_ahead: bool, rng: random.Random) -> None:
        """Check that no round of a play leaves room to no purpose."""
        play = WatchedPlay(plans_ahead)

        def script() -> None:
            if rng.random() < SUBMISSION_PROBABILITY:
                step, priority = draw_step(rng)
                play.submit(step, priority=priority)

        play.run(PLAYED_S, script)
        self.assertEqual(play.unused[:3], [], len(play.unused))
        self.assertTrue(play.started)
