"""Run times by logarithmic buckets, with lower bounds and decay."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from cardamomcroft.runtimes import histogram

TIMES = strategies.floats(allow_nan=True, allow_infinity=True)
CHECKED = hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
BUCKET = 2 ** (1 / histogram.BUCKETS_PER_OCTAVE)


def of(times_s: list[float]) -> histogram.Histogram:
    """Return the histogram of finished runs."""
    known = histogram.Histogram()
    for time_s in times_s:
        known = known.add(time_s)
    return known


def quantile(known: histogram.Histogram, share: float) -> float:
    """Return a quantile without a prior."""
    found = histogram.distribution(known.done, known.bounds)
    return found.quantile_s(share)


class PropertyTest(unittest.TestCase):
    """Any sequence of times leaves a bounded, consistent value."""

    @CHECKED
    @hypothesis.given(
        strategies.lists(strategies.tuples(TIMES, strategies.booleans()))
    )
    def test_any_times_are_accepted_in_bounded_memory(self, observed):
        """Clocks that jump give negative, huge or undefined times."""
        known = histogram.Histogram()
        for time_s, is_bound in observed:
            add = known.add_bound if is_bound else known.add
            known = add(time_s)
        most = 1 / (1 - histogram.DECAY) + 1
        self.assertLessEqual(known.done_weight, most)
        self.assertLessEqual(known.weight, 2 * most)
        self.assertLessEqual(len(known.done) + len(known.bounds), 250)
        self.assertLessEqual(len(known.series), 125)

    @CHECKED
    @hypothesis.given(
        strategies.lists(strategies.floats(0.001, 1e5), min_size=1),
        strategies.floats(0, 1e5),
    )
    def test_quantiles_ascend_and_exceed_the_time_run(self, times, ran_s):
        """Otherwise a run could have a negative time left."""
        known = of(times)
        found = histogram.distribution(known.done, known.bounds)
        self.assertAlmostEqual(sum(s for _, s in found.shares), 1)
        values = [
            found.quantile_after_s(share, ran_s)
            for share in (0.01, 0.5, 0.75, 0.9, 0.99)
        ]
        self.assertEqual(values, sorted(values))
        self.assertGreaterEqual(values[0], ran_s * 0.999)

    @CHECKED
    @hypothesis.given(strategies.lists(strategies.floats(0.01, 1e4)))
    def test_quantiles_lie_within_a_bucket_of_the_runs(self, times):
        """The buckets must not distort the estimates."""
        times = times[: histogram.CHANGE_RUNS]
        if times:
            found = quantile(of(times), 0.5)
            self.assertLessEqual(min(times) / BUCKET, found)
            self.assertLessEqual(found, max(times) * BUCKET)


class BoundTest(unittest.TestCase):
    """Runs that were stopped are lower bounds."""

    def test_stopped_runs_do_not_shorten_the_estimate(self):
        """Of long runs more are stopped; left out, short ones remain."""
        source = random.Random(1)
        cut, without = histogram.Histogram(), histogram.Histogram()
        for _ in range(60):
            time_s = 10 * source.lognormvariate(0, 0.4)
            stop_s = source.uniform(2, 20)
            if stop_s < time_s:
                cut = cut.add_bound(stop_s)
            else:
                cut, without = cut.add(time_s), without.add(time_s)
        self.assertLess(quantile(without, 0.5), 9)
        self.assertAlmostEqual(quantile(cut, 0.5), 10, delta=1.5)

    def test_only_stopped_runs_give_a_longer_time(self):
        """A kind of which every run is stopped is long."""
        known = histogram.Histogram().add_bound(8.0).add_bound(4.0)
        self.assertGreater(quantile(known, 0.5), 8)


class ChangeTest(unittest.TestCase):
    """A queue's run times change at once."""

    def test_change_shows_within_ten_runs(self):
        """A day of old runs must not hide that work has changed."""
        for before_s, after_s in ((9, 2), (2, 9), (9, 4)):
            source = random.Random(2)
            known = of(
                [before_s * source.lognormvariate(0, 0.4) for _ in range(90)]
            )
            for _ in range(10):
                known = known.add(after_s * source.lognormvariate(0, 0.2))
            self.assertAlmostEqual(
                quantile(known, 0.5) / after_s, 1, delta=0.3
            )

    def test_single_long_runs_change_little(self):
        """Three in a hundred take seven times as long."""
        source = random.Random(3)
        known = of([
            9 * source.lognormvariate(0, 0.3) * (7 if n % 33 == 0 else 1)
            for n in range(200)
        ])  # fmt: skip
        self.assertAlmostEqual(quantile(known, 0.5), 9, delta=1.5)
        self.assertGreater(quantile(known, 0.99), 30)


if __name__ == "__main__":
    unittest.main()
