//! `hunt`: searches random scenarios for faults of a policy. What it finds is shrunk to the simplest
//! scenario that still shows it.

mod generator;
mod shrink;

use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use eyre::bail;
use ironmast_emulator::{PolicyName, Rule, Scenario, World};
use rayon::prelude::*;
use thiserror::Error;

use generator::{add_faults, generate_scenario};
use shrink::simpler_scenarios;

use crate::files;
use crate::runner::Runner;

/// A run with more events than this for each request does not terminate.
const MAX_EVENTS_PER_REQUEST: u64 = 100;
/// The most attempts at shrinking a scenario.
const MAX_SHRINK_ATTEMPTS: usize = 300;

/// The seeds from the first up to, and without, the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seeds(pub u64, pub u64);

/// A range of seeds that is not `FROM..TO` with `FROM` below `TO`.
#[derive(Debug, Error)]
#[error("`{0}`: expected FROM..TO")]
pub(crate) struct InvalidSeeds(String);

impl FromStr for Seeds {
    type Err = InvalidSeeds;

    fn from_str(text: &str) -> Result<Self, InvalidSeeds> {
        let ends = text
            .split_once("..")
            .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        let (from, to) = ends
            .filter(|(a, b)| a < b)
            .ok_or_else(|| InvalidSeeds(text.to_string()))?;
        Ok(Seeds(from, to))
    }
}

/// The arguments of `hunt`.
pub(crate) struct Hunt {
    /// The scenario to which faults are added; if there is none, scenarios are generated.
    pub base: Option<Scenario>,
    /// The seeds, one for each scenario.
    pub seeds: Seeds,
    /// The time limit in minutes.
    pub minutes: Option<f64>,
    /// The policy under test.
    pub policy: PolicyName,
    /// The policy with which it is compared.
    pub reference: PolicyName,
    /// The difference from the reference's service that counts as a finding.
    pub gap: f64,
    /// The directory for the findings.
    pub out: PathBuf,
}

/// A fault that a scenario shows.
#[derive(Clone, Debug, PartialEq)]
enum Finding {
    RuleBroken(Rule, String),
    Panicked(String),
    EndlessEvents,
    PoorService(f64, f64),
}

impl Finding {
    /// Whether another finding is of the same kind.
    fn is_same_kind(&self, other: &Finding) -> bool {
        match (self, other) {
            (Finding::RuleBroken(a, _), Finding::RuleBroken(b, _)) => a == b,
            (a, b) => std::mem::discriminant(a) == std::mem::discriminant(b),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::RuleBroken(rule, what) => write!(f, "{rule} broken: {what}"),
            Finding::Panicked(what) => write!(f, "panic: {what}"),
            Finding::EndlessEvents => write!(f, "events without end"),
            Finding::PoorService(service, reference) => {
                write!(f, "service {service:.3}, the reference has {reference:.3}")
            }
        }
    }
}

/// Runs a scenario and returns its service, or the fault it shows.
fn service(scenario: &Scenario, policy: PolicyName, seed: u64) -> Result<f64, Finding> {
    let play = || {
        let mut world = World::new(scenario, policy, seed);
        let most = (scenario.clients.rate * scenario.length_s * 5.0) as u64 + 10_000;
        let most = most.saturating_mul(MAX_EVENTS_PER_REQUEST);
        let mut second = 0.0;
        loop {
            second += 0.25;
            if world.run_to(if second > scenario.length_s {
                f64::from(u32::MAX)
            } else {
                second
            }) {
                return Ok(world.report());
            }
            if world.events() > most {
                return Err(Finding::EndlessEvents);
            }
        }
    };
    let report = catch_unwind(AssertUnwindSafe(play)).map_err(|e| {
        let text = e.downcast_ref::<String>().cloned();
        Finding::Panicked(
            text.or_else(|| {
                e.downcast_ref::<&str>()
                    .map(std::string::ToString::to_string)
            })
            .unwrap_or_default(),
        )
    })??;
    match report.violations.first() {
        Some(b) => Err(Finding::RuleBroken(
            b.rule,
            format!("{} (at {:.3} s, proxy {})", b.description, b.at_s, b.proxy),
        )),
        None => Ok(report.service),
    }
}

