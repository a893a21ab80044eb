//! The assertions of a scenario: its `[expect]` table, checked against a run. There is no I/O here.
//!
//! A run in which no request was served always fails, with or without a table.
//!
//! ```toml
//! [expect]
//! served = 0.9                # minimum share of all requests, 0 to 1
//! [[expect.span]]             # any number of time spans
//! from_s = 11.5
//! to_s = 20.0
//! served = 0.95               # minimum share of the requests due in the span
//! zone = "portland"           # of the executions that began in the span ...
//! runs = 0.9                  # ... the minimum share in this zone
//! [[expect.whole]]            # the service has recovered after the end of a fault or a signal
//! after_s = 3.0
//! within_s = 2.0              # latest start of `for_s` seconds in which all is served
//! for_s = 0.5
//! proxy = 0                   # only the clients of this proxy; default: of all proxies
//! ```

use std::fmt;
use std::time::Duration;

use serde::Deserialize;

use crate::load::{Outcome, SentRequest};
use crate::stub_servers::Execution;
use crate::verdict::recovery_time;

/// A scenario's `[expect]` table.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// The minimum share of all requests that is served, 0 to 1.
    pub served: Option<f64>,
    /// Assertions on time spans of the run.
    #[serde(default, rename = "span")]
    pub spans: Vec<Span>,
    /// When the service must have recovered.
    #[serde(default, rename = "whole")]
    pub recoveries: Vec<Recovery>,
}

/// An assertion on a time span, in seconds from the start of the load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Start of the span, 0 or more.
    pub from_s: f64,
    /// End of the span, after the start and not after the end of the load.
    pub to_s: f64,
    /// The least share of the requests sent in the span that is served, 0 to 1.
    pub served: Option<f64>,
    /// The zone whose pay servers execute at least the share `runs` of the executions that begin
    /// in the span.
    pub zone: Option<String>,
    /// The least share of executions in `zone`, 0 to 1.
    pub runs: Option<f64>,
}

/// When the service must have recovered from an event, in seconds from the start of the load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recovery {
    /// Time of the event.
    pub after_s: f64,
    /// The longest time from the event until the start of a span in which every request is served.
    pub within_s: f64,
    /// The duration of that span.
    pub for_s: f64,
    /// The proxy whose clients are considered; `None` for all proxies.
    pub proxy: Option<usize>,
}

/// An invalid table, with the key in the file.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ExpectationError {
    /// A share or a time is out of range.
    #[error("{0}: {1} expected")]
    Range(String, &'static str),
    /// The layout does not have this zone.
    #[error("{key}: no zone `{zone}`; there is {known}")]
    Zone {
        /// The key in the file.
        key: String,
        /// The zone in the file.
        zone: String,
        /// The zones of the layout.
        known: String,
    },
    /// The layout does not have this proxy.
    #[error("{0}: no proxy {1}; there are 0 to {2}")]
    Proxy(String, usize, usize),
}

/// The items of a run that an assertion is about: requests, or executions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fraction {
    /// The items that meet the condition.
    pub count: usize,
    /// All items.
    pub total: usize,
}

impl fmt::Display for Fraction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fraction { count, total } = self;
        let share = *count as f64 / (*total).max(1) as f64;
        write!(formatter, "{count} of {total} ({share:.3})")
    }
}

impl Fraction {
    fn of<T>(items: &[T], condition: impl Fn(&T) -> bool) -> Fraction {
        Fraction {
            count: items.iter().filter(|item| condition(item)).count(),
            total: items.len(),
        }
    }

    /// Whether there are items, and at least this share of them meets the condition.
    fn reaches(self, least: f64) -> bool {
        self.total > 0 && self.count as f64 / self.total as f64 >= least
    }
}

