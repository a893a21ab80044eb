//! The judge records every violation of a rule, and no false ones.

use std::collections::BTreeMap;

use ironmast_balancer::{
    Action, Event, Micros, Outcome, Phase, RequestId, Scope, ServerId, Settings,
};
use ironmast_emulator::{GroundTruth, Policy, PolicyName, Report, Rule, Scenario, Simulation};
use rayon::prelude::*;

use crate::support::{DEPLOY, SLOW, fleet};

/// The way in which a faulty policy breaks a rule.
#[derive(Clone, Copy, PartialEq)]
enum Misbehaviour {
    NeverAnswers,
    AnswersTwice,
    SendsAfterAnswer,
    RetriesNonIdempotent,
    SendsTwoAtOnce,
    SendsFourAttempts,
    RejectsAfterExecution,
    RetriesAfterWindow,
    SendsToDraining,
    OverloadsWarmingServer,
}

/// A round-robin policy with one misbehaviour.
struct FaultyPolicy {
    misbehaviour: Misbehaviour,
    servers: BTreeMap<ServerId, bool>,
    turn_count: usize,
    attempts: BTreeMap<RequestId, u32>,
    started: BTreeMap<ServerId, Micros>,
    subscribed: bool,
}

impl FaultyPolicy {
    fn next(&mut self) -> Option<ServerId> {
        self.turn_count += 1;
        if self.misbehaviour == Misbehaviour::OverloadsWarmingServer
            && let Some((id, _)) = self.started.iter().max_by_key(|s| s.1)
        {
            return Some(*id);
        }
        let all = self.misbehaviour == Misbehaviour::SendsToDraining;
        let eligible: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|s| all || *s.1)
            .map(|s| *s.0)
            .collect();
        eligible
            .get(self.turn_count % eligible.len().max(1))
            .copied()
    }

    fn send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(server) = self.next() {
            *self.attempts.entry(id).or_default() += 1;
            // A short timeout, so that there are more retries than a careful policy would make.
            out.push(Action::Send {
                id,
                server,
                timeout: Some(150_000),
                start_deadline: None,
            });
        }
    }
}

impl Policy for FaultyPolicy {
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
                    // The policy that sends to draining servers keeps removed ones in its list.
                    let gone = server.phase == Phase::Gone
                        && self.misbehaviour != Misbehaviour::SendsToDraining;
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
                let answer_delay = request.expires.saturating_sub(now + 10_000);
                if self.misbehaviour != Misbehaviour::NeverAnswers {
                    out.push(Action::Timer {
                        delay: answer_delay,
                        token: id,
                    });
                }
                self.attempts.insert(id, 0);
                self.send(id, out);
                if self.misbehaviour == Misbehaviour::SendsTwoAtOnce {
                    self.send(id, out);
                }
            }
            Event::AttemptEnded(ended) if ended.finished => {
                self.attempts.remove(&ended.id);
                if ended.outcome == Outcome::Ok {
                    match self.misbehaviour {
                        Misbehaviour::AnswersTwice => out.push(Action::Fail { id: ended.id }),
                        Misbehaviour::SendsAfterAnswer => self.send(ended.id, out),
                        _ => {}
                    }
                }
            }
            Event::AttemptEnded(ended) => {
                // Without an entry there is no retry: 9 is above every limit below.
                let attempts = self.attempts.get(&ended.id).copied().unwrap_or(9);
                let retry = match self.misbehaviour {
                    Misbehaviour::RetriesNonIdempotent | Misbehaviour::RetriesAfterWindow => {
                        attempts < 3
                    }
                    Misbehaviour::SendsFourAttempts => attempts < 4,
                    _ => ended.outcome.never_ran() && attempts < 3,
                };
                match retry {
                    _ if self.misbehaviour == Misbehaviour::NeverAnswers => {}
                    true => self.send(ended.id, out),
                    // Rejected as if it could not have run, so that the client retries.
                    false if self.misbehaviour == Misbehaviour::RejectsAfterExecution => {
                        out.push(Action::Reject {
                            id: ended.id,
                            retry_after: None,
                        });
                    }
                    false => {
                        self.attempts.remove(&ended.id);
                        out.push(Action::Fail { id: ended.id });
                    }
                }
            }
            Event::Timer { token } if self.attempts.remove(&token).is_some() => {
                out.push(Action::Fail { id: token });
            }
            Event::ClientDisconnected { id } => drop(self.attempts.remove(&id)),
            _ => {}
        }
    }
}

fn run_faulty_policy(misbehaviour: Misbehaviour, scenario: &Scenario) -> Report {
    let build = |_: Settings, _: u64| -> Box<dyn Policy> {
        let (servers, attempts, started) = Default::default();
        Box::new(FaultyPolicy {
            misbehaviour,
            servers,
            turn_count: 0,
            attempts,
            started,
            subscribed: false,
        })
    };
    Simulation::with_policy(scenario, "faulty", 3, Box::new(build)).run()
}

