//! Parses a scenario and checks it against its layout before anything is started.

use std::path::PathBuf;

use super::{Scenario, Signal, Slowdown};
use crate::deployment::{DISCOVERY, request_classes};
use crate::expectations::ExpectationError;
use crate::fault::{FaultError, Link, Schedule, first_unknown_link, side_matches};

/// Permitted durations of the load, in seconds.
const DURATION_S: std::ops::RangeInclusive<f64> = 0.5..=600.0;
/// Permitted numbers of proxies.
const PROXIES: std::ops::RangeInclusive<usize> = 1..=16;
/// The highest request rate on a proxy, per second.
const MAX_RATE: f64 = 500.0;
/// The highest factor on the service time.
const MAX_SLOWDOWN: f64 = 1e3;

/// A scenario that cannot be run: the file and what is wrong with it, in one line.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {problem}")]
pub struct ScenarioError {
    /// The name of the file.
    pub file: String,
    /// What is wrong with it.
    pub problem: ScenarioProblem,
}

/// What is wrong with a scenario: the key, its value and what is available instead.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioProblem {
    /// The file does not follow the format.
    #[error("{}", .0.message())]
    Syntax(#[from] toml::de::Error),
    /// A fault is invalid.
    #[error(transparent)]
    Fault(#[from] FaultError),
    /// The duration is out of range.
    #[error("length_s is {0}, 0.5 to 600 expected")]
    Duration(f64),
    /// The number of proxies, zones or pay servers is out of range.
    #[error("1 to 16 proxies and zones of one pay server or more expected")]
    Counts,
    /// The rate is out of range, or the path is not absolute.
    #[error(
        "load: a rate above 0 and at most 500 requests per second and a path that begins with / expected"
    )]
    Load,
    /// Two zones have the same name.
    #[error("zone.name: more than one zone is called `{0}`")]
    DuplicateZone(String),
    /// The class in the path is not in the proxies' configuration.
    #[error("load.path: no class `{class}`; there are {}", .known.join(", "))]
    UnknownClass {
        /// The class in the path.
        class: String,
        /// The configured classes.
        known: Vec<String>,
    },
    /// A fault names a link that the layout does not have.
    #[error(
        "fault.link: no link `{link}`; there are proxy0 to proxy{last_proxy}, {}",
        .ends.join(", ")
    )]
    UnknownLink {
        /// The link in the file.
        link: String,
        /// The index of the last proxy.
        last_proxy: usize,
        /// The names of the other ends of a proxy's links.
        ends: Vec<String>,
    },
    /// A signal is sent before or after the load.
    #[error("signal.at_s: {at_s} is not in the load's 0 to {duration_s} s")]
    SignalTime {
        /// When the signal is sent, in seconds.
        at_s: f64,
        /// The duration of the load in seconds.
        duration_s: f64,
    },
    /// A signal is sent to a proxy that the layout does not have.
    #[error("signal.proxy: no proxy {proxy}; there are 0 to {last_proxy}")]
    UnknownProxy {
        /// The index in the file.
        proxy: usize,
        /// The index of the last proxy.
        last_proxy: usize,
    },
    /// A slowdown is outside the load, or its factor is out of range.
    #[error("slow: seconds inside the load and a factor of at most 1000 expected")]
    Slowdown,
    /// A slowdown names a pay server that the layout does not have.
    #[error("slow.server: no pay server `{0}`")]
    UnknownServer(String),
    /// An assertion cannot be checked.
    #[error(transparent)]
    Expectation(#[from] ExpectationError),
}

/// Parses a scenario; `file` is the name of its file in errors.
///
/// # Errors
/// The first problem of the file.
pub fn parse(text: &str, file: &str) -> Result<(Scenario, Schedule), ScenarioError> {
    parse_checked(text).map_err(|problem| ScenarioError {
        file: file.to_string(),
        problem,
    })
}

