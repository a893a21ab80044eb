//! Unreachable zones, and zones that are only slow: where requests go, when, and which are never
//! retried.

mod common;

use std::collections::BTreeMap;

use common::*;
use ironmast_balancer::*;

/// What a zone does with what reaches it.
#[derive(Clone, Copy, PartialEq)]
enum Zone {
    /// Answers after so long; probes at once.
    Answers(Micros),
    /// Gives no sign.
    Silent,
    /// Its processes are gone: connections are refused.
    Refuses,
}

/// One agent of zone 0 before three servers in each of three zones, 50 requests a second for as
/// long as it is played.
struct Play {
    d: Driver,
    asked: RequestId,
    sends: usize,
    actions: usize,
    due: BTreeMap<(Micros, u64), Event>,
    count: u64,
    /// Sends by zone.
    to: [usize; 3],
}

impl Play {
    fn new(effect: Effect) -> Play {
        let class = ClassSettings {
            latency_target: 400 * MS,
            deadline: SECOND,
            effect,
            ..ClassSettings::default()
        };
        let mut settings = Settings {
            zones: 3,
            ..settings(vec![class])
        };
        settings.limits.probes = true;
        let mut d = Driver::new(settings);
        d.list(
            Scope::Complete,
            (1..=9).map(|n| server(n, (n as usize - 1) / 3)).collect(),
        );
        let (sends, actions, due, count, to) = (0, 0, BTreeMap::new(), 0, [0; 3]);
        Play {
            d,
            asked: 0,
            sends,
            actions,
            due,
            count,
            to,
        }
    }

    fn zone(server: ServerId) -> usize {
        (1..=9)
            .position(|n| id(n) == server)
            .expect("a listed server")
            / 3
    }

    fn later(&mut self, after: Micros, event: Event) {
        self.count += 1;
        self.due.insert((self.d.now + after, self.count), event);
    }

    /// Plays for a while, as the real driver would: attempts end by their answer, when called off,
    /// or with their client's time; probes are given up after 250 ms.
    fn play(&mut self, time: Micros, zones: [Zone; 3]) {
        let end = self.d.now + time;
        self.to = [0; 3];
        let mut step = 0;
        while self.d.now < end {
            if step % 4 == 0 {
                self.asked += 1;
                self.d.request(self.asked, 0);
            }
            step += 1;
            while let Some(&(sent, request, attempt, server)) = self.d.sends.get(self.sends) {
                self.sends += 1;
                self.to[Play::zone(server)] += 1;
                let (after, outcome) = match zones[Play::zone(server)] {
                    Zone::Answers(after) => (after, Outcome::Ok),
                    Zone::Refuses => (2 * MS, Outcome::ConnectFailed),
                    Zone::Silent => (SECOND, Outcome::Timeout),
                };
                let (latency, finished) = (after, outcome == Outcome::Ok);
                let settled = AttemptEnded {
                    id: request,
                    server,
                    attempt,
                    outcome,
                    latency,
                    finished,
                    load: None,
                };
                self.later(
                    after - (self.d.now - sent).min(after),
                    Event::AttemptEnded(settled),
                );
            }
            while let Some(action) = self.d.actions.get(self.actions).cloned() {
                self.actions += 1;
                if let Action::Probe { server } = action {
                    let (latency, outcome) = match zones[Play::zone(server)] {
                        Zone::Answers(_) => (2 * MS, Outcome::Ok),
                        Zone::Refuses => (2 * MS, Outcome::ConnectFailed),
                        Zone::Silent => (250 * MS, Outcome::Timeout),
                    };
                    self.later(
                        latency,
                        Event::ProbeEnded {
                            server,
                            outcome,
                            latency,
                            load: None,
                        },
                    );
                } else if let Action::Cancel { id, attempt } = action {
                    let this = |e: &Event| matches!(e, Event::AttemptEnded(s) if s.id == id && s.attempt == attempt);
                    let Some(key) = self.due.iter().find(|(_, e)| this(e)).map(|(key, _)| *key)
                    else {
                        continue;
                    };
                    let Some(Event::AttemptEnded(mut settled)) = self.due.remove(&key) else {
                        continue;
                    };
                    settled.outcome = Outcome::Cancelled;
                    settled.finished = self.d.answered(id);
                    self.later(0, Event::AttemptEnded(settled));
                }
            }
            while let Some((key, event)) = self.due.pop_first() {
                if key.0 > self.d.now {
                    self.due.insert(key, event);
                    break;
                }
                if let Event::AttemptEnded(s) = &event
                    && s.outcome == Outcome::Ok
                {
                    self.d.served.insert(s.id);
                }
                self.d.event(event);
            }
            self.d.pass(5 * MS);
        }
    }

    fn logged(&self, text: &str) -> usize {
        self.d
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Log(line) if line.contains(text)))
            .count()
    }
}

const WELL: Zone = Zone::Answers(40 * MS);
const ALL: Group = Group::All;

#[test]
fn requests_leave_an_unreachable_zone_and_return_when_it_recovers() {
    for effect in [
        Effect::NonIdempotent,
        Effect::Idempotent,
        Effect::Deduplicated {
            group: ALL,
            window: 4 * SECOND,
        },
    ] {
        let mut p = Play::new(effect);
        p.play(2 * SECOND, [WELL; 3]);
        assert!(
            p.to[0] > 90 && p.to[1] + p.to[2] == 0,
            "at home: {:?}",
            p.to
        );
        p.play(SECOND, [Zone::Silent, WELL, WELL]);
        p.play(3 * SECOND, [Zone::Silent, WELL, WELL]);
        let away = p.to[1] + p.to[2];
        assert!(
            away >= 149 && p.to[0] == 0,
            "{effect:?}, from a second on all goes elsewhere: {:?}",
            p.to
        );
        assert_eq!(p.logged("zone 0 is silent"), 1);
        p.play(SECOND, [WELL; 3]);
        p.play(2 * SECOND, [WELL; 3]);
        assert!(
            p.to[0] >= 95,
            "{effect:?}, from a second after its return at home: {:?}",
            p.to
        );
        assert_eq!(p.logged("zone 0 gives signs again"), 1);
    }
}

