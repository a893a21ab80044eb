//! The judge catches whoever breaks a rule, and nobody else; runs repeat exactly.

use std::collections::BTreeMap;

use ironmast_balancer::{
    Action, Event, Micros, Outcome, Phase, RequestId, Scope, ServerId, Settings,
};
use ironmast_emulator::{GroundTruth, Policy, PolicyName, Report, Rule, Scenario, Simulation};
use rayon::prelude::*;

/// A small fleet; `more` goes under the last heading.
fn fleet(more: &str) -> Scenario {
    let text = format!(
        r#"
        name = "fleet"
        length_s = 12.0
        window_s = 2.0
        zones = ["a", "b"]
        clients = {{ rate = 120.0, retries = 1, patience = [0.7, 1.0], walk_away = 0.02 }}
        proxies = {{ count = 4 }}
        discovery = {{ start_s = 0.4, drain_s = 0.2, gone_s = 0.5 }}
        [[class]]
        name = "keep"
        share = 2.0
        effect = "keyed"
        dedup_s = 1.0
        work_ms = 20.0
        aim_ms = 300.0
        deadline_ms = 800.0
        [[class]]
        name = "once"
        effect = "once"
        work_ms = 30.0
        aim_ms = 400.0
        deadline_ms = 1200.0
        [[pool]]
        kind = "std"
        servers = 6
        cores = 2
        cold_share = 0.3
        cold_s = 4.0
        {more}
        "#
    );
    Scenario::parse(&text).expect("sound")
}

const DEPLOY: &str =
    "[[trouble]]\nkind = \"deploy\"\nat_s = 2.0\nfor_s = 6.0\nbatch = 0.34\ndrain_s = 2.0";
const SLOW: &str =
    "[[trouble]]\nkind = \"slow\"\nat_s = 2.0\nfor_s = 6.0\nshare = 0.6\nfactor = 20.0";

/// What a dishonest policy does wrong.
#[derive(Clone, Copy, PartialEq)]
enum Sin {
    NeverAnswers,
    AnswersTwice,
    SendsWhatIsOver,
    RepeatsWhatMayHaveRun,
    TwoTogether,
    FourAttempts,
    RefusesWhatRan,
    RepeatsTooLate,
    SendsToDraining,
    BuriesTheCold,
}

/// Sends to whoever was listed, in turn, and sins.
struct Sinner {
    sin: Sin,
    servers: BTreeMap<ServerId, bool>,
    turn: usize,
    tries: BTreeMap<RequestId, u32>,
    started: BTreeMap<ServerId, Micros>,
    subscribed: bool,
}

impl Sinner {
    fn next(&mut self) -> Option<ServerId> {
        self.turn += 1;
        if self.sin == Sin::BuriesTheCold
            && let Some((id, _)) = self.started.iter().max_by_key(|s| s.1)
        {
            return Some(*id);
        }
        let all = self.sin == Sin::SendsToDraining;
        let fit: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|s| all || *s.1)
            .map(|s| *s.0)
            .collect();
        fit.get(self.turn % fit.len().max(1)).copied()
    }

    fn send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(server) = self.next() {
            *self.tries.entry(id).or_default() += 1;
            // Short of patience, so that more is tried than a careful policy would.
            out.push(Action::Send {
                id,
                server,
                timeout: Some(150_000),
                start_deadline: None,
            });
        }
    }
}

