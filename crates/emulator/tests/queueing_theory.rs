//! Simulated queues agree with the formulas of queueing theory. Requests pass through the complete
//! emulator: client, proxy, connection and server.
//!
//! Formulas: Kleinrock, Queueing Systems I (1975): M/M/1 (3.2), Erlang C (3.40),
//! Pollaczek-Khinchine (5.64). Two choices: Mitzenmacher, The Power of Two Choices in Randomized
//! Load Balancing (1996), theorem 1; the share of queues with at least i jobs is L^(2^i - 1)
//! against L^i for one random choice.

use ironmast_emulator::{PolicyName, Scenario, ServerStatistics, Simulation};
use rayon::prelude::*;

/// The mean work per job, in milliseconds.
const WORK_MS: f64 = 10.0;

fn scenario(servers: u32, cores: u32, distribution: &str, load: f64, length_s: f64) -> Scenario {
    let rate = load * f64::from(servers * cores) * 1e3 / WORK_MS;
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
        work_ms = {WORK_MS}
        aim_ms = 50000.0
        deadline_ms = 100000.0
        [[pool]]
        kind = "one"
        servers = {servers}
        cores = {cores}
        queue = 1000000
        "#
    );
    Scenario::parse(&text).expect("a valid scenario")
}

/// The figures measured in one replication, after a warm-up of a twentieth of the run.
struct Measured {
    /// The mean waiting time, in units of the mean work.
    wait: f64,
    /// The mean number of queued jobs.
    queued: f64,
    /// The utilization of the cores.
    load: f64,
    /// The relative error of Little's law.
    little_error: f64,
}

fn replication(scenario: &Scenario, seed: u64, cores: f64) -> Measured {
    let mut simulation = Simulation::new(scenario, PolicyName::RoundRobin, seed);
    let warm_up_s = scenario.length_s / 20.0;
    simulation.run_to(warm_up_s);
    simulation.reset_statistics();
    let from = simulation.elapsed_seconds();
    simulation.run_to(scenario.length_s);
    let time = (simulation.elapsed_seconds() - from) * 1e6;
    let report = simulation.report();
    let statistics: &ServerStatistics = &report.server_reports[0].statistics;
    let (started, total_wait) = (statistics.started as f64, statistics.total_wait);
    let little_error = |in_system_time: f64, finished: f64, total_sojourn: f64| {
        (in_system_time / time) / (finished / time * (total_sojourn / finished)) - 1.0
    };
    Measured {
        wait: total_wait / started / (WORK_MS * 1e3),
        queued: statistics.queued_time / time,
        load: statistics.busy_core_time / time / cores,
        little_error: little_error(
            statistics.in_system_time,
            statistics.finished as f64,
            statistics.total_sojourn,
        )
        .abs(),
    }
}

/// The estimate of a mean over replications, and its standard error. The load, whose mean is known,
/// serves as a control variate.
fn control_variate_estimate(
    measured: &[Measured],
    load: f64,
    value: impl Fn(&Measured) -> f64,
) -> (f64, f64) {
    let n = measured.len() as f64;
    let mean = |f: &dyn Fn(&Measured) -> f64| measured.iter().map(f).sum::<f64>() / n;
    let (v, l) = (mean(&|s| value(s)), mean(&|s| s.load));
    let covariance = mean(&|s| (value(s) - v) * (s.load - l));
    let slope = covariance / mean(&|s| (s.load - l).powi(2));
    let residual_variance = mean(&|s| (value(s) - v - slope * (s.load - l)).powi(2));
    (
        v - slope * (l - load),
        (residual_variance / (n - 2.0)).sqrt(),
    )
}

/// Erlang C: the probability that a job waits.
fn erlang_c(cores: f64, load: f64) -> f64 {
    let offered = cores * load;
    let blocked = (1..=cores as u32).fold(1.0, |b, c| offered * b / (f64::from(c) + offered * b));
    blocked / (1.0 - load * (1.0 - blocked))
}

fn check_waits(distribution: &str, cores: u32, wait_at: impl Fn(f64) -> f64) {
    let c = f64::from(cores);
    for (load, jobs) in [(0.5, 1e5), (0.8, 1.5e5), (0.95, 5e5)] {
        let length_s = jobs * WORK_MS / 1e3 / load / c;
        let scenario = scenario(1, cores, distribution, load, length_s);
        let measured: Vec<Measured> = (0..24)
            .into_par_iter()
            .map(|seed| replication(&scenario, seed, c))
            .collect();
        let expected = wait_at(load);
        // The control variate would hide a systematic error of the arrival rate or of the work, so the
        // load is checked first.
        let mean_load = measured.iter().map(|s| s.load).sum::<f64>() / measured.len() as f64;
        assert!(
            (mean_load / load - 1.0).abs() < 0.005,
            "{distribution} on {cores}: load {mean_load} for {load}"
        );
        let (wait, error) = control_variate_estimate(&measured, load, |s| s.wait);
        let (queued, _) = control_variate_estimate(&measured, load, |s| s.queued);
        let context = format!(
            "{distribution} on {cores} at {load}: wait {wait:.4} +- {error:.4}, by theory {expected:.4}"
        );
        assert!((wait / expected - 1.0).abs() < 0.02, "{context}");
        assert!(
            (queued / (expected * load * c) - 1.0).abs() < 0.02,
            "{context}; queued {queued:.4}"
        );
        let little = measured.iter().map(|s| s.little_error).fold(0.0, f64::max);
        assert!(
            little < 0.005,
            "Little's law is off by {little:.5}; {context}"
        );
    }
}

#[test]
fn mm1_waits_match_the_formula() {
    check_waits("exponential", 1, |load| load / (1.0 - load));
}

#[test]
fn mmc_waits_match_erlang_c() {
    check_waits("exponential", 8, |load| {
        erlang_c(8.0, load) / (8.0 * (1.0 - load))
    });
}

#[test]
fn md1_waits_match_pollaczek_khinchine() {
    check_waits("fixed", 1, |load| load / (2.0 * (1.0 - load)));
}

#[test]
fn mg1_waits_match_pollaczek_khinchine() {
    // With a coefficient of variation of 2, the second moment is 5 times the squared mean.
    check_waits("lognormal", 1, |load| load * 5.0 / (2.0 * (1.0 - load)));
}

#[test]
fn queue_lengths_of_one_and_two_choices_match_the_formulas() {
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
        let measured = (one[i as usize - 1], two[i as usize - 1]);
        assert!(
            (measured.0 - by_one).abs() < 0.02,
            "one choice, {i}: {} against {by_one}",
            measured.0
        );
        assert!(
            (measured.1 - by_two).abs() < 0.02,
            "two choices, {i}: {} against {by_two}",
            measured.1
        );
    }
    // The longest queue grows with ln n / ln(1/L) for one choice, with ln ln n / ln 2 for two.
    assert!(
        longest_one > 40 && longest_two < 12,
        "{longest_one} against {longest_two}"
    );
}
