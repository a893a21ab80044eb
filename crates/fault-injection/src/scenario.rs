//! A stage scenario: the stage, its load, what happens in between and what must hold, read from a
//! file and played.
//!
//! A file (`scenarios/stage/`) names zones and their pay servers, the proxies, a load on each
//! proxy, the faults on links (`[[fault]]`), signals to proxies (`[[signal]]`), pay servers that
//! are slower for a while (`[[slow]]`) and what must hold (`[expect]`). Every name is checked
//! against the layout before anything starts.

use std::path::PathBuf;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;

use crate::deployment::{Deployment, DeploymentError, Layout, classes};
use crate::expectations::Expectations;
use crate::fault::{Fault, Schedule, first_unknown_link, side_matches};
use crate::load::{LoadProfile, SentRequest, SharedResults};
use crate::process::ProcessSignal;
use crate::verdict::{self, Verdict};

/// A stage scenario.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How reports call it.
    pub name: String,
    /// One sentence.
    #[serde(default)]
    pub about: String,
    /// Seconds of load, 0.5 to 600.
    pub length_s: f64,
    /// Proxies, 1 to 16.
    pub proxies: usize,
    /// A pay server's work on a request in milliseconds.
    #[serde(default = "work_ms")]
    pub work_ms: f64,
    /// The zones; the proxies are in the first.
    pub zone: Vec<Zone>,
    /// What each proxy's clients ask.
    pub load: Load,
    /// Faults on links.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Signals to proxies.
    #[serde(default)]
    pub signal: Vec<Signal>,
    /// Pay servers that work slower for a while.
    #[serde(default)]
    pub slow: Vec<Slow>,
    /// What must hold of a run.
    #[serde(default)]
    pub expect: Expectations,
}

impl Scenario {
    fn layout(&self, program: PathBuf) -> Layout {
        Layout {
            program,
            zones: self
                .zone
                .iter()
                .map(|z| (z.name.clone(), z.servers))
                .collect(),
            proxies: self.proxies,
            work: Duration::from_secs_f64(self.work_ms.max(0.0) / 1e3),
            patience: Duration::from_secs(20),
        }
    }

    /// The zones' names.
    #[must_use]
    pub fn zones(&self) -> Vec<String> {
        self.zone.iter().map(|z| z.name.clone()).collect()
    }
}

fn work_ms() -> f64 {
    5.0
}

/// A zone and its pay servers.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name; its pay servers are `NAME-0` and on.
    pub name: String,
    /// Pay servers, 1 or more.
    pub servers: usize,
}

/// The load on each proxy.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second on each proxy, above 0 and at most 500.
    pub rate: f64,
    /// The path; its first part is the class.
    pub path: String,
    /// How long a client waits, in milliseconds.
    pub patience_ms: u64,
}

/// A signal to a proxy.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signal {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// The proxy, from 0.
    pub proxy: usize,
    /// Which.
    pub kind: SignalKind,
}

/// What is sent to, or done with, a proxy.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum SignalKind {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
    /// SIGHUP.
    Hangup,
    /// Starts the proxy again on its address and state directory.
    Restart,
    /// Empties its state directory, as a lost disk would.
    Wipe,
}

/// Pay servers that work slower for a while.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slow {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// For so many seconds.
    pub for_s: f64,
    /// Which: a name, or the beginning of one and `*`.
    pub server: String,
    /// So many times slower, above 0 and at most 1,000.
    pub factor: f64,
}