impl Policy for Sinner {
    fn handle(&mut self, now: Micros, event: Event, _: &dyn GroundTruth, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.subscribed, true) {
            out.push(Action::Subscribe);
        }
        match event {
            Event::Members(listing) => {
                if listing.scope == Scope::Complete {
                    self.servers.clear();
                }
                for server in listing.servers {
                    // The one that sends to drains forgets nobody.
                    let gone = server.phase == Phase::Gone && self.sin != Sin::SendsToDraining;
                    if gone {
                        self.servers.remove(&server.id);
                        self.started.remove(&server.id);
                    } else {
                        self.servers.insert(server.id, server.phase == Phase::Ready);
                    }
                    if let Some(at) = server.started.filter(|_| server.phase == Phase::Ready) {
                        self.started.insert(server.id, at);
                    }
                }
            }
            Event::Request(request) => {
                let id = request.id;
                let last = request.expires.saturating_sub(now + 10_000);
                if self.sin != Sin::NeverAnswers {
                    out.push(Action::Timer {
                        delay: last,
                        token: id,
                    });
                }
                self.tries.insert(id, 0);
                self.send(id, out);
                if self.sin == Sin::TwoTogether {
                    self.send(id, out);
                }
            }
            Event::AttemptEnded(settled) if settled.finished => {
                self.tries.remove(&settled.id);
                if settled.outcome == Outcome::Ok {
                    match self.sin {
                        Sin::AnswersTwice => out.push(Action::Fail { id: settled.id }),
                        Sin::SendsWhatIsOver => self.send(settled.id, out),
                        _ => {}
                    }
                }
            }
            Event::AttemptEnded(settled) => {
                let tries = self.tries.get(&settled.id).copied().unwrap_or(9);
                let again = match self.sin {
                    Sin::RepeatsWhatMayHaveRun | Sin::RepeatsTooLate => tries < 3,
                    Sin::FourAttempts => tries < 4,
                    _ => settled.outcome.never_ran() && tries < 3,
                };
                match again {
                    _ if self.sin == Sin::NeverAnswers => {}
                    true => self.send(settled.id, out),
                    // Said to be harmless, whatever may have run: the client tries again.
                    false if self.sin == Sin::RefusesWhatRan => {
                        out.push(Action::Reject {
                            id: settled.id,
                            retry_after: None,
                        });
                    }
                    false => {
                        self.tries.remove(&settled.id);
                        out.push(Action::Fail { id: settled.id });
                    }
                }
            }
            Event::Timer { token } if self.tries.remove(&token).is_some() => {
                out.push(Action::Fail { id: token });
            }
            Event::ClientDisconnected { id } => drop(self.tries.remove(&id)),
            _ => {}
        }
    }
}

fn sin(sin: Sin, scenario: &Scenario) -> Report {
    let build = |_: Settings, _: u64| -> Box<dyn Policy> {
        let (servers, tries, started) = Default::default();
        Box::new(Sinner {
            sin,
            servers,
            turn: 0,
            tries,
            started,
            subscribed: false,
        })
    };
    Simulation::with_policy(scenario, "sinner", 3, Box::new(build)).run()
}

#[test]
fn each_rule_broken_on_purpose_is_caught() {
    for (what, rule, trouble, told) in [
        (Sin::NeverAnswers, Rule::OneAnswer, SLOW, "no final answer"),
        (
            Sin::AnswersTwice,
            Rule::OneAnswer,
            "",
            "a second final answer",
        ),
        (Sin::SendsWhatIsOver, Rule::OneAnswer, "", "has its answer"),
        (
            Sin::RepeatsWhatMayHaveRun,
            Rule::NoEffectTwice,
            SLOW,
            "`once` ran again",
        ),
        (Sin::TwoTogether, Rule::NoEffectTwice, "", "out together"),
        (
            Sin::FourAttempts,
            Rule::NoEffectTwice,
            SLOW,
            "more attempts",
        ),
        (
            Sin::RefusesWhatRan,
            Rule::NoEffectTwice,
            SLOW,
            "`once` refused though it may have run",
        ),
        (
            Sin::RepeatsTooLate,
            Rule::NoEffectTwice,
            SLOW,
            "`keep` sent again",
        ),
        (
            Sin::SendsToDraining,
            Rule::NoSendAfterDrain,
            DEPLOY,
            "ms after it was told",
        ),
        (
            Sin::BuriesTheCold,
            Rule::NoWarmUpOverload,
            DEPLOY,
            "of work in its window",
        ),
    ] {
        let mut scenario = fleet(trouble);
        // Enough to bury one server that is cold.
        if what == Sin::RepeatsTooLate {
            scenario.classes[0].deduplication_window_s = 0.1; // shorter than this one's patience
        }
        scenario.clients.rate *= if what == Sin::BuriesTheCold { 3.0 } else { 1.0 };
        let report = sin(what, &scenario);
        let caught = report
            .violations
            .iter()
            .find(|b| b.rule == rule && b.description.contains(told));
        let caught = caught.unwrap_or_else(|| panic!("{told}: {:?}", report.violations.first()));
        assert!(
            (0.0..14.0).contains(&caught.at_s) && caught.proxy < 4,
            "{caught:?}"
        );
        let r = report.requests;
        assert_eq!(r.asked, r.served + r.late + r.rejected + r.failed);
    }
}

