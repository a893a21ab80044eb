//! What must hold of a run: a scenario's `[expect]` table, and the verdict whether it did. No I/O.
//!
//! A run that served nothing, or whose load could not be sent, never holds, with or without a
//! table.
//!
//! ```toml
//! [expect]
//! served = 0.9                # least share of all requests, 0 to 1
//! [[expect.span]]             # any number of them, each of its own seconds
//! from_s = 11.5
//! to_s = 20.0
//! served = 0.95               # least share of the requests meant to go in the span
//! zone = "portland"           # of the runs that began in the span ...
//! runs = 0.9                  # ... the least share in this zone
//! [[expect.whole]]            # service is whole again after a fault ends or a signal was sent
//! after_s = 3.0
//! within_s = 2.0              # the latest beginning of `for_s` seconds in which every request is served
//! for_s = 0.5
//! proxy = 0                   # of this proxy's clients; left out: of all proxies'
//! ```

use std::time::Duration;

use serde::Deserialize;

use crate::load::{Outcome, SentRequest};
use crate::stub_servers::Execution;
use crate::verdict::recovery_time;

/// A scenario's `[expect]` table.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// The least share of all requests that is served, 0 to 1.
    pub served: Option<f64>,
    /// What must hold in spans of the run.
    #[serde(default)]
    pub span: Vec<Span>,
    /// When service must be whole again.
    #[serde(default, rename = "whole")]
    pub recovery: Vec<Recovery>,
}

/// What must hold between two moments, in seconds from the start of the load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Its beginning, 0 or more.
    pub from_s: f64,
    /// Its end, after the beginning and not after the load's.
    pub to_s: f64,
    /// The least share served of the requests meant to go in it, 0 to 1.
    pub served: Option<f64>,
    /// The zone whose pay servers are to run `runs` of what begins to run in it.
    pub zone: Option<String>,
    /// The least share of runs in `zone`, 0 to 1.
    pub runs: Option<f64>,
}

/// When service must be whole again after something happened, in seconds from the start of the
/// load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recovery {
    /// When it happened.
    pub after_s: f64,
    /// By so many seconds later a stretch begins in which every request is served ...
    pub within_s: f64,
    /// ... for so long.
    pub for_s: f64,
    /// Of one proxy's clients alone.
    pub proxy: Option<usize>,
}

/// A table that cannot be held against a run, with the file's key.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ExpectationError {
    /// A share or time out of its range.
    #[error("{0}: {1} expected")]
    Range(String, &'static str),
    /// A zone that the layout has not.
    #[error("{key}: no zone `{zone}`; there is {there}")]
    Zone {
        /// The file's key.
        key: String,
        /// The zone it names.
        zone: String,
        /// The zones there are.
        there: String,
    },
    /// A proxy that the layout has not.
    #[error("{0}: no proxy {1}; there are 0 to {2}")]
    Proxy(String, usize, usize),
}

impl Expectations {
    /// Checks the table against a run of `length_s` seconds, `zones` and `proxies`.
    ///
    /// # Errors
    /// The first key that is out of range, or names a zone or proxy that is not there.
    pub fn check(
        &self,
        length_s: f64,
        zones: &[String],
        proxies: usize,
    ) -> Result<(), ExpectationError> {
        let share = |key: String, share: Option<f64>| match share {
            Some(s) if !(0.0..=1.0).contains(&s) => {
                Err(ExpectationError::Range(key, "a share of 0 to 1"))
            }
            _ => Ok(()),
        };
        share("expect.served".into(), self.served)?;
        for (n, span) in self.span.iter().enumerate() {
            let key = |key: &str| format!("expect.span.{n}.{key}");
            share(key("served"), span.served)?;
            share(key("runs"), span.runs)?;
            if !(span.from_s >= 0.0 && span.from_s < span.to_s && span.to_s <= length_s) {
                return Err(ExpectationError::Range(
                    key("to_s"),
                    "seconds after from_s and inside the load",
                ));
            }
            if span.zone.is_some() != span.runs.is_some()
                || span.runs.is_none() && span.served.is_none()
            {
                return Err(ExpectationError::Range(
                    key("zone"),
                    "served, or zone and runs together,",
                ));
            }
            if let Some(zone) = span.zone.as_ref().filter(|zone| !zones.contains(zone)) {
                let there = zones.join(", ");
                return Err(ExpectationError::Zone {
                    key: key("zone"),
                    zone: zone.clone(),
                    there,
                });
            }
        }
        for (n, whole) in self.recovery.iter().enumerate() {
            let key = |key: &str| format!("expect.whole.{n}.{key}");
            let last = whole.after_s + whole.within_s + whole.for_s;
            if !(whole.after_s >= 0.0
                && whole.within_s >= 0.0
                && whole.for_s > 0.0
                && last <= length_s)
            {
                return Err(ExpectationError::Range(
                    key("after_s"),
                    "seconds of 0 or more that end inside the load",
                ));
            }
            if let Some(proxy) = whole.proxy.filter(|proxy| *proxy >= proxies) {
                return Err(ExpectationError::Proxy(key("proxy"), proxy, proxies - 1));
            }
        }
        Ok(())
    }

