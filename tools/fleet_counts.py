#!/usr/bin/env python3
"""Counts over a fleet of proxies, from their logs of level `debug` (one file a proxy, text form).

    tools/fleet_counts.py LOGS [--step SECONDS] [--servers]

LOGS is a directory of files like n0.log, written by `ironmast run --log-level debug`. Prints, by steps of time:
requests, answers, attempts by outcome and health checks over all proxies; then how requests are distributed over
proxies, and attempts and health checks over servers; and how long after the first proxy the median and the last one
received each change of the endpoint list.
"""
import argparse
import collections
import dataclasses
import pathlib
import re
import statistics
import sys

# A field of a log record: `name: value`; the value may contain parentheses.
FIELD = re.compile(r"([a-z_]+): ([^,]+(?:\([^)]*\))?)")

# The maximum width of a column heading; longer ones are cut.
MAX_HEADING = 9


@dataclasses.dataclass(frozen=True)
class Record:
    """A debug record of one proxy."""

    at_us: int
    proxy: str
    message: str
    fields: dict[str, str]

    @property
    def request(self):
        """The proxy and the number of the request: request numbers are unique only within a proxy."""
        return self.proxy, self.fields.get("request")


@dataclasses.dataclass(frozen=True)
class ServerChange:
    """A change of a server in the endpoint list."""

    server: str
    phase: str
    started: str


@dataclasses.dataclass(frozen=True)
class Propagation:
    """When a change reached the first, the median and the last proxy, in seconds since the first record."""

    phase: str
    first_s: float
    median_s: float
    last_s: float
    proxies: int
    zone: str


def parse_record(line, proxy):
    """The record of a log line; None for other levels and for records without a time."""
    _, level, rest = line.partition(" DEBG ")
    if not level:
        return None
    message, _, tail = rest.partition(", ")
    fields = dict(FIELD.findall(tail))
    if "at" not in fields:
        return None
    return Record(int(fields["at"]), proxy, message, fields)


def read_records(directory):
    """All records of a directory, by time."""
    records = []
    for path in sorted(pathlib.Path(directory).glob("*.log")):
        with path.open(errors="replace") as lines:
            records += filter(None, (parse_record(line, path.stem) for line in lines))
    return sorted(records, key=lambda record: record.at_us)


def quantiles(values):
    """The smallest value, the median, the 90th percentile and the largest value, as text."""
    values = sorted(values)
    if not values:
        return "none"

    def quantile(share):
        return values[min(len(values) - 1, int(share * len(values)))]

    return f"least {values[0]}, median {quantile(0.5)}, nine in ten {quantile(0.9)}, most {values[-1]}"