#[test]
fn each_misbehaviour_is_recorded_as_a_violation_of_its_rule() {
    for (misbehaviour, rule, fault, description) in [
        (
            Misbehaviour::NeverAnswers,
            Rule::OneAnswer,
            SLOW,
            "no final answer",
        ),
        (
            Misbehaviour::AnswersTwice,
            Rule::OneAnswer,
            "",
            "a second final answer",
        ),
        (
            Misbehaviour::SendsAfterAnswer,
            Rule::OneAnswer,
            "",
            "has its answer",
        ),
        (
            Misbehaviour::RetriesNonIdempotent,
            Rule::NoEffectTwice,
            SLOW,
            "`once` ran again",
        ),
        (
            Misbehaviour::SendsTwoAtOnce,
            Rule::NoEffectTwice,
            "",
            "out together",
        ),
        (
            Misbehaviour::SendsFourAttempts,
            Rule::NoEffectTwice,
            SLOW,
            "more attempts",
        ),
        (
            Misbehaviour::RejectsAfterExecution,
            Rule::NoEffectTwice,
            SLOW,
            "`once` refused though it may have run",
        ),
        (
            Misbehaviour::RetriesAfterWindow,
            Rule::NoEffectTwice,
            SLOW,
            "`keep` sent again",
        ),
        (
            Misbehaviour::SendsToDraining,
            Rule::NoSendAfterDrain,
            DEPLOY,
            "ms after the proxy was notified",
        ),
        (
            Misbehaviour::OverloadsWarmingServer,
            Rule::NoWarmUpOverload,
            DEPLOY,
            "of work in the overload window",
        ),
    ] {
        let mut scenario = fleet(fault);
        if misbehaviour == Misbehaviour::RetriesAfterWindow {
            // Shorter than the 150 ms timeout of the policy, so that retries come after the window.
            scenario.classes[0].deduplication_window_s = 0.1;
        }
        // A rate that is enough to overload one server that is warming up.
        scenario.clients.rate *= if misbehaviour == Misbehaviour::OverloadsWarmingServer {
            3.0
        } else {
            1.0
        };
        let report = run_faulty_policy(misbehaviour, &scenario);
        let violation = report
            .violations
            .iter()
            .find(|found| found.rule == rule && found.description.contains(description));
        let violation =
            violation.unwrap_or_else(|| panic!("{description}: {:?}", report.violations.first()));
        assert!(
            (0.0..14.0).contains(&violation.at_s) && violation.proxy < 4,
            "{violation:?}"
        );
        let requests = report.requests;
        assert_eq!(
            requests.asked,
            requests.served + requests.late + requests.rejected + requests.failed
        );
    }
}

#[test]
fn built_in_policies_violate_no_rule_under_any_fault() {
    let faults = "[[trouble]]\nkind = \"zone-lost\"\nat_s = 3.0\nfor_s = 3.0\nzone = \"a\"\nsilent = true\n\
        [[trouble]]\nkind = \"restart\"\nat_s = 5.0\nfor_s = 0.3\nshare = 0.5\n\
        [[trouble]]\nkind = \"discovery-outage\"\nat_s = 4.0\nfor_s = 3.0\n\
        [[trouble]]\nkind = \"zone-cut\"\nat_s = 7.0\nfor_s = 2.0\nzone = \"b\"\n\
        [[trouble]]\nkind = \"pause\"\nat_s = 1.0\nfor_s = 8.0\nshare = 0.3\npause_s = 0.2\n\
        [[trouble]]\nkind = \"grey\"\nat_s = 2.0\nfor_s = 4.0\nshare = 0.2\nclass = \"once\"\nsilent = true\n";
    let scenarios = [
        fleet(""),
        fleet(SLOW),
        fleet(DEPLOY),
        fleet(&format!("{faults}{DEPLOY}\n{SLOW}")),
        warming_fleet(5),
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

/// A fleet with a rolling deploy in which an equal share of the requests is several times the limit
/// of a server that has just started.
fn warming_fleet(proxies: u32) -> Scenario {
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

/// The overload limit of a server that is warming up applies to the sum over all proxies, so the
/// balancer must keep it with any number of proxies. A policy that sends everything to the server
/// that started last violates the rule.
#[test]
fn warming_server_is_not_overloaded_by_any_number_of_proxies() {
    for proxies in [5, 30, 300] {
        let faulty = run_faulty_policy(
            Misbehaviour::OverloadsWarmingServer,
            &warming_fleet(proxies),
        );
        let is_violated = faulty
            .violations
            .iter()
            .any(|found| found.rule == Rule::NoWarmUpOverload);
        assert!(is_violated, "{proxies}: {:?}", faulty.violations.first());
    }
    let runs: Vec<(u32, u64)> = [5, 30, 300]
        .into_iter()
        .flat_map(|n| (0..10).map(move |seed| (n, seed)))
        .collect();
    runs.into_par_iter().for_each(|(proxies, seed)| {
        let report = Simulation::new(&warming_fleet(proxies), PolicyName::Module, seed).run();
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
