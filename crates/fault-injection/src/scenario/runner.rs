//! Runs a scenario: sets up its deployment, applies the load, sends the signals at their times and
//! checks the assertions.

use std::path::PathBuf;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::{Scenario, Signal, SignalKind};
use crate::deployment::{Deployment, DeploymentError};
use crate::expectations::Violation;
use crate::fault::{Schedule, side_matches};
use crate::load::{LoadProfile, SentRequest, SharedResults, latency_histogram};
use crate::process::{ProcessSignal, Proxy};
use crate::verdict::{self, Verdict};

/// How long a run continues after the end of the load, so that the last responses arrive.
const GRACE_PERIOD_S: f64 = 0.5;
/// How often signals and slowdowns are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The classes whose requests may be executed more than once.
const FREE_CLASSES: [&str; 1] = ["balance"];

/// The result of a run.
pub struct ScenarioResult {
    /// The requests of each proxy's clients, by intended send time.
    pub sent: Vec<Vec<SentRequest>>,
    /// The latency of served requests in microseconds, over all proxies.
    pub latency: Histogram<u64>,
    /// Requests that were executed twice, or served without an execution.
    pub verdict: Verdict,
    /// The assertions that do not hold.
    pub violations: Vec<Violation>,
    /// Signals that could not be sent.
    pub signal_errors: Vec<SignalError>,
    /// The log of each proxy; empty for a proxy that is down at the end.
    pub logs: Vec<Vec<String>>,
}

impl ScenarioResult {
    /// Whether nothing was executed twice or served without an execution, every signal was sent and
    /// every assertion holds.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.verdict.executed_twice.is_empty()
            && self.verdict.fabricated.is_empty()
            && self.violations.is_empty()
            && self.signal_errors.is_empty()
    }
}

/// A signal that could not be sent, or another operation on a proxy that failed.
#[derive(Debug, thiserror::Error)]
pub enum SignalError {
    /// The proxy could not be started again.
    #[error(transparent)]
    Restart(#[from] DeploymentError),
    /// The state directory could not be created.
    #[error("the state directory could not be created: {0}")]
    StateDirectory(std::io::Error),
    /// The process has ended.
    #[error("proxy{proxy}: the signal could not be sent: {source}")]
    Send {
        /// The index of the proxy.
        proxy: usize,
        /// The system's error.
        source: std::io::Error,
    },
    /// The proxy has been ended by an earlier signal.
    #[error("proxy{0} is down; the signal was not sent")]
    Down(usize),
}

fn send_signal(
    deployment: &mut Deployment,
    proxy: usize,
    kind: SignalKind,
) -> Result<(), SignalError> {
    let signal = match kind {
        SignalKind::Restart => {
            deployment.start(proxy)?;
            return Ok(());
        }
        SignalKind::Wipe => {
            let directory = deployment.state_directory(proxy);
            let _ = std::fs::remove_dir_all(&directory);
            return std::fs::create_dir_all(&directory).map_err(SignalError::StateDirectory);
        }
        SignalKind::Kill => ProcessSignal::Kill,
        SignalKind::Term => ProcessSignal::Term,
        SignalKind::Stop => ProcessSignal::Stop,
        SignalKind::Continue => ProcessSignal::Continue,
        SignalKind::Hangup => ProcessSignal::Hangup,
    };
    let Some(process) = &deployment.proxies[proxy] else {
        return Err(SignalError::Down(proxy));
    };
    process
        .signal(signal)
        .map_err(|source| SignalError::Send { proxy, source })?;
    if matches!(kind, SignalKind::Kill | SignalKind::Term) {
        deployment.proxies[proxy] = None;
    }
    Ok(())
}

/// Sets the service time of each pay server as the slowdowns require `now_s` seconds into the load.
fn apply_slowdowns(scenario: &Scenario, deployment: &Deployment, now_s: f64) {
    for server in &deployment.servers {
        let active = scenario.slowdowns.iter().filter(|slowdown| {
            slowdown.is_active_at(now_s) && side_matches(&slowdown.server, &server.uid)
        });
        server.set_slowdown(active.map(|slowdown| slowdown.factor).product());
    }
}

/// Sends the signals at their times and applies the slowdowns until the load is over; calls `watch`
/// once a second. Returns the signals that could not be sent.
fn drive(
    scenario: &Scenario,
    deployment: &mut Deployment,
    mut watch: impl FnMut(u64, &Deployment),
) -> Vec<SignalError> {
    let mut signals: Vec<&Signal> = scenario.signals.iter().collect();
    signals.sort_by(|first, second| first.at_s.total_cmp(&second.at_s));
    let mut signals = signals.into_iter().peekable();
    let mut errors = Vec::new();
    let mut second = 1;
    let end = Duration::from_secs_f64(scenario.duration_s + GRACE_PERIOD_S);
    while deployment.faults.elapsed() < end {
        let now = deployment.faults.elapsed();
        let is_due = |signal: &&Signal| Duration::from_secs_f64(signal.at_s) <= now;
        if let Some(signal) = signals.next_if(is_due) {
            errors.extend(send_signal(deployment, signal.proxy, signal.kind).err());
            continue;
        }
        apply_slowdowns(scenario, deployment, now.as_secs_f64());
        if now >= Duration::from_secs(second) {
            watch(second, deployment);
            second += 1;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    errors
}

/// Runs a scenario returned by [`super::parse`] with the `ironmast` program at `program`; `watch`
/// is called once a second with the number of seconds since the start of the load.
///
/// # Errors
/// The deployment could not be set up.
pub fn run(
    scenario: &Scenario,
    schedule: Schedule,
    program: PathBuf,
    mut watch: impl FnMut(u64, &Deployment, &[SharedResults]),
) -> Result<ScenarioResult, DeploymentError> {
    let mut deployment = Deployment::new(scenario.layout(program), schedule)?;
    let profile = LoadProfile::new(
        scenario.load.rate,
        Duration::from_secs_f64(scenario.duration_s),
        &scenario.load.path,
        scenario.load.timeout_ms,
    );
    let results: Vec<SharedResults> = (0..scenario.proxies)
        .map(|_| SharedResults::default())
        .collect();
    let mut signal_errors = Vec::new();
    let reports = deployment.run_load_into(&profile, &results, |deployment, results| {
        signal_errors = drive(scenario, deployment, |second, deployment| {
            watch(second, deployment, results);
        });
    });
    let mut latency = latency_histogram();
    for report in &reports {
        latency.add(&report.latency).expect("same bounds");
    }
    let sent: Vec<Vec<SentRequest>> = reports.into_iter().map(|report| report.sent).collect();
    let executions = deployment.record.executions();
    let log_lines = |proxy: &Option<Proxy>| proxy.as_ref().map_or_else(Vec::new, Proxy::lines);
    Ok(ScenarioResult {
        verdict: verdict::check_executions(&sent.concat(), &executions, &FREE_CLASSES),
        violations: scenario.expectations.violations(&sent, &executions),
        logs: deployment.proxies.iter().map(log_lines).collect(),
        sent,
        latency,
        signal_errors,
    })
}
