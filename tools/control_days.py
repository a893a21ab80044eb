#!/usr/bin/env python3
"""Writes the days of scenarios/system/control/: one for each variant of each fault that concerns the control plane.

    tools/control_days.py [DIRECTORY]

A day injects its fault about three times, at 4, 13 and 21 s, or once for 20 s. Meanwhile the operator changes the
configuration and evacuates a zone, and a closing fault is injected at the end. Nothing but this file and Python 3 is
needed; the days are committed, so that running them doesn't need Python.

The names of faults, variants and keys are those of the bench. The closing fault and the seed of a day depend on its
position, so new days are added at the end.
"""
import dataclasses
import itertools
import pathlib
import sys

DEFAULT_DIRECTORY = pathlib.Path(__file__).resolve().parent / "../scenarios/system/control"

# The times at which a fault is injected, in seconds.
TIMES_S = (4.0, 13.0, 21.0)

# The seed of the first day; each further day has the next.
FIRST_SEED = 91001


@dataclasses.dataclass(frozen=True)
class Entry:
    """A fault or a change as an inline table of a day file. Times are in seconds."""

    kind: str
    # The time; None for closing faults.
    at_s: float | None = None
    # Further keys, in the order in which they are written.
    fields: dict = dataclasses.field(default_factory=dict)

    def toml(self):
        """The inline table."""
        keys = {} if self.at_s is None else {"at": self.at_s}
        keys |= {"kind": self.kind, **self.fields}
        return "{ " + ", ".join(f"{key} = {toml_value(value)}" for key, value in keys.items()) + " }"


@dataclasses.dataclass(frozen=True)
class Day:
    """A day file: its faults, and the changes (the plan) that the operator makes meanwhile."""

    name: str
    # The first line of the file.
    comment: str
    faults: list[Entry]
    plan: list[Entry]

    def toml(self, closing, seed):
        """The text of the file."""
        head = f'# {self.comment}\nname = "{self.name}"\nslot = "trouble"\nseed = {seed}\nclosing = {closing.toml()}\n'
        return head + toml_array("plan", self.plan) + toml_array("faults", self.faults)


def toml_value(value):
    """A text or a number in TOML."""
    return f'"{value}"' if isinstance(value, str) else str(value)


def toml_array(name, entries):
    """An array of inline tables, one a line."""
    if not entries:
        return f"{name} = []\n"
    lines = "".join(f"  {entry.toml()},\n" for entry in entries)
    return f"{name} = [\n{lines}]\n"


def entry(at_s, kind, **fields):
    """A fault or a change at a time."""
    return Entry(kind, at_s, fields)


def closing_fault(kind, **fields):
    """A fault that is injected at the end of a day."""
    return Entry(kind, None, fields)


# Changes between and after the faults. Most are made 3 s or more after a fault began, while a short one is active.
CHANGES = [
    entry(2.0, "config_change", how="route"),
    entry(7.0, "config_change", how="timeout"),
    entry(9.5, "evacuate", for_s=4.0),
    entry(11.0, "config_change", how="route"),
    entry(16.0, "config_change", how="weights"),
    entry(18.5, "config_change", how="route"),
    entry(24.5, "config_change", how="idle"),
]

# The closing faults; the days have them in turn.
CLOSING_FAULTS = [
    closing_fault("power_off_all", down_s=1.0),
    closing_fault("wipe_after_ack", down_s=1.0),
    closing_fault("kill_all", down_s=1.5),
    closing_fault("power_off_all", down_s=1.0, how="timed"),
    closing_fault("wipe_after_ack", down_s=1.0, how="oldest"),
    closing_fault("power_off_all", down_s=1.0, how="taken"),
    closing_fault("wipe_after_ack", down_s=1.0, how="timed"),
    closing_fault("kill_all", down_s=1.5, how="timed"),
]


def by_time(entries):
    """Entries in the order of their times."""
    return sorted(entries, key=lambda entry: entry.at_s)


