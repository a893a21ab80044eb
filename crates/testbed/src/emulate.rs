//! `check` and `emulate`: one scenario, and one run of it.

use std::path::Path;
use std::process::ExitCode;

use ironmast_emulator::PolicyName;

use crate::files::{self, Loaded, load};
use crate::play::{Jobs, MeasuredReport, Trial};

/// Prints what a scenario contains.
pub(crate) fn check(scenario: &Path) -> eyre::Result<ExitCode> {
    let Loaded { scenario, .. } = load(scenario)?;
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

/// Runs a scenario once and prints its result, or writes it as JSON. The exit code is 1 if a rule
/// was broken, and 130 if the run was interrupted.
pub(crate) fn run(
    scenario: &Path,
    seed: u64,
    policy: PolicyName,
    json: Option<&Path>,
) -> eyre::Result<ExitCode> {
    let Loaded { scenario, .. } = load(scenario)?;
    let jobs = Jobs::begin(1);
    if let Some(path) = json.filter(|path| *path != Path::new("-")) {
        files::check_writable(path)?;
    }
    let Some(note) = jobs.run(&Trial {
        scenario: &scenario,
        policy,
        seed,
    }) else {
        return Ok(ExitCode::from(130));
    };
    jobs.end();
    match json {
        Some(path) => files::write_json(path, &note)?,
        None => println!("{}", summary(&note)),
    }
    Ok(if note.report.violation_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// The result of a run as text.
fn summary(note: &MeasuredReport) -> String {
    let r = &note.report;
    let (q, l) = (&r.requests, &r.latency_us);
    let ms = |us: u64| us as f64 / 1e3;
    let mut text = format!(
        "{} seed {} under {}: service {:.4}, worst window {:.3}, worst class {:.3}, worst zone {:.3}\n\
         requests: {} asked, {} served in time, {} late, {} refused, {} failed\n\
         latency, ms: {:.1} median, {:.1} of nine in ten, {:.1} of 99 in 100, {:.1} of 999 in 1000, {:.1} most\n\
         servers: {:.1} % busy, the busiest {:.1} %; {} attempts, {} across zones, {} probes\n",
        r.scenario,
        r.seed,
        r.policy,
        r.service,
        r.worst_window,
        r.worst_class,
        r.worst_zone,
        q.asked,
        q.served,
        q.late,
        q.rejected,
        q.failed,
        ms(l.p50),
        ms(l.p90),
        ms(l.p99),
        ms(l.p999),
        ms(l.max),
        r.servers.mean * 100.0,
        r.servers.max * 100.0,
        r.traffic.attempts,
        r.traffic.cross_zone,
        r.traffic.probes
    );
    for (name, class) in &r.by_class {
        text += &format!(
            "class {name}: service {:.4} of {} asked\n",
            class.service, class.counts.asked
        );
    }
    text += &format!(
        "digest {}; {} events in {:.2} s, {} MB at most\n",
        r.digest, r.events, note.wall_s, note.peak_rss_mb
    );
    text += &match r.violation_count {
        0 => "no rule broken".to_string(),
        n => format!("{n} RULES BROKEN, the first:"),
    };
    for b in r.violations.iter().take(5) {
        text += &format!(
            "\n  {} at {:.3} s by proxy {}, server {:?}, request {:?}: {}",
            b.rule, b.at_s, b.proxy, b.server, b.request, b.description
        );
    }
    text
}
