#!/usr/bin/env python3
"""Makes another deployment of a site file of the operators' bench, to see that nothing fits one deployment alone.

    tools/site_variant.py SITE.toml VARIANT OUT.toml

Variants:
  near    shorter objectives, shorter prompts, servers that tell their load, distances between regions halved
  far     longer objectives, longer prompts, fewer and larger servers, distances between regions tripled, crossings dear

The names of zones, regions and services and the days stay; numbers change. Files that the site names (`wire`) must lie
beside OUT.toml. Nothing but this file and Python 3 is needed.
"""
import re
import sys


def scaled(text, key, factor, whole=False):
    """Multiplies every value of a key."""
    def change(match):
        value = float(match[2]) * factor
        return match[1] + (str(max(1, round(value))) if whole else f"{value:.6g}")
    return re.sub(rf"(\b{key} = )([0-9.]+)", change, text)


def near(text):
    for key, factor in (("aim_ms", 0.8), ("cross_region_ms", 0.5)):
        text = scaled(text, key, factor)
    text = re.sub(r"(prompt_tokens = \{ mean = )([0-9.]+)", lambda m: f"{m[1]}{float(m[2]) * 0.4:.6g}", text)
    text = text.replace("load_header = false", "load_header = true")
    return text


def far(text):
    for key, factor in (("aim_ms", 1.5), ("cross_region_ms", 3.0), ("cross_region_gb", 2.0)):
        text = scaled(text, key, factor)
    text = re.sub(r"(prompt_tokens = \{ mean = )([0-9.]+)", lambda m: f"{m[1]}{float(m[2]) * 1.3:.6g}", text)
    text = scaled(text, "prefill_tokens_per_ms", 1.5)
    text = scaled(text, "cold_per_s", 0.5)
    return text


VARIANTS = {"near": near, "far": far}


def main(arguments):
    """Reads the site and writes the variant; the exit code."""
    if len(arguments) != 3 or arguments[1] not in VARIANTS:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    site, variant, out = arguments
    with open(site, encoding="utf-8") as file:
        text = file.read()
    name = re.search(r'^name = "(.*)"', text)
    if name is None:
        print(f"{site}: the first line names no site", file=sys.stderr)
        return 1
    text = text.replace(name[0], f'name = "{name[1]}-{variant}"', 1)
    with open(out, "w", encoding="utf-8") as file:
        file.write(VARIANTS[variant](text))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