def with_variant(fields, variant):
    """The fields with the key `how` of a variant, if there is one."""
    return {**fields, "how": variant} if variant else fields


def dashed(text):
    """A text as part of a day's name, with dashes for underscores and spaces."""
    return text.replace("_", "-").replace(" ", "-")


def joined(base, variant):
    """The name of a day for a variant; the name itself without one."""
    return f"{base}-{dashed(variant)}" if variant else base


def thrice(kind, variant="", **fields):
    """The same fault at each of the three times."""
    return [entry(at_s, kind, **with_variant(fields, variant)) for at_s in TIMES_S]


def day(name, comment, faults, plan=None):
    """A day with the usual changes, or with others."""
    return Day(name, comment, faults, CHANGES if plan is None else plan)


def variant_days(kind, comment, variants, **fields):
    """A day for each variant of a fault."""
    for variant in variants:
        name = joined(dashed(kind), variant)
        yield day(name, f"{comment}; variant: {variant or 'none'}.", thrice(kind, variant, **fields))


def long_day(name, comment, kind, **fields):
    """A day with one long fault."""
    return day(name, comment, [entry(4.0, kind, **fields)])


def partition_days():
    """A coordinator that is partitioned from other machines."""
    variants = ["", "reader", "turn", "seed", "oldest", "all", "near", "one_way", "reset", "refuse", "seeds", "both",
                "leader race", "one_way leader meet"]
    yield from variant_days("core_cut", "A coordinator is cut off for 5 s, three times", variants, for_s=5.0)
    comment = "A coordinator is cut off for 8 s, three times, and servers that leave report to it"
    yield from variant_days("core_cut", comment, ["lure", "lure leader meet"], for_s=8.0)
    for variant in ["reader meet", "near turn meet", "all leader meet", "one_way leader race"]:
        comment = f"A coordinator is cut off for 20 s while orders go to it; variant: {variant}."
        yield long_day(joined("core-cut-twenty", variant), comment, "core_cut", for_s=20.0, how=variant)


def replacement_days():
    """A coordinator that is replaced, or whose disk is lost."""
    variants = ["", "planned", "oldest", "planned leader", "seed meet", "planned race drain"]
    yield from variant_days("replace_core", "A coordinator is replaced, three times", variants)
    yield day("seed-turnover", "The settings name other seeds, three times.", thrice("seed_turnover"))
    comment = "The machine that acknowledged a change loses power, three times"
    variants = ["", "kill", "timed", "taken", "taken gone"]
    yield from variant_days("after_ack_kill", comment, variants, for_s=3.0)
    comment = "Two coordinators lose power right after an acknowledgement, three times."
    yield day("after-ack-kill-two", comment, thrice("after_ack_kill", count=2, for_s=2.0))
    comment = "The machine that acknowledged a change loses its disk, three times"
    yield from variant_days("after_ack_wipe", comment, ["", "timed", "oldest"], for_s=3.0)


def disk_days():
    """Disks that are full, stalled or slow."""
    for kind, what in [
        ("disk_full", "takes no more bytes"),
        ("disk_stall", "answers nothing"),
        ("disk_slow", "is slow"),
    ]:
        comment = f"The disk of a coordinator {what} for 5 s, three times"
        yield from variant_days(kind, comment, ["", "leader meet"], count=1, for_s=5.0)