impl Hunt {
    fn check(&self, scenario: &Scenario, seed: u64) -> Option<Finding> {
        let service = match service(scenario, self.policy, seed) {
            Ok(service) => service,
            Err(finding) => return Some(finding),
        };
        // A reference that breaks a rule or panics is a fault of the emulator, and reported as one.
        match self::service(scenario, self.reference, seed) {
            Ok(reference) => {
                (service < reference - self.gap).then_some(Finding::PoorService(service, reference))
            }
            Err(finding) => {
                let what = format!("the reference {}: {finding}", self.reference.name());
                Some(Finding::Panicked(what))
            }
        }
    }

    /// The simplest scenario found that still shows a finding of the same kind.
    fn shrink(&self, mut scenario: Scenario, seed: u64, finding: Finding) -> (Scenario, Finding) {
        let (mut found, mut tries) = (finding, 0);
        loop {
            let smaller = simpler_scenarios(&scenario)
                .into_iter()
                .filter(|s| s.validate().is_ok() && *s != scenario);
            let mut better = None;
            for candidate in smaller {
                tries += 1;
                if tries > MAX_SHRINK_ATTEMPTS {
                    break;
                }
                if let Some(finding) = self
                    .check(&candidate, seed)
                    .filter(|f| f.is_same_kind(&found))
                {
                    better = Some((candidate, finding));
                    break;
                }
            }
            match better {
                Some((candidate, finding)) => (scenario, found) = (candidate, finding),
                None => return (scenario, found),
            }
        }
    }
}

/// Runs the hunt; prints and writes the findings.
pub(crate) fn run(hunt: &Hunt) -> eyre::Result<ExitCode> {
    files::ensure_directory(&hunt.out)?;
    if !(hunt.gap > 0.0 && hunt.gap <= 1.0) {
        bail!("--gap is {}, expected more than 0 and at most 1", hunt.gap);
    }
    let limit = match hunt.minutes {
        Some(m) if !(m > 0.0 && m <= 1e6) => {
            bail!("--minutes is {m}, expected more than 0");
        }
        minutes => minutes.map(|m| Duration::from_secs_f64(m * 60.0)),
    };
    let Seeds(from, to) = hunt.seeds;
    let runner = Runner::start(to - from);
    let (began, found, played) = (Instant::now(), Mutex::new(Vec::new()), Mutex::new(0u64));
    // A panic is a finding with a line of its own; its trace would only hide the others.
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    (from..to).into_par_iter().try_for_each(|seed| {
        if runner.is_stopped() || limit.is_some_and(|l| began.elapsed() >= l) {
            return None;
        }
        let mut scenario = hunt.base.clone().unwrap_or_else(|| generate_scenario(seed));
        add_faults(&mut scenario, seed);
        if let Some(finding) = hunt.check(&scenario, seed) {
            runner.print_line(&format!("seed {seed}: {finding}; shrinking"));
            let (mut scenario, finding) = hunt.shrink(scenario, seed, finding);
            scenario.name = format!("found-{seed}");
            scenario.about = format!("Seed {seed} under {}: {finding}.", hunt.policy.name());
            found
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .push((seed, scenario, finding));
        }
        *played
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) += 1;
        runner.count_completed();
        Some(())
    });
    std::panic::set_hook(hook);
    runner.end();
    let mut found = found
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let played = played
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    found.sort_by_key(|f| f.0);
    for (seed, scenario, finding) in &found {
        let path = hunt.out.join(format!("found-{seed}.toml"));
        let command = format!(
            "ironmast-testbed emulate FILE --seed {seed} --policy {}",
            hunt.policy.name()
        );
        files::write(
            &path,
            &format!("# {finding}\n# {command}\n{}", scenario.to_toml()),
        )?;
        println!("seed {seed}: {finding}: {}", path.display());
    }
    println!(
        "{played} of {} seeds played in {:.0} s, {} findings",
        to - from,
        began.elapsed().as_secs_f64(),
        found.len()
    );
    Ok(match () {
        () if !found.is_empty() => ExitCode::from(1),
        () if runner.is_stopped() => ExitCode::from(130),
        () => ExitCode::SUCCESS,
    })
}

#[cfg(test)]
mod tests;
