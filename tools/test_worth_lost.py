"""Tests of worth_lost.py: `python3 -m unittest discover tools`."""
import contextlib
import io
import pathlib
import tempfile
import unittest

import worth_lost


def report(worth, late):
    """A report of the bench with two kinds of requests and two windows of 100 requests each."""
    row = {"n": 100, "late": late, "refused": 2, "failed": 1, "worth": worth}
    return {
        "parts": [["whole day", 0.6, worth], ["nines", 0.4, 0.5]],
        "prices": [["machine-seconds", 5.0, 0.1]],
        "classes": [{"name": "draft", **row}, {"name": "check", **row, "worth": 1.0}],
        "windows": [{"name": "0", **row}, {"name": "2", **row, "worth": worth - 0.1}],
        "unserved_by": [["503", 2, ["1.0 s  sent"]], ["deadline", late, ["2.0 s  sent"]]],
    }


class Tables(unittest.TestCase):
    reports = [report(0.9, 4), report(0.7, 8)]

    def test_parts_and_prices_are_means_over_the_reports(self):
        lost = dict(worth_lost.loss_by_part(self.reports))
        self.assertAlmostEqual(lost["whole day"], 0.6 * 0.2)
        self.assertAlmostEqual(lost["nines"], 0.2)
        self.assertAlmostEqual(lost["price: machine-seconds"], 0.1)

    def test_kinds_are_summed_and_the_largest_loss_comes_first(self):
        first, second = worth_lost.totals_by_kind(self.reports)
        counts = (first.kind, first.requests, first.late, first.rejected, first.failed)
        self.assertEqual(counts, ("draft", 200, 12, 4, 2))
        self.assertAlmostEqual(first.loss, 0.2)
        self.assertEqual(second.kind, "check")

    def test_last_outcomes_are_counted_with_the_first_trace(self):
        self.assertEqual(
            worth_lost.last_outcomes(self.reports)[0],
            worth_lost.LastOutcome("deadline", ["2.0 s  sent"], 12),
        )

    def test_the_window_that_lost_most_comes_first(self):
        named = [worth_lost.NamedReport("a", self.reports[0]), worth_lost.NamedReport("b", self.reports[1])]
        worst = worth_lost.worst_windows(named)[0]
        counts = (worst.report, worst.start_s, worst.requests, worst.unserved, worst.late)
        self.assertEqual(counts, ("b", "2", 100, 3, 8))

    def test_a_file_that_is_no_report_is_reported_in_one_line(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "x.json"
            path.write_text("{")
            errors = io.StringIO()
            with contextlib.redirect_stderr(errors):
                self.assertEqual(worth_lost.main([str(path)]), 1)
            self.assertEqual(len(errors.getvalue().splitlines()), 1)


if __name__ == "__main__":
    unittest.main()