    /// What did not hold of a run, a line each; `sent` by proxy, times from the start of the load.
    #[must_use]
    pub fn violations(&self, sent: &[Vec<SentRequest>], runs: &[Execution]) -> Vec<String> {
        let mut violations = Vec::new();
        let mut all: Vec<SentRequest> = sent.iter().flatten().cloned().collect();
        all.sort_by_key(|s| s.at);
        if !all.iter().any(|s| s.outcome == Outcome::Served) {
            violations.push(format!("nothing was served of {} requests", all.len()));
        }
        if let Some(least) = self.served {
            violations.extend(short(
                "requests served",
                &all,
                |s| s.outcome == Outcome::Served,
                least,
            ));
        }
        for Span {
            from_s,
            to_s,
            served,
            zone,
            runs: least_runs,
        } in &self.span
        {
            let inside = |at: Duration| (*from_s..*to_s).contains(&at.as_secs_f64());
            let when = format!("from {from_s} to {to_s} s");
            if let Some(least) = served {
                let here: Vec<SentRequest> = all.iter().filter(|s| inside(s.at)).cloned().collect();
                let what = format!("requests served {when}");
                violations.extend(short(
                    &what,
                    &here,
                    |s| s.outcome == Outcome::Served,
                    *least,
                ));
            }
            if let Some((zone, least)) = zone.as_ref().zip(*least_runs) {
                let here: Vec<Execution> = runs.iter().filter(|r| inside(r.at)).cloned().collect();
                let of_zone = |r: &Execution| {
                    r.server
                        .rsplit_once('-')
                        .is_some_and(|(name, _)| name == zone.as_str())
                };
                violations.extend(short(
                    &format!("runs in {zone} {when}"),
                    &here,
                    of_zone,
                    least,
                ));
            }
        }
        for Recovery {
            after_s,
            within_s,
            for_s,
            proxy,
        } in &self.recovery
        {
            let theirs: Vec<SentRequest> = match proxy {
                Some(proxy) => sent.get(*proxy).cloned().unwrap_or_default(),
                None => all.clone(),
            };
            let who = proxy.map_or("all proxies".to_string(), |p| format!("proxy {p}"));
            let (from, span) = (
                Duration::from_secs_f64(*after_s),
                Duration::from_secs_f64(*for_s),
            );
            match recovery_time(&theirs, from, span) {
                Some(at) if at.as_secs_f64() <= after_s + within_s => {}
                Some(at) => violations.push(format!(
                    "{who}: whole again at {:.2} s, {:.2} s expected",
                    at.as_secs_f64(),
                    after_s + within_s
                )),
                None => violations.push(format!(
                    "{who}: never whole again for {for_s} s after {after_s} s"
                )),
            }
        }
        violations
    }
}

/// A line where fewer than the least share of them are so; of none at all nothing can hold.
fn short<T>(what: &str, of: &[T], so: impl Fn(&T) -> bool, least: f64) -> Option<String> {
    let count = of.iter().filter(|x| so(x)).count();
    let share = count as f64 / of.len().max(1) as f64;
    let holds = !of.is_empty() && share >= least;
    (!holds).then(|| {
        format!(
            "{what}: {count} of {} ({share:.3}), {least} expected",
            of.len()
        )
    })
}

#[cfg(test)]
mod tests;
