#!/usr/bin/env python3
"""Writes the days of scenarios/system/control/: one for each variant of each trouble that bears on the control side.

    tools/control_days.py [FOLDER]

A day brings its trouble about three times, at 4, 13 and 21 s, or once for 20 s. Meanwhile the operator changes the
configuration and evacuates a zone, and a closing fault strikes at the end. Nothing but this file and Python 3 is
needed; the days are committed, so that playing them doesn't need Python.
"""
import pathlib, sys

TIMES = (4.0, 13.0, 21.0)
FIRST_SEED = 91001

# Changes between and after the troubles. Most come 3 s or more after a trouble began, while a short one lasts.
CHANGES = [
    dict(at=2.0, kind="config_change", how="route"),
    dict(at=7.0, kind="config_change", how="timeout"),
    dict(at=9.5, kind="evacuate", for_s=4.0),
    dict(at=11.0, kind="config_change", how="route"),
    dict(at=16.0, kind="config_change", how="weights"),
    dict(at=18.5, kind="config_change", how="route"),
    dict(at=24.5, kind="config_change", how="idle"),
]

# The closing faults, dealt out in turn.
CLOSINGS = [
    dict(kind="power_off_all", down_s=1.0),
    dict(kind="wipe_after_ack", down_s=1.0),
    dict(kind="kill_all", down_s=1.5),
    dict(kind="power_off_all", down_s=1.0, how="timed"),
    dict(kind="wipe_after_ack", down_s=1.0, how="oldest"),
    dict(kind="power_off_all", down_s=1.0, how="taken"),
    dict(kind="wipe_after_ack", down_s=1.0, how="timed"),
    dict(kind="kill_all", down_s=1.5, how="timed"),
]

days = []


def day(name, comment, faults, plan=CHANGES, closing=None):
    days.append((name, comment, faults, plan, closing))


def thrice(kind, how="", **fields):
    """The same trouble at each of the three times."""
    variant = dict(how=how) if how else {}
    return [dict(at=at, kind=kind, **fields, **variant) for at in TIMES]


def variants(kind, comment, hows, **fields):
    """A day for each variant of a trouble."""
    for how in hows:
        name = "-".join([kind.replace("_", "-"), *how.replace("_", "-").split()])
        day(name, f"{comment}; variant: {how or 'none'}.", thrice(kind, how, **fields))


def once(name, comment, plan=CHANGES, **fault):
    """A day with one long trouble."""
    day(name, comment, [dict(at=4.0, **fault)], plan)


# A coordinator that is cut off.
variants("core_cut", "A coordinator is cut off for 5 s, three times",
         ["", "reader", "turn", "seed", "oldest", "all", "near", "one_way", "reset", "refuse", "seeds", "both",
          "leader race", "one_way leader meet"], for_s=5.0)
variants("core_cut", "A coordinator is cut off for 8 s, three times, and servers that leave report to it",
         ["lure", "lure leader meet"], for_s=8.0)
for how in ["reader meet", "near turn meet", "all leader meet", "one_way leader race"]:
    once("core-cut-twenty-" + how.replace("_", "-").replace(" ", "-"),
         f"A coordinator is cut off for 20 s while orders go to it; variant: {how}.",
         kind="core_cut", for_s=20.0, how=how)

# A coordinator that is replaced, or whose disk is lost.
variants("replace_core", "A coordinator is replaced, three times",
         ["", "planned", "oldest", "planned leader", "seed meet", "planned race drain"])
day("seed-turnover", "The settings name other seeds, three times.", thrice("seed_turnover"))
variants("after_ack_kill", "The machine that acknowledged a change loses power, three times",
         ["", "kill", "timed", "taken", "taken gone"], for_s=3.0)
day("after-ack-kill-two", "Two coordinators lose power right after an acknowledgement, three times.",
    thrice("after_ack_kill", count=2, for_s=2.0))
variants("after_ack_wipe", "The machine that acknowledged a change loses its disk, three times",
         ["", "timed", "oldest"], for_s=3.0)

# Disks.
for kind, what in [("disk_full", "takes no more bytes"), ("disk_stall", "answers nothing"), ("disk_slow", "is slow")]:
    variants(kind, f"The disk of a coordinator {what} for 5 s, three times", ["", "leader meet"],
             count=1, for_s=5.0)

# Orders.
for hows in [("route", "weights", "timeout"), ("tenant", "quota", "idle")]:
    day("config-change-" + "-".join(hows), "A change each 0.7 s, in turn; a coordinator loses power in between.",
        thrice("node_kill", "power", on="core", count=1, for_s=2.0),
        [dict(at=round(1.0 + 0.7 * n, 1), kind="config_change", how=hows[n % 3]) for n in range(38)])
