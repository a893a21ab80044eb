"""Tests of fleet_counts.py: `python3 -m unittest discover tools`."""
import contextlib
import io
import pathlib
import tempfile
import unittest

import fleet_counts

LOG = """\
Dec 02 15:00:00.000 INFO started, at: 1
Dec 02 15:00:00.000 DEBG without a time, request: 1
Dec 02 15:00:00.000 DEBG server listed, started: None, zone: 0, phase: Ready, server: 00aa, at: 1000000
Dec 02 15:00:00.000 DEBG request arrived, request: 1, at: 1000100
Dec 02 15:00:00.000 DEBG attempt sent, server: 00aa, attempt: 0, request: 1, at: 1002100
Dec 02 15:00:00.000 DEBG attempt ended, outcome: Timeout, server: 00aa, attempt: 0, request: 1, at: 1003000
Dec 02 15:00:00.000 DEBG attempt sent, server: 00aa, attempt: 1, request: 1, at: 1004000
Dec 02 15:00:00.000 DEBG attempt ended, outcome: Ok, server: 00aa, attempt: 1, request: 1, at: 1005000
Dec 02 15:00:00.000 DEBG request answered, answer: served, request: 1, at: 1005000
Dec 02 15:00:01.500 DEBG request arrived, request: 2, at: 2500000
Dec 02 15:00:01.500 DEBG request answered, answer: rejected, request: 2, at: 2503300
Dec 02 15:00:01.500 DEBG health check ended, outcome: Ok, server: 00aa, at: 2503400
Dec 02 15:00:01.500 DEBG client disconnected, request: 1, at: 2503500
"""


class Counts(unittest.TestCase):
    def counts(self):
        """The counts over two proxies; the second received the list of servers 2 s after the first."""
        with tempfile.TemporaryDirectory() as directory:
            (pathlib.Path(directory) / "n0.log").write_text(LOG)
            later = "x DEBG server listed, started: None, zone: 0, phase: Ready, server: 00aa, at: 3000000\n"
            (pathlib.Path(directory) / "n1.log").write_text(later)
            return fleet_counts.FleetCounts(fleet_counts.read_records(directory), 1.0)

    def test_lines_without_a_time_or_of_another_level_are_no_records(self):
        records = [fleet_counts.parse_record(line, "n0") for line in LOG.splitlines()]
        self.assertEqual(records[:2], [None, None])
        self.assertNotIn(None, records[2:])

    def test_requests_attempts_and_health_checks_are_counted_by_step(self):
        counts = self.counts()
        first = {"asked": 1, "sent": 2, "Timeout": 1, "Ok": 1, "served": 1}
        second = {"asked": 1, "rejected": 1, "probes": 1, "left": 1}
        self.assertEqual(counts.steps, {0: first, 1: second, 2: {}})

    def test_the_wait_before_the_first_attempt_and_the_time_to_a_rejection_are_measured(self):
        counts = self.counts()
        self.assertEqual(counts.waits_us_by_step, {0: [2000]})
        self.assertEqual(counts.rejected_after_ms, [3])

    def test_a_change_is_followed_from_the_first_to_the_last_proxy(self):
        expected = fleet_counts.Propagation("Ready", first_s=0.0, median_s=2.0, last_s=2.0, proxies=2, zone="0")
        self.assertEqual(self.counts().propagations(), {expected: 1})

    def test_a_directory_without_records_is_reported(self):
        with tempfile.TemporaryDirectory() as directory, contextlib.redirect_stderr(io.StringIO()) as errors:
            self.assertEqual(fleet_counts.main([directory]), 1)
        self.assertIn("no debug records", errors.getvalue())


if __name__ == "__main__":
    unittest.main()