def change_days():
    """Changes of the configuration: many, concurrent, invalid, unacknowledged or large."""
    for variants in [("route", "weights", "timeout"), ("tenant", "quota", "idle")]:
        comment = "A change each 0.7 s, in turn; a coordinator loses power in between."
        plan = [entry(round(1.0 + 0.7 * n, 1), "config_change", how=variants[n % 3]) for n in range(38)]
        power_losses = thrice("node_kill", "power", on="core", count=1, for_s=2.0)
        yield day("config-change-" + "-".join(variants), comment, power_losses, plan)
    storms = [entry(at_s, "config_storm", for_s=6.0, gap_s=0.1) for at_s in TIMES_S]
    yield day("config-storm", "A change each 0.1 s for 6 s, three times.", [], storms)
    races = [entry(at_s, "config_race", count=8, gap_s=0.4) for at_s in TIMES_S]
    yield day("config-race", "Pairs of changes on the same version, many and close together.", [], races)
    yield from invalid_configuration_days()
    comment = "Most acknowledgements to the operator are lost, three times."
    yield day("ack-lost", comment, thrice("ack_lost", x=0.7, for_s=5.0))
    comment = "Each acknowledgement to the operator is lost for 20 s."
    yield long_day("ack-lost-twenty", comment, "ack_lost", x=1.0, for_s=20.0)
    large = [entry(at_s, "big_config", count=350) for at_s in TIMES_S]
    yield day("big-config", "350 more routes, three times.", [], by_time(CHANGES + large))


def invalid_configuration_days():
    """Days with three kinds of invalid configurations each."""
    for variants in [
        ("cut_short", "unknown_service", "same_place"),
        ("no_weight", "no_timeout", "old_version"),
        ("same_version", "stale_match", "shared_key"),
    ]:
        invalid = [
            entry(at_s + n, "bad_config", how=variant, count=3, gap_s=0.4)
            for at_s in TIMES_S
            for n, variant in enumerate(variants)
        ]
        name = "bad-config-" + dashed("-".join(variants))
        yield day(name, "Invalid configurations between valid ones.", [], by_time(CHANGES + invalid))


def evacuation_days():
    """Zones that are evacuated while a coordinator loses power."""
    for variant in ["", "warm"]:
        comment = f"A zone is evacuated, three times; at its end: {variant or 'cold'}."
        power_losses = thrice("node_kill", "power", on="core", count=1, for_s=2.0)
        other_changes = [change for change in CHANGES if change.kind != "evacuate"]
        fields = with_variant({"for_s": 6.0}, variant)
        evacuations = [entry(at_s, "evacuate", **fields) for at_s in (3.0, 12.0, 20.0)]
        yield day(joined("evacuate", variant), comment, power_losses, other_changes + evacuations)


def stop_days():
    """Machines that are killed or stopped gracefully."""
    variants = ["", "power", "reader race", "leader race drain", "hard meet drain", "turn meet", "seed"]
    comment = "A coordinator is killed, three times"
    yield from variant_days("node_kill", comment, variants, on="core", count=1, for_s=3.0)
    comment = "All coordinators get SIGTERM one after the other, three times"
    yield from variant_days("roll_term", comment, ["", "meet drain", "remove"], on="core", gap_s=2.0)
    yield from gate_stop_days()
    comment = "Many machines are killed at once, three times"
    yield from variant_days("herd_kill", comment, ["", "power", "taken", "taken all"], for_s=1.5)
    for variant in ["", "power"]:
        comment = f"All coordinators are killed at once, three times; variant: {variant or 'none'}."
        yield day(joined("herd-kill-core", variant), comment, thrice("herd_kill", variant, on="core", for_s=1.5))


def gate_stop_days():
    """Gates that are stopped gracefully."""
    for variant in ["", "busy", "meet drain"]:
        comment = f"All gates get SIGTERM one after the other, three times; variant: {variant or 'none'}."
        faults = thrice("roll_term", variant, share=1.0, x=1.0, gap_s=0.8)
        yield day(joined("roll-term-gates", variant), comment, faults)
    comment = "One gate in five is told to leave for good, three times."
    yield day("roll-term-gates-remove", comment, thrice("roll_term", "remove", share=0.2, x=1.0, gap_s=0.8))
    comment = "Half of the gates get SIGTERM at once, three times."
    yield day("roll-term-gates-at-once", comment, thrice("roll_term", share=0.5, x=4.0, gap_s=0.1))
    comment = "All gates get SIGTERM one after the other, four times; changes between."
    faults = [entry(at_s, "roll_term", share=1.0, x=1.0, gap_s=0.8) for at_s in (3.0, 10.0, 17.0, 24.0)]
    yield day("roll-term-gates-four", comment, faults)