#[test]
fn honest_policies_are_not_accused() {
    let troubles = "[[trouble]]\nkind = \"zone-lost\"\nat_s = 3.0\nfor_s = 3.0\nzone = \"a\"\nsilent = true\n\
        [[trouble]]\nkind = \"restart\"\nat_s = 5.0\nfor_s = 0.3\nshare = 0.5\n\
        [[trouble]]\nkind = \"discovery-outage\"\nat_s = 4.0\nfor_s = 3.0\n\
        [[trouble]]\nkind = \"zone-cut\"\nat_s = 7.0\nfor_s = 2.0\nzone = \"b\"\n\
        [[trouble]]\nkind = \"pause\"\nat_s = 1.0\nfor_s = 8.0\nshare = 0.3\npause_s = 0.2\n\
        [[trouble]]\nkind = \"grey\"\nat_s = 2.0\nfor_s = 4.0\nshare = 0.2\nclass = \"once\"\nsilent = true\n";
    let scenarios = [
        fleet(""),
        fleet(SLOW),
        fleet(DEPLOY),
        fleet(&format!("{troubles}{DEPLOY}\n{SLOW}")),
    ];
    let runs: Vec<(usize, PolicyName, u64)> = (0..scenarios.len())
        .flat_map(|s| {
            PolicyName::ALL
                .into_iter()
                .flat_map(move |p| (0..4).map(move |seed| (s, p, seed)))
        })
        .collect();
    runs.into_par_iter().for_each(|(s, policy, seed)| {
        let report = Simulation::new(&scenarios[s], policy, seed).run();
        let name = policy.name();
        assert!(
            report.requests.asked > 1_000,
            "{name}: {:?}",
            report.requests
        );
        assert_eq!(
            report.violation_count,
            0,
            "{name} in {s} with {seed}: {:?}",
            report.violations.first()
        );
    });
}

/// A fleet in whose deploy an even share is several times what a server bears that has just
/// started.
fn cold_fleet(proxies: u32) -> Scenario {
    let mut scenario = fleet(DEPLOY);
    (
        scenario.proxies.count,
        scenario.pools[0].servers,
        scenario.clients.rate,
    ) = (proxies, 24, 1_400.0);
    (
        scenario.pools[0].initial_speed_share,
        scenario.rules.overload_multiple,
    ) = (0.1, 2.0);
    scenario
}

/// The budget of a cold server holds for the sum of what all proxies send, however many they are; a
/// policy that sends to whoever started last is caught.
#[test]
fn no_number_of_proxies_pushes_a_cold_server_over() {
    for proxies in [5, 30, 300] {
        let careless = sin(Sin::BuriesTheCold, &cold_fleet(proxies));
        let caught = careless
            .violations
            .iter()
            .any(|b| b.rule == Rule::NoWarmUpOverload);
        assert!(caught, "{proxies}: {:?}", careless.violations.first());
    }
    let runs: Vec<(u32, u64)> = [5, 30, 300]
        .into_iter()
        .flat_map(|n| (0..10).map(move |seed| (n, seed)))
        .collect();
    runs.into_par_iter().for_each(|(proxies, seed)| {
        let report = Simulation::new(&cold_fleet(proxies), PolicyName::Module, seed).run();
        assert!(
            report.requests.served > 5_000,
            "{proxies} proxies, seed {seed}: {:?}",
            report.requests
        );
        assert_eq!(
            report.violation_count,
            0,
            "{proxies} proxies, seed {seed}: {:?}",
            report.violations.first()
        );
    });
}

