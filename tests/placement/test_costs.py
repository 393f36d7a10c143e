"""The placements of a scheduler that does not plan ahead stay as they were."""

import random
import unittest
from unittest import mock

from cardamomcroft.placement import costs
from cardamomcroft.placement import failing
from cardamomcroft.placement import least_waste
from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from tests.placement import play as plays


def former_best(step, demand, free_workers, counts):
    """Choose as all versions before this package did."""
    best, best_cost = None, None
    for worker in free_workers:
        if not demand.fits(worker.free):
            continue
        limit = step.spread_limit
        if limit and counts.get(worker.worker_id, 0) >= limit:
            continue
        cost = (
            worker.strikes,
            worker.free.accelerators - demand.accelerators,
            worker.free.milli_cores,
        )
        if best_cost is None or cost < best_cost:
            best, best_cost = worker, cost
    return best


def former_place(step, count, free_workers, counts):
    """Place tasks as all versions before this package did."""
    demand = placing.demand_of(step)
    placed, counts = [], dict(counts)
    while len(placed) < count:
        best = former_best(step, demand, free_workers, counts)
        if best is None:
            break
        best.free = best.free.minus(demand)
        counts[best.worker_id] = counts.get(best.worker_id, 0) + 1
        placed.append(best)
    return placed


def former_place_gang(step, free_workers, may_span_racks):
    """Place a gang as all versions before this package did."""
    groups = [free_workers]
    if step.is_rack_local and not may_span_racks:
        by_rack = {}
        for worker in free_workers:
            by_rack.setdefault(worker.rack, []).append(worker)
        groups = sorted(
            by_rack.values(),
            key=lambda rack: sum(worker.free.accelerators for worker in rack),
        )
    for group in groups:
        placed = former_place(step, step.width, group, {})
        if len(placed) == step.width:
            return placed
        for worker in placed:
            worker.free = worker.free.plus(placing.demand_of(step))
    return []


def make_free(rng: random.Random, count: int) -> list[placing.FreeWorker]:
    """Return workers with free capacity of all kinds."""
    return [
        placing.FreeWorker(
            f"w{number}",
            models.Demand(
                rng.randrange(0, 64_001, 8_000),
                rng.randrange(0, 131_072, 8_192),
                rng.randrange(-1, 9),
            ),
            f"r{rng.randrange(4)}",
            frozenset(),
            "svc",
            rng.choice((0, 0, 0, 1, 2)),
        )
        for number in range(count)
    ]


class FormerPlacementTest(unittest.TestCase):
    """Steps of all kinds on workers of all kinds."""

    def test_best_fit_decides_as_before(self):
        """The cost as a strategy must not change any placement."""
        for seed in range(200):
            rng = random.Random(seed)
            pool, former = (
                make_free(random.Random(seed), 20) for _ in range(2)
            )
            for _ in range(8):
                step = plays.make_step(
                    rng.randint(1, 6),
                    rng.randint(0, 8),
                    is_gang=rng.random() < 0.5,
                    is_rack_local=rng.random() < 0.5,
                    is_filling=rng.random() < 0.2,
                    spread_limit=rng.choice((0, 0, 1, 2)),
                )
                spans = rng.random() < 0.3
                workers = placing.WorkerPool(pool)
                if step.is_gang:
                    placed = workers.place_gang(step, pool, spans)
                    expected = former_place_gang(step, former, spans)
                else:
                    placed = workers.place(step, step.width, pool, {})
                    expected = former_place(step, step.width, former, {})
                self.assertEqual(
                    [worker.worker_id for worker in placed],
                    [worker.worker_id for worker in expected],
                    f"seed {seed}",
                )

    def test_ranks_and_speeds_refuse_no_gang(self):
        """What the best fit places is placed with any ranks and speeds."""
        found = 0
        for seed in range(300):
            rng = random.Random(seed)
            step = plays.make_step(
                rng.randint(1, 6),
                rng.randint(0, 8),
                is_gang=True,
                is_rack_local=rng.random() < 0.5,
                is_filling=rng.random() < 0.2,
                spread_limit=rng.choice((0, 0, 1, 2)),
            )
            spans = rng.random() < 0.3
            pool, former = (
                make_free(random.Random(seed), 20) for _ in range(2)
            )
            ids = [worker.worker_id for worker in pool]
            cost = least_waste.LeastWaste(
                {name: rng.randint(0, 12) for name in ids},
                least_waste.Racks.of(pool),
                {name: rng.randint(8, 12) for name in ids}
                if rng.random() < 0.5
                else {},
                rng.random() < 0.5,
            )
            placed = placing.WorkerPool(pool).place_gang(
                step, pool, spans, cost
            )
            expected = former_place_gang(step, former, spans)
            self.assertEqual(len(placed), len(expected), f"seed {seed}")
            found += bool(placed)
        self.assertTrue(50 < found < 250, found)

    def test_planner_ignores_the_outlook(self):
        """Unless it plans ahead, what is expected changes nothing."""
        for plans_ahead in (False, True):
            with self.subTest(plans_ahead=plans_ahead):
                play = plays.Play(
                    [plays.make_worker(f"w{n}") for n in range(4)],
                    plans_ahead,
                )
                leaving = outlooks.Departure(
                    frozenset({"w0"}), frozenset(), 1.0
                )
                outlook = outlooks.Outlook({"svc": leaving})
                play.history = mock.Mock()
                play.history.observe.return_value = outlook
                play.submit(plays.make_step(run_s=9))
                (start,) = play.plan().starts
                self.assertEqual(
                    start.worker_id, "w1" if plans_ahead else "w0"
                )