day("config-storm", "A change each 0.1 s for 6 s, three times.", [],
    [dict(at=at, kind="config_storm", for_s=6.0, gap_s=0.1) for at in TIMES])
day("config-race", "Pairs of changes on the same version, many and close together.", [],
    [dict(at=at, kind="config_race", count=8, gap_s=0.4) for at in TIMES])
for hows in [("cut_short", "unknown_service", "same_place"), ("no_weight", "no_timeout", "old_version"),
             ("same_version", "stale_match", "shared_key")]:
    plan = [dict(at=at + n, kind="bad_config", how=how, count=3, gap_s=0.4) for at in TIMES for n, how in enumerate(hows)]
    day("bad-config-" + "-".join(hows).replace("_", "-"), "Invalid configurations between valid ones.", [],
        sorted(CHANGES + plan, key=lambda entry: entry["at"]))
day("ack-lost", "Most acknowledgements to the operator are lost, three times.", thrice("ack_lost", x=0.7, for_s=5.0))
once("ack-lost-twenty", "Each acknowledgement to the operator is lost for 20 s.", kind="ack_lost", x=1.0, for_s=20.0)
day("big-config", "350 more routes, three times.", [],
    sorted(CHANGES + [dict(at=at, kind="big_config", count=350) for at in TIMES], key=lambda entry: entry["at"]))
for how in ["", "warm"]:
    day("evacuate" + ("-" + how if how else ""), f"A zone is evacuated, three times; at its end: {how or 'cold'}.",
        thrice("node_kill", "power", on="core", count=1, for_s=2.0),
        [entry for entry in CHANGES if entry["kind"] != "evacuate"]
        + [dict(at=at, kind="evacuate", for_s=6.0, **(dict(how=how) if how else {})) for at in (3.0, 12.0, 20.0)])

# Machines that are killed, told to end, frozen or slowed.
variants("node_kill", "A coordinator is killed, three times",
         ["", "power", "reader race", "leader race drain", "hard meet drain", "turn meet", "seed"],
         on="core", count=1, for_s=3.0)
variants("roll_term", "All coordinators get SIGTERM one after the other, three times",
         ["", "meet drain", "remove"], on="core", gap_s=2.0)
for how in ["", "busy", "meet drain"]:
    day("roll-term-gates" + ("-" + how.replace(" ", "-") if how else ""),
        f"All gates get SIGTERM one after the other, three times; variant: {how or 'none'}.",
        thrice("roll_term", how, share=1.0, x=1.0, gap_s=0.8))
day("roll-term-gates-remove", "One gate in five is told to leave for good, three times.",
    thrice("roll_term", "remove", share=0.2, x=1.0, gap_s=0.8))
day("roll-term-gates-at-once", "Half of the gates get SIGTERM at once, three times.",
    thrice("roll_term", share=0.5, x=4.0, gap_s=0.1))
day("roll-term-gates-four", "All gates get SIGTERM one after the other, four times; changes between.",
    [dict(at=at, kind="roll_term", share=1.0, x=1.0, gap_s=0.8) for at in (3.0, 10.0, 17.0, 24.0)])
variants("herd_kill", "Many machines are killed at once, three times", ["", "power", "taken", "taken all"], for_s=1.5)
for how in ["", "power"]:
    day("herd-kill-core" + ("-" + how if how else ""),
        f"All coordinators are killed at once, three times; variant: {how or 'none'}.",
        thrice("herd_kill", how, on="core", for_s=1.5))
for kind, what, hows in [("node_freeze", "stands still", ["", "leader meet"]),
                         ("node_slow", "is five times slower", ["", "leader race"])]:
    variants(kind, f"A coordinator {what} for 4 s, three times", hows, on="core", count=1, for_s=4.0)
    day(kind.replace("_", "-") + "-gates", f"Three in ten gates: each {what} for 4 s, three times.",
        thrice(kind, share=0.3, for_s=4.0))
once("node-freeze-twenty", "The coordinator that acted last stands still for 20 s.",
     kind="node_freeze", on="core", count=1, for_s=20.0, how="leader meet")
for how in ["ahead", "back"]:
    day(f"clock-step-{how}", f"The clocks of all machines jump {how} by 8 s, three times.",
        thrice("clock_step", how, x=8000, share=1.0, for_s=4.0))
day("hup", "All machines get SIGHUP within 0.1 s, three times.", thrice("hup", share=1.0, gap_s=0.1))

# Links.
for on in ["core", "front"]:
    day(f"reset-conns-{on}", f"All connections of the machines of class {on} are reset, ten times.",
        [dict(at=4.0 + 2 * n, kind="reset_conns", on=on, share=1.0, x=1.0) for n in range(10)])