/// Reads a scenario; `from` names the file.
///
/// # Errors
/// One line: the file, the key, what is wrong with it and what there is.
pub fn parse(text: &str, from: &str) -> Result<(Scenario, Schedule), String> {
    let scenario: Scenario =
        toml::from_str(text).map_err(|e| format!("{from}: {}", e.message()))?;
    let schedule = Schedule::new(scenario.fault.clone()).map_err(|e| format!("{from}: {e}"))?;
    if !(0.5..=600.0).contains(&scenario.length_s) {
        return Err(format!(
            "{from}: length_s is {}, 0.5 to 600 expected",
            scenario.length_s
        ));
    }
    if !(1..=16).contains(&scenario.proxies)
        || scenario.zone.is_empty()
        || scenario.zone.iter().any(|z| z.servers == 0)
    {
        return Err(format!(
            "{from}: 1 to 16 proxies and zones of one pay server or more expected"
        ));
    }
    if !(scenario.load.rate > 0.0
        && scenario.load.rate <= 500.0
        && scenario.load.path.starts_with('/'))
    {
        return Err(format!(
            "{from}: a load of 0 to 500 requests a second on a path that begins with / expected"
        ));
    }
    let mut zones = scenario.zones();
    zones.sort();
    if let Some([twice, _]) = zones
        .windows(2)
        .find(|pair| matches!(pair, [first, second] if first == second))
    {
        return Err(format!("{from}: zone.name: `{twice}` is there twice"));
    }
    let class = scenario.load.path[1..]
        .split(['/', '?'])
        .next()
        .unwrap_or_default();
    let known = classes();
    if !known.iter().any(|c| c == class) {
        return Err(format!(
            "{from}: load.path: no class `{class}`; there are {}",
            known.join(", ")
        ));
    }
    let links = scenario.layout(PathBuf::new()).links();
    if let Some(fault) = first_unknown_link(schedule.faults(), &links) {
        let ends = links
            .iter()
            .filter(|(proxy, _)| proxy == "proxy0")
            .map(|(_, end)| end.as_str());
        let (last, link) = (scenario.proxies - 1, &fault.link);
        let there = ends.collect::<Vec<_>>().join(", ");
        return Err(format!(
            "{from}: fault.link: no link `{link}`; there are proxy0 to proxy{last}, {there}"
        ));
    }
    let late = |s: &&Signal| !(0.0..=scenario.length_s).contains(&s.at_s);
    if let Some(s) = scenario.signal.iter().find(late) {
        return Err(format!(
            "{from}: signal.at_s: {} is not in the load's 0 to {} s",
            s.at_s, scenario.length_s
        ));
    }
    if let Some(s) = scenario.signal.iter().find(|s| s.proxy >= scenario.proxies) {
        let (proxy, last) = (s.proxy, scenario.proxies - 1);
        return Err(format!(
            "{from}: signal.proxy: no proxy {proxy}; there are 0 to {last}"
        ));
    }
    for slow in &scenario.slow {
        let times =
            slow.at_s >= 0.0 && slow.for_s > 0.0 && slow.at_s + slow.for_s <= scenario.length_s;
        if !(times && slow.factor > 0.0 && slow.factor <= 1e3) {
            return Err(format!(
                "{from}: slow: seconds inside the load and a factor of at most 1000 expected"
            ));
        }
        if !links
            .iter()
            .any(|(_, end)| end != "discovery" && side_matches(&slow.server, end))
        {
            return Err(format!(
                "{from}: slow.server: no pay server `{}`",
                slow.server
            ));
        }
    }
    let held = scenario
        .expect
        .check(scenario.length_s, &scenario.zones(), scenario.proxies);
    held.map_err(|e| format!("{from}: {e}"))?;
    Ok((scenario, schedule))
}

