//! `ironmast-testbed stage` and `demo`: a stage scenario played with real proxies, a table a
//! second, one verdict.
//!
//! What a scenario (`scenarios/stage/`) says and how it is played:
//! `ironmast_fault_injection::scenario`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use ironmast_fault_injection::deployment::Deployment;
use ironmast_fault_injection::load::{Outcome, SharedResults};
use ironmast_fault_injection::scenario::{self, parse};

/// The scenario that `demo` plays.
pub(crate) const DEMO: &str = include_str!("../../../scenarios/stage/zone-cut.toml");

/// What to play and where to write it.
pub(crate) struct Play {
    pub scenario: Option<PathBuf>,
    pub proxy: Option<PathBuf>,
    pub json: Option<PathBuf>,
    pub logs: Option<PathBuf>,
}

/// The `ironmast` program: the one named, or the one beside this program.
fn program(named: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = match named {
        Some(path) => path,
        None => std::env::current_exe()
            .map_err(|e| e.to_string())?
            .with_file_name("ironmast"),
    };
    if path.is_file() {
        Ok(path)
    } else {
        Err(format!(
            "no proxy at {}: build it (cargo build --release -p ironmast) or name one with --proxy",
            path.display()
        ))
    }
}

/// One line of the live table: the second, what the faults do, and per proxy what its clients saw
/// in that second.
fn line(second: u64, stage: &Deployment, tallies: &[SharedResults], zones: &[String]) -> String {
    let from = Duration::from_secs(second.saturating_sub(1));
    let to = Duration::from_secs(second);
    let mut text = format!("{second:>4} s ");
    for tally in tallies {
        let sent = tally.lock().expect("not poisoned");
        let window = sent.iter().filter(|s| s.at >= from && s.at < to);
        let (mut served, mut other) = (0, 0);
        window.for_each(|s| {
            if s.outcome == Outcome::Served {
                served += 1;
            } else {
                other += 1;
            }
        });
        text += &format!(" {served:>4} {other:>3}");
    }
    let runs = stage.record.executions();
    for zone in zones {
        let prefix = format!("{zone}-");
        let n = runs
            .iter()
            .filter(|r| r.at >= from && r.at < to && r.server.starts_with(&prefix))
            .count();
        text += &format!(" {n:>9}");
    }
    let now: Vec<String> = stage
        .active_faults(to)
        .iter()
        .map(|f| format!("{:?} {}", f.kind, f.link).to_lowercase())
        .collect();
    text + &format!("  {}", now.join(", "))
}

/// Plays a scenario; exit 1 where something ran twice, was served without a run or is not as the
/// scenario expects, 2 where it could not be played.
pub(crate) fn run(play: Play) -> Result<ExitCode, String> {
    let (text, from) = match &play.scenario {
        Some(path) => (
            std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?,
            path.display().to_string(),
        ),
        None => (DEMO.to_string(), "the demo".to_string()),
    };
    let (scenario, schedule) = parse(&text, &from).map_err(|e| e.to_string())?;
    let program = program(play.proxy)?;
    let zones = scenario.zone_names();
    println!("{}: {}", scenario.name, scenario.description);
    let proxies: Vec<String> = (0..scenario.proxies)
        .map(|p| format!("  p{p} ok bad"))
        .collect();
    let runs: Vec<String> = zones.iter().map(|z| format!(" {z:>9}")).collect();
    println!("time {}{}  faults", proxies.join(""), runs.join(""));
    let watch = |second, stage: &Deployment, tallies: &[SharedResults]| {
        println!("{}", line(second, stage, tallies, &zones));
    };
    let played = scenario::run(&scenario, schedule, program, watch).map_err(|e| e.to_string())?;
    let (sent, v) = (played.sent.concat(), &played.verdict);
    let count = |o| sent.iter().filter(|s| s.outcome == o).count();
    let (p50, p99) = (
        played.latency.value_at_quantile(0.5),
        played.latency.value_at_quantile(0.99),
    );
    println!(
        "sent {}, served {}, refused {}, failed {}, broken {}, given up {}; latency of served p50 {:.1} ms, p99 {:.1} ms",
        v.sent,
        v.served,
        count(Outcome::Rejected),
        count(Outcome::Failed),
        count(Outcome::Broken),
        count(Outcome::TimedOut),
        p50 as f64 / 1e3,
        p99 as f64 / 1e3
    );
    println!(
        "ran twice where the class forbids it: {}; served without a run: {}",
        v.executed_twice.len(),
        v.fabricated.len()
    );
    for problem in &played.signal_errors {
        println!("the scenario's signal failed: {problem}");
    }
    for line in &played.violations {
        println!("not as expected: {line}");
    }
    if let Some(path) = &play.json {
        let json = serde_json::json!({
            "scenario": scenario.name, "sent": v.sent, "served": v.served,
            "refused": count(Outcome::Rejected), "failed": count(Outcome::Failed), "broken": count(Outcome::Broken), "given_up": count(Outcome::TimedOut),
            "ran_twice": v.executed_twice, "served_without_run": v.fabricated, "not_as_expected": played.violations, "signals_failed": played.signal_errors.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "latency_ms": {"p50": p50 as f64 / 1e3, "p99": p99 as f64 / 1e3},
        });
        write(path, &json.to_string())?;
    }
    if let Some(folder) = &play.logs {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        for (n, lines) in played.logs.iter().enumerate() {
            write(
                &folder.join(format!("proxy{n}.log")),
                &(lines.join("\n") + "\n"),
            )?;
        }
    }
    Ok(if played.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    if path == Path::new("-") {
        println!("{text}");
        Ok(())
    } else {
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
    }
}
