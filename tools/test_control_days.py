"""Tests of control_days.py: `python3 -m unittest discover tools`."""
import contextlib
import io
import pathlib
import tempfile
import unittest

import control_days


class DayFiles(unittest.TestCase):
    def test_the_committed_days_are_those_that_are_written(self):
        with tempfile.TemporaryDirectory() as directory, contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(control_days.main([directory]), 0)
            written = {path.name: path.read_text() for path in pathlib.Path(directory).iterdir()}
        committed = {path.name: path.read_text() for path in control_days.DEFAULT_DIRECTORY.iterdir()}
        self.assertGreaterEqual(len(written), 100)
        self.assertEqual(written, {name: committed.get(name) for name in written})

    def test_each_day_has_a_name_and_a_seed_of_its_own(self):
        days = [day for group in control_days.GROUPS for day in group()]
        self.assertEqual(len({day.name for day in days}), len(days))
        texts = control_days.day_files().values()
        seeds = {line for text in texts for line in text.splitlines() if line.startswith("seed = ")}
        self.assertEqual(len(seeds), len(texts))


if __name__ == "__main__":
    unittest.main()
