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
    pub affinity_load_excess: f64,
    /// A key's first server is kept while prompts wait there longer than elsewhere by no more than
    /// this many times the reading of the key's shared parts.
    pub affinity_wait_factor: f64,
    /// Below this part of its room no server passes a key on, however idle its peers are.
    pub affinity_load_floor: f64,
    /// Part of a server's room up to which requests are sent to it.
    pub max_load: f64,
    /// Requests are turned away one by one over this part of the room below, so that no kind is
    /// left out.
    pub rejection_ramp: f64,
    /// More may wait at a server, for this part of their latency objective.
    pub max_queue_time_share: f64,
    /// As many as this part of its slots at the most.
    pub max_queue_share: f64,
    /// By how much earlier that begins for each further rank of priority.
    pub priority_step: f64,
    /// Another region is used for want of room only up to this part of its slots.
    pub spillover_max_load: f64,
    /// Another region is used for a wait in the own one that is longer than this part of the
    /// latency objective.
    pub spillover_min_wait: f64,
    /// A request may be held for this part of its latency objective at the most.
    pub max_delay_share: f64,
    /// CapacityLimits of the time that a client is told to stay away.
    pub retry_after: (Micros, Micros),
    /// First and longest ejection; it doubles from one to the next.
    pub ejection: (Micros, Micros),
    /// A server whose ejection is over and that no request has tried since is probed after this
    /// long.
    pub health_check_after: Micros,
    /// A server that owes an answer and gave no sign for this long, or for twice the usual, comes
    /// after its peers.
    pub unresponsive_after: Micros,
    /// A load report counts for less and less until it is this old.
    pub load_report_max_age: Micros,
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
            affinity_load_excess: 0.5,
            affinity_load_floor: 0.4,
            affinity_wait_factor: 8.0,
            max_load: 1.0,
            max_queue_time_share: 0.25,
            max_queue_share: 0.5,
            rejection_ramp: 0.15,
            priority_step: 0.01,
            spillover_max_load: 0.8,
            spillover_min_wait: 0.3,
            max_delay_share: 0.2,
            retry_after: (50_000, 2_000_000),
            ejection: (1_000_000, 8_000_000),
            health_check_after: 200_000,
            unresponsive_after: 600_000,
            load_report_max_age: 4_000_000,
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
        within(
            "affinity_load_excess",
            self.affinity_load_excess,
            0.01,
            10.0,
        )?;
        within("affinity_wait_factor", self.affinity_wait_factor, 0.0, 1e6)?;
        within("affinity_load_floor", self.affinity_load_floor, 0.0, 1.0)?;
        within("max_load", self.max_load, 0.5, 4.0)?;
        within("max_queue_time_share", self.max_queue_time_share, 0.0, 1.0)?;
        within("max_queue_share", self.max_queue_share, 0.0, 4.0)?;
        within("rejection_ramp", self.rejection_ramp, 0.0, 1.0)?;
        within("priority_step", self.priority_step, 0.0, 0.5)?;
        within("spillover_max_load", self.spillover_max_load, 0.0, 1.0)?;
        within("spillover_min_wait", self.spillover_min_wait, 0.0, 10.0)?;
        within("max_delay_share", self.max_delay_share, 0.0, 0.25)?;
        ordered("retry_after", self.retry_after)?;
        ordered("ejection", self.ejection)?;
        within(
            "unresponsive_after",
            self.unresponsive_after as f64,
            1.0,
            1e12,
        )?;
        within(
            "load_report_max_age",
            self.load_report_max_age as f64,
            1.0,
            1e12,
        )
    }
}

#[cfg(test)]
mod tests;
