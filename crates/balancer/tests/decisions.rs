//! What the balancer decides, through its public interface.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use ironmast_balancer::*;

fn fleet() -> Vec<Server> {
    vec![
        server(1, 0),
        server(2, 0),
        server(3, 0),
        server(4, 1),
        server(5, 1),
    ]
}

fn ready(classes: Vec<ClassSettings>) -> Driver {
    let mut d = Driver::new(settings(classes));
    d.list(Scope::Complete, fleet());
    d
}

/// One agent of many, in a zone of so many servers.
fn crowd(balancers: u32, servers: u64, classes: Vec<ClassSettings>, seed: u64) -> Driver {
    let mut d = Driver::seeded(
        Settings {
            balancers,
            ..settings(classes)
        },
        seed,
    );
    d.list(
        Scope::Complete,
        (0..servers).map(|n| server(n, 0)).collect(),
    );
    d
}

/// A taught balancer that may send copies.
fn copying() -> Driver {
    let mut s = settings(free());
    s.limits.allow_hedging = true;
    let mut d = Driver::new(s);
    d.list(Scope::Complete, fleet());
    teach(&mut d);
    d
}

fn free() -> Vec<ClassSettings> {
    vec![class(Effect::Idempotent)]
}

#[test]
fn the_own_zone_is_sent_all_requests_in_even_shares() {
    let mut d = ready(free());
    (1_000..1_600).for_each(|n| _ = d.serve(n, 0, 5 * MS));
    let mut count = BTreeMap::new();
    for n in 0..300 {
        *count.entry(d.serve(n, 0, 5 * MS)).or_insert(0) += 1;
    }
    assert_eq!(count.len(), 3, "only the own zone's servers");
    assert!(
        [1, 2, 3]
            .iter()
            .all(|n| (90..=110).contains(&count[&id(*n)])),
        "{count:?}"
    );
}

/// Limits were split evenly by the number of agents, whatever each was asked for: the busiest of a
/// hundred held and refused what the servers had room for. Told how little the others are asked
/// for, it may use theirs.
#[test]
fn the_busiest_of_many_balancers_uses_limits_that_the_others_leave() {
    let at_once = |told: bool| {
        let mut settings = settings(vec![class(Effect::Idempotent)]);
        (settings.balancers, settings.limits.peers) = (100, true);
        let mut d = Driver::new(settings);
        d.list(Scope::Complete, (1..=20).map(|n| server(n, 0)).collect());
        for n in 0..100 {
            if told && n % 50 == 0 {
                let quiet = |from| Event::PeerMessage {
                    from,
                    data: vec![1, 0, 0xe8, 3, 0, 0],
                }; // one request a second
                (1..100).for_each(|from| d.event(quiet(from)));
            }
            d.serve(n, 0, 10 * MS);
        }
        (1_000..1_100).for_each(|n| d.request(n, 0));
        (1_000..1_100).filter(|n| d.attempts(*n) > 0).count()
    };
    assert!(
        at_once(false) <= 3 && at_once(true) >= 12,
        "{} and {}",
        at_once(false),
        at_once(true)
    );
}

/// Where each server heard of an agent every few seconds, slow ones kept their share for a whole
/// day.
#[test]
fn one_of_many_balancers_with_little_traffic_uses_a_small_subset_of_its_own() {
    let mut total = BTreeMap::new();
    for agent in 0..200 {
        let mut d = crowd(200, 10, free(), agent);
        let mut own = BTreeMap::new();
        for n in 0..40 {
            *own.entry(d.serve(n, 0, 20 * MS)).or_insert(0) += 1;
            d.pass(100 * MS);
        }
        assert!(
            own.len() <= 4,
            "two, and two more where they change: {own:?}"
        );
        for (id, count) in own {
            *total.entry(id).or_insert(0) += count;
        }
    }
    assert!(
        total.len() == 10 && total.values().all(|c| (500..1_100).contains(c)),
        "even together: {total:?}"
    );
    let mut d = crowd(200, 10, free(), 1);
    let mut own = BTreeMap::new();
    for n in 0..9_000 {
        *own.entry(d.serve(n, 0, 20 * MS)).or_insert(0) += 1;
        d.pass(100 * MS);
    }
    assert!(
        own.len() == 10 && own.values().all(|c| (200..2_700).contains(c)),
        "even in the long run: {own:?}"
    );
}

/// A busy agent of a small fleet knew two servers in its first seconds and refused the rest.
#[test]
fn few_balancers_use_all_servers_from_the_start() {
    let mut d = crowd(5, 10, free(), 1);
    let used: BTreeSet<ServerId> = (0..10).map(|n| d.serve(n, 0, 20 * MS)).collect();
    assert_eq!(used.len(), 10);
}

/// Many agents' idle connections filled the servers' tables, and new ones were refused.
#[test]
fn idle_connections_to_unused_servers_are_closed() {
    let mut d = ready(free());
    let closed = |d: &Driver, server| {
        d.actions
            .iter()
            .filter(|a| matches!(a, Action::CloseIdle { server: s } if *s == server))
            .count()
    };
    let used = d.serve(1, 0, 20 * MS);
    d.request(2, 0);
    let busy = d.last_server(2);
    d.pass(500 * MS);
    assert_eq!(closed(&d, used), 0, "not between two requests");
    d.pass(10 * SECOND);
    assert_eq!(closed(&d, used), usize::from(used != busy), "once");
    assert_eq!(closed(&d, busy), 0, "not while a request is out");
}

/// Retries of what full servers turned away were free, and became a storm among full servers.
#[test]
fn overloaded_servers_cause_no_retry_storm() {
    let mut d = ready(free());
    teach(&mut d);
    let before = d.sends.len();
    for n in 0..400 {
        d.request(n, 0);
        for attempt in 0..6 {
            if d.attempts(n) > attempt as usize {
                d.settle(n, attempt, Outcome::Overloaded);
            }
        }
        d.pass(50 * MS);
    }
    let sent = d.sends.len() - before;
    assert!(sent <= 520, "{sent} attempts for 400 requests");
}