/// What is out in a silent zone and may be repeated goes elsewhere before its aim; what may not is
/// never sent again.
#[test]
fn attempts_in_an_unreachable_zone_are_retried_elsewhere_only_where_that_is_safe() {
    for (effect, moves) in [(Effect::Idempotent, true), (Effect::NonIdempotent, false)] {
        let mut p = Play::new(effect);
        p.play(2 * SECOND, [WELL; 3]);
        let first = p.asked + 1;
        p.play(2 * SECOND, [Zone::Silent, WELL, WELL]);
        let twice = (first..=p.asked).filter(|id| p.d.attempts(*id) > 1).count();
        assert_eq!(twice > 0, moves, "{effect:?}: {twice} sent again");
        let lost = (first..=p.asked)
            .filter(|id| p.d.failed.contains_key(id))
            .count();
        assert!(
            lost <= 25,
            "{effect:?}: {lost} failed, the first half second's"
        );
    }
}

#[test]
fn a_slow_zone_is_not_unreachable() {
    let mut p = Play::new(Effect::Idempotent);
    p.play(2 * SECOND, [WELL; 3]);
    p.play(4 * SECOND, [Zone::Answers(312 * MS), WELL, WELL]);
    assert_eq!(p.logged("silent"), 0, "7.8 times slower but answering");
    let mut p = Play::new(Effect::Idempotent);
    p.play(2 * SECOND, [WELL; 3]);
    p.play(4 * SECOND, [Zone::Answers(112 * MS); 3]);
    assert!(
        p.logged("silent") == 0 && p.to[1] + p.to[2] == 0,
        "all 2.8 times slower: {:?}",
        p.to
    );
}

#[test]
fn a_zone_that_refuses_connections_is_left_without_being_unreachable() {
    let mut p = Play::new(Effect::NonIdempotent);
    p.play(2 * SECOND, [WELL; 3]);
    p.play(SECOND, [Zone::Refuses, WELL, WELL]);
    p.play(2 * SECOND, [Zone::Refuses, WELL, WELL]);
    assert!(
        p.to[1] + p.to[2] >= 95 && p.logged("silent") == 0,
        "{:?}",
        p.to
    );
}

#[test]
fn two_zones_of_three_may_be_unreachable_at_once() {
    let mut p = Play::new(Effect::NonIdempotent);
    p.play(2 * SECOND, [WELL; 3]);
    p.play(3 * SECOND / 2, [Zone::Silent, Zone::Silent, WELL]);
    p.play(2 * SECOND, [Zone::Silent, Zone::Silent, WELL]);
    assert!(p.to[2] >= 98, "{:?}", p.to);
}

#[test]
fn an_isolated_balancer_rejects_at_once_and_serves_when_it_recovers() {
    let mut p = Play::new(Effect::Idempotent);
    p.play(2 * SECOND, [WELL; 3]);
    p.play(2 * SECOND, [Zone::Silent; 3]);
    let first = p.asked + 1;
    p.play(2 * SECOND, [Zone::Silent; 3]);
    assert_eq!(p.to, [0; 3], "no flight from zone to zone");
    let refused = (first..=p.asked)
        .filter(|id| p.d.refused.contains_key(id))
        .count();
    assert!(refused >= 99, "{refused} of 100 refused");
    let told =
        |a: &Action| matches!(a, Action::Reject { retry_after: Some(after), .. } if *after > 0);
    assert!(
        p.d.actions.iter().filter(|a| told(a)).count() >= refused,
        "each is told when to come back"
    );
    p.play(SECOND, [WELL; 3]);
    p.play(SECOND, [WELL; 3]);
    assert!(p.to[0] >= 48, "{:?}", p.to);
}

/// It is left no later than the first time, and comes home each time.
#[test]
fn a_zone_that_flaps_costs_no_more_each_time() {
    let mut p = Play::new(Effect::NonIdempotent);
    p.play(2 * SECOND, [WELL; 3]);
    let mut lost = Vec::new();
    for _ in 0..4 {
        p.play(SECOND, [Zone::Silent, WELL, WELL]);
        lost.push(p.to[0]);
        p.play(3 * SECOND / 2, [WELL; 3]);
    }
    assert!(
        lost.iter().all(|n| *n <= lost[0]),
        "sent into silence each time: {lost:?}"
    );
    p.play(SECOND, [WELL; 3]);
    assert!(p.to[0] >= 48, "{:?}", p.to);
}

/// Without the probes that tell silence from slowness nobody finds it: the guard's own test.
#[test]
fn without_probes_an_unreachable_zone_is_not_found_at_once() {
    let mut p = Play::new(Effect::NonIdempotent);
    let mut settings = settings(vec![ClassSettings {
        latency_target: 400 * MS,
        ..class(Effect::NonIdempotent)
    }]);
    settings.zones = 3;
    p.d = Driver::new(settings);
    p.d.list(
        Scope::Complete,
        (1..=9).map(|n| server(n, (n as usize - 1) / 3)).collect(),
    );
    p.play(2 * SECOND, [WELL; 3]);
    p.play(SECOND, [Zone::Silent, WELL, WELL]);
    assert_eq!(p.logged("silent"), 0);
}
