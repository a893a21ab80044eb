//! Faults on links and their schedule: which fault is active on a link, in one direction, at a
//! moment of the run.
//!
//! There is no I/O here: the relays ask the [`Schedule`] for each chunk they forward and each
//! connection they accept. The format follows the emulator's scenarios (times as `_s` numbers, one
//! table for each fault), so that one file can hold both:
//!
//! ```toml
//! [[fault]]
//! at_s = 12.0
//! link = "proxy3->*"
//! kind = "cut-one-way"
//! for_s = 8.0
//! ```
//!
//! A link is named `FROM->TO` for the bytes that flow from FROM to TO. Either side of a pattern may
//! be `*`, or end in `*` to match a prefix (`server*`). The kinds follow the network section of the
//! protocol page: an unreachable machine causes no error at the other end (bytes are lost, new
//! connections never complete), whereas a machine whose process has ended resets and refuses
//! connections.

mod schedule;

use serde::Deserialize;

pub use schedule::{Action, DatagramAction, Schedule};

/// What a link does to what it carries, in one direction.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Bytes pass unchanged.
    Pass,
    /// A silent cut in both directions: bytes do not arrive, connections stay open without an error,
    /// new ones never complete.
    Cut,
    /// A silent cut in this direction only: the receiver gets nothing from the sender, which
    /// still receives (an asymmetric partition).
    CutOneWay,
    /// Each chunk waits `delay_ms`, plus up to `jitter_ms` more, before it passes.
    Delay,
    /// Connections that carry bytes are reset, and new ones are reset when they complete.
    Reset,
    /// New connections are refused (reset at once); open ones continue.
    Refuse,
    /// At most `bytes_per_s` pass per second.
    Rate,
    /// Datagrams only: each is lost with the probability `share`.
    Drop,
    /// Datagrams only: each is sent twice with the probability `share`.
    Duplicate,
    /// Datagrams only: each is held back until the next one has been sent, with the probability
    /// `share`.
    Reorder,
}

/// One fault of a schedule, as written in a scenario's `[[fault]]` table.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds from the start of the run; 0 or more.
    pub at_s: f64,
    /// Links that the fault affects, `FROM->TO` with `*` patterns.
    pub link: String,
    /// Effect on the links.
    pub kind: FaultKind,
    /// Duration in seconds; `None` for the rest of the run.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// For `delay`: the delay of each chunk in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// For `delay`: the largest random addition to the delay of each chunk, in milliseconds.
    #[serde(default)]
    pub jitter_ms: f64,
    /// For `rate`: bytes per second, more than 0.
    #[serde(default)]
    pub bytes_per_s: f64,
    /// For `drop`, `duplicate` and `reorder`: the probability for each datagram, above 0 and at
    /// most 1.
    #[serde(default)]
    pub share: f64,
}

/// An invalid fault, with its index in the schedule (from 0).
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum FaultError {
    /// The link is not `FROM->TO`.
    #[error("fault {0}: link `{1}` is not FROM->TO")]
    Link(usize, String),
    /// A time is negative or not finite.
    #[error("fault {0}: at_s, for_s, delay_ms and jitter_ms must be finite and 0 or more")]
    Time(usize),
    /// A kind of fault without the value it needs, or with one out of range.
    #[error("fault {0}: a {1} fault needs {2} above 0")]
    Missing(usize, &'static str, &'static str),
}

impl Fault {
    /// Whether the fault is active `now_s` seconds into the run.
    #[must_use]
    pub fn is_active_at(&self, now_s: f64) -> bool {
        let has_ended = |duration_s| now_s >= self.at_s + duration_s;
        self.at_s <= now_s && !self.for_s.is_some_and(has_ended)
    }

    /// Checks the values of the fault with this index.
    fn check(&self, index: usize) -> Result<(), FaultError> {
        let ends = self.link.split_once("->");
        if ends.is_none_or(|(from, to)| from.is_empty() || to.is_empty() || to.contains("->")) {
            return Err(FaultError::Link(index, self.link.clone()));
        }
        let times = [
            self.at_s,
            self.for_s.unwrap_or(0.0),
            self.delay_ms,
            self.jitter_ms,
        ];
        if times.iter().any(|time| !time.is_finite() || *time < 0.0) {
            return Err(FaultError::Time(index));
        }
        let missing = |kind, key| Err(FaultError::Missing(index, kind, key));
        let has_rate = self.bytes_per_s > 0.0 && self.bytes_per_s.is_finite();
        let has_probability = self.share > 0.0 && self.share <= 1.0;
        match self.kind {
            FaultKind::Rate if !has_rate => missing("rate", "bytes_per_s"),
            FaultKind::Delay if self.delay_ms + self.jitter_ms <= 0.0 => {
                missing("delay", "delay_ms")
            }
            FaultKind::Drop | FaultKind::Duplicate | FaultKind::Reorder if !has_probability => {
                missing("datagram", "share (at most 1)")
            }
            _ => Ok(()),
        }
    }
}

/// Whether one side of a pattern (a name, or a prefix followed by `*`) matches a name.
#[must_use]
pub fn side_matches(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => pattern == name,
    }
}

/// Whether a pattern (`FROM->TO`, either side with `*`) matches the link `from->to`.
#[must_use]
pub fn link_matches(pattern: &str, from: &str, to: &str) -> bool {
    pattern
        .split_once("->")
        .is_some_and(|(sender, receiver)| side_matches(sender, from) && side_matches(receiver, to))
}

/// A link of a deployment, for the bytes that flow from one end to the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// The name of the sender.
    pub from: String,
    /// The name of the receiver.
    pub to: String,
}

/// The first fault whose pattern matches none of `links` in either direction, so that it would have
/// no effect.
#[must_use]
pub fn first_unknown_link<'a>(faults: &'a [Fault], links: &[Link]) -> Option<&'a Fault> {
    let matches_any = |fault: &Fault| {
        links.iter().any(|Link { from, to }| {
            link_matches(&fault.link, from, to) || link_matches(&fault.link, to, from)
        })
    };
    faults.iter().find(|fault| !matches_any(fault))
}

#[cfg(test)]
mod tests;
