//! `ironmast-lab stage` and `demo`: a stage scenario played with real proxies, a table a second, one verdict.
//!
//! A stage scenario (`scenarios/stage/`) names zones and their pay servers, the proxies, a load on each proxy, the
//! faults on links (`[[fault]]`, as in `ironmast_stage::fault`) and signals to proxies (`[[signal]]`).

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use ironmast_stage::fault::{Fault, Schedule};
use ironmast_stage::load::{Outcome, Shape, Tally};
use ironmast_stage::process::Sent;
use ironmast_stage::stage::{Layout, Stage};
use ironmast_stage::verdict;
use serde::Deserialize;

/// The scenario that `demo` plays.
pub const DEMO: &str = include_str!("../../../scenarios/stage/zone-cut.toml");

/// A stage scenario.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Scenario {
    name: String,
    #[serde(default)]
    about: String,
    /// Seconds of load, 0.5 to 600.
    length_s: f64,
    /// Proxies, 1 to 16.
    proxies: usize,
    /// A pay server's work on a request in milliseconds.
    #[serde(default = "work_ms")]
    work_ms: f64,
    zone: Vec<Zone>,
    load: Load,
    #[serde(default)]
    fault: Vec<Fault>,
    #[serde(default)]
    signal: Vec<Signal>,
}

