#!/usr/bin/env python3
"""Adds up the value that days lost, from reports of the operators' bench (`fleetbench run ... --report FILE`).

    tools/worth_lost.py REPORT...

Four tables over all reports together: by part of the score and by price, by kind of request, by the outcome of the last
attempt of unserved requests (with a traced example), and the windows of time that lost most. The bench calls the value of
requests their worth. Nothing but this file and Python 3 is needed.
"""
import collections
import dataclasses
import json
import pathlib
import sys

# The number of rows in the table of windows.
WINDOWS_SHOWN = 12

# Smaller losses are not shown, because the table would print them as 0.0000.
MIN_LOSS_SHOWN = 0.00005


@dataclasses.dataclass(frozen=True)
class NamedReport:
    """A report of the bench and the name of its file without extension."""

    name: str
    report: dict


@dataclasses.dataclass
class KindTotals:
    """The requests of one kind over all reports."""

    kind: str
    requests: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    # The value lost, as a number of requests.
    lost_requests: float = 0.0

    @property
    def loss(self):
        """The value lost as a share of the value of all requests of the kind."""
        return self.lost_requests / max(self.requests, 1)

    def add(self, row):
        """Adds the row of a report."""
        self.requests += row["n"]
        self.late += row["late"]
        self.rejected += row["refused"]
        self.failed += row["failed"]
        self.lost_requests += lost_requests(row)


@dataclasses.dataclass
class LastOutcome:
    """The number of unserved requests whose last attempt had an outcome."""

    outcome: str
    # The steps of one of the requests.
    trace: list[str]
    count: int = 0


@dataclasses.dataclass(frozen=True)
class WindowLoss:
    """The loss in one window of time."""

    report: str
    # The start of the window, in seconds.
    start_s: str
    requests: int
    unserved: int
    late: int
    lost_requests: float


def lost_requests(row):
    """The value that a class or window of a report lost, in requests of full value."""
    return (1 - row["worth"]) * row["n"]


def loss_by_part(reports):
    """The weighted loss of each part of the score against 1, and each price: means over the reports, largest first."""
    lost = collections.Counter()
    for report in reports:
        for name, weight, value in report["parts"]:
            lost[name] += (1 - value) * weight / len(reports)
        for name, _amount, price in report["prices"]:
            lost["price: " + name] += price / len(reports)
    return lost.most_common()


def totals_by_kind(reports):
    """The totals of each kind of request, the largest loss first."""
    kinds = {}
    for report in reports:
        for row in report["classes"]:
            kinds.setdefault(row["name"], KindTotals(row["name"])).add(row)
    return sorted(kinds.values(), key=lambda kind: -kind.requests * kind.loss)


def last_outcomes(reports):
    """The outcomes of the last attempts of unserved requests, the most frequent first."""
    outcomes = {}
    for report in reports:
        for outcome, count, trace in report["unserved_by"]:
            outcomes.setdefault(outcome, LastOutcome(outcome, trace)).count += count
    return sorted(outcomes.values(), key=lambda outcome: -outcome.count)


def worst_windows(named_reports):
    """The windows that lost most value, the worst first."""
    windows = [
        WindowLoss(
            report=named.name,
            start_s=window["name"],
            requests=window["n"],
            unserved=window["refused"] + window["failed"],
            late=window["late"],
            lost_requests=lost_requests(window),
        )
        for named in named_reports
        for window in named.report["windows"]
    ]
    return sorted(windows, key=lambda window: -window.lost_requests)[:WINDOWS_SHOWN]


def part_lines(reports):
    """The table of the parts of the score and of the prices."""
    lines = [f"worth lost, mean of {len(reports)} reports"]
    lines += [f"  {lost:7.4f}  {name}" for name, lost in loss_by_part(reports) if lost >= MIN_LOSS_SHOWN]
    return lines


def kind_lines(reports):
    """The table of the kinds of requests."""
    lines = [f"{'kind':20} {'asked':>7} {'late':>6} {'refused':>7} {'failed':>6} {'lost':>6}"]
    for kind in totals_by_kind(reports):
        lines.append(
            f"{kind.kind:20} {kind.requests:7} {kind.late:6} {kind.rejected:7} {kind.failed:6} {kind.loss:6.3f}"
        )
    return lines


def outcome_lines(reports):
    """The table of the outcomes of last attempts, each with the trace of one request."""
    lines = ["unserved, by the last try"]
    for outcome in last_outcomes(reports):
        lines.append(f"  {outcome.count:6}  {outcome.outcome}")
        lines += [f"            {step}" for step in outcome.trace]
    return lines


def window_lines(named_reports):
    """The table of the windows that lost most."""
    lines = [f"{'moments':32} {'second':>6} {'asked':>6} {'unserved':>8} {'late':>5} {'lost':>7}"]
    for window in worst_windows(named_reports):
        lines.append(
            f"{window.report:32} {window.start_s:>6} {window.requests:6} {window.unserved:8} {window.late:5} "
            f"{window.lost_requests:7.1f}"
        )
    return lines


def tables(named_reports):
    """The text of all tables."""
    reports = [named.report for named in named_reports]
    parts = [part_lines(reports), kind_lines(reports), outcome_lines(reports), window_lines(named_reports)]
    return "\n\n".join("\n".join(lines) for lines in parts)


def read_report(path):
    """Reads a report. Raises OSError or ValueError if the file cannot be read or is not JSON."""
    with open(path, encoding="utf-8") as file:
        return NamedReport(pathlib.PurePath(path).name.removesuffix(".json"), json.load(file))


def main(paths):
    """Reads the reports, prints the tables and returns the exit code."""
    if not paths:
        print(__doc__.strip(), file=sys.stderr)
        return 2
    named_reports = []
    for path in paths:
        try:
            named_reports.append(read_report(path))
        except (OSError, ValueError) as error:
            print(f"{path}: {error}", file=sys.stderr)
            return 1
    print(tables(named_reports))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
