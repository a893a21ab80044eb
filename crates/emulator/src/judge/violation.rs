//! The four rules that every policy must keep, and the record of their violations.

use std::fmt;

use serde::Serialize;

/// The maximum number of violations of a run that are recorded with details. Further ones are only
/// counted.
const MAX_RECORDED_VIOLATIONS: usize = 200;

/// A rule that the judge checks.
///
/// Two rules keep their older names in reports: `drains-kept` and `cold-spared`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each accepted request gets exactly one final answer, in time.
    OneAnswer,
    /// No effect occurs twice, attempts overlap only if hedging is allowed, and their number stays
    /// within the limit.
    NoEffectTwice,
    /// No new attempt is sent to a server that is draining or removed.
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

/// A violation of a rule, as listed in the report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// The time of the violation, in seconds of the run.
    pub at_s: f64,
    /// The index of the proxy that violated the rule.
    pub proxy: u32,
    /// The number of the server, if one is involved.
    pub server: Option<u32>,
    /// The number of the operation, if one is involved.
    pub request: Option<u64>,
    /// A description of the violation.
    #[serde(rename = "what")]
    pub description: String,
}

/// The violations of a run.
#[derive(Debug, Default)]
pub(crate) struct ViolationLog {
    /// The first violations, in the order in which they occurred.
    pub recorded: Vec<Violation>,
    /// The number of all violations, including those that are not recorded.
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
