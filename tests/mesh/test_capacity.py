"""The arithmetic of the capacity page: linear fits, their confidence intervals, and the figures derived from them."""

from __future__ import annotations

import math
import random
import unittest
from pathlib import Path

from benchmarks.capacity_plan import BANDWIDTH, Row, figure, fill, read_measured
from benchmarks.fitting import NORMAL, Line, fit, student
from mesh.cases import params

ROOT = Path(__file__).parents[2]
TRIALS = 400


class Fitting(unittest.TestCase):
    def test_points_on_a_line(self) -> None:
        line = fit([(x, 7.0 + 0.5 * x) for x in (15, 50, 100, 300)])
        self.assertAlmostEqual(line.slope, 0.5)
        self.assertAlmostEqual(line.interval, 0.0)
        self.assertAlmostEqual(line.at(34_000), 17_007.0)
        self.assertEqual((line.least_x, line.most_x, line.points), (15, 300, 4))

    def test_hand_calculated_example(self) -> None:
        """Slope 2, residuals 1, -2, 1: sum of squares 6, 1 degree of freedom, variation of x 2."""
        line = fit([(0, 1.0), (1, 0.0), (2, 5.0)])
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.interval, 12.706 * math.sqrt(6 / 2))
        self.assertAlmostEqual(line.intercept_interval, 12.706 * math.sqrt(6 * (1 / 3 + 1 / 2)))

    def test_interval_covers_the_slope_at_its_confidence_level(self) -> None:
        rng = random.Random(5)
        covered = 0
        for _ in range(TRIALS):
            line = fit([(x, 3.0 + 2.0 * x + rng.gauss(0.0, 4.0)) for x in (1, 2, 4, 8) for _ in range(3)])
            covered += abs(line.slope - 2.0) <= line.interval
        self.assertTrue(0.92 < covered / TRIALS < 0.98, covered / TRIALS)

    @params(([(1, 1.0), (2, 2.0)],), ([(1, 1.0), (1, 2.0), (1, 3.0)],))
    def test_too_few_points_for_an_interval(self, points: list[tuple[float, float]]) -> None:
        with self.assertRaises(ValueError):
            fit(points)

    def test_error_grows_with_the_distance(self) -> None:
        line = Line(2.0, 0.5, 1.0, 3.0, 12, 0.0, 10.0)
        self.assertEqual(line.error_at(0.0), 3.0)
        self.assertEqual(line.error_at(-100.0), line.error_at(100.0))
        self.assertEqual(line.error_at(100.0), 53.0)

    @params((0, math.inf), (1, 12.706), (30, 2.042), (31, NORMAL))
    def test_student(self, freedom: int, expected: float) -> None:
        self.assertEqual(student(freedom), expected)


class Rows(unittest.TestCase):
    @params((2900.0, 0.0, "yes"), (2900.0, 200.0, "**no**"), (3001.0, 0.0, "**no**"))
    def test_bound_holds_including_the_error(self, value: float, error: float, holds: str) -> None:
        self.assertEqual(Row("x", value, "B/s", "", BANDWIDTH, error).cells()[3], holds)

    def test_no_verdict_without_a_bound(self) -> None:
        self.assertEqual(Row("x", 1.0, "B/s", "").cells()[2:4], ("", ""))

    @params((0.0, "0"), (0.01234, "0.0123"), (99.96, "100"), (34_000.0, "34,000"))
    def test_figures(self, value: float, text: str) -> None:
        self.assertEqual(figure(value), text)


class Page(unittest.TestCase):
    def test_table_is_filled_in_between_its_marks(self) -> None:
        page = "a\n<!-- table: x -->\nold\nolder\n<!-- end -->\nb\n<!-- table: y -->\n<!-- end -->\n"
        filled = "a\n<!-- table: x -->\nnew\n<!-- end -->\nb\n<!-- table: y -->\n1\n<!-- end -->\n"
        self.assertEqual(fill(page, {"x": "new", "y": "1"}), filled)
        self.assertEqual(fill(filled, {"x": "new", "y": "1"}), filled)

    def test_mark_of_an_unknown_table(self) -> None:
        with self.assertRaises(KeyError):
            fill("<!-- table: z -->\n<!-- end -->", {})

    def test_page_contains_the_measured_tables(self) -> None:
        measured = read_measured((ROOT / "benchmarks" / "capacity.json").read_text())
        page = (ROOT / "docs" / "CAPACITY.md").read_text()
        self.assertEqual(fill(page, measured.tables), page)
        for name in measured.tables:
            self.assertIn(f"<!-- table: {name} -->", page)


if __name__ == "__main__":
    unittest.main()
