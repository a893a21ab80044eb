//! Faults on links as a schedule: which fault holds on a link, in one direction, at a moment of the
//! run.
//!
//! No I/O here: the relays ask [`Schedule::fault`] for each piece they carry and each connection
//! they take. The format follows the emulator's scenarios (times as `_s` floats, one table a
//! trouble), so that one file can hold both:
//!
//! ```toml
//! [[fault]]
//! at_s = 12.0
//! link = "proxy3->*"
//! kind = "cut-one-way"
//! for_s = 8.0
//! ```
//!
//! A link is named `FROM->TO` for the bytes that flow from FROM to TO; a pattern's side may be `*`,
//! or end in `*` to match a prefix (`server*`). Kinds follow the network section of the protocol
//! page: a machine that is cut off gives no sign (bytes vanish, new connections never come up), a
//! dead process resets and refuses.

use std::time::Duration;

use serde::Deserialize;

/// What a link does to what it carries, in one direction.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Bytes pass as they come.
    Pass,
    /// Cut without a sign both ways: bytes vanish, connections stay open and silent, new ones never
    /// come up.
    Cut,
    /// Cut without a sign in this direction only: the far side hears nothing of the near one, the
    /// near side still hears the far one (a one-sided cut).
    CutOneWay,
    /// Each piece waits `delay_ms`, plus up to `jitter_ms` more, before it passes.
    Delay,
    /// Connections that carry bytes are reset, and new ones are reset as they come up.
    Reset,
    /// New connections are refused (reset at once); open ones go on.
    Refuse,
    /// At most `bytes_per_s` pass a second.
    Rate,
    /// Datagrams only: each is lost with the chance `share`.
    Drop,
    /// Datagrams only: each is sent twice with the chance `share`.
    Duplicate,
    /// Datagrams only: each is held back behind the next one with the chance `share`.
    Reorder,
}

/// One fault of a schedule, as written in a scenario's `[[fault]]` table.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds from the start of the run; 0 or more.
    pub at_s: f64,
    /// The links it meets, `FROM->TO` with `*` patterns.
    pub link: String,
    /// What it does.
    pub kind: FaultKind,
    /// How long it lasts in seconds; none: to the end of the run.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// For `delay`: the wait of each piece in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// For `delay`: up to this many milliseconds more, drawn for each piece.
    #[serde(default)]
    pub jitter_ms: f64,
    /// For `rate`: bytes a second, more than 0.
    #[serde(default)]
    pub bytes_per_s: f64,
    /// For `drop`, `duplicate` and `reorder`: the chance for each datagram, above 0 and at most 1.
    #[serde(default)]
    pub share: f64,
}

/// A fault that a schedule cannot hold, named with its place in the schedule (counted from 0).
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum FaultError {
    /// The link is not `FROM->TO`.
    #[error("fault {0}: link `{1}` is not FROM->TO")]
    Link(usize, String),
    /// A time is negative or not a number.
    #[error("fault {0}: times are seconds of 0 or more")]
    Time(usize),
    /// A `rate` fault without a rate above 0, or a `delay` fault without a wait.
    #[error("fault {0}: a {1} fault needs {2} above 0")]
    Missing(usize, &'static str, &'static str),
}

impl Fault {
    /// Whether it holds `now` seconds into the run.
    #[must_use]
    pub fn is_active_at(&self, now: f64) -> bool {
        self.at_s <= now && self.for_s.is_none_or(|d| now < self.at_s + d)
    }
}

/// What a relay must do, as the schedule tells it for one link and direction at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Pass the piece.
    Pass,
    /// Let the piece vanish (and hold new connections silent).
    Blackhole,
    /// Wait so long, then pass.
    Wait(Duration),
    /// Reset the connection.
    Reset,
    /// Refuse a new connection; pass pieces on open ones.
    Refuse,
    /// Pass at most so many bytes a second.
    Rate(f64),
}

/// What a datagram relay must do with one datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DatagramAction {
    /// Send it on.
    Pass,
    /// Lose it.
    Drop,
    /// Send it twice.
    Duplicate,
    /// Hold it until the next one has gone.
    Reorder,
    /// Send it after so long.
    Delay(Duration),
}

/// Faults over a run. Where several hold on one link at once, the one that began last counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    faults: Vec<Fault>,
}

/// Whether one side of a pattern (a name, or the beginning of one and `*`) names `name`.
#[must_use]
pub fn side_matches(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => pattern == name,
    }
}