/// An attempt called off (its copy had won, its client had left) told nothing of the slow server.
#[test]
fn a_slow_server_gets_a_smaller_share_though_its_attempts_are_cancelled() {
    let mut d = ready(free());
    teach(&mut d);
    let (bad, mut hits) = (id(1), Vec::new());
    for n in 0..400 {
        d.request(n, 0);
        let slow = d.last_server(n) == bad;
        hits.push(slow);
        d.pass(if slow { 60 * MS } else { 5 * MS });
        if slow {
            d.hang_up(n);
        }
        for attempt in 0..d.attempts(n) as u32 {
            d.settle(
                n,
                attempt,
                if slow {
                    Outcome::Cancelled
                } else {
                    Outcome::Ok
                },
            );
        }
    }
    let share = hits[100..].iter().filter(|h| **h).count();
    assert!(
        (5..=40).contains(&share),
        "{share} of 300 to the slow server: trimmed, not shunned"
    );
}

#[test]
fn requests_leave_a_zone_without_servers_and_return_when_it_has_some() {
    let mut d = ready(free());
    let gone = |n| Server {
        phase: Phase::Gone,
        ..server(n, 0)
    };
    d.list(Scope::Changes, vec![gone(1), gone(2), gone(3)]);
    assert!([id(4), id(5)].contains(&d.serve(1, 0, 5 * MS)));
    d.list(Scope::Changes, vec![server(2, 0)]);
    assert!((10..20).all(|n| d.serve(n, 0, 5 * MS) == id(2)));
}

#[test]
fn draining_servers_are_sent_nothing_new() {
    let mut d = ready(free());
    d.list(
        Scope::Changes,
        vec![Server {
            phase: Phase::Draining,
            ..server(1, 0)
        }],
    );
    assert!((0..50).all(|n| d.serve(n, 0, 5 * MS) != id(1)));
}

#[test]
fn servers_missing_from_a_complete_list_are_removed() {
    let mut d = ready(free());
    d.list(Scope::Complete, vec![server(3, 0), server(4, 1)]);
    assert!((0..20).all(|n| d.serve(n, 0, 5 * MS) == id(3)));
}

#[test]
fn larger_servers_get_larger_shares_where_sizes_mean_capacity() {
    let mut s = settings(free());
    s.sizes = SizeMeaning::Capacity;
    let mut d = Driver::new(s);
    d.list(
        Scope::Complete,
        vec![
            Server {
                size: 3.0,
                ..server(1, 0)
            },
            server(2, 0),
        ],
    );
    let large = (0..400).filter(|n| d.serve(*n, 0, 5 * MS) == id(1)).count();
    assert!((285..=315).contains(&large), "{large}");
}

#[test]
fn a_key_keeps_its_server_and_balancers_agree_on_it() {
    let mut s = settings(free());
    s.key_affinity = true;
    let mut agree = 0;
    let (mut a, mut b) = (Driver::seeded(s.clone(), 1), Driver::seeded(s, 2));
    for d in [&mut a, &mut b] {
        d.list(Scope::Complete, fleet());
    }
    for n in 0..200 {
        for d in [&mut a, &mut b] {
            d.keyed(n, 0, Some(n % 40));
            d.pass(5 * MS);
            d.settle(n, 0, Outcome::Ok);
        }
        agree += u32::from(a.last_server(n) == b.last_server(n));
    }
    assert!(agree > 150, "{agree} of 200");
}

/// Ten painless answers a server teach the balancer what is usual.
fn teach(d: &mut Driver) {
    for n in 0..60 {
        d.serve(1_000_000 + n, 0, 10 * MS);
    }
}

#[test]
fn a_server_that_refuses_connections_is_ejected_and_tried_again() {
    let mut d = ready(free());
    teach(&mut d);
    let bad = id(1);
    let mut hits = 0;
    for n in 0..60 {
        d.request(n, 0);
        let first = d.last_server(n);
        d.pass(5 * MS);
        if first == bad {
            hits += 1;
            d.settle(n, 0, Outcome::ConnectFailed);
            d.pass(5 * MS);
            assert_ne!(d.last_server(n), bad, "tried elsewhere");
            d.settle(n, 1, Outcome::Ok);
        } else {
            d.settle(n, 0, Outcome::Ok);
        }
    }
    assert!((1..=3).contains(&hits), "set aside after {hits}");
    d.pass(2 * SECOND);
    let back = (100..1_600)
        .filter(|n| d.serve(*n, 0, 5 * MS) == bad)
        .count();
    assert!(back >= 250, "back after a trial: {back}");
}

#[test]
fn one_broken_response_ejects_no_server() {
    let mut d = ready(vec![class(Effect::NonIdempotent)]);
    (1_000..1_060).for_each(|n| _ = d.serve(n, 0, 10 * MS));
    for n in 0..3 {
        d.request(n, 0);
        d.settle(n, 0, Outcome::Reset);
    }
    let hit: BTreeSet<_> = (0..3).map(|n| d.last_server(n)).collect();
    let after: BTreeSet<_> = (10..40).map(|n| d.serve(n, 0, 10 * MS)).collect();
    assert!(hit.len() == 3 && hit == after, "all three go on: {after:?}");
}

#[test]
fn a_few_broken_connections_in_a_row_eject_no_server() {
    let mut d = ready(vec![class(Effect::NonIdempotent)]);
    (1_000..1_060).for_each(|n| _ = d.serve(n, 0, 10 * MS));
    for n in 0..12 {
        d.request(n, 0);
        let broken = d.last_server(n) == id(1);
        d.settle(n, 0, if broken { Outcome::Reset } else { Outcome::Ok });
    }
    assert!(
        (100..130).any(|n| d.serve(n, 0, 10 * MS) == id(1)),
        "it goes on"
    );
}