day("zone-loss", "A zone is without power, three times.", thrice("zone_loss", for_s=2.0))
day("zone-cut", "A zone is cut off for 5 s, three times.", thrice("zone_cut", for_s=5.0))
once("zone-cut-twenty", "A zone is cut off for 20 s.", kind="zone_cut", for_s=20.0)
variants("node_cut", "Three in ten machines are cut off from the coordinators for 5 s, three times",
         ["", "all", "servers"], share=0.3, for_s=5.0)
variants("srv_cut", "Three in ten servers are cut off from the control side for 5 s, three times",
         ["", "fronts", "one_way", "reset"], share=0.3, for_s=5.0)

# Two troubles, the second close behind the first.
day("pair-replace-wipe", "A coordinator is replaced, then one that acknowledged a change loses its disk.",
    [dict(at=4.0, kind="replace_core"), dict(at=9.0, kind="after_ack_wipe", for_s=2.0),
     dict(at=17.0, kind="replace_core", how="oldest"), dict(at=22.0, kind="after_ack_wipe", how="oldest", for_s=2.0)])
day("pair-wipe-cut", "A coordinator loses its disk, then the one that acted last is cut off.",
    [dict(at=4.0, kind="after_ack_wipe", for_s=1.0), dict(at=9.0, kind="core_cut", how="leader meet", for_s=4.0),
     dict(at=17.0, kind="after_ack_wipe", how="oldest", for_s=1.0), dict(at=22.0, kind="core_cut", how="turn race", for_s=4.0)])
day("pair-planned-power", "A coordinator is replaced by plan, then all lose power or one that acknowledged does.",
    [dict(at=4.0, kind="replace_core", how="planned"), dict(at=6.0, kind="after_ack_kill", for_s=2.0),
     dict(at=12.0, kind="replace_core", how="planned leader"), dict(at=15.0, kind="herd_kill", on="core", how="power", for_s=1.0),
     dict(at=21.0, kind="replace_core", how="planned oldest"), dict(at=23.0, kind="after_ack_wipe", for_s=1.0)])
RACES = [dict(at=at, kind="config_race", count=4, gap_s=1.0) for at in (5.0, 14.0, 22.0)]
day("pair-race-cut", "Pairs of changes on the same version while a coordinator is cut off.",
    thrice("core_cut", "leader race", for_s=5.0), RACES)
day("pair-race-ack-lost", "Pairs of changes on the same version while acknowledgements are lost.",
    thrice("ack_lost", x=0.8, for_s=6.0), RACES)
LEAVING = sorted(CHANGES + [dict(at=at, kind="scale_in", share=0.15) for at in (5.0, 14.0, 22.0)], key=lambda e: e["at"])
day("pair-lure-leave", "A coordinator is cut off and lures servers that leave to it.",
    thrice("core_cut", "lure turn", for_s=7.0), LEAVING)
day("pair-ack-lost-kill", "Acknowledgements are lost while coordinators lose power right after them.",
    [dict(at=4.0, kind="ack_lost", x=0.7, for_s=20.0), *thrice("after_ack_kill", "timed", for_s=2.0)])
day("pair-slow-disk-cut", "A disk is slow while another coordinator is cut off.",
    [dict(at=4.0, kind="disk_slow", count=1, for_s=20.0), dict(at=14.0, kind="core_cut", how="leader meet", for_s=5.0)])

# The coordinators cut into two halves, which more losses than are tolerated may be. Last, so that the others keep their
# seeds.
for how in ["split", "split one_way", "split meet", "split leader race"]:
    once_more = thrice("core_cut", how, for_s=6.0)
    day("core-cut-" + how.replace("_", "-").replace(" ", "-"),
        f"The coordinators are cut into two halves for 6 s, three times; variant: {how}.", once_more)

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


def table(entry):
    """One entry as an inline table."""
    value = lambda v: f'"{v}"' if isinstance(v, str) else str(v)
    return "{ " + ", ".join(f"{key} = {value(v)}" for key, v in entry.items()) + " }"


def array(name, entries):
    lines = "".join(f"  {table(entry)},\n" for entry in entries)
    return f"{name} = [\n{lines}]\n" if entries else f"{name} = []\n"


def main():
    here = pathlib.Path(__file__).resolve().parent
    folder = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else here / "../scenarios/system/control")
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "cut-twenty-seconds.toml").write_text(CUT_TWENTY_SECONDS)
    for n, (name, comment, faults, plan, closing) in enumerate(days):
        text = f'# {comment}\nname = "{name}"\nslot = "trouble"\nseed = {FIRST_SEED + n}\n'
        text += f"closing = {table(closing or CLOSINGS[n % len(CLOSINGS)])}\n"
        (folder / f"{name}.toml").write_text(text + array("plan", plan) + array("faults", faults))
    print(f"{len(days) + 1} days in {folder.resolve()}")


if __name__ == "__main__":
    main()