class FleetCounts:
    """The counts over all records."""

    def __init__(self, records, step_s):
        """Counts records, which are sorted by time, in steps of `step_s` seconds."""
        self.start_us = records[0].at_us
        self.step_s = step_s
        self.steps = collections.defaultdict(collections.Counter)
        self.outcomes = set()
        self.answers = set()
        self.requests_by_proxy = collections.Counter()
        self.by_server = collections.defaultdict(collections.Counter)
        self.proxies_by_server = collections.defaultdict(set)
        self.zone_by_server = {}
        self.arrived_us = {}
        self.waits_us_by_step = collections.defaultdict(list)
        self.rejected_after_ms = []
        # By change: when each proxy received it, in microseconds.
        self.received_us = collections.defaultdict(dict)
        for record in records:
            self._add(record)

    def _add(self, record):
        handlers = {
            "request arrived": self._add_arrival,
            "attempt sent": self._add_attempt,
            "attempt ended": self._add_outcome,
            "request answered": self._add_answer,
            "health check ended": self._add_health_check,
            "client disconnected": self._add_disconnect,
            "server listed": self._add_listing,
        }
        step = int((record.at_us - self.start_us) / 1e6 / self.step_s)
        # Creates the step, so that a step without any of these messages is printed too.
        counts = self.steps[step]
        handler = handlers.get(record.message)
        if handler:
            handler(record, step, counts)

    def _add_arrival(self, record, _step, counts):
        self.arrived_us[record.request] = record.at_us
        counts["asked"] += 1
        self.requests_by_proxy[record.proxy] += 1

    def _add_attempt(self, record, step, counts):
        server = record.fields["server"]
        if record.fields["attempt"] == "0":
            self.waits_us_by_step[step].append(self._since_arrival_us(record))
        counts["sent"] += 1
        self.by_server[server]["sent"] += 1
        self.proxies_by_server[server].add(record.proxy)

    def _add_outcome(self, record, _step, counts):
        outcome = record.fields["outcome"]
        self.outcomes.add(outcome)
        counts[outcome] += 1
        self.by_server[record.fields["server"]][outcome] += 1

    def _add_answer(self, record, _step, counts):
        answer = record.fields["answer"]
        self.answers.add(answer)
        counts[answer] += 1
        if answer == "rejected":
            self.rejected_after_ms.append(self._since_arrival_us(record) // 1000)

    def _add_health_check(self, record, _step, counts):
        counts["probes"] += 1
        self.by_server[record.fields["server"]]["probes"] += 1

    def _add_disconnect(self, _record, _step, counts):
        counts["left"] += 1

    def _add_listing(self, record, _step, _counts):
        fields = record.fields
        self.zone_by_server[fields["server"]] = fields["zone"]
        change = ServerChange(fields["server"], fields["phase"], fields["started"])
        self.received_us[change].setdefault(record.proxy, record.at_us)

    def _since_arrival_us(self, record):
        """The time since the request arrived; 0 if its arrival is not in the logs."""
        return record.at_us - self.arrived_us.get(record.request, record.at_us)

    def propagations(self):
        """The number of changes for each propagation: changes of several servers at the same times count together."""
        counts = collections.Counter()
        for change, received_us in self.received_us.items():
            times_s = sorted((at_us - self.start_us) / 1e6 for at_us in received_us.values())
            first_s, median_s, last_s = (round(times_s[index], 1) for index in (0, len(times_s) // 2, -1))
            zone = self.zone_by_server[change.server]
            counts[Propagation(change.phase, first_s, median_s, last_s, len(times_s), zone)] += 1
        return counts


def steps_lines(counts):
    """The table of counts, one line for each step of time."""
    columns = ["asked", *sorted(counts.answers), "left", "sent", *sorted(counts.outcomes), "probes"]
    headings = " ".join(f"{column[:MAX_HEADING]:>{MAX_HEADING}}" for column in columns)
    lines = [f"step    {headings}   waited ms (mean, most)"]
    for step in sorted(counts.steps):
        waits_us = counts.waits_us_by_step[step] or [0]
        row = " ".join(f"{counts.steps[step][column]:>{MAX_HEADING}}" for column in columns)
        mean_ms, max_ms = statistics.mean(waits_us) / 1e3, max(waits_us) / 1e3
        lines.append(f"{step * counts.step_s:>7.1f} {row}   {mean_ms:8.1f} {max_ms:8.1f}")
    return lines


def distribution_lines(counts):
    """How requests are distributed over proxies, and attempts and health checks over the servers of each zone."""
    lines = [
        f"requests by proxy: {quantiles(counts.requests_by_proxy.values())}",
        f"rejected after ms: {quantiles(counts.rejected_after_ms)}",
    ]
    for zone in sorted(set(counts.zone_by_server.values())):
        servers = [server for server, its_zone in counts.zone_by_server.items() if its_zone == zone]
        sent = [counts.by_server[server]["sent"] for server in servers]
        probes = [counts.by_server[server]["probes"] for server in servers]
        proxies = [len(counts.proxies_by_server.get(server, ())) for server in servers]
        lines.append(f"zone {zone}: {len(servers)} servers; sends of each: {quantiles(sent)}")
        lines.append(f"  probes of each: {quantiles(probes)}")
        lines.append(f"  proxies that sent to each: {quantiles(proxies)}")
    return lines


def propagation_lines(counts):
    """When the changes of the endpoint list reached the proxies."""
    lines = ["changes received, s: first, median, last proxy (how many)"]
    for change, servers in sorted(counts.propagations().items(), key=lambda item: item[0].first_s):
        lines.append(
            f"  {servers:>3} servers of zone {change.zone} {change.phase:>8}: "
            f"{change.first_s:6.1f} {change.median_s:6.1f} {change.last_s:6.1f}  ({change.proxies} proxies)"
        )
    return lines


def server_lines(counts):
    """One line for each server, by zone."""
    lines = []
    zones = counts.zone_by_server
    for server, of_server in sorted(counts.by_server.items(), key=lambda item: (zones.get(item[0], ""), item[0])):
        proxies = len(counts.proxies_by_server.get(server, ()))
        lines.append(f"{server} zone {zones.get(server)} proxies {proxies} {dict(of_server)}")
    return lines


def main(arguments):
    """Reads the logs, prints the counts and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs")
    parser.add_argument("--step", type=float, default=1.0)
    parser.add_argument("--servers", action="store_true", help="a line for each server")
    options = parser.parse_args(arguments)
    records = read_records(options.logs)
    if not records:
        message = "no debug records; start the proxies with `run --log-level debug`"
        print(f"{options.logs}: {message}", file=sys.stderr)
        return 1
    counts = FleetCounts(records, options.step)
    parts = [steps_lines(counts), distribution_lines(counts), propagation_lines(counts)]
    if options.servers:
        parts.append(server_lines(counts))
    print("\n\n".join("\n".join(lines) for lines in parts))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
