#!/usr/bin/env python3
"""Writes a variant of a site file of the operators' bench, to check that nothing is tuned to a single deployment.

    tools/site_variant.py SITE.toml VARIANT OUT.toml

Variants:
  near    shorter latency targets, shorter prompts, servers that report their load, distances between regions halved
  far     longer latency targets, longer prompts, fewer and larger servers, distances between regions tripled and
          traffic between them dearer

The names of zones, regions and services and the days stay; numbers change. Files that the site names (`wire`) must be in
the directory of OUT.toml. Nothing but this file and Python 3 is needed.
"""
import re
import sys


def scale(text, key, factor):
    """Multiplies every value of a key."""
    return scale_matches(text, rf"\b{key} = ", factor)


def scale_prompts(text, factor):
    """Multiplies the mean length of all prompts."""
    return scale_matches(text, r"prompt_tokens = \{ mean = ", factor)


def scale_matches(text, prefix, factor):
    """Multiplies every number that follows a match of the pattern `prefix`."""
    return re.sub(rf"({prefix})([0-9.]+)", lambda match: f"{match[1]}{float(match[2]) * factor:.6g}", text)


def near(text):
    """The site with shorter targets, prompts and distances, and servers that report their load."""
    text = scale(text, "aim_ms", 0.8)
    text = scale(text, "cross_region_ms", 0.5)
    text = scale_prompts(text, 0.4)
    return text.replace("load_header = false", "load_header = true")


def far(text):
    """The site with longer targets, prompts and distances, dearer traffic between regions, and larger servers."""
    text = scale(text, "aim_ms", 1.5)
    text = scale(text, "cross_region_ms", 3.0)
    text = scale(text, "cross_region_gb", 2.0)
    text = scale_prompts(text, 1.3)
    text = scale(text, "prefill_tokens_per_ms", 1.5)
    return scale(text, "cold_per_s", 0.5)


VARIANTS = {"near": near, "far": far}


def variant_text(text, variant):
    """The site text as a variant, with the variant appended to the site's name; None if the first line is no name."""
    name = re.search(r'^name = "(.*)"', text)
    if name is None:
        return None
    text = text.replace(name[0], f'name = "{name[1]}-{variant}"', 1)
    return VARIANTS[variant](text)


def main(arguments):
    """Reads the site, writes the variant and returns the exit code."""
    if len(arguments) != 3 or arguments[1] not in VARIANTS:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    site, variant, out = arguments
    with open(site, encoding="utf-8") as file:
        text = variant_text(file.read(), variant)
    if text is None:
        print(f"{site}: the first line is not the name of a site", file=sys.stderr)
        return 1
    with open(out, "w", encoding="utf-8") as file:
        file.write(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
