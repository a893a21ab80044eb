//! What a decider is built from.

use ironmast_balancer::Micros;
use thiserror::Error;

/// Settings of one gate's decisions. Start from [`Settings::new`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The gate's own region.
    pub region: Box<str>,
    /// The gate's own zone.
    pub zone: Box<str>,
    /// How far a server's load may pass the mean of its peers before a key goes on to its next
    /// server, as a part.
    pub affinity_excess: f64,
    /// A key's first server is kept while prompts wait there longer than elsewhere by no more than
    /// this many times the reading of the key's shared parts.
    pub stay_for: f64,
    /// Below this part of its room no server passes a key on, however idle its peers are.
    pub affinity_floor: f64,
    /// Part of a server's room up to which requests are sent to it.
    pub fill_most: f64,
    /// Requests are turned away one by one over this part of the room below, so that no kind is
    /// left out.
    pub fill_ramp: f64,
    /// More may wait at a server, for this part of their latency objective.
    pub queue_wait: f64,
    /// As many as this part of its slots at the most.
    pub queue_most: f64,
    /// By how much earlier that begins for each further rank of priority.
    pub fill_step: f64,
    /// Another region is used for want of room only up to this part of its slots.
    pub spill_fill: f64,
    /// Another region is used for a wait in the own one that is longer than this part of the
    /// latency objective.
    pub spill_wait: f64,
    /// A request may be held for this part of its latency objective at the most.
    pub hold_share: f64,
    /// Bounds of the time that a client is told to stay away.
    pub retry_after: (Micros, Micros),
    /// First and longest ejection; it doubles from one to the next.
    pub ejection: (Micros, Micros),
    /// A server whose ejection is over and that no request has tried since is probed after this
    /// long.
    pub probe_after: Micros,
    /// A server that owes an answer and gave no sign for this long, or for twice the usual, comes
    /// after its peers.
    pub quiet_after: Micros,
    /// A load report counts for less and less until it is this old.
    pub report_memory: Micros,
}

/// Why a decider was not built.
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// A figure makes no sense.
    #[error("the setting `{name}` is out of range")]
    OutOfRange {
        /// The setting's name.
        name: &'static str,
    },
}

impl Settings {
    /// The usual settings of a gate in that region and zone.
    pub fn new(region: &str, zone: &str) -> Self {
        Settings {
            region: region.into(),
            zone: zone.into(),
            affinity_excess: 0.5,
            affinity_floor: 0.4,
            stay_for: 8.0,
            fill_most: 1.0,
            queue_wait: 0.25,
            queue_most: 0.5,
            fill_ramp: 0.15,
            fill_step: 0.01,
            spill_fill: 0.8,
            spill_wait: 0.3,
            hold_share: 0.2,
            retry_after: (50_000, 2_000_000),
            ejection: (1_000_000, 8_000_000),
            probe_after: 200_000,
            quiet_after: 600_000,
            report_memory: 4_000_000,
        }
    }

    /// Checks every figure.
    ///
    /// # Errors
    /// Names the first figure that makes no sense.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let within = |name, value: f64, least: f64, most: f64| match (least..=most).contains(&value)
        {
            true => Ok(()),
            false => Err(SettingsError::OutOfRange { name }),
        };
        let ordered = |name, (first, last): (Micros, Micros)| match first > 0 && first <= last {
            true => Ok(()),
            false => Err(SettingsError::OutOfRange { name }),
        };
        within("affinity_excess", self.affinity_excess, 0.01, 10.0)?;
        within("stay_for", self.stay_for, 0.0, 1e6)?;
        within("affinity_floor", self.affinity_floor, 0.0, 1.0)?;
        within("fill_most", self.fill_most, 0.5, 4.0)?;
        within("queue_wait", self.queue_wait, 0.0, 1.0)?;
        within("queue_most", self.queue_most, 0.0, 4.0)?;
        within("fill_ramp", self.fill_ramp, 0.0, 1.0)?;
        within("fill_step", self.fill_step, 0.0, 0.5)?;
        within("spill_fill", self.spill_fill, 0.0, 1.0)?;
        within("spill_wait", self.spill_wait, 0.0, 10.0)?;
        within("hold_share", self.hold_share, 0.0, 0.25)?;
        ordered("retry_after", self.retry_after)?;
        ordered("ejection", self.ejection)?;
        within("quiet_after", self.quiet_after as f64, 1.0, 1e12)?;
        within("report_memory", self.report_memory as f64, 1.0, 1e12)
    }
}

#[cfg(test)]
mod tests;
