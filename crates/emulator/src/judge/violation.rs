//! The four rules, and their violations.

use std::fmt;

use serde::Serialize;

/// The number of violations of a run that are recorded with their details. All are counted.
const MAX_RECORDED_VIOLATIONS: usize = 200;

/// The four rules.
///
/// Reports name two of them by older names, which are kept: `drains-kept` and `cold-spared`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each accepted request gets one final answer, in time.
    OneAnswer,
    /// No effect occurs twice, attempts overlap only if hedging is allowed, and there are not more
    /// of them than allowed.
    NoEffectTwice,
    /// Nothing new is sent to a server that is draining or removed.
    #[serde(rename = "drains-kept")]
    NoSendAfterDrain,
    /// No server that is warming up is overloaded.
    #[serde(rename = "cold-spared")]
    NoWarmUpOverload,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "OneAnswer",
            Rule::NoEffectTwice => "NoEffectTwice",
            Rule::NoSendAfterDrain => "DrainsKept",
            Rule::NoWarmUpOverload => "ColdSpared",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in seconds of the run.
    pub at_s: f64,
    /// The index of the proxy.
    pub proxy: u32,
    /// The number of the server, if one is concerned.
    pub server: Option<u32>,
    /// The number of the operation, if one is concerned.
    pub request: Option<u64>,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// The violations of a run.
#[derive(Debug, Default)]
pub(crate) struct ViolationLog {
    /// The first ones, in their order.
    pub recorded: Vec<Violation>,
    /// The number of all.
    pub count: u64,
}

impl ViolationLog {
    pub(super) fn record(&mut self, violation: Violation) {
        self.count += 1;
        if self.recorded.len() < MAX_RECORDED_VIOLATIONS {
            self.recorded.push(violation);
        }
    }
}