def slow_machine_days():
    """Machines that are frozen or slowed, whose clocks jump, or that get SIGHUP."""
    for kind, what, variants in [
        ("node_freeze", "stands still", ["", "leader meet"]),
        ("node_slow", "is five times slower", ["", "leader race"]),
    ]:
        comment = f"A coordinator {what} for 4 s, three times"
        yield from variant_days(kind, comment, variants, on="core", count=1, for_s=4.0)
        comment = f"Three in ten gates: each {what} for 4 s, three times."
        yield day(joined(dashed(kind), "gates"), comment, thrice(kind, share=0.3, for_s=4.0))
    comment = "The coordinator that acted last stands still for 20 s."
    fields = {"on": "core", "count": 1, "for_s": 20.0, "how": "leader meet"}
    yield long_day("node-freeze-twenty", comment, "node_freeze", **fields)
    for variant in ["ahead", "back"]:
        comment = f"The clocks of all machines jump {variant} by 8 s, three times."
        faults = thrice("clock_step", variant, x=8000, share=1.0, for_s=4.0)
        yield day(f"clock-step-{variant}", comment, faults)
    yield day("hup", "All machines get SIGHUP within 0.1 s, three times.", thrice("hup", share=1.0, gap_s=0.1))


def link_days():
    """Links that are reset or partitioned, and zones that are lost."""
    for on in ["core", "front"]:
        comment = f"All connections of the machines of class {on} are reset, ten times."
        resets = [entry(4.0 + 2 * n, "reset_conns", on=on, share=1.0, x=1.0) for n in range(10)]
        yield day(f"reset-conns-{on}", comment, resets)
    yield day("zone-loss", "A zone is without power, three times.", thrice("zone_loss", for_s=2.0))
    yield day("zone-cut", "A zone is cut off for 5 s, three times.", thrice("zone_cut", for_s=5.0))
    yield long_day("zone-cut-twenty", "A zone is cut off for 20 s.", "zone_cut", for_s=20.0)
    comment = "Three in ten machines are cut off from the coordinators for 5 s, three times"
    yield from variant_days("node_cut", comment, ["", "all", "servers"], share=0.3, for_s=5.0)
    comment = "Three in ten servers are cut off from the control side for 5 s, three times"
    yield from variant_days("srv_cut", comment, ["", "fronts", "one_way", "reset"], share=0.3, for_s=5.0)


def coordinator_pair_days():
    """Pairs of faults of coordinators, the second soon after the first."""
    yield day(
        "pair-replace-wipe",
        "A coordinator is replaced, then one that acknowledged a change loses its disk.",
        [
            entry(4.0, "replace_core"),
            entry(9.0, "after_ack_wipe", for_s=2.0),
            entry(17.0, "replace_core", how="oldest"),
            entry(22.0, "after_ack_wipe", how="oldest", for_s=2.0),
        ],
    )
    yield day(
        "pair-wipe-cut",
        "A coordinator loses its disk, then the one that acted last is cut off.",
        [
            entry(4.0, "after_ack_wipe", for_s=1.0),
            entry(9.0, "core_cut", how="leader meet", for_s=4.0),
            entry(17.0, "after_ack_wipe", how="oldest", for_s=1.0),
            entry(22.0, "core_cut", how="turn race", for_s=4.0),
        ],
    )
    yield day(
        "pair-planned-power",
        "A coordinator is replaced by plan, then all lose power or one that acknowledged does.",
        [
            entry(4.0, "replace_core", how="planned"),
            entry(6.0, "after_ack_kill", for_s=2.0),
            entry(12.0, "replace_core", how="planned leader"),
            entry(15.0, "herd_kill", on="core", how="power", for_s=1.0),
            entry(21.0, "replace_core", how="planned oldest"),
            entry(23.0, "after_ack_wipe", for_s=1.0),
        ],
    )


