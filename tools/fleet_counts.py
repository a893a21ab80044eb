#!/usr/bin/env python3
"""Counts over a fleet of proxies, from their logs of level `debug` (one file a proxy, text form).

    tools/fleet_counts.py LOGS [--step SECONDS] [--servers]

LOGS is a folder of files like n0.log, written by `ironmast run --log-level debug`. Prints, by steps of time:
requests, answers, attempts by outcome and probes over all proxies; then how requests are spread over proxies and
sends and probes over servers, and how long after the first proxy the median and the last one were told each change.
"""
import argparse, collections, pathlib, re, statistics, sys

FIELD = re.compile(r"([a-z_]+): ([^,]+(?:\([^)]*\))?)")


def read(folder):
    """All debug records: (microseconds, proxy, what, fields), by time."""
    records = []
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.open(errors="replace"):
            _, mark, rest = line.partition(" DEBG ")
            if not mark:
                continue
            what, _, tail = rest.partition(", ")
            fields = dict(FIELD.findall(tail))
            if "at" in fields:
                records.append((int(fields["at"]), path.stem, what, fields))
    records.sort(key=lambda r: r[0])
    return records


def quantiles(values):
    values = sorted(values)
    pick = lambda q: values[min(len(values) - 1, int(q * len(values)))]
    return f"least {values[0]}, median {pick(0.5)}, nine in ten {pick(0.9)}, most {values[-1]}" if values else "none"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs")
    parser.add_argument("--step", type=float, default=1.0)
    parser.add_argument("--servers", action="store_true", help="a line for each server")
    args = parser.parse_args()
    records = read(args.logs)
    if not records:
        sys.exit(f"{args.logs}: no debug records; start the proxies with `run --log-level debug`")
    start = records[0][0]
    steps = collections.defaultdict(collections.Counter)
    outcomes, answers = set(), set()
    arrived, sent, zones = {}, {}, {}
    waits, rejected_after = collections.defaultdict(list), []
    by_proxy, by_server = collections.Counter(), collections.defaultdict(collections.Counter)
    told = collections.defaultdict(dict)
    for at, proxy, what, f in records:
        n = int((at - start) / 1e6 / args.step)
        step = steps[n]
        request = (proxy, f.get("request"))
        if what == "request arrived":
            arrived[request] = at
            step["asked"] += 1
            by_proxy[proxy] += 1
        elif what == "attempt sent":
            if f["attempt"] == "0":
                waits[n].append(at - arrived.get(request, at))
            step["sent"] += 1
            by_server[f["server"]]["sent"] += 1
            sent.setdefault(f["server"], set()).add(proxy)
        elif what == "attempt ended":
            outcomes.add(f["outcome"])
            step[f["outcome"]] += 1
            by_server[f["server"]][f["outcome"]] += 1
        elif what == "request answered":
            answers.add(f["answer"])
            step[f["answer"]] += 1
            if f["answer"] == "rejected":
                rejected_after.append((at - arrived.get(request, at)) // 1000)
        elif what == "health check ended":
            step["probes"] += 1
            by_server[f["server"]]["probes"] += 1
        elif what == "client disconnected":
            step["left"] += 1
        elif what == "server listed":
            zones[f["server"]] = f["zone"]
            told[(f["server"], f["phase"], f["started"])].setdefault(proxy, at)
    columns = ["asked", *sorted(answers), "left", "sent", *sorted(outcomes), "probes"]
    print("step    " + " ".join(f"{c[:9]:>9}" for c in columns) + "   waited ms (mean, most)")
    for n in sorted(steps):
        wait = waits[n] or [0]
        row = " ".join(f"{steps[n][c]:>9}" for c in columns)
        print(f"{n * args.step:>7.1f} {row}   {statistics.mean(wait) / 1e3:8.1f} {max(wait) / 1e3:8.1f}")
    print("\nrequests by proxy:", quantiles(by_proxy.values()))
    print("rejected after ms:", quantiles(rejected_after))
    for zone in sorted(set(zones.values())):
        here = [s for s in zones if zones[s] == zone]
        print(f"zone {zone}: {len(here)} servers; sends of each:", quantiles([by_server[s]["sent"] for s in here]))
        print("  probes of each:", quantiles([by_server[s]["probes"] for s in here]))
        print("  proxies that sent to each:", quantiles([len(sent.get(s, ())) for s in here]))
    print("\ntold changes, s: first, median, last proxy (how many)")
    groups = collections.Counter()
    for (server, phase, began), who in told.items():
        times = sorted((t - start) / 1e6 for t in who.values())
        key = (phase, round(times[0], 1), round(times[len(times) // 2], 1), round(times[-1], 1), len(times), zones[server])
        groups[key] += 1
    for (phase, first, median, last, count, zone), n in sorted(groups.items(), key=lambda g: g[0][1]):
        print(f"  {n:>3} servers of zone {zone} {phase:>8}: {first:6.1f} {median:6.1f} {last:6.1f}  ({count} proxies)")
    if args.servers:
        print()
        for server, counts in sorted(by_server.items(), key=lambda s: (zones.get(s[0], ""), s[0])):
            print(server, "zone", zones.get(server), "proxies", len(sent.get(server, ())), dict(counts))


if __name__ == "__main__":
    main()
