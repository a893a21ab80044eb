//! Runs trials in parallel with a progress bar. Ctrl-C stops them and keeps the completed results.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use ironmast_emulator::{PolicyName, Report, Scenario, Simulation};
use rayon::prelude::*;
use serde::Serialize;

/// The steps in which a run advances; the progress bar moves and Ctrl-C is checked after each.
const STEPS_PER_RUN: u32 = 100;

/// A simulated time after the end of any run, in seconds.
const BEYOND_END_S: f64 = u32::MAX as f64;

/// A scenario to be emulated under a policy with a seed.
#[derive(Clone)]
pub(crate) struct Trial<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The policy of the proxies.
    pub policy: PolicyName,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// The report of a run, with the time and memory that the run took.
#[derive(Clone, Serialize)]
pub(crate) struct MeasuredReport {
    /// The emulator's report.
    #[serde(flatten)]
    pub report: Report,
    /// The elapsed time in seconds.
    pub wall_s: f64,
    /// The peak resident memory of this program so far, in MB.
    pub peak_rss_mb: u64,
}

/// Adds the time since `started` and the memory to a report.
fn measure(report: Report, started: Instant) -> MeasuredReport {
    MeasuredReport {
        report,
        wall_s: started.elapsed().as_secs_f64(),
        peak_rss_mb: peak_rss_kb().div_ceil(1024),
    }
}

/// The peak resident memory of this program in KB; 0 where the system does not report it.
fn peak_rss_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or(0)
}

/// Runs trials, shows their progress, and stops when Ctrl-C is pressed.
pub(crate) struct Runner {
    bar: ProgressBar,
    stop: Arc<AtomicBool>,
}

impl Runner {
    /// Shows the progress of `runs` runs on a terminal and handles Ctrl-C.
    ///
    /// # Panics
    /// Never: the template of the progress bar is constant.
    pub(crate) fn start(runs: u64) -> Runner {
        let steps = runs * u64::from(STEPS_PER_RUN);
        let bar = ProgressBar::with_draw_target(Some(steps), ProgressDrawTarget::stderr());
        let style = ProgressStyle::with_template(
            "{bar:40} {percent:>3} % {elapsed_precise} left {eta} {msg}",
        );
        bar.set_style(style.expect("a valid template"));
        let stop = Arc::new(AtomicBool::new(false));
        let handler_stop = Arc::clone(&stop);
        // The handler can be set once per process; in tests, which share one, later calls fail.
        let _ = ctrlc::set_handler(move || handler_stop.store(true, Ordering::Relaxed));
        Runner { bar, stop }
    }

    /// Whether Ctrl-C was pressed.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Advances the progress bar by a run that was made without [`Runner::run`].
    pub(crate) fn count_completed(&self) {
        self.bar.inc(u64::from(STEPS_PER_RUN));
    }

    /// Runs one trial; `None` if Ctrl-C stopped it.
    pub(crate) fn run(&self, trial: &Trial) -> Option<MeasuredReport> {
        let started = Instant::now();
        let mut simulation = Simulation::new(trial.scenario, trial.policy, trial.seed);
        for step in 1..=STEPS_PER_RUN {
            if self.is_stopped() {
                return None;
            }
            let until_s = if step == STEPS_PER_RUN {
                BEYOND_END_S
            } else {
                trial.scenario.length_s * f64::from(step) / f64::from(STEPS_PER_RUN)
            };
            let is_over = simulation.run_to(until_s);
            self.bar.inc(1);
            if is_over {
                self.bar.inc(u64::from(STEPS_PER_RUN - step));
                break;
            }
        }
        Some(measure(simulation.report(), started))
    }

    /// Runs trials on all cores; returns the reports of the completed ones in the order of the
    /// trials.
    pub(crate) fn run_all(&self, trials: &[Trial]) -> Vec<MeasuredReport> {
        let trials = trials.par_iter();
        trials
            .filter_map(|trial| self.run(trial).inspect(|run| self.print_service(run)))
            .collect()
    }

    /// Prints the service of a completed run to standard error if there is no terminal for the
    /// progress bar.
    fn print_service(&self, run: &MeasuredReport) {
        if self.bar.is_hidden() {
            let Report {
                scenario,
                policy,
                seed,
                service,
                ..
            } = &run.report;
            eprintln!("{scenario} {policy} seed {seed}: {service:.4}");
        }
    }

    /// Prints a line above the progress bar, or without a terminal to standard error.
    pub(crate) fn print_line(&self, text: &str) {
        if self.bar.is_hidden() {
            eprintln!("{text}");
        } else {
            self.bar.println(text);
        }
    }

    /// Removes the progress bar.
    pub(crate) fn end(&self) {
        self.bar.finish_and_clear();
    }
}