fn parse_checked(text: &str) -> Result<(Scenario, Schedule), ScenarioProblem> {
    let scenario: Scenario = toml::from_str(text)?;
    let schedule = Schedule::new(scenario.faults.clone())?;
    check_sizes(&scenario)?;
    check_zone_names(&scenario)?;
    check_class(&scenario.load.path)?;
    let links = scenario.layout(PathBuf::new()).links();
    check_links(&schedule, &links, scenario.proxies)?;
    check_signals(&scenario)?;
    for slowdown in &scenario.slowdowns {
        check_slowdown(slowdown, scenario.duration_s, &links)?;
    }
    scenario.expectations.check(
        scenario.duration_s,
        &scenario.zone_names(),
        scenario.proxies,
    )?;
    Ok((scenario, schedule))
}

fn check_sizes(scenario: &Scenario) -> Result<(), ScenarioProblem> {
    if !DURATION_S.contains(&scenario.duration_s) {
        return Err(ScenarioProblem::Duration(scenario.duration_s));
    }
    let has_empty_zone = scenario.zones.iter().any(|zone| zone.servers == 0);
    if !PROXIES.contains(&scenario.proxies) || scenario.zones.is_empty() || has_empty_zone {
        return Err(ScenarioProblem::Counts);
    }
    let load = &scenario.load;
    if !(load.rate > 0.0 && load.rate <= MAX_RATE && load.path.starts_with('/')) {
        return Err(ScenarioProblem::Load);
    }
    Ok(())
}

fn check_zone_names(scenario: &Scenario) -> Result<(), ScenarioProblem> {
    let mut names = scenario.zone_names();
    names.sort();
    let duplicate = names
        .windows(2)
        .find(|pair| matches!(pair, [first, second] if first == second));
    match duplicate {
        Some([name, ..]) => Err(ScenarioProblem::DuplicateZone(name.clone())),
        _ => Ok(()),
    }
}

fn check_class(path: &str) -> Result<(), ScenarioProblem> {
    let class = path[1..].split(['/', '?']).next().unwrap_or_default();
    let known = request_classes();
    if known.iter().any(|name| name == class) {
        return Ok(());
    }
    Err(ScenarioProblem::UnknownClass {
        class: class.to_string(),
        known,
    })
}

fn check_links(schedule: &Schedule, links: &[Link], proxies: usize) -> Result<(), ScenarioProblem> {
    let Some(fault) = first_unknown_link(schedule.faults(), links) else {
        return Ok(());
    };
    let of_first_proxy = links.iter().filter(|link| link.from == "proxy0");
    Err(ScenarioProblem::UnknownLink {
        link: fault.link.clone(),
        last_proxy: proxies - 1,
        ends: of_first_proxy.map(|link| link.to.clone()).collect(),
    })
}

fn check_signals(scenario: &Scenario) -> Result<(), ScenarioProblem> {
    let load = 0.0..=scenario.duration_s;
    let is_outside_load = |signal: &&Signal| !load.contains(&signal.at_s);
    if let Some(signal) = scenario.signals.iter().find(is_outside_load) {
        return Err(ScenarioProblem::SignalTime {
            at_s: signal.at_s,
            duration_s: scenario.duration_s,
        });
    }
    let is_unknown = |signal: &&Signal| signal.proxy >= scenario.proxies;
    if let Some(signal) = scenario.signals.iter().find(is_unknown) {
        return Err(ScenarioProblem::UnknownProxy {
            proxy: signal.proxy,
            last_proxy: scenario.proxies - 1,
        });
    }
    Ok(())
}

fn check_slowdown(
    slowdown: &Slowdown,
    duration_s: f64,
    links: &[Link],
) -> Result<(), ScenarioProblem> {
    let is_inside_load = slowdown.at_s >= 0.0
        && slowdown.for_s > 0.0
        && slowdown.at_s + slowdown.for_s <= duration_s;
    if !(is_inside_load && slowdown.factor > 0.0 && slowdown.factor <= MAX_SLOWDOWN) {
        return Err(ScenarioProblem::Slowdown);
    }
    let is_named = |link: &Link| link.to != DISCOVERY && side_matches(&slowdown.server, &link.to);
    if !links.iter().any(is_named) {
        return Err(ScenarioProblem::UnknownServer(slowdown.server.clone()));
    }
    Ok(())
}
