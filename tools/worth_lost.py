#!/usr/bin/env python3
"""Adds up what days cost, from the reports that the operators' bench writes (`fleetbench run ... --report FILE`).

    tools/worth_lost.py REPORT...

Four tables over all reports together: by part of the worth and by price, by kind of request, by what the last try of an
unserved request got (with a traced example), and the moments that lost most. Nothing but this file and Python 3 is needed.
"""
import collections
import json
import sys

MOMENTS_SHOWN = 12


def by_part(reports):
    """What each part of the worth loses against 1, weighted, and each price: means over the reports."""
    lost = collections.Counter()
    for report in reports:
        for name, weight, value in report["parts"]:
            lost[name] += (1 - value) * weight / len(reports)
        for name, _amount, price in report["prices"]:
            lost["price: " + name] += price / len(reports)
    return lost.most_common()


def by_kind(reports):
    """For each kind of request: asked, late, refused, failed, and the worth lost as a part of what is owed to it."""
    kinds = collections.defaultdict(collections.Counter)
    for report in reports:
        for kind in report["classes"]:
            sums = kinds[kind["name"]]
            for field in ("n", "late", "refused", "failed"):
                sums[field] += kind[field]
            sums["lost"] += (1 - kind["worth"]) * kind["n"]
    rows = [(name, s["n"], s["late"], s["refused"], s["failed"], s["lost"] / max(s["n"], 1)) for name, s in kinds.items()]
    return sorted(rows, key=lambda row: -row[1] * row[5])


def by_last_try(reports):
    """How often each outcome was the last of an unserved request, and the trace of one of them."""
    counts, examples = collections.Counter(), {}
    for report in reports:
        for outcome, count, trace in report["unserved_by"]:
            counts[outcome] += count
            examples.setdefault(outcome, trace)
    return [(outcome, count, examples[outcome]) for outcome, count in counts.most_common()]


def by_moment(named_reports):
    """The windows that lost most worth: report, second, requests, unserved, late, lost as a number of requests."""
    rows = []
    for name, report in named_reports:
        for window in report["windows"]:
            unserved = window["refused"] + window["failed"]
            lost = (1 - window["worth"]) * window["n"]
            rows.append((name, window["name"], window["n"], unserved, window["late"], lost))
    return sorted(rows, key=lambda row: -row[5])[:MOMENTS_SHOWN]


def tables(named_reports):
    """The text of all tables."""
    reports = [report for _, report in named_reports]
    lines = [f"worth lost, mean of {len(reports)} reports"]
    lines += [f"  {lost:7.4f}  {name}" for name, lost in by_part(reports) if lost >= 0.00005]
    lines += ["", f"{'kind':20} {'asked':>7} {'late':>6} {'refused':>7} {'failed':>6} {'lost':>6}"]
    lines += [f"{name:20} {n:7} {late:6} {refused:7} {failed:6} {lost:6.3f}" for name, n, late, refused, failed, lost in by_kind(reports)]
    lines += ["", "unserved, by the last try"]
    for outcome, count, trace in by_last_try(reports):
        lines += [f"  {count:6}  {outcome}"] + [f"            {step}" for step in trace]
    lines += ["", f"{'moments':32} {'second':>6} {'asked':>6} {'unserved':>8} {'late':>5} {'lost':>7}"]
    lines += [f"{name:32} {second:>6} {n:6} {unserved:8} {late:5} {lost:7.1f}" for name, second, n, unserved, late, lost in by_moment(named_reports)]
    return "\n".join(lines)


def main(paths):
    """Reads the reports and prints the tables; the exit code."""
    if not paths:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    named_reports = []
    for path in paths:
        try:
            with open(path, encoding="utf-8") as file:
                named_reports.append((path.rsplit("/", 1)[-1].removesuffix(".json"), json.load(file)))
        except (OSError, ValueError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 1
    print(tables(named_reports))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
