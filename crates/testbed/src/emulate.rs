//! `check` and `emulate`: validate a scenario, and run it once.

use std::path::Path;
use std::process::ExitCode;

use ironmast_emulator::{PolicyName, Report};

use crate::files::{self, LoadedScenario, load_scenario};
use crate::runner::{MeasuredReport, Runner, Trial};

/// The most broken rules that the summary lists.
const MAX_LISTED_VIOLATIONS: usize = 5;

/// Validates a scenario and prints a summary of it.
///
/// # Errors
/// The file cannot be read, or contains no valid scenario.
pub(crate) fn check(path: &Path) -> eyre::Result<ExitCode> {
    let LoadedScenario { scenario, .. } = load_scenario(path)?;
    let servers: u32 = scenario.pools.iter().map(|pool| pool.servers).sum();
    let load = scenario.clients.rate / scenario.capacity();
    println!(
        "sound: {} for {} s, {} proxies, {servers} servers, {} requests a second ({:.0} % of what warm \
                 servers can do), {} troubles",
        scenario.name,
        scenario.length_s,
        scenario.proxies.count,
        scenario.clients.rate,
        load * 100.0,
        scenario.faults.len()
    );
    Ok(ExitCode::SUCCESS)
}

/// The arguments of `emulate`.
pub(crate) struct Emulation<'a> {
    /// The path of the scenario's file.
    pub scenario: &'a Path,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The policy of the proxies.
    pub policy: PolicyName,
    /// Where the result is written as JSON; it is printed as text if there is none.
    pub json: Option<&'a Path>,
}

/// Runs a scenario once and prints its result, or writes it as JSON. The exit code is 1 if a rule
/// was broken, and 130 if Ctrl-C stopped the run.
///
/// # Errors
/// The scenario cannot be read or is invalid, or the file for the result cannot be written (found
/// before the run).
pub(crate) fn run(emulation: &Emulation) -> eyre::Result<ExitCode> {
    let LoadedScenario { scenario, .. } = load_scenario(emulation.scenario)?;
    let runner = Runner::start(1);
    if let Some(path) = emulation.json.filter(|path| *path != Path::new("-")) {
        files::check_writable(path)?;
    }
    let Some(result) = runner.run(&Trial {
        scenario: &scenario,
        policy: emulation.policy,
        seed: emulation.seed,
    }) else {
        return Ok(ExitCode::from(130));
    };
    runner.end();
    match emulation.json {
        Some(path) => files::write_json(path, &result)?,
        None => println!("{}", summary(&result)),
    }
    Ok(if result.report.violation_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// The result of a run as text, without a newline at the end.
fn summary(result: &MeasuredReport) -> String {
    let report = &result.report;
    let run_cost = format!(
        "digest {}; {} events in {:.2} s, {} MB at most\n",
        report.digest, report.events, result.wall_s, result.peak_rss_mb
    );
    service_lines(report)
        + &traffic_lines(report)
        + &class_lines(report)
        + &run_cost
        + &violation_lines(report)
}

fn service_lines(report: &Report) -> String {
    let requests = &report.requests;
    format!(
        "{} seed {} under {}: service {:.4}, worst window {:.3}, worst class {:.3}, worst zone {:.3}\n\
         requests: {} asked, {} served in time, {} late, {} refused, {} failed\n",
        report.scenario,
        report.seed,
        report.policy,
        report.service,
        report.worst_window,
        report.worst_class,
        report.worst_zone,
        requests.asked,
        requests.served,
        requests.late,
        requests.rejected,
        requests.failed
    )
}

fn traffic_lines(report: &Report) -> String {
    let (latency, servers, traffic) = (&report.latency_us, &report.servers, &report.traffic);
    let ms = |us: u64| us as f64 / 1e3;
    format!(
        "latency, ms: {:.1} median, {:.1} of nine in ten, {:.1} of 99 in 100, {:.1} of 999 in 1000, {:.1} most\n\
         servers: {:.1} % busy, the busiest {:.1} %; {} attempts, {} across zones, {} probes\n",
        ms(latency.p50),
        ms(latency.p90),
        ms(latency.p99),
        ms(latency.p999),
        ms(latency.max),
        servers.mean * 100.0,
        servers.max * 100.0,
        traffic.attempts,
        traffic.cross_zone,
        traffic.probes
    )
}

fn class_lines(report: &Report) -> String {
    let line = |(name, class): (&String, &ironmast_emulator::ClassReport)| {
        let (service, asked) = (class.service, class.counts.asked);
        format!("class {name}: service {service:.4} of {asked} asked\n")
    };
    report.by_class.iter().map(line).collect()
}

fn violation_lines(report: &Report) -> String {
    let mut text = match report.violation_count {
        0 => "no rule broken".to_string(),
        count => format!("{count} RULES BROKEN, the first:"),
    };
    for violation in report.violations.iter().take(MAX_LISTED_VIOLATIONS) {
        text += &format!(
            "\n  {} at {:.3} s by proxy {}, server {:?}, request {:?}: {}",
            violation.rule,
            violation.at_s,
            violation.proxy,
            violation.server,
            violation.request,
            violation.description
        );
    }
    text
}