def change_pair_days():
    """Faults while changes race, servers leave or acknowledgements are lost."""
    times_s = (5.0, 14.0, 22.0)
    races = [entry(at_s, "config_race", count=4, gap_s=1.0) for at_s in times_s]
    comment = "Pairs of changes on the same version while a coordinator is cut off."
    yield day("pair-race-cut", comment, thrice("core_cut", "leader race", for_s=5.0), races)
    comment = "Pairs of changes on the same version while acknowledgements are lost."
    yield day("pair-race-ack-lost", comment, thrice("ack_lost", x=0.8, for_s=6.0), races)
    leaving = by_time(CHANGES + [entry(at_s, "scale_in", share=0.15) for at_s in times_s])
    comment = "A coordinator is cut off and lures servers that leave to it."
    yield day("pair-lure-leave", comment, thrice("core_cut", "lure turn", for_s=7.0), leaving)
    comment = "Acknowledgements are lost while coordinators lose power right after them."
    ack_lost = entry(4.0, "ack_lost", x=0.7, for_s=20.0)
    yield day("pair-ack-lost-kill", comment, [ack_lost, *thrice("after_ack_kill", "timed", for_s=2.0)])
    comment = "A disk is slow while another coordinator is cut off."
    slow_disk = entry(4.0, "disk_slow", count=1, for_s=20.0)
    cut = entry(14.0, "core_cut", how="leader meet", for_s=5.0)
    yield day("pair-slow-disk-cut", comment, [slow_disk, cut])


def split_days():
    """The coordinators partitioned into two halves, which may be more failures than are tolerated."""
    for variant in ["split", "split one_way", "split meet", "split leader race"]:
        comment = f"The coordinators are cut into two halves for 6 s, three times; variant: {variant}."
        yield day(joined("core-cut", variant), comment, thrice("core_cut", variant, for_s=6.0))


# The groups of days. Their order decides the days' seeds and closing faults.
GROUPS = [
    partition_days,
    replacement_days,
    disk_days,
    change_days,
    evacuation_days,
    stop_days,
    slow_machine_days,
    link_days,
    coordinator_pair_days,
    change_pair_days,
    split_days,
]

CUT_TWENTY_SECONDS = """\
# The coordinator that acted last is cut off for 20 s while one and two changes at a time are sent to it.
name = "cut-twenty-seconds"
slot = "trouble"
seed = 71101
closing = { kind = "kill_all", down_s = 1.5 }
one = 0.8
zero = 0.4
goal = { floor = 0.3 }
plan = [
  { at = 7.0, kind = "config_change", how = "route" },
  { at = 10.0, kind = "config_change", how = "timeout" },
  { at = 16.0, kind = "config_change", how = "route" },
  { at = 24.5, kind = "config_change", how = "route" },
]
faults = [
  { at = 4.0, kind = "core_cut", for_s = 20.0, how = "leader meet race" },
]
"""


def day_files():
    """The text of each day file, by its name without extension."""
    texts = {"cut-twenty-seconds": CUT_TWENTY_SECONDS}
    days = itertools.chain.from_iterable(group() for group in GROUPS)
    for number, (day, closing) in enumerate(zip(days, itertools.cycle(CLOSING_FAULTS))):
        texts[day.name] = day.toml(closing, FIRST_SEED + number)
    return texts


def main(arguments):
    """Writes all days into the directory and returns the exit code."""
    directory = pathlib.Path(arguments[0] if arguments else DEFAULT_DIRECTORY)
    directory.mkdir(parents=True, exist_ok=True)
    texts = day_files()
    for name, text in texts.items():
        (directory / f"{name}.toml").write_text(text)
    print(f"{len(texts)} days in {directory.resolve()}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