fn work_ms() -> f64 {
    5.0
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Zone {
    name: String,
    servers: usize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Load {
    /// Requests a second on each proxy.
    rate: f64,
    path: String,
    patience_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Signal {
    at_s: f64,
    proxy: usize,
    kind: SignalKind,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum SignalKind {
    Kill,
    Term,
    Stop,
    Continue,
    Hangup,
    /// Starts the proxy again on its address and state directory.
    Restart,
    /// Empties its state directory, as a lost disk would.
    Wipe,
}

/// What to play and where to write it.
pub struct Play {
    pub scenario: Option<PathBuf>,
    pub proxy: Option<PathBuf>,
    pub json: Option<PathBuf>,
}

fn read(text: &str, from: &str) -> Result<(Scenario, Schedule), String> {
    let scenario: Scenario = toml::from_str(text).map_err(|e| format!("{from}: {}", e.message()))?;
    let schedule = Schedule::new(scenario.fault.clone()).map_err(|e| format!("{from}: {e}"))?;
    if !(0.5..=600.0).contains(&scenario.length_s) {
        return Err(format!("{from}: length_s is {}, 0.5 to 600 expected", scenario.length_s));
    }
    if !(1..=16).contains(&scenario.proxies)
        || scenario.zone.is_empty()
        || scenario.zone.iter().any(|z| z.servers == 0)
    {
        return Err(format!("{from}: 1 to 16 proxies and zones of one pay server or more expected"));
    }
    if !(scenario.load.rate > 0.0 && scenario.load.rate <= 500.0 && scenario.load.path.starts_with('/')) {
        return Err(format!(
            "{from}: a load of 0 to 500 requests a second on a path that begins with / expected"
        ));
    }
    if let Some(s) =
        scenario.signal.iter().find(|s| s.proxy >= scenario.proxies || s.at_s.is_nan() || s.at_s < 0.0)
    {
        return Err(format!(
            "{from}: a signal at {} s to proxy {}, which the stage has not",
            s.at_s, s.proxy
        ));
    }
    Ok((scenario, schedule))
}

/// The `ironmast` program: the one named, or the one beside this program.
fn program(named: Option<PathBuf>) -> Result<PathBuf, String> {
    let path = match named {
        Some(path) => path,
        None => std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("ironmast"),
    };
    if path.is_file() {
        Ok(path)
    } else {
        Err(format!(
            "no proxy at {}: build it (cargo build --release -p ironmast-proxy) or name one with --proxy",
            path.display()
        ))
    }
}

fn signal(stage: &mut Stage, p: usize, kind: SignalKind) -> Result<(), String> {
    let sent = match kind {
        SignalKind::Restart => return stage.start(p).map(|_| ()).map_err(|e| e.to_string()),
        SignalKind::Wipe => {
            let state = stage.state(p);
            let _ = std::fs::remove_dir_all(&state);
            return std::fs::create_dir_all(&state).map_err(|e| e.to_string());
        }
        SignalKind::Kill => Sent::Kill,
        SignalKind::Term => Sent::Term,
        SignalKind::Stop => Sent::Stop,
        SignalKind::Continue => Sent::Continue,
        SignalKind::Hangup => Sent::Hangup,
    };
    match &stage.proxies[p] {
        Some(proxy) => proxy.signal(sent).map_err(|e| format!("proxy{p}: {e}"))?,
        None => return Err(format!("proxy{p} is down")),
    }
    if matches!(kind, SignalKind::Kill | SignalKind::Term) {
        stage.proxies[p] = None;
    }
    Ok(())
}

/// One line of the live table: the second, what the faults do, and per proxy what its clients saw in that second.
fn line(second: u64, stage: &Stage, tallies: &[Tally], zones: &[String]) -> String {
    let from = Duration::from_secs(second.saturating_sub(1));
    let to = Duration::from_secs(second);
    let mut text = format!("{second:>4} s ");
    for tally in tallies {
        let sent = tally.lock().expect("not poisoned");
        let window = sent.iter().filter(|s| s.at >= from && s.at < to);
        let (mut served, mut other) = (0, 0);
        window.for_each(|s| if s.outcome == Outcome::Served { served += 1 } else { other += 1 });
        text += &format!(" {served:>4} {other:>3}");
    }
    let runs = stage.record.runs();
    for zone in zones {
        let prefix = format!("{zone}-");
        let n = runs.iter().filter(|r| r.at >= from && r.at < to && r.server.starts_with(&prefix)).count();
        text += &format!(" {n:>9}");
    }
    let now: Vec<String> =
        stage.faults_now(to).iter().map(|f| format!("{:?} {}", f.kind, f.link).to_lowercase()).collect();
    text + &format!("  {}", now.join(", "))
}

/// Plays a scenario; exit 1 where something ran twice or was served without a run, 2 where it could not be played.
pub fn run(play: Play) -> Result<ExitCode, String> {
    let (text, from) = match &play.scenario {
        Some(path) => (
            std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?,
            path.display().to_string(),
        ),
        None => (DEMO.to_string(), "the demo".to_string()),
    };
    let (scenario, schedule) = read(&text, &from)?;
    let layout = Layout {
        program: program(play.proxy)?,
        zones: scenario.zone.iter().map(|z| (z.name.clone(), z.servers)).collect(),
        proxies: scenario.proxies,
        work: Duration::from_secs_f64(scenario.work_ms.max(0.0) / 1e3),
        patience: Duration::from_secs(20),
    };
    let zones: Vec<String> = scenario.zone.iter().map(|z| z.name.clone()).collect();
    println!("{}: {}", scenario.name, scenario.about);
    let mut stage = Stage::new(layout, schedule).map_err(|e| e.to_string())?;
    let length = Duration::from_secs_f64(scenario.length_s);
    let shape = Shape::new(scenario.load.rate, length, &scenario.load.path, scenario.load.patience_ms);
    let proxies: Vec<String> = (0..scenario.proxies).map(|p| format!("  p{p} ok bad")).collect();
    let runs: Vec<String> = zones.iter().map(|z| format!(" {z:>9}")).collect();
    println!("time {}{}  faults", proxies.join(""), runs.join(""));
    let tallies: Vec<Tally> = (0..scenario.proxies).map(|_| Tally::default()).collect();
    let mut problems = Vec::new();
    let mut signals: Vec<&Signal> = scenario.signal.iter().collect();
    signals.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let reports = stage.load_into(&shape, &tallies, |stage, tallies| {
        let mut second = 1;
        let mut next = signals.into_iter().peekable();
        let end = Duration::from_secs_f64(scenario.length_s + 0.5);
        while stage.faults.elapsed() < end {
            let now = stage.faults.elapsed();
            if let Some(s) = next.next_if(|s| Duration::from_secs_f64(s.at_s) <= now) {
                if let Err(problem) = signal(stage, s.proxy, s.kind) {
                    problems.push(problem);
                }
                continue;
            }
            if now >= Duration::from_secs(second) {
                println!("{}", line(second, stage, tallies, &zones));
                second += 1;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let sent: Vec<_> = reports.iter().flat_map(|r| r.sent.iter().cloned()).collect();
    let v = verdict::judge(&sent, &stage.record.runs(), &["balance"]);
    let count = |o| sent.iter().filter(|s| s.outcome == o).count();
    let mut latency = reports.first().map(|r| r.latency.clone()).ok_or("no load was played")?;
    reports.iter().skip(1).for_each(|r| latency.add(&r.latency).expect("same bounds"));
    let (p50, p99) = (latency.value_at_quantile(0.5), latency.value_at_quantile(0.99));
    println!(
        "sent {}, served {}, refused {}, failed {}, broken {}, given up {}; latency of served p50 {:.1} ms, p99 {:.1} ms",
        v.sent,
        v.served,
        count(Outcome::Refused),
        count(Outcome::Failed),
        count(Outcome::Broken),
        count(Outcome::GaveUp),
        p50 as f64 / 1e3,
        p99 as f64 / 1e3
    );
    println!(
        "ran twice where the class forbids it: {}; served without a run: {}",
        v.twice.len(),
        v.made_up.len()
    );
    for problem in &problems {
        println!("the scenario's signal failed: {problem}");
    }
    if let Some(path) = &play.json {
        let json = serde_json::json!({
            "scenario": scenario.name, "sent": v.sent, "served": v.served,
            "refused": count(Outcome::Refused), "failed": count(Outcome::Failed), "broken": count(Outcome::Broken), "given_up": count(Outcome::GaveUp),
            "ran_twice": v.twice, "served_without_run": v.made_up,
            "latency_ms": {"p50": p50 as f64 / 1e3, "p99": p99 as f64 / 1e3},
        });
        write(path, &json.to_string())?;
    }
    let broken = !v.twice.is_empty() || !v.made_up.is_empty() || !problems.is_empty();
    Ok(if broken { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    if path == Path::new("-") {
        println!("{text}");
        Ok(())
    } else {
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shipped_stage_scenarios_read() {
        assert!(read(DEMO, "demo").is_ok());
        assert!(read(include_str!("../../../scenarios/stage/crash-and-pause.toml"), "c").is_ok());
    }

    #[test]
    fn bad_stage_scenarios_are_told_in_one_line() {
        let bad = |from: &str, to: &str| read(&DEMO.replace(from, to), "x").expect_err("bad");
        assert!(bad("proxies = 3", "proxies = 0").contains("1 to 16 proxies"));
        assert!(bad("kind = \"cut\"", "kind = \"melt\"").contains("melt"));
        assert!(bad("link = \"proxy*->seattle-*\"", "link = \"nowhere\"").contains("FROM->TO"));
        assert!(bad("rate = 20.0", "rate = 0.0").contains("load"));
        let signal = format!("{DEMO}\n[[signal]]\nat_s = 1.0\nproxy = 7\nkind = \"kill\"\n");
        assert!(read(&signal, "x").expect_err("bad").contains("proxy 7"));
    }
}