#[test]
fn one_lost_connection_after_some_broken_responses_ejects_no_server() {
    let mut d = ready(vec![class(Effect::NonIdempotent)]);
    (1_000..1_060).for_each(|n| _ = d.serve(n, 0, 10 * MS));
    let mut hits = 0;
    for n in 0..36 {
        d.request(n, 0);
        let bad = d.last_server(n) == id(1);
        hits += usize::from(bad);
        let outcome = [
            Outcome::Reset,
            Outcome::Reset,
            Outcome::ConnectFailed,
            Outcome::Ok,
        ];
        d.settle(
            n,
            0,
            if bad {
                outcome[hits.min(4) - 1]
            } else {
                Outcome::Ok
            },
        );
        (1..d.attempts(n) as u32).for_each(|attempt| d.settle(n, attempt, Outcome::Ok));
    }
    assert!(hits >= 8, "it goes on: {hits}");
}

#[test]
fn an_ejected_server_returns_by_a_probe_where_no_class_is_idempotent() {
    let mut s = settings(vec![class(Effect::NonIdempotent)]);
    s.limits.probes = true;
    let mut d = Driver::new(s);
    d.list(Scope::Complete, fleet());
    (1_000..1_060).for_each(|n| _ = d.serve(n, 0, 10 * MS));
    let probes = |d: &Driver| {
        d.actions
            .iter()
            .filter(|a| **a == Action::Probe { server: id(1) })
            .count()
    };
    for n in 0..30 {
        d.request(n, 0);
        let refuses = d.last_server(n) == id(1);
        d.settle(
            n,
            0,
            if refuses {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        let tries = d.attempts(n) as u32;
        (1..tries).for_each(|attempt| d.settle(n, attempt, Outcome::Ok));
    }
    assert!(
        (100..130).all(|n| d.serve(n, 0, MS) != id(1)),
        "it is aside"
    );
    let answer = |d: &mut Driver, outcome| {
        let before = probes(d);
        d.pass(9 * SECOND);
        assert!(probes(d) > before, "a probe is its trial");
        d.event(Event::ProbeEnded {
            server: id(1),
            outcome,
            latency: MS,
            load: None,
        });
        (0..30).any(|n| d.serve(d.now + n, 0, MS) == id(1))
    };
    assert!(
        !answer(&mut d, Outcome::ConnectFailed),
        "a failed probe keeps it aside"
    );
    assert!(answer(&mut d, Outcome::Ok), "a good one brings it back");
}

#[test]
fn a_server_that_does_not_answer_one_class_is_ejected_for_that_class_alone() {
    let mut d = ready(vec![
        class(Effect::NonIdempotent),
        class(Effect::NonIdempotent),
    ]);
    (1_000..1_120).for_each(|n| _ = d.serve(n, (n % 2) as usize, 10 * MS));
    let mut lost = 0;
    for n in 0..120 {
        if lost == 3 {
            break;
        }
        let asked = (n % 2) as usize;
        d.request(n, asked);
        let silent = asked == 1 && d.last_server(n) == id(1);
        d.pass(if silent { 300 * MS } else { 10 * MS });
        if silent {
            lost += 1;
            d.hang_up(n);
        }
        d.settle(
            n,
            0,
            if silent {
                Outcome::Cancelled
            } else {
                Outcome::Ok
            },
        );
    }
    assert_eq!(lost, 3);
    assert!(
        (200..215).all(|n| d.serve(n, 1, MS) != id(1)),
        "left out for the class it keeps silent on"
    );
    assert!(
        (300..330).any(|n| d.serve(n, 0, MS) == id(1)),
        "in use for the other"
    );
    d.pass(9 * SECOND);
    assert!((400..430).any(|n| d.serve(n, 1, MS) == id(1)), "a trial");
    assert!(
        (500..530).filter(|n| d.serve(*n, 1, MS) == id(1)).count() > 5,
        "answered, it is back"
    );
}

#[test]
fn a_server_ejected_for_a_class_does_not_keep_the_others_limits_down() {
    let mut d = Driver::new(settings(vec![class(Effect::NonIdempotent)]));
    d.list(Scope::Complete, vec![server(1, 0), server(2, 0)]);
    let ask = |d: &mut Driver, numbers: std::ops::Range<u64>| {
        numbers.clone().for_each(|n| d.request(n, 0));
        let sent: Vec<u64> = numbers.filter(|n| d.attempts(*n) > 0).collect();
        d.pass(MS);
        for n in &sent {
            if d.last_server(*n) != id(1) {
                d.settle(*n, 0, Outcome::Ok);
            }
        }
        sent.len()
    };
    ask(&mut d, 0..10);
    d.pass(300 * MS);
    for n in (0..10)
        .filter(|n| d.last_server(*n) == id(1))
        .collect::<Vec<_>>()
    {
        d.hang_up(n);
        d.settle(n, 0, Outcome::Cancelled);
    }
    (1..9).for_each(|round| assert_eq!(ask(&mut d, 100 * round..100 * round + 11), 11));
    assert!(
        ask(&mut d, 2_000..2_040) >= 18,
        "the limit of the one that answers has grown"
    );
}

#[test]
fn failures_of_a_whole_zone_alike_do_not_eject_all_of_it() {
    // Guards against overload: time-outs everywhere are load, and the other zone would go down
    // next.
    let mut d = ready(vec![class(Effect::NonIdempotent)]);
    for n in 0..60 {
        d.request(n, 0);
        d.pass(5 * MS);
        d.settle(n, 0, Outcome::ServerError);
    }
    let own = d
        .sends
        .iter()
        .rev()
        .take(30)
        .filter(|s| [id(1), id(2), id(3)].contains(&s.3))
        .count();
    assert!(own >= 15, "{own} of 30 stay in the own zone");
}

#[test]
fn a_saturated_zone_spills_over_only_its_excess() {
    // Guards against a crowded zone: answers grow slow, limits close, what waits long enough
    // crosses.
    let mut s = settings(free());
    s.penalties.cross_zone = 0.2;
    let mut d = Driver::new(s);
    d.list(Scope::Complete, fleet());
    let mut waiting: Vec<(Micros, RequestId)> = Vec::new();
    for n in 0..600 {
        d.request(n, 0);
        d.pass(5 * MS);
        // Servers of the own zone take 150 ms, the others 10 ms.
        for i in waiting.len()..d.sends.len() {
            let (at, request, attempt, to) = d.sends[i];
            let far = [id(4), id(5)].contains(&to);
            assert_eq!(attempt, 0);
            waiting.push((at + if far { 10 * MS } else { 150 * MS }, request));
        }
        for (due, request) in &mut waiting {
            if *due <= d.now {
                *due = Micros::MAX;
                d.settle(*request, 0, Outcome::Ok);
            }
        }
    }
    let far = d
        .sends
        .iter()
        .filter(|s| [id(4), id(5)].contains(&s.3))
        .count();
    let own = d.sends.len() - far;
    assert!(far > 50, "the excess leaves: {far}");
    assert!(own > 50, "the rest stays: {own}");
}

#[test]
fn network_latency_to_another_zone_does_not_count_as_overload() {
    // Guards against limits of far servers that stay at the least where aims are short and ways
    // long.
    let mut d = Driver::new(Settings {
        balancers: 4,
        ..settings(free())
    });
    d.list(Scope::Complete, vec![server(4, 1), server(5, 1)]);
    // More is asked for than the limits allow, and every answer takes as long as the way there and
    // a little work.
    let (mut next, mut settled) = (0, 0);
    let mut at_once = |d: &mut Driver| {
        (next..next + 24).for_each(|n| d.request(n, 0));
        next += 24;
        let out = d.sends[settled..].to_vec();
        d.pass(60 * MS);
        for sent in &out {
            d.settle(sent.1, sent.2, Outcome::Ok);
        }
        settled += out.len();
        out.len()
    };
    let before = at_once(&mut d);
    let after = (0..40).map(|_| at_once(&mut d)).last().unwrap_or(0);
    assert!(
        after > before,
        "{before} at once at first, {after} in the end"
    );
}

#[test]
fn many_balancers_share_the_limit_of_a_server() {
    // Guards against many agents: one request each at a time buries a server under all of them
    // together.
    let mut s = settings(free());
    s.balancers = 40;
    let mut d = Driver::new(s);
    d.list(Scope::Complete, fleet());
    for n in 0..200 {
        d.request(n, 0); // every answer comes at the latency_target: the servers are crowded
        d.pass(200 * MS);
        if d.attempts(n) == 1 {
            d.settle(n, 0, Outcome::Ok);
        }
    }
    let before = d.sends.len();
    (1_000..1_020).for_each(|n| d.request(n, 0));
    assert!(
        d.sends.len() - before <= 2,
        "{} in flight at five crowded servers",
        d.sends.len() - before
    );
}

/// The newest held request, too new to cross zones, kept older ones from crossing when room came.
#[test]
fn queued_requests_that_may_spill_over_do_not_wait_behind_newer_ones() {
    let mut s = settings(vec![class(Effect::NonIdempotent)]);
    s.penalties.cross_zone = 0.2;
    let mut d = Driver::new(s);
    d.list(Scope::Complete, vec![server(1, 0), server(2, 1)]);
    (0..60).for_each(|n| d.request(n, 0));
    d.pass(50 * MS);
    let abroad = d
        .sends
        .iter()
        .filter(|s| s.3 == id(2))
        .map(|s| s.1)
        .next()
        .expect("some crossed");
    d.request(100, 0);
    assert!(d.attempts(100) == 0, "no room anywhere");
    let before = d.sends.len();
    d.settle(abroad, 0, Outcome::Ok);
    assert!(
        d.sends.len() > before && d.last_server(d.sends[before].1) == id(2),
        "an older one crosses"
    );
    assert_eq!(d.attempts(100), 0, "the newest is too new to cross");
}

/// One request in flight from each of 140 agents was more than a jammed zone could drain.
#[test]
fn limits_that_sum_below_one_pause_the_zone() {
    let class = ClassSettings {
        deadline: 10 * SECOND,
        ..class(Effect::NonIdempotent)
    };
    let mut d = crowd(140, 4, vec![class], 1);
    let mut settled = 0;
    for n in 0..600 {
        d.request_until(n, 0, d.now + 10 * SECOND);
        d.pass(50 * MS);
        // Every answer comes at the latency_target: the zone is jammed. One at a time would make 150 in all.
        while d
            .sends
            .get(settled)
            .is_some_and(|s| s.0 + 200 * MS <= d.now)
        {
            let id = d.sends[settled].1;
            settled += 1;
            d.settle(id, 0, Outcome::Ok);
        }
    }
    assert!(
        (5..=60).contains(&d.sends.len()),
        "{} sends in 30 s from one of 140",
        d.sends.len()
    );
}

/// One of 527 agents, two zones of 30 servers, for 8 s: twice a second so many requests come at
/// once. Every send ends as `end` says.
fn one_of_very_many(at_once: u64, end: impl Fn(ServerId) -> (Outcome, Micros)) -> Driver {
    let far = |n| server(n, usize::from(n >= 30));
    let class = ClassSettings {
        deadline: 10 * SECOND,
        ..class(Effect::Idempotent)
    };
    let penalties = Penalties {
        cross_zone: 0.2,
        waste: 0.0,
        late_fail: 0.0,
    };
    let mut d = Driver::new(Settings {
        balancers: 527,
        penalties,
        ..settings(vec![class])
    });
    d.list(Scope::Complete, (0..60).map(far).collect());
    let mut settled = 0;
    for tick in 0..800 {
        for n in (0..at_once).filter(|_| tick % 50 == 0) {
            d.request_until(tick * 10 + n, 0, d.now + 10 * SECOND);
        }
        while let Some(&(_, id, attempt, server)) =
            d.sends.get(settled).filter(|s| s.0 + end(s.3).1 <= d.now)
        {
            settled += 1;
            d.settle(id, attempt, end(server).0);
        }
        d.pass(10 * MS);
    }
    d
}

fn far_sends(d: &Driver) -> usize {
    d.sends
        .iter()
        .filter(|s| (30..60).any(|n| s.3 == id(n)))
        .count()
}

#[test]
fn overloaded_servers_do_not_widen_the_subset_of_one_of_very_many_balancers() {
    let d = one_of_very_many(8, |_| (Outcome::Overloaded, 0));
    let (sends, far) = (d.sends.len(), far_sends(&d));
    assert!(
        (8..=50).contains(&sends),
        "{sends} sends in 8 s, none of use"
    );
    assert!(
        far <= 24,
        "{far} sends crossed zones to servers as full as the own"
    );
}

#[test]
fn the_known_limits_of_a_subset_stand_for_the_zone() {
    // All answers come at their latency_target: limits never heard of must not keep the sends up.
    let d = one_of_very_many(1, |_| (Outcome::Ok, 200 * MS));
    assert!(
        (2..=10).contains(&d.sends.len()),
        "{} sends in 8 s",
        d.sends.len()
    );
    let calm = one_of_very_many(1, |_| (Outcome::Ok, 20 * MS));
    assert_eq!(calm.sends.len(), 16, "a calm zone takes all");
    assert_eq!(far_sends(&calm), 0);
}

/// 300 agents before 200 servers: each hears of four or five of its zone's fifty, and the other
/// limits, as they were at first, kept the zone open while its servers choked (service 0.08 where
/// 60 agents had 0.86).
#[test]
fn initial_limits_of_unused_servers_do_not_keep_an_overloaded_zone_open() {
    let sends = |latency| {
        let class = ClassSettings {
            deadline: 10 * SECOND,
            ..class(Effect::Idempotent)
        };
        let penalties = Penalties {
            cross_zone: 0.2,
            waste: 0.0,
            late_fail: 0.0,
        };
        let mut d = Driver::new(Settings {
            balancers: 300,
            penalties,
            ..settings(vec![class])
        });
        d.list(
            Scope::Complete,
            (0..200).map(|n| server(n, n as usize / 100)).collect(),
        );
        let mut settled = 0;
        for n in 0..200 {
            d.request_until(n, 0, d.now + 10 * SECOND);
            for _ in 0..5 {
                d.pass(10 * MS);
                while let Some(&(_, id, attempt, _)) =
                    d.sends.get(settled).filter(|s| s.0 + latency <= d.now)
                {
                    settled += 1;
                    d.settle(id, attempt, Outcome::Ok);
                }
            }
        }
        d.sends.len()
    };
    assert_eq!(sends(20 * MS), 200, "a calm zone takes all");
    let late = sends(200 * MS);
    assert!(
        late <= 100,
        "{late} sends of 200 though every answer comes at its aim"
    );
}

#[test]
fn unreachable_servers_are_not_all_tried_by_each_of_very_many_balancers() {
    let d = one_of_very_many(8, |_| (Outcome::ConnectFailed, 150 * MS));
    let met: BTreeSet<_> = d.sends.iter().map(|s| s.3).collect();
    assert!(
        (4..=16).contains(&met.len()),
        "{} servers tried in 8 s",
        met.len()
    );
    assert!(d.sends.len() <= 60, "{} sends in 8 s", d.sends.len());
}

/// Every agent's limits grew by one an answer until the first pain: 187 agents choked a zone in
/// seconds.
#[test]
fn the_first_growth_of_a_limit_is_shared_among_many_balancers() {
    let mut d = crowd(160, 10, vec![class(Effect::NonIdempotent)], 1);
    for n in 0..4 {
        (0..12).for_each(|i| d.request(12 * n + i, 0));
        for _ in 0..20 {
            d.pass(10 * MS);
            let out: Vec<_> = (12 * n..12 * n + 12)
                .filter(|i| d.attempts(*i) == 1 && !d.answered(*i))
                .collect();
            for id in out {
                d.settle(id, 0, Outcome::Ok);
            }
        }
        d.pass(SECOND);
    }
    let before = d.sends.len();
    (1_000..1_050).for_each(|n| d.request(n, 0));
    let burst = d.sends.len() - before;
    assert!(
        (1..=5).contains(&burst),
        "{burst} in flight at once from one of 160 agents"
    );
}

#[test]
fn a_balancer_that_causes_all_of_a_servers_load_gets_all_of_its_limit() {
    // Guards against skewed traffic: a limit split evenly by agents starves the one that has all
    // the requests.
    let in_flight = |active: f64| {
        let mut s = settings(free());
        s.balancers = 10;
        let mut d = Driver::new(s);
        d.list(Scope::Complete, fleet());
        d.load = Some(LoadReport {
            cpu: None,
            active: Some(active),
        });
        for n in 0..400 {
            let ids = 12 * n..12 * n + 12;
            ids.clone().for_each(|id| d.request(id, 0));
            d.pass(if n % 4 == 0 { 100 * MS } else { 30 * MS });
            for id in ids {
                if d.attempts(id) == 1 && !d.answered(id) {
                    d.settle(id, 0, Outcome::Ok);
                }
            }
        }
        let before = d.sends.len();
        (10_000..10_050).for_each(|n| d.request(n, 0));
        d.sends.len() - before
    };
    let (alone, one_of_many) = (in_flight(1.0), in_flight(50.0));
    assert!(
        alone >= one_of_many + 3,
        "{alone} alone, {one_of_many} among many"
    );
}

#[test]
fn a_server_that_rejects_at_once_is_no_black_hole() {
    // Guards against fast refusals: such a server always has room and would be sent ever more.
    let mut d = ready(free());
    teach(&mut d);
    let before = d.sends.len();
    for n in 0..200 {
        d.request(n, 0); // the others never answer and are soon at their limits
        for attempt in 0..3 {
            if d.attempts(n) == attempt as usize + 1 && d.last_server(n) == id(1) {
                d.settle(n, attempt, Outcome::Overloaded);
            }
        }
        d.pass(MS);
    }
    let hits = d.sends[before..].iter().filter(|s| s.3 == id(1)).count();
    assert!(hits <= 25, "{hits} sends to the full server in 200 ms");
}

#[test]
fn a_zone_with_capacity_does_not_spill_over() {
    let mut s = settings(free());
    s.penalties.cross_zone = 0.2;
    let mut d = Driver::new(s);
    d.list(Scope::Complete, fleet());
    teach(&mut d);
    assert!(d.sends.iter().all(|s| [id(1), id(2), id(3)].contains(&s.3)));
}

#[test]
fn a_restarted_server_has_a_slow_start() {
    let mut d = ready(free());
    teach(&mut d);
    let started = Some(d.now);
    d.list(
        Scope::Changes,
        vec![Server {
            started,
            ..server(1, 0)
        }],
    );
    let early = (0..100).filter(|n| d.serve(*n, 0, 5 * MS) == id(1)).count();
    assert!(early <= 15, "{early} of 100 while cold");
    d.pass(25 * SECOND);
    let warm = (200..300)
        .filter(|n| d.serve(*n, 0, 5 * MS) == id(1))
        .count();
    assert!((28..=38).contains(&warm), "{warm} of 100 when warm");
}

#[test]
fn a_restarted_server_is_not_judged_by_outcomes_of_its_last_incarnation() {
    let mut d = ready(free());
    teach(&mut d);
    let held: Vec<u64> = (0..9)
        .filter(|n| {
            d.request(*n, 0);
            d.last_server(*n) == id(1)
        })
        .collect();
    d.pass(10 * MS);
    d.list(
        Scope::Changes,
        vec![Server {
            started: Some(d.now - 60 * SECOND),
            ..server(1, 0)
        }],
    );
    for id in &held {
        d.settle(*id, 0, Outcome::Reset);
    }
    (0..9)
        .filter(|n| !held.contains(n))
        .for_each(|n| d.settle(n, 0, Outcome::Ok));
    assert!(held.len() >= 2);
    assert!(
        (100..130).any(|n| d.serve(n, 0, 5 * MS) == id(1)),
        "it is warm and healthy"
    );
}

#[test]
fn extreme_clocks_and_deadlines_cause_no_panic() {
    let mut d = ready(free());
    d.now = Micros::MAX;
    d.request_until(1, 0, Micros::MAX);
    assert!(d.attempts(1) == 1 || d.refused.contains_key(&1));
    let broken = Settings {
        classes: vec![ClassSettings {
            latency_target: u64::MAX,
            ..class(Effect::Idempotent)
        }],
        ..settings(free())
    };
    assert_eq!(
        Balancer::new(broken, 1).err(),
        Some(SettingsError::OutOfRange { name: "aim" })
    );
}

#[test]
fn a_fleet_that_warms_up_is_not_overloaded() {
    // Guards rule 4 where no warm peer tells how much is bearable.
    let mut d = Driver::new(settings(free()));
    let started = Some(d.now);
    d.list(
        Scope::Complete,
        vec![Server {
            started,
            ..server(1, 0)
        }],
    );
    for n in 0..1_000 {
        d.request(n, 0);
        d.pass(MS);
    }
    assert!(
        d.sends.len() <= 4,
        "{} sends in a second that nobody answered",
        d.sends.len()
    );
    d.pass(2 * SECOND);
    assert!((0..1_000).all(|n| d.answered(n) || d.attempts(n) == 1));
}

/// A restarted server had one request from each of 160 agents within a second, and fell over.
#[test]
fn many_balancers_together_do_not_overload_a_warming_server() {
    let (safety, agents, mut sent) = (Settings::default().safety, 160, Vec::new());
    for agent in 0..agents {
        let mut d = crowd(agents, 4, free(), u64::from(agent));
        let mut next = 0;
        let mut serve = |d: &mut Driver| {
            next += 1;
            let chosen = d.serve(next, 0, 20 * MS);
            d.pass(980 * MS);
            chosen
        };
        (0..20).for_each(|_| _ = serve(&mut d));
        d.pass(u64::from(agent) * 6 * MS);
        let back = Server {
            started: Some(d.now),
            ..server(9, 0)
        };
        d.list(Scope::Changes, vec![back]);
        let started = d.now;
        d.pass(100 * MS);
        while d.now < started + 4 * safety.overload_window {
            let at = d.now - started;
            if serve(&mut d) == id(9) {
                sent.push(at);
            }
        }
    }
    // Each warm server answers a quarter of one request a second from each agent.
    let carried = f64::from(agents) / 4.0 * safety.overload_window as f64 / SECOND as f64;
    let bearable = safety.overload_multiple * safety.initial_capacity * carried;
    assert!(
        (sent.len() as f64) < bearable,
        "{} sent, {bearable} bearable",
        sent.len()
    );
    assert!(
        !sent.is_empty(),
        "a cold server must get its share, or it never warms"
    );
}

/// Six in ten servers of a zone were replaced at once: agents that keep to few had only cold ones,
/// which they held requests for, and the warm ones choked. Now the warm and the granted serve, and
/// no cold one is pushed over.
#[test]
fn many_balancers_serve_through_a_zone_whose_servers_all_warm_up() {
    let (safety, agents) = (Settings::default().safety, 100);
    let (mut sent, mut asked, mut at_once) = (BTreeMap::<ServerId, Vec<Micros>>::new(), 0, 0);
    for agent in 0..agents {
        let mut d = crowd(agents, 10, free(), u64::from(agent));
        (0..40).for_each(|n| {
            d.serve(n, 0, 20 * MS);
            d.pass(200 * MS);
        });
        let fresh = |n| Server {
            started: Some(d.now - 500 * MS),
            ..server(n, 0)
        };
        let mut list: Vec<Server> = (21..=26).map(fresh).collect();
        list.extend((1..=6).map(|n| Server {
            phase: Phase::Gone,
            ..server(n, 0)
        }));
        d.list(Scope::Changes, list);
        let (start, from) = (d.now, 1_000 + u64::from(agent % 40) * 5);
        d.pass(from % 200 * MS);
        for n in from..from + 20 {
            d.request(n, 0);
            (asked, at_once) = (asked + 1, at_once + usize::from(d.attempts(n) == 1));
            d.pass(20 * MS);
            if d.attempts(n) == 1 && !d.answered(n) {
                sent.entry(d.last_server(n))
                    .or_default()
                    .push(d.now - start);
                d.settle(n, 0, Outcome::Ok);
            }
            d.pass(180 * MS);
        }
    }
    // Each of ten servers had a tenth of a hundred agents' five requests a second.
    let carried = 4.5 * f64::from(agents) / 10.0 * safety.overload_window as f64 / SECOND as f64;
    let warmth = |age: Micros| {
        safety.initial_capacity
            + (1.0 - safety.initial_capacity) * age as f64 / safety.warm_up as f64
    };
    for n in 21..=26 {
        let times = sent.get(&id(n)).cloned().unwrap_or_default();
        for at in &times {
            let window = times
                .iter()
                .filter(|t| (*at..at + safety.overload_window).contains(t))
                .count();
            let bearable = safety.overload_multiple * warmth(at + 500 * MS) * carried;
            assert!(
                (window as f64) < bearable,
                "{window} sent to one, {bearable} bearable"
            );
        }
        assert!(
            times.len() * 10 > asked / 10,
            "cold ones serve too: {} of {asked}",
            times.len()
        );
    }
    assert!(
        at_once * 100 >= asked * 95,
        "{at_once} of {asked} sent at once"
    );
}

#[test]
fn a_non_idempotent_request_is_retried_only_when_it_cannot_have_run() {
    let mut d = ready(vec![class(Effect::NonIdempotent)]);
    teach(&mut d);
    d.request(1, 0);
    d.settle(1, 0, Outcome::Overloaded);
    assert_eq!(d.attempts(1), 2);
    d.settle(1, 1, Outcome::Reset);
    assert_eq!(d.attempts(1), 2);
    assert!(
        d.failed.contains_key(&1),
        "failed, not refused: it may have run"
    );
}

#[test]
fn a_deduplicated_request_is_retried_only_in_its_group_and_window() {
    let guarded = |group, window| vec![class(Effect::Deduplicated { group, window })];
    let mut d = ready(guarded(Group::Zone, SECOND));
    d.request(1, 0);
    d.settle(1, 0, Outcome::Reset);
    assert!(d.attempts(1) == 1 || [id(1), id(2), id(3)].contains(&d.last_server(1)));
    let mut d = ready(guarded(Group::Cell, SECOND));
    teach(&mut d);
    for n in 0..20 {
        d.request(n, 0);
        let first = d.last_server(n);
        d.settle(n, 0, Outcome::ServerError);
        let second = d.last_server(n);
        let cell = |s| u64::from(s != id(1));
        assert_eq!(cell(first), cell(second), "cells of servers 1 | 2, 3");
    }
    let mut d = ready(guarded(Group::All, 50 * MS));
    teach(&mut d);
    d.request(1, 0);
    d.pass(60 * MS);
    d.settle(1, 0, Outcome::ServerError);
    assert_eq!(d.attempts(1), 1, "the window has passed");
}

#[test]
fn one_attempt_at_a_time_is_in_flight_without_hedging() {
    let mut d = ready(free());
    teach(&mut d);
    for n in 0..20 {
        d.request(n, 0);
        d.pass(30 * MS);
    }
    d.pass(100 * MS);
    for n in 0..20 {
        assert!(d.attempts(n) <= 1, "the first attempt is not settled yet");
    }
}

#[test]
fn a_late_response_is_hedged_where_hedging_is_allowed() {
    let mut d = copying();
    d.request(1, 0);
    let first = d.last_server(1);
    d.pass(100 * MS);
    assert_eq!(d.attempts(1), 2);
    assert_ne!(d.last_server(1), first);
    d.settle(1, 1, Outcome::Ok);
    assert!(d.cancelled.contains(&(1, 0)), "the loser is called off");
}

#[test]
fn hedged_requests_that_lose_become_rarer() {
    // Guards against copying heavy requests: they are as heavy elsewhere, and the copy only adds
    // load.
    let copies = |copy_wins: bool| {
        let mut d = copying();
        let before = d.sends.len();
        for n in 0..600 {
            d.request(n, 0);
            d.pass(if n % 3 == 0 { 120 * MS } else { 10 * MS });
            let copied = d.attempts(n) == 2;
            d.settle(n, u32::from(copied && copy_wins), Outcome::Ok);
            if copied {
                d.settle(n, u32::from(!copy_wins), Outcome::Cancelled);
            }
        }
        d.sends.len() - before - 600
    };
    let (won, lost) = (copies(true), copies(false));
    assert!(won > 2 * lost, "{won} copies that win, {lost} that lose");
}

#[test]
fn a_slow_attempt_is_waited_for_where_only_one_is_allowed() {
    // Guards against calling off attempts that run on anyway: the work is done twice, and the zone
    // jams.
    let mut d = ready(free());
    teach(&mut d);
    for n in 0..30 {
        d.request(n, 0);
        d.pass(5 * MS);
    }
    d.pass(150 * MS);
    assert!(d.cancelled.is_empty());
}

#[test]
fn every_request_is_answered_before_its_client_gives_up() {
    let mut d = Driver::new(settings(free()));
    d.request(1, 0); // no list at all
    d.list(Scope::Complete, fleet());
    d.request(2, 0); // never answered
    d.pass(SECOND);
    let end = 1_001 * SECOND;
    for n in [1, 2] {
        assert!(d.attempts(n) == 1 && d.failed[&n] <= end, "request {n}");
    }
    let mut d = Driver::new(settings(free()));
    d.request(3, 0);
    d.pass(SECOND);
    assert!(
        d.refused[&3] <= end,
        "nothing was sent: trying again is harmless"
    );
}

#[test]
fn a_request_whose_client_disconnected_is_not_retried() {
    let mut d = ready(free());
    d.request(1, 0);
    d.hang_up(1);
    d.settle(1, 0, Outcome::ServerError);
    d.pass(2 * SECOND);
    assert_eq!(d.attempts(1), 1);
    assert!(!d.answered(1));
}

#[test]
fn a_started_stream_has_no_deadline_and_is_not_hedged() {
    let mut s = settings(vec![ClassSettings {
        streaming: true,
        ..class(Effect::Idempotent)
    }]);
    s.limits.allow_hedging = true;
    let mut d = Driver::new(s);
    d.list(Scope::Complete, fleet());
    d.request(1, 0);
    d.event(Event::ResponseStarted { id: 1, attempt: 0 });
    d.pass(5 * SECOND);
    assert!(!d.answered(1) && d.attempts(1) == 1 && d.cancelled.is_empty());
}

#[test]
fn the_most_valuable_queued_request_is_sent_first() {
    let classes = vec![
        class(Effect::Idempotent),
        ClassSettings {
            value: 9.0,
            ..class(Effect::Idempotent)
        },
    ];
    let mut d = Driver::new(settings(classes));
    d.request(1, 0);
    d.request(2, 1);
    d.list(Scope::Complete, fleet());
    assert_eq!(d.sends.iter().map(|s| s.1).collect::<Vec<_>>(), [2, 1]);
}

#[test]
fn discovery_is_retried_after_a_failure_with_backoff() {
    let mut s = settings(free());
    s.discovery = Discovery::Subscribed;
    let mut d = Driver::new(s);
    d.list(Scope::Cached, fleet());
    assert_eq!(d.subscribed.len(), 1);
    for _ in 0..6 {
        let asked = d.subscribed.len();
        d.list(Scope::Failed, vec![]);
        d.pass(10 * SECOND);
        assert!(
            d.subscribed.len() > asked,
            "asked again within discovery_interval"
        );
    }
    let asked = d.subscribed.len();
    d.list(Scope::Changes, vec![]);
    d.pass(60 * SECOND);
    assert_eq!(d.subscribed.len(), asked, "subscribed: no more calls");
    assert!(
        (0..20).all(|n| d.serve(n, 0, 5 * MS) != id(4)),
        "the list is kept meanwhile"
    );
}

/// Whatever failed before, discovery is asked again so soon that a call which waits its turn there,
/// for half of `MAX_DISCOVERY_DELAY` at most, is answered within `MAX_DISCOVERY_DELAY` of its return.
#[test]
fn the_discovery_backoff_stays_within_half_of_the_maximum_discovery_delay() {
    for discovery_interval in [3 * SECOND, 10 * SECOND, 60 * SECOND] {
        let mut s = settings(free());
        (s.discovery, s.safety.discovery_interval) = (Discovery::Subscribed, discovery_interval);
        let mut d = Driver::new(s);
        d.list(Scope::Cached, fleet());
        for failure in 0..40 {
            let asked = d.subscribed.len();
            d.list(Scope::Failed, vec![]);
            d.pass(MAX_DISCOVERY_DELAY / 2);
            assert!(
                d.subscribed.len() > asked,
                "{discovery_interval} us: not asked after failure {failure}"
            );
        }
    }
}

#[test]
fn the_same_events_and_seed_give_the_same_actions() {
    let run = || {
        let mut d = ready(free());
        teach(&mut d);
        d.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn unsound_settings_are_an_error_and_unsound_requests_are_rejected() {
    let broken = |change: fn(&mut Settings)| {
        let mut s = settings(free());
        change(&mut s);
        Balancer::new(s, 1).err()
    };
    assert_eq!(
        broken(|s| s.classes.clear()),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(broken(|s| s.zone = 2), Some(SettingsError::UnknownZone));
    assert_eq!(
        broken(|s| s.classes[0].latency_target = 0),
        Some(SettingsError::OutOfRange { name: "aim" })
    );
    assert_eq!(
        broken(|s| s.safety.initial_capacity = 0.0),
        Some(SettingsError::OutOfRange { name: "cold_share" })
    );
    assert_eq!(broken(|_| ()), None);
    let mut d = ready(free());
    d.request(1, 7);
    assert!(d.refused.contains_key(&1), "a class that does not exist");
}

/// Behind a full server requests were held until their aim was lost, and their clients could not
/// try elsewhere.
#[test]
fn a_request_that_no_server_has_seen_is_rejected_early_with_a_jittered_retry_delay() {
    let slow = ClassSettings {
        latency_target: 800 * MS,
        ..class(Effect::NonIdempotent)
    };
    let mut d = Driver::new(settings(vec![slow]));
    d.list(Scope::Complete, vec![server(1, 0)]);
    (1..=40).for_each(|id| d.request(id, 0));
    let sent = d.sends.len();
    d.pass(260 * MS);
    let held = 40 - sent;
    assert!(
        held > 1 && d.refused.len() == held,
        "{held} held, refused: {:?}",
        d.refused
    );
    assert!(
        d.refused.values().all(|&at| at < d.now),
        "given up in the first quarter of their second"
    );
    let mut away = BTreeSet::new();
    for action in &d.actions {
        if let Action::Reject { retry_after, .. } = action {
            away.insert(retry_after.expect("a stay-away"));
        }
    }
    assert!(away.iter().all(|&a| a > 0 && a <= SECOND), "{away:?}");
    assert!(
        away.len() > held / 2,
        "clients come back at different times: {away:?}"
    );
}

/// A body that takes its time: the client's time counts from its last byte, and so does the
/// server's.
#[test]
fn the_time_of_a_request_counts_from_the_last_byte_of_its_body() {
    let single = || vec![class(Effect::NonIdempotent)];
    let mut d = ready(single());
    d.request_until(1, 0, d.now + 600 * SECOND);
    d.pass(20 * SECOND);
    assert!(!d.answered(1), "nothing is late while it comes");
    d.event(Event::RequestComplete {
        id: 1,
        expires: d.now + SECOND,
    });
    let whole = d.now;
    d.pass(2 * SECOND);
    let failed = d
        .failed
        .get(&1)
        .expect("ended, and never told to come again");
    assert!(
        (whole + SECOND / 2..whole + SECOND).contains(failed),
        "before its client gives up"
    );
    assert!(d.cancelled.contains(&(1, 0)));
    // Of a request that is over nobody hears again.
    d.event(Event::RequestComplete {
        id: 1,
        expires: d.now + SECOND,
    });
    d.settle(1, 0, Outcome::Cancelled);
    d.pass(2 * SECOND);
    assert_eq!((d.failed.len(), d.attempts(1)), (1, 1));
    // It is tried again while an answer can still come in time, counted from there.
    let mut d = ready(vec![class(Effect::Idempotent)]);
    (1_000..1_100).for_each(|n| _ = d.serve(n, 0, 5 * MS));
    d.request_until(1, 0, d.now + 600 * SECOND);
    d.pass(20 * SECOND);
    d.event(Event::RequestComplete {
        id: 1,
        expires: d.now + SECOND,
    });
    d.pass(10 * MS);
    d.settle(1, 0, Outcome::ServerError);
    assert_eq!(d.attempts(1), 2);
}
