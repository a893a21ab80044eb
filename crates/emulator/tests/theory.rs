//! Queues whose figures are known, played through the whole emulator: client, proxy, connection,
//! server.
//!
//! Formulas: Kleinrock, Queueing Systems I (1975): M/M/1 (3.2), Erlang C (3.40),
//! Pollaczek-Khinchine (5.64). Two choices: Mitzenmacher, The Power of Two Choices in Randomized
//! Load Balancing (1996), theorem 1; the share of queues with at least i jobs is L^(2^i - 1)
//! against L^i for one choice by chance.

use ironmast_emulator::{PolicyName, Scenario, ServerStatistics, Simulation};
use rayon::prelude::*;

/// Mean work, in milliseconds.
const WORK: f64 = 10.0;

fn scenario(servers: u32, cores: u32, distribution: &str, load: f64, length_s: f64) -> Scenario {
    let rate = load * f64::from(servers * cores) * 1e3 / WORK;
    let text = format!(
        r#"
        name = "theory"
        length_s = {length_s}
        zones = ["a"]
        clients = {{ rate = {rate} }}
        proxies = {{ count = 1, most_tries = 1 }}
        network = {{ inside_ms = 0.0, jitter = 0.0 }}
        [[class]]
        name = "job"
        effect = "free"
        law = "{distribution}"
        cv = 2.0
        work_ms = {WORK}
        aim_ms = 50000.0
        deadline_ms = 100000.0
        [[pool]]
        kind = "one"
        servers = {servers}
        cores = {cores}
        queue = 1000000
        "#
    );
    Scenario::parse(&text).expect("sound")
}

/// What one replication saw: mean wait and mean number waiting (in units of the mean work), load,
/// and the greatest error in Little's law.
struct Seen {
    wait: f64,
    waiting: f64,
    load: f64,
    little: f64,
}

fn replication(scenario: &Scenario, seed: u64, cores: f64) -> Seen {
    let mut simulation = Simulation::new(scenario, PolicyName::RoundRobin, seed);
    let first = scenario.length_s / 20.0;
    simulation.run_to(first);
    simulation.reset_statistics();
    let from = simulation.elapsed_seconds();
    simulation.run_to(scenario.length_s);
    let time = (simulation.elapsed_seconds() - from) * 1e6;
    let report = simulation.report();
    let statistics: &ServerStatistics = &report.server_reports[0].statistics;
    let (began, waits) = (statistics.started as f64, statistics.total_wait);
    let little = |held: f64, passed: f64, stays: f64| {
        (held / time) / (passed / time * (stays / passed)) - 1.0
    };
    Seen {
        wait: waits / began / (WORK * 1e3),
        waiting: statistics.queued_time / time,
        load: statistics.busy_core_time / time / cores,
        little: little(
            statistics.in_system_time,
            statistics.finished as f64,
            statistics.total_sojourn,
        )
        .abs(),
    }
}

/// The mean over replications, corrected for what the drawn load was off by (a control variate
/// whose mean is known), and its standard error.
fn controlled(seen: &[Seen], load: f64, value: impl Fn(&Seen) -> f64) -> (f64, f64) {
    let n = seen.len() as f64;
    let mean = |f: &dyn Fn(&Seen) -> f64| seen.iter().map(f).sum::<f64>() / n;
    let (v, l) = (mean(&|s| value(s)), mean(&|s| s.load));
    let covariance = mean(&|s| (value(s) - v) * (s.load - l));
    let slope = covariance / mean(&|s| (s.load - l).powi(2));
    let rest = mean(&|s| (value(s) - v - slope * (s.load - l)).powi(2));
    (v - slope * (l - load), (rest / (n - 2.0)).sqrt())
}