class FormerBestFit(placing.PlacementCost):
    """Choose workers as all versions before this package did."""

    def best(self, step, demand, free_workers, count_by_worker):
        """Return the former choice."""
        return former_best(step, demand, free_workers, count_by_worker)


class FormerCosts(costs.RoundCosts):
    """Use the former choice for every step."""

    def of(self, step):
        """Return the former cost."""
        return FormerBestFit()


def play_mixture(seed: int) -> list[tuple[str, int, str]]:
    """Return the starts of a play of everything that this package is about.

    The scheduler does not plan ahead.
    """
    rng = random.Random(seed)
    workers = [
        plays.make_worker(f"w{n}", f"r{n % 3}", rng.choice(("v1", "v2")))
        for n in range(9)
    ]
    play = plays.Play(
        workers,
        plans_ahead=False,
        speeds_by_worker={f"w{n}": (0.8, 1.0, 1.25)[n % 3] for n in range(9)},
    )

    def script() -> None:
        worker = rng.choice(workers)
        if rng.random() < 0.02:
            play.drain(worker, 2)
        elif rng.random() < 0.05:
            play.replace(worker, "v2")
        if rng.random() < 0.25:
            step = plays.make_step(
                rng.randint(1, 4),
                rng.randint(0, 8),
                rng.uniform(1, 9),
                is_gang=rng.random() < 0.6,
                is_rack_local=rng.random() < 0.5,
            )
            job = play.submit(step, priority=rng.randint(0, 2))
            if rng.random() < 0.3:
                play.failing.add(job.job.job_id)

    play.run(40, script)
    return [
        (start.step.job.job.job_id, start.index, start.worker_id)
        for start in play.started
    ]


class ReactivePlayTest(unittest.TestCase):
    """Whole rounds of a scheduler that does not plan ahead."""

    def test_starts_are_those_of_former_versions(self):
        """The same tasks start in the same order on the same workers."""
        for seed in range(4):
            starts = play_mixture(seed)
            self.assertGreater(len(starts), 100)
            with (
                mock.patch.object(
                    costs, "make", autospec=True, return_value=FormerCosts()
                ),
                mock.patch.object(
                    failing.FailingGangs, "examine", autospec=True
                ) as examine,
                mock.patch.object(
                    failing.FailingGangs, "order", autospec=True
                ) as order,
            ):
                self.assertEqual(play_mixture(seed), starts, f"seed {seed}")
            examine.assert_not_called()
            order.assert_not_called()
