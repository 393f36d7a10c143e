"""Kinds of runs: hierarchy, declared times, and misleading accounts."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from cardamomcroft.runtimes import histogram
from cardamomcroft.runtimes import kinds

CHECKED = hypothesis.settings(derandomize=True, max_examples=30, deadline=None)


def subject(
    account: str = "a", declared_s: float = 5.0, image: str = "i"
) -> kinds.Subject:
    """Return what is known of a run of the queue."""
    return kinds.Subject(account, "q", "1000/1024/8/gang", image, declared_s)


def learn(
    known: kinds.Kinds, about: kinds.Subject, times_s: list[float]
) -> kinds.Kinds:
    """Return the kinds after finished runs."""
    for time_s in times_s:
        known = known.observe(about, time_s, 1.0)
    return known


def median(known: kinds.Kinds, about: kinds.Subject) -> float:
    """Return the median that an account's run is expected to take."""
    return known.estimate(about).quantile_s(0.5)


def spread_times(median_s: float, count: int, seed: int = 1) -> list[float]:
    """Return run times around a median."""
    source = random.Random(seed)
    return [median_s * source.lognormvariate(0, 0.3) for _ in range(count)]


class HierarchyTest(unittest.TestCase):
    """Kinds with little evidence lean on wider ones."""

    def test_nothing_known_gives_the_declared_time(self):
        """The first job of a deployment has nothing else."""
        found = kinds.Kinds().estimate(subject(declared_s=8.0))
        self.assertAlmostEqual(found.quantile_s(0.5), 8.0, delta=0.7)
        self.assertIsNone(kinds.Kinds().estimate(subject(declared_s=0)))

    def test_own_runs_override_wrong_declared_times(self):
        """Declared times may be wrong by 90%."""
        known = learn(kinds.Kinds(), subject(), spread_times(10, 20))
        self.assertAlmostEqual(median(known, subject()), 10, delta=2)

    def test_new_image_takes_the_queue_s_times(self):
        """An image without runs is expected to be as others of the queue."""
        known = learn(
            kinds.Kinds(), subject(declared_s=0), spread_times(10, 20)
        )
        new = subject(declared_s=0, image="new")
        self.assertAlmostEqual(median(known, new), 10, delta=2)

    def test_image_of_its_own_kind_departs_from_the_queue(self):
        """Ten runs of an image count more than the queue's others."""
        known = learn(
            kinds.Kinds(), subject(declared_s=0), spread_times(10, 40)
        )
        other = subject(declared_s=0, image="short")
        known = learn(known, other, spread_times(2, 10))
        self.assertLess(median(known, other), 3.5)
        self.assertGreater(median(known, subject(declared_s=0)), 7)

    def test_exact_declared_times_narrow_the_estimate(self):
        """An account that declares well is believed for each job."""
        source = random.Random(4)
        known = kinds.Kinds()
        for _ in range(60):
            actual = 6 * source.lognormvariate(0, 1.0)
            known = known.observe(subject(declared_s=actual), actual, 1.0)
        for declared in (2.0, 6.0, 18.0):
            found = median(known, subject(declared_s=declared))
            self.assertAlmostEqual(found / declared, 1, delta=0.25)

    def test_stopped_runs_lengthen_the_estimate(self):
        """A kind whose runs are stopped at 20 s takes longer than 5 s."""
        known = kinds.Kinds()
        for _ in range(6):
            known = known.observe_stopped(subject(), 20.0, 1.0)
        self.assertGreater(median(known, subject()), 10)


class MisleadingTest(unittest.TestCase):
    """One account's runs say nothing reliable."""

    def test_another_account_s_evidence_counts_for_half_at_most(self):
        """All of a flood's runs end at once; others have run eight times."""
        known = learn(kinds.Kinds(), subject("b", 0), spread_times(10, 8))
        before = median(known, subject("b", 0))
        known = learn(known, subject("flood", 0), [0.001] * 500)
        after = median(known, subject("b", 0))
        self.assertGreater(after, before * 0.6)

    def test_account_without_runs_keeps_half_of_the_declared_time(self):
        """Only the flooding account has run so far."""
        known = learn(kinds.Kinds(), subject("flood", 0), [0.001] * 500)
        found = known.estimate(subject("b", 10.0))
        self.assertGreater(found.quantile_s(0.5), 3)

    def test_thousand_names_evict_only_their_own(self):
        """An account that invents images must not use up the room."""
        known = learn(kinds.Kinds(), subject("b", 0), spread_times(10, 8))
        before = median(known, subject("b", 0))
        for number in range(1_000):
            about = subject("flood", 1.0, f"image {number}")
            known = known.observe(about, 0.1, 1.0)
        self.assertLessEqual(len(known.by_key), kinds.MAX_KINDS)
        owned = [k for k in known.by_key.values() if k.owner == "flood"]
        self.assertLessEqual(len(owned), kinds.MAX_KINDS_PER_ACCOUNT)
        self.assertGreater(median(known, subject("b", 0)), before * 0.6)

    @CHECKED
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.integers(0, 400),
                strategies.floats(allow_nan=True),
                strategies.floats(0, 1e6),
                strategies.booleans(),
            )
        )
    )
    def test_any_evidence_gives_bounded_consistent_estimates(self, observed):
        """No run time or declared time may break a later estimate."""
        known = kinds.Kinds()
        for account, image, actual_s, declared_s, is_stopped in observed:
            about = subject(account, declared_s, f"image {image}")
            if is_stopped:
                known = known.observe_stopped(about, actual_s, 0.5)
            else:
                known = known.observe(about, actual_s, 0.5)
        self.assertLessEqual(len(known.by_key), kinds.MAX_KINDS)
        found = known.estimate(subject("a", 3.0))
        self.assertAlmostEqual(sum(s for _, s in found.shares), 1, places=6)
        self.assertLessEqual(found.quantile_s(0.5), found.quantile_s(0.9))

    def test_accounts_of_a_kind_are_bounded(self):
        """A shared kind keeps the accounts with the most evidence."""
        known = kinds.Kinds()
        for number in range(200):
            known = known.observe(subject(f"account {number}"), 3.0, 1.0)
        for kind in known.by_key.values():
            self.assertLessEqual(
                len(kind.by_account), kinds.MAX_ACCOUNTS_PER_KIND
            )
        self.assertLessEqual(
            max(k.weight for k in known.by_key.values()),
            2 * kinds.MAX_ACCOUNTS_PER_KIND / (1 - histogram.DECAY),
        )


if __name__ == "__main__":
    unittest.main()
