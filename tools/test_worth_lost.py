"""Tests of worth_lost.py: `python3 -m unittest discover tools`."""
import contextlib
import io
import pathlib
import tempfile
import unittest

import worth_lost


def report(worth, late):
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
        lost = dict(worth_lost.by_part(self.reports))
        self.assertAlmostEqual(lost["whole day"], 0.6 * 0.2)
        self.assertAlmostEqual(lost["nines"], 0.2)
        self.assertAlmostEqual(lost["price: machine-seconds"], 0.1)

    def test_kinds_are_summed_and_the_dearest_comes_first(self):
        first, second = worth_lost.by_kind(self.reports)
        self.assertEqual(first[:5], ("draft", 200, 12, 4, 2))
        self.assertAlmostEqual(first[5], 0.2)
        self.assertEqual(second[0], "check")

    def test_last_tries_are_counted_with_the_first_trace(self):
        self.assertEqual(worth_lost.by_last_try(self.reports)[0], ("deadline", 12, ["2.0 s  sent"]))

    def test_the_moment_that_lost_most_comes_first(self):
        rows = worth_lost.by_moment([("a", self.reports[0]), ("b", self.reports[1])])
        self.assertEqual(rows[0][:5], ("b", "2", 100, 3, 8))

    def test_a_file_that_is_no_report_is_told_in_one_line(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "x.json"
            path.write_text("{")
            told = io.StringIO()
            with contextlib.redirect_stderr(told):
                self.assertEqual(worth_lost.main([str(path)]), 1)
            self.assertEqual(len(told.getvalue().splitlines()), 1)


if __name__ == "__main__":
    unittest.main()
