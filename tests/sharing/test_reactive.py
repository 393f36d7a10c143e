"""Where scheduling does not plan ahead, every decision is as before."""

import unittest

from tests.sharing import synthetic

# Of 150 rounds on commit b82830f, before any part of the package sharing.
DIGESTS = {
    (1, 40): "330d420ccaacf4a7",
    (2, 40): "485fe122b2efa6df",
    (3, 16): "a18909fbf2dd1710",
    (4, 100): "7676539f42cb5854",
}


class ReactiveTest(unittest.TestCase):
    """Rounds of a synthetic cluster under overload."""

    def test_decisions_are_those_of_before(self):
        """A change for slow stops that reaches other deployments fails."""
        for (seed, workers), expected in DIGESTS.items():
            play = synthetic.Play(seed, workers, workers)
            for _ in range(150):
                play.step()
            self.assertGreater(play.counts["stops"], 10)
            with self.subTest(seed=seed):
                self.assertEqual(play.digest(), expected)
