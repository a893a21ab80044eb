"""Tests of site_variant.py: `python3 -m unittest discover tools`."""
import contextlib
import io
import pathlib
import tempfile
import unittest

import site_variant

SITE = """name = "harbour"
services = [{ load_header = false, cold_per_s = 22.0, prefill_tokens_per_ms = 140.0 }]
classes = [{ aim_ms = 600, gap_aim_ms = 400, prompt_tokens = { mean = 1000.0, spread = 1.4 } }]
[net]
cross_region_ms = 12.0
"""


class Variants(unittest.TestCase):
    def variant(self, name):
        """The text of a variant of SITE."""
        with tempfile.TemporaryDirectory() as directory:
            site, out = pathlib.Path(directory) / "site.toml", pathlib.Path(directory) / "out.toml"
            site.write_text(SITE)
            self.assertEqual(site_variant.main([str(site), name, str(out)]), 0)
            return out.read_text()

    def test_the_near_variant_has_shorter_targets_and_reported_load(self):
        text = self.variant("near")
        for part in ['name = "harbour-near"', "{ aim_ms = 480,", "load_header = true", "mean = 400,", "cross_region_ms = 6"]:
            self.assertIn(part, text)

    def test_the_far_variant_has_longer_distances(self):
        text = self.variant("far")
        for part in ['name = "harbour-far"', "{ aim_ms = 900,", "cold_per_s = 11", "cross_region_ms = 36"]:
            self.assertIn(part, text)

    def test_a_key_that_ends_like_a_scaled_one_stays(self):
        self.assertIn("gap_aim_ms = 400", self.variant("near"))

    def test_an_unknown_variant_is_rejected(self):
        with contextlib.redirect_stderr(io.StringIO()):
            self.assertEqual(site_variant.main(["a", "b", "c"]), 2)


if __name__ == "__main__":
    unittest.main()
