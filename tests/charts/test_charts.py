"""Check the structure of every state chart."""

import unittest

from cardamomcroft.charts import loading


class ChartTest(unittest.TestCase):
    """Check that charts have no dead ends and no unreachable states."""

    def test_every_state_is_reachable_and_can_end(self):
        for name in loading.CHART_NAMES:
            with self.subTest(name):
                chart = loading.load(name)
                edges = chart.edges()
                reached = {chart.initial}
                for _ in chart.states:
                    reached |= {
                        dest for _, source, dest in edges if source in reached
                    }
                self.assertEqual(set(chart.states), reached)
                ending = set(chart.final)
                for _ in chart.states:
                    ending |= {
                        source for _, source, dest in edges if dest in ending
                    }
                self.assertEqual(set(chart.states), ending)

    def test_nothing_leaves_a_final_state(self):
        for name in loading.CHART_NAMES:
            chart = loading.load(name)
            for trigger, source, _ in chart.edges():
                self.assertNotIn(source, chart.final, (name, trigger))

    def test_chart_names_match_files(self):
        for name in loading.CHART_NAMES:
            self.assertEqual(name, loading.load(name).name)
