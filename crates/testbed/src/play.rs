//! Plays runs, many side by side, with progress and an end on Ctrl-C that keeps what was finished.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use ironmast_emulator::{PolicyName, Report, Scenario, World};
use rayon::prelude::*;
use serde::Serialize;

/// What is to be played.
#[derive(Clone)]
pub(crate) struct Trial<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The policy.
    pub policy: PolicyName,
    /// The seed.
    pub seed: u64,
}

/// A result with what it took.
#[derive(Clone, Serialize)]
pub(crate) struct Note {
    /// What the judge found.
    #[serde(flatten)]
    pub report: Report,
    /// Seconds on the clock.
    pub wall_s: f64,
    /// The most memory that this program has held so far, in MB.
    pub peak_rss_mb: u64,
}

/// A report with time and memory beside it.
pub(crate) fn note(report: Report, began: Instant) -> Note {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kb = peak
        .and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or(0u64);
    Note {
        report,
        wall_s: began.elapsed().as_secs_f64(),
        peak_rss_mb: kb.div_ceil(1024),
    }
}

/// Runs under way, their progress, and whether they are to end.
pub(crate) struct Jobs {
    bar: ProgressBar,
    stop: Arc<AtomicBool>,
}

impl Jobs {
    /// Shows progress on a terminal and listens for Ctrl-C.
    pub(crate) fn begin(runs: u64) -> Result<Jobs, String> {
        let bar = ProgressBar::with_draw_target(Some(runs * 100), ProgressDrawTarget::stderr());
        let style = ProgressStyle::with_template(
            "{bar:40} {percent:>3} % {elapsed_precise} left {eta} {msg}",
        );
        bar.set_style(style.map_err(|e| e.to_string())?);
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&stop);
        // A second press finds the default again where this cannot be set twice: tests run in one
        // process.
        let _ = ctrlc::set_handler(move || told.store(true, Ordering::Relaxed));
        Ok(Jobs { bar, stop })
    }

    /// Whether Ctrl-C was pressed.
    pub(crate) fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// One run that is not played here is done.
    pub(crate) fn step(&self) {
        self.bar.inc(100);
    }

    /// Plays one run; none where it was told to stop.
    pub(crate) fn play(&self, trial: &Trial) -> Option<Note> {
        let began = Instant::now();
        let mut world = World::new(trial.scenario, trial.policy, trial.seed);
        for step in 1..=100 {
            if self.stopped() {
                return None;
            }
            let second = trial.scenario.length_s * f64::from(step) / 100.0;
            let over = world.run_to(if step == 100 {
                f64::from(u32::MAX)
            } else {
                second
            });
            self.bar.inc(1);
            if over {
                self.bar.inc(100 - u64::from(step as u32));
                break;
            }
        }
        Some(note(world.report(), began))
    }

    /// Plays many on all cores; those that were finished, in their order.
    pub(crate) fn play_all(&self, trials: &[Trial]) -> Vec<Note> {
        let line = |note: &Note| {
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
            .filter_map(|trial| self.play(trial).inspect(line))
            .collect()
    }

    /// Says something above the bar, or as a plain line.
    pub(crate) fn say(&self, text: &str) {
        if self.bar.is_hidden() {
            eprintln!("{text}");
        } else {
            self.bar.println(text);
        }
    }

    /// Takes the bar away.
    pub(crate) fn end(&self) {
        self.bar.finish_and_clear();
    }
}
