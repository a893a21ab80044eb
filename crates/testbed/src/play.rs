//! Runs trials in parallel with a progress bar. Ctrl-C stops them and keeps the completed results.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use ironmast_emulator::{PolicyName, Report, Scenario, World};
use rayon::prelude::*;
use serde::Serialize;

/// One run to be emulated.
#[derive(Clone)]
pub(crate) struct Trial<'a> {
    /// Its scenario.
    pub scenario: &'a Scenario,
    /// Its policy.
    pub policy: PolicyName,
    /// The seed of its random numbers.
    pub seed: u64,
}

/// The report of a run with the time and memory it needed.
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

/// Adds time and memory to a report.
pub(crate) fn measure(report: Report, began: Instant) -> MeasuredReport {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak
        .and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or(0u64);
    MeasuredReport {
        report,
        wall_s: began.elapsed().as_secs_f64(),
        peak_rss_mb: kilobytes.div_ceil(1024),
    }
}

/// The progress of the runs, and whether they are to stop.
pub(crate) struct Jobs {
    bar: ProgressBar,
    stop: Arc<AtomicBool>,
}

impl Jobs {
    /// Shows progress on a terminal and handles Ctrl-C.
    ///
    /// # Panics
    /// Never: the template is constant.
    pub(crate) fn begin(runs: u64) -> Jobs {
        let bar = ProgressBar::with_draw_target(Some(runs * 100), ProgressDrawTarget::stderr());
        let style = ProgressStyle::with_template(
            "{bar:40} {percent:>3} % {elapsed_precise} left {eta} {msg}",
        );
        bar.set_style(style.expect("a valid template"));
        let stop = Arc::new(AtomicBool::new(false));
        let handler_stop = Arc::clone(&stop);
        // The handler can be set once per process; in tests, which share one, later calls fail.
        let _ = ctrlc::set_handler(move || handler_stop.store(true, Ordering::Relaxed));
        Jobs { bar, stop }
    }

    /// Whether Ctrl-C was pressed.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Counts a run as completed that was not run by [`Jobs::run`].
    pub(crate) fn step(&self) {
        self.bar.inc(100);
    }

    /// Runs one trial; `None` if it was stopped.
    pub(crate) fn run(&self, trial: &Trial) -> Option<MeasuredReport> {
        let began = Instant::now();
        let mut world = World::new(trial.scenario, trial.policy, trial.seed);
        for step in 1..=100 {
            if self.is_stopped() {
                return None;
            }
            let second = trial.scenario.length_s * f64::from(step) / 100.0;
            let is_over = world.run_to(if step == 100 {
                f64::from(u32::MAX)
            } else {
                second
            });
            self.bar.inc(1);
            if is_over {
                self.bar.inc(100 - u64::from(step as u32));
                break;
            }
        }
        Some(measure(world.report(), began))
    }

    /// Runs trials on all cores; returns the results of those that were completed, in their order.
    pub(crate) fn run_all(&self, trials: &[Trial]) -> Vec<MeasuredReport> {
        let line = |note: &MeasuredReport| {
            if self.bar.is_hidden() {
                let (name, service) = (&note.report.scenario, note.report.service);
                eprintln!(
                    "{name} {} seed {}: {service:.4}",
                    note.report.policy, note.report.seed
                );
            }
        };
        trials
            .par_iter()
            .filter_map(|trial| self.run(trial).inspect(line))
            .collect()
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