/// Arrivals, work and troubles are the same for every policy: two runs differ by what the policies
/// did alone.
#[test]
fn policies_meet_the_same_clients() {
    let scenario = fleet(DEPLOY);
    let asked = |policy| Simulation::new(&scenario, policy, 5).run().requests.asked;
    assert!(
        PolicyName::ALL
            .iter()
            .all(|p| asked(*p) == asked(PolicyName::Module))
    );
}

/// Written down once: they hold on any machine, with any number of threads, in debug and release
/// builds.
#[test]
fn digests_are_the_same_everywhere() {
    let scenario = fleet(DEPLOY);
    let digest = |seed| {
        Simulation::new(&scenario, PolicyName::TwoChoices, seed)
            .run()
            .digest
    };
    let here: Vec<String> = (0..3).map(digest).collect();
    let apart: Vec<String> = (0..3).into_par_iter().map(digest).collect();
    assert_eq!(here, apart);
    assert_eq!(
        here,
        ["ecd724da619f3a43", "c7d0ed46e6071b1d", "458bb2bf6a46193b"]
    );
    let module = |_| {
        Simulation::new(&scenario, PolicyName::Module, 1)
            .run()
            .digest
    };
    let runs: Vec<String> = (0..4).into_par_iter().map(module).collect();
    assert!(runs.iter().all(|d| *d == runs[0]), "{runs:?}");
}

#[test]
fn what_is_not_sound_is_refused_with_its_line() {
    let sound = fleet(DEPLOY).to_toml();
    assert_eq!(
        Scenario::parse(&sound),
        Ok(fleet(DEPLOY)),
        "what is written can be read"
    );
    let table = sound
        .lines()
        .position(|l| l == "[[trouble]]")
        .expect("there is one")
        + 1;
    for (from, to, told) in [
        (
            "length_s = 12.0",
            "length_s = -1.0",
            "length_s is -1, expected 0.1 to 86400",
        ),
        (
            "length_s = 12.0",
            "lenght_s = 12.0",
            "unknown field `lenght_s`",
        ),
        (
            "kind = \"deploy\"",
            "kind = \"explode\"",
            "unknown variant `explode`",
        ),
        (
            "cores = 2",
            "cores = 0",
            "pool.0.cores is 0, expected 1 to 1024",
        ),
        (
            "cores = 2",
            "cores = \"two\"",
            "invalid type: string \"two\"",
        ),
        (
            "zone = \"*\"",
            "zone = \"c\"",
            "pool.0.zone is `c`, expected *, a, b",
        ),
        (
            "effect = \"once\"",
            "effect = \"twice\"",
            "unknown variant `twice`",
        ),
        (
            "at_s = 2.0",
            "at_s = 99.0",
            "trouble.0.at_s is 99, expected 0 to 12",
        ),
        (
            "at_s = 2.0",
            "at_s = nan",
            "trouble.0.at_s is NaN, expected 0 to 12",
        ),
        (
            "kind = \"deploy\"",
            "kind = \"zone-lost\"",
            "trouble.0.zone is missing, expected one of a, b",
        ),
        (
            "kind = \"deploy\"",
            "kind = \"grey\"",
            "trouble.0.class is ``, expected one of keep, once",
        ),
        (
            "name = \"once\"",
            "name = \"keep\"",
            "class.1.name stands twice",
        ),
    ] {
        assert!(sound.contains(from), "{from} in {sound}");
        let bad = sound.replacen(from, to, 1);
        let error = Scenario::parse(&bad).expect_err(to);
        assert!(error.problem.to_string().contains(told), "{error}");
        // What is missing is told at the start of the table that lacks it.
        let changed = sound
            .lines()
            .zip(bad.lines())
            .position(|(a, b)| a != b)
            .expect("one differs")
            + 1;
        let there = if told.contains("missing") || told.contains("``") {
            table
        } else {
            changed
        };
        assert_eq!(error.line, there, "{error}\n{bad}");
    }
}