fn signal(stage: &mut Deployment, p: usize, kind: SignalKind) -> Result<(), String> {
    let sent = match kind {
        SignalKind::Restart => return stage.start(p).map(|_| ()).map_err(|e| e.to_string()),
        SignalKind::Wipe => {
            let state = stage.state(p);
            let _ = std::fs::remove_dir_all(&state);
            return std::fs::create_dir_all(&state).map_err(|e| e.to_string());
        }
        SignalKind::Kill => ProcessSignal::Kill,
        SignalKind::Term => ProcessSignal::Term,
        SignalKind::Stop => ProcessSignal::Stop,
        SignalKind::Continue => ProcessSignal::Continue,
        SignalKind::Hangup => ProcessSignal::Hangup,
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

/// What came of a run.
pub struct ScenarioResult {
    /// Each proxy's requests, by the time they were meant to go.
    pub sent: Vec<Vec<SentRequest>>,
    /// Latency of what was served, in microseconds, over all proxies.
    pub latency: Histogram<u64>,
    /// What ran twice, or was served without a run.
    pub verdict: Verdict,
    /// What does not hold of what the scenario expects, a line each.
    pub violations: Vec<String>,
    /// Signals that could not be sent.
    pub signal_errors: Vec<String>,
    /// Each proxy's log; empty where it was down at the end.
    pub logs: Vec<Vec<String>>,
}

impl ScenarioResult {
    /// Whether all holds: nothing twice, nothing made up, every signal sent, all as expected.
    #[must_use]
    pub fn passed(&self) -> bool {
        let v = &self.verdict;
        v.executed_twice.is_empty()
            && v.fabricated.is_empty()
            && self.violations.is_empty()
            && self.signal_errors.is_empty()
    }
}

/// Plays a scenario read by [`read`] with the `ironmast` program at `program`; `watch` is called
/// once a second with the seconds that have passed.
///
/// # Errors
/// Where the stage could not be set up.
pub fn run(
    scenario: &Scenario,
    schedule: Schedule,
    program: PathBuf,
    mut watch: impl FnMut(u64, &Deployment, &[SharedResults]),
) -> Result<ScenarioResult, DeploymentError> {
    let mut stage = Deployment::new(scenario.layout(program), schedule)?;
    let length = Duration::from_secs_f64(scenario.length_s);
    let shape = LoadProfile::new(
        scenario.load.rate,
        length,
        &scenario.load.path,
        scenario.load.patience_ms,
    );
    let tallies: Vec<SharedResults> = (0..scenario.proxies)
        .map(|_| SharedResults::default())
        .collect();
    let mut signal_errors = Vec::new();
    let mut signals: Vec<&Signal> = scenario.signal.iter().collect();
    signals.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let reports = stage.run_load_into(&shape, &tallies, |stage, tallies| {
        let mut second = 1;
        let mut next = signals.into_iter().peekable();
        let end = Duration::from_secs_f64(scenario.length_s + 0.5);
        while stage.faults.elapsed() < end {
            let now = stage.faults.elapsed();
            if let Some(s) = next.next_if(|s| Duration::from_secs_f64(s.at_s) <= now) {
                if let Err(problem) = signal(stage, s.proxy, s.kind) {
                    signal_errors.push(problem);
                }
                continue;
            }
            for server in &stage.servers {
                let holds = |s: &&Slow| (s.at_s..s.at_s + s.for_s).contains(&now.as_secs_f64());
                let theirs = scenario
                    .slow
                    .iter()
                    .filter(holds)
                    .filter(|s| side_matches(&s.server, &server.uid));
                server.set_slowdown(theirs.map(|s| s.factor).product());
            }
            if now >= Duration::from_secs(second) {
                watch(second, stage, tallies);
                second += 1;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let mut latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    for report in &reports {
        latency.add(&report.latency).expect("same bounds");
    }
    let sent: Vec<Vec<SentRequest>> = reports.into_iter().map(|r| r.sent).collect();
    let runs = stage.record.runs();
    let verdict = verdict::check_executions(&sent.concat(), &runs, &["balance"]);
    let violations = scenario.expect.violations(&sent, &runs);
    let logs = stage
        .proxies
        .iter()
        .map(|p| {
            p.as_ref()
                .map_or_else(Vec::new, super::process::Proxy::lines)
        })
        .collect();
    Ok(ScenarioResult {
        sent,
        latency,
        verdict,
        violations,
        signal_errors,
        logs,
    })
}

#[cfg(test)]
mod tests;