/// Erlang C: the share that waits.
fn erlang_c(cores: f64, load: f64) -> f64 {
    let offered = cores * load;
    let blocked = (1..=cores as u32).fold(1.0, |b, c| offered * b / (f64::from(c) + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

fn check(distribution: &str, cores: u32, wait_at: impl Fn(f64) -> f64) {
    let c = f64::from(cores);
    for (load, jobs) in [(0.5, 1e5), (0.8, 1.5e5), (0.95, 5e5)] {
        let length_s = jobs * WORK / 1e3 / load / c;
        let scenario = scenario(1, cores, distribution, load, length_s);
        let seen: Vec<Seen> = (0..24)
            .into_par_iter()
            .map(|seed| replication(&scenario, seed, c))
            .collect();
        let wanted = wait_at(load);
        // The control must not hide arrivals or work that are off as a whole.
        let seen_load = seen.iter().map(|s| s.load).sum::<f64>() / seen.len() as f64;
        assert!(
            (seen_load / load - 1.0).abs() < 0.005,
            "{distribution} on {cores}: load {seen_load} for {load}"
        );
        let (wait, error) = controlled(&seen, load, |s| s.wait);
        let (waiting, _) = controlled(&seen, load, |s| s.waiting);
        let told = format!(
            "{distribution} on {cores} at {load}: wait {wait:.4} +- {error:.4}, by theory {wanted:.4}"
        );
        assert!((wait / wanted - 1.0).abs() < 0.02, "{told}");
        assert!(
            (waiting / (wanted * load * c) - 1.0).abs() < 0.02,
            "{told}; waiting {waiting:.4}"
        );
        let little = seen.iter().map(|s| s.little).fold(0.0, f64::max);
        assert!(little < 0.005, "Little's law is off by {little:.5}; {told}");
    }
}

#[test]
fn mm1() {
    check("exponential", 1, |load| load / (1.0 - load));
}

#[test]
fn mmc() {
    check("exponential", 8, |load| {
        erlang_c(8.0, load) / (8.0 * (1.0 - load))
    });
}

#[test]
fn md1() {
    check("fixed", 1, |load| load / (2.0 * (1.0 - load)));
}

#[test]
fn mg1() {
    // A coefficient of variation of 2: the second moment is 5.
    check("lognormal", 1, |load| load * 5.0 / (2.0 * (1.0 - load)));
}

#[test]
fn two_choices_against_chance() {
    let (servers, load) = (200, 0.9);
    let scenario = scenario(servers, 1, "exponential", load, 250.0);
    let tails = |policy: PolicyName| {
        let mut simulation = Simulation::new(&scenario, policy, 7);
        simulation.record_occupancy();
        simulation.run_to(50.0);
        simulation.reset_statistics();
        let from = simulation.elapsed_seconds();
        simulation.run_to(250.0);
        let time = (simulation.elapsed_seconds() - from) * 1e6 * f64::from(servers);
        let report = simulation.report();
        let share = |i: usize| {
            report
                .server_reports
                .iter()
                .map(|s| s.statistics.time_with_at_least[i - 1])
                .sum::<f64>()
                / time
        };
        (
            (1..=16).map(share).collect::<Vec<f64>>(),
            report.servers.max_held,
        )
    };
    let ((one, longest_one), (two, longest_two)) =
        (tails(PolicyName::Random), tails(PolicyName::TwoChoices));
    for i in 1..=6u32 {
        let (by_one, by_two) = (load.powi(i as i32), load.powi(2i32.pow(i) - 1));
        let seen = (one[i as usize - 1], two[i as usize - 1]);
        assert!(
            (seen.0 - by_one).abs() < 0.02,
            "one choice, {i}: {} against {by_one}",
            seen.0
        );
        assert!(
            (seen.1 - by_two).abs() < 0.02,
            "two choices, {i}: {} against {by_two}",
            seen.1
        );
    }
    // The longest queue grows with ln n / ln(1/L) by chance, with ln ln n / ln 2 for two choices.
    assert!(
        longest_one > 40 && longest_two < 12,
        "{longest_one} against {longest_two}"
    );
}