/// Whether `pattern` (`FROM->TO`, sides with `*`) names the link `from->to`.
#[must_use]
pub fn link_matches(pattern: &str, from: &str, to: &str) -> bool {
    pattern
        .split_once("->")
        .is_some_and(|(a, b)| side_matches(a, from) && side_matches(b, to))
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

impl Schedule {
    /// Checks each fault; sorts them by their start.
    ///
    /// # Errors
    /// A fault that contradicts another one or names an impossible value.
    pub fn new(mut faults: Vec<Fault>) -> Result<Schedule, FaultError> {
        for (n, fault) in faults.iter().enumerate() {
            let parts = fault.link.split_once("->");
            if parts.is_none_or(|(a, b)| a.is_empty() || b.is_empty() || b.contains("->")) {
                return Err(FaultError::Link(n, fault.link.clone()));
            }
            let times = [
                fault.at_s,
                fault.for_s.unwrap_or(0.0),
                fault.delay_ms,
                fault.jitter_ms,
            ];
            if times.iter().any(|t| !(t.is_finite() && *t >= 0.0)) {
                return Err(FaultError::Time(n));
            }
            if fault.kind == FaultKind::Rate
                && !(fault.bytes_per_s > 0.0 && fault.bytes_per_s.is_finite())
            {
                return Err(FaultError::Missing(n, "rate", "bytes_per_s"));
            }
            if fault.kind == FaultKind::Delay && fault.delay_ms + fault.jitter_ms <= 0.0 {
                return Err(FaultError::Missing(n, "delay", "delay_ms"));
            }
            let chance = matches!(
                fault.kind,
                FaultKind::Drop | FaultKind::Duplicate | FaultKind::Reorder
            );
            if chance && !(fault.share > 0.0 && fault.share <= 1.0) {
                return Err(FaultError::Missing(n, "datagram", "share (at most 1)"));
            }
        }
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Ok(Schedule { faults })
    }

    /// The faults, by their start.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Adds a fault that begins at once; used for faults set on a call during a run.
    ///
    /// # Errors
    /// As for [`Schedule::new`].
    pub fn push(&mut self, fault: Fault) -> Result<(), FaultError> {
        let mut all = std::mem::take(&mut self.faults);
        all.push(fault);
        *self = Schedule::new(all)?;
        Ok(())
    }

    /// The fault that holds on bytes from `from` to `to` at `elapsed`, if any.
    #[must_use]
    pub fn fault(&self, from: &str, to: &str, elapsed: Duration) -> Option<&Fault> {
        let now = elapsed.as_secs_f64();
        self.faults
            .iter()
            .rev()
            .find(|f| f.is_active_at(now) && link_matches(&f.link, from, to))
    }

    /// What to do with a piece from `from` to `to` at `elapsed`; `draw` is a number in [0, 1) for
    /// the jitter.
    ///
    /// A `cut` on either direction swallows both; a `cut-one-way` only its own.
    #[must_use]
    pub fn action(&self, from: &str, to: &str, elapsed: Duration, draw: f64) -> Action {
        let reverse = self
            .fault(to, from, elapsed)
            .filter(|f| f.kind == FaultKind::Cut);
        match reverse.or_else(|| self.fault(from, to, elapsed)) {
            None => Action::Pass,
            Some(f) => match f.kind {
                FaultKind::Pass => Action::Pass,
                FaultKind::Cut | FaultKind::CutOneWay => Action::Blackhole,
                FaultKind::Delay => Action::Wait(Duration::from_secs_f64(
                    (f.delay_ms + draw * f.jitter_ms) / 1e3,
                )),
                FaultKind::Reset => Action::Reset,
                FaultKind::Refuse => Action::Refuse,
                FaultKind::Rate => Action::Rate(f.bytes_per_s),
                FaultKind::Drop | FaultKind::Duplicate | FaultKind::Reorder => Action::Pass,
            },
        }
    }

    /// What to do with a datagram from `from` to `to` at `elapsed`; `draw` and `chance` are numbers
    /// in [0, 1), one for the jitter and one for the chance. A cut loses datagrams (nothing sends
    /// them again); a reset, a refusal and a rate mean nothing to them.
    #[must_use]
    pub fn datagram(
        &self,
        from: &str,
        to: &str,
        elapsed: Duration,
        draw: f64,
        chance: f64,
    ) -> DatagramAction {
        let reverse = self
            .fault(to, from, elapsed)
            .filter(|f| f.kind == FaultKind::Cut);
        let Some(f) = reverse.or_else(|| self.fault(from, to, elapsed)) else {
            return DatagramAction::Pass;
        };
        match f.kind {
            FaultKind::Cut | FaultKind::CutOneWay => DatagramAction::Drop,
            FaultKind::Drop if chance < f.share => DatagramAction::Drop,
            FaultKind::Duplicate if chance < f.share => DatagramAction::Duplicate,
            FaultKind::Reorder if chance < f.share => DatagramAction::Reorder,
            FaultKind::Delay => DatagramAction::Delay(Duration::from_secs_f64(
                (f.delay_ms + draw * f.jitter_ms) / 1e3,
            )),
            _ => DatagramAction::Pass,
        }
    }
}

#[cfg(test)]
mod tests;