/// An assertion that does not hold for a run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// No request was served.
    #[error("none of {sent} requests was served")]
    NothingServed {
        /// The number of requests that were sent.
        sent: usize,
    },
    /// Too few of all requests were served.
    #[error("requests served: {served}, {least} expected")]
    Served {
        /// The requests that were served.
        served: Fraction,
        /// The least share.
        least: f64,
    },
    /// Too few of the requests sent in a span were served.
    #[error("requests served from {from_s} to {to_s} s: {served}, {least} expected")]
    ServedInSpan {
        /// The start of the span, in seconds.
        from_s: f64,
        /// The end of the span, in seconds.
        to_s: f64,
        /// The requests that were served.
        served: Fraction,
        /// The least share.
        least: f64,
    },
    /// Too few of the executions that began in a span were in a zone.
    #[error("executions in {zone} from {from_s} to {to_s} s: {executed}, {least} expected")]
    ExecutedInZone {
        /// The zone.
        zone: String,
        /// The start of the span, in seconds.
        from_s: f64,
        /// The end of the span, in seconds.
        to_s: f64,
        /// The executions in the zone.
        executed: Fraction,
        /// The least share.
        least: f64,
    },
    /// Service recovered too late.
    #[error("{}: recovered at {recovered_s:.2} s, {latest_s:.2} s expected", clients(*.proxy))]
    LateRecovery {
        /// The proxy whose clients are considered; `None` for all proxies.
        proxy: Option<usize>,
        /// When service had recovered, in seconds.
        recovered_s: f64,
        /// The latest time, in seconds.
        latest_s: f64,
    },
    /// Service did not recover.
    #[error("{}: no span of {for_s} s after {after_s} s in which every request was served", clients(*.proxy))]
    NoRecovery {
        /// The proxy whose clients are considered; `None` for all proxies.
        proxy: Option<usize>,
        /// The duration of the span in which every request had to be served, in seconds.
        for_s: f64,
        /// When the event happened, in seconds.
        after_s: f64,
    },
}

/// Names a proxy, or all of them.
fn clients(proxy: Option<usize>) -> String {
    proxy.map_or_else(|| "all proxies".into(), |proxy| format!("proxy {proxy}"))
}

impl Expectations {
    /// Checks the table against a load of `duration_s` seconds and the layout.
    ///
    /// # Errors
    /// The first key that is out of range or names an unknown zone or proxy.
    pub fn check(
        &self,
        duration_s: f64,
        zones: &[String],
        proxies: usize,
    ) -> Result<(), ExpectationError> {
        check_share("expect.served".into(), self.served)?;
        for (index, span) in self.spans.iter().enumerate() {
            span.check(index, duration_s, zones)?;
        }
        for (index, recovery) in self.recoveries.iter().enumerate() {
            recovery.check(index, duration_s, proxies)?;
        }
        Ok(())
    }

    /// The assertions that do not hold. `sent` are the requests of each proxy's clients; times count
    /// from the start of the load.
    #[must_use]
    pub fn violations(
        &self,
        sent: &[Vec<SentRequest>],
        executions: &[Execution],
    ) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut all: Vec<SentRequest> = sent.iter().flatten().cloned().collect();
        all.sort_by_key(|request| request.at);
        let served = Fraction::of(&all, is_served);
        if served.count == 0 {
            violations.push(Violation::NothingServed { sent: all.len() });
        }
        if let Some(least) = self.served.filter(|least| !served.reaches(*least)) {
            violations.push(Violation::Served { served, least });
        }
        for span in &self.spans {
            violations.extend(span.violations(&all, executions));
        }
        for recovery in &self.recoveries {
            let requests = match recovery.proxy {
                Some(proxy) => sent.get(proxy).map_or(&[][..], Vec::as_slice),
                None => &all,
            };
            violations.extend(recovery.violation(requests));
        }
        violations
    }
}

fn check_share(key: String, share: Option<f64>) -> Result<(), ExpectationError> {
    match share {
        Some(share) if !(0.0..=1.0).contains(&share) => {
            Err(ExpectationError::Range(key, "a share of 0 to 1"))
        }
        _ => Ok(()),
    }
}

