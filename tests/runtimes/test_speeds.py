"""Workers' speeds, and the limit on what one worker contributes."""

import random
import unittest

from cardamomcroft.runtimes import sources
from cardamomcroft.runtimes import speeds

KIND = ("gpu", 64)


def learn(steps: int, slow: float, seed: int = 1) -> speeds.Speeds:
    """Return the speeds after steps of eight tasks, one on the slow w0."""
    source = random.Random(seed)
    found = speeds.Speeds()
    for _ in range(steps):
        times = [
            (f"w{n}", source.uniform(0.85, 1.15) * (1 if n else slow))
            for n in range(8)
        ]
        found = found.observe(times, lambda _: KIND)
    return found


class SpeedTest(unittest.TestCase):
    """Tasks of a step differ by 15% either way; workers by a quarter."""

    def test_few_steps_change_nothing(self):
        """Four slow tasks in a row happen on any worker."""
        found = learn(speeds.MIN_STEPS - 1, 1.25)
        self.assertEqual(found.speed("w0", KIND), 1.0)

    def test_slow_worker_is_found_after_many_steps(self):
        """Placement cannot use a speed that stays at 1."""
        found = learn(40, 1.25)
        self.assertAlmostEqual(found.speed("w0", KIND), 0.8, delta=0.06)
        self.assertAlmostEqual(found.speed("w3", KIND), 1.0, delta=0.06)

    def test_replaced_worker_starts_with_its_kind(self):
        """It comes under another id."""
        found = speeds.Speeds()
        for _ in range(30):
            times = [("new1", 1.3), *((f"o{n}", 1.0) for n in range(4))]
            found = found.observe(times, lambda name: (name[0],))
        self.assertAlmostEqual(found.speed("new2", ("n",)), 1 / 1.3, delta=0.1)
        self.assertEqual(found.speed("unknown", ("other",)), 1.0)

    def test_worker_of_another_kind_under_its_id_starts_anew(self):
        """Its hardware has changed."""
        found = learn(40, 1.25)
        self.assertEqual(found.speed("w0", ("other",)), 1.0)

    def test_single_extreme_runs_change_little(self):
        """Three runs in a hundred take seven times as long."""
        found = learn(40, 1.0)
        found = found.observe(
            [("w1", 7.0), ("w2", 1.0), ("w3", 1.0)], lambda _: KIND
        )
        self.assertAlmostEqual(found.speed("w1", KIND), 1.0, delta=0.06)


class SourceTest(unittest.TestCase):
    """One worker ends everything at once."""

    def test_worker_with_most_ends_contributes_a_fifth(self):
        """It ends forty runs for each one of the others."""
        found = sources.Sources()
        totals = {"bad": 0.0, "good": 0.0}
        for number in range(2_000):
            name = f"w{number % 13}" if number % 40 == 0 else "bad"
            found, weight = found.accept(name, 1.0)
            if number > 500:
                totals["bad" if name == "bad" else "good"] += weight
        share = totals["bad"] / sum(totals.values())
        self.assertLess(share, sources.MAX_SHARE * 1.5)

    def test_few_workers_contribute_everything(self):
        """A deployment of two workers has to learn as well."""
        found = sources.Sources()
        for number in range(200):
            found, weight = found.accept(f"w{number % 2}", 1.0)
            self.assertGreater(weight, 0.9)


if __name__ == "__main__":
    unittest.main()