impl Span {
    fn check(
        &self,
        index: usize,
        duration_s: f64,
        zones: &[String],
    ) -> Result<(), ExpectationError> {
        let key = |key: &str| format!("expect.span.{index}.{key}");
        check_share(key("served"), self.served)?;
        check_share(key("runs"), self.runs)?;
        if !(self.from_s >= 0.0 && self.from_s < self.to_s && self.to_s <= duration_s) {
            return Err(ExpectationError::Range(
                key("to_s"),
                "seconds after from_s and inside the load",
            ));
        }
        let asserts_nothing = self.runs.is_none() && self.served.is_none();
        if self.zone.is_some() != self.runs.is_some() || asserts_nothing {
            return Err(ExpectationError::Range(
                key("zone"),
                "served, or zone and runs together,",
            ));
        }
        match &self.zone {
            Some(zone) if !zones.contains(zone) => Err(ExpectationError::Zone {
                key: key("zone"),
                zone: zone.clone(),
                known: zones.join(", "),
            }),
            _ => Ok(()),
        }
    }

    fn contains(&self, at: Duration) -> bool {
        (self.from_s..self.to_s).contains(&at.as_secs_f64())
    }

    fn violations(&self, sent: &[SentRequest], executions: &[Execution]) -> Vec<Violation> {
        let mut violations = Vec::new();
        violations.extend(self.served_violation(sent));
        violations.extend(self.zone_violation(executions));
        violations
    }

    fn served_violation(&self, sent: &[SentRequest]) -> Option<Violation> {
        let least = self.served?;
        let in_span = sent.iter().filter(|request| self.contains(request.at));
        let in_span: Vec<&SentRequest> = in_span.collect();
        let served = Fraction::of(&in_span, |request| is_served(request));
        (!served.reaches(least)).then_some(Violation::ServedInSpan {
            from_s: self.from_s,
            to_s: self.to_s,
            served,
            least,
        })
    }

    fn zone_violation(&self, executions: &[Execution]) -> Option<Violation> {
        let (zone, least) = self.zone.as_ref().zip(self.runs)?;
        let in_span = executions.iter().filter(|run| self.contains(run.at));
        let in_span: Vec<&Execution> = in_span.collect();
        let executed = Fraction::of(&in_span, |execution| {
            let server_zone = execution.server.rsplit_once('-').map(|(zone, _)| zone);
            server_zone == Some(zone)
        });
        (!executed.reaches(least)).then(|| Violation::ExecutedInZone {
            zone: zone.clone(),
            from_s: self.from_s,
            to_s: self.to_s,
            executed,
            least,
        })
    }
}

impl Recovery {
    fn check(&self, index: usize, duration_s: f64, proxies: usize) -> Result<(), ExpectationError> {
        let key = |key: &str| format!("expect.whole.{index}.{key}");
        let end_s = self.after_s + self.within_s + self.for_s;
        let is_positive = self.after_s >= 0.0 && self.within_s >= 0.0 && self.for_s > 0.0;
        if !(is_positive && end_s <= duration_s) {
            return Err(ExpectationError::Range(
                key("after_s"),
                "seconds of 0 or more that end inside the load",
            ));
        }
        match self.proxy {
            Some(proxy) if proxy >= proxies => {
                Err(ExpectationError::Proxy(key("proxy"), proxy, proxies - 1))
            }
            _ => Ok(()),
        }
    }

    fn violation(&self, sent: &[SentRequest]) -> Option<Violation> {
        let &Recovery {
            after_s,
            for_s,
            proxy,
            ..
        } = self;
        let after = Duration::from_secs_f64(after_s);
        let span = Duration::from_secs_f64(for_s);
        let latest_s = after_s + self.within_s;
        match recovery_time(sent, after, span).map(|time| time.as_secs_f64()) {
            Some(recovered_s) if recovered_s <= latest_s => None,
            Some(recovered_s) => Some(Violation::LateRecovery {
                proxy,
                recovered_s,
                latest_s,
            }),
            None => Some(Violation::NoRecovery {
                proxy,
                for_s,
                after_s,
            }),
        }
    }
}

fn is_served(request: &SentRequest) -> bool {
    request.outcome == Outcome::Served
}

#[cfg(test)]
mod tests;
