//! Validation of the settings of a balancer.

use thiserror::Error;

use super::ids::Micros;
use super::settings::{ClassSettings, Effect, Penalties, Safety, Settings, TenantSettings};

/// Durations are kept below 30 years, so that sums with clock readings cannot overflow.
const MAX_DURATION: Micros = 1_000_000_000_000_000;

/// Why a balancer could not be built.
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no class of requests.
    #[error("no class of requests is configured")]
    NoClasses,
    /// The balancer's own zone is not among the configured ones.
    #[error("the own zone is not among the configured zones")]
    UnknownZone,
    /// A figure is outside of what makes sense.
    #[error("the setting `{name}` is out of range")]
    OutOfRange {
        /// The setting's name in the simulator's first message, not in the configuration file.
        name: &'static str,
    },
}

impl Settings {
    /// Checks that the settings make sense together.
    ///
    /// # Errors
    /// [`SettingsError`] for the first setting that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.classes.iter().try_for_each(validate_class)?;
        self.tenants.iter().try_for_each(validate_tenant)?;
        if self.zone >= self.zones {
            return Err(SettingsError::UnknownZone);
        }
        positive("balancers", f64::from(self.balancers))?;
        positive("most_tries", f64::from(self.limits.max_attempts))?;
        positive("tick", self.tick as f64)?;
        duration("tick", self.tick)?;
        validate_safety(&self.safety)?;
        fraction("over_share_worth", self.over_share_value)?;
        validate_penalties(&self.penalties)
    }
}

fn validate_class(class: &ClassSettings) -> Result<(), SettingsError> {
    positive("aim", class.latency_target as f64)?;
    duration("aim", class.latency_target)?;
    duration("deadline", class.deadline)?;
    if let Effect::Deduplicated { window, .. } = class.effect {
        duration("window", window)?;
    }
    positive("deadline", class.deadline as f64)?;
    not_negative("worth", class.value)?;
    fraction("late_share", class.late_value_share)
}

fn validate_tenant(tenant: &TenantSettings) -> Result<(), SettingsError> {
    not_negative("allowance_per_s", tenant.allowance_per_s)?;
    fraction("share", tenant.share)
}

fn validate_safety(safety: &Safety) -> Result<(), SettingsError> {
    duration("ask_within", safety.discovery_interval)?;
    duration("cold", safety.warm_up)?;
    duration("fall", safety.overload_window)?;
    positive("fall_multiple", safety.overload_multiple)?;
    positive("fall", safety.overload_window as f64)?;
    positive("cold_share", safety.initial_capacity)?;
    fraction("cold_share", safety.initial_capacity)
}

fn validate_penalties(penalties: &Penalties) -> Result<(), SettingsError> {
    not_negative("cross_zone", penalties.cross_zone)
}

fn fraction(name: &'static str, value: f64) -> Result<(), SettingsError> {
    check(name, (0.0..=1.0).contains(&value))
}

fn positive(name: &'static str, value: f64) -> Result<(), SettingsError> {
    check(name, value.is_finite() && value > 0.0)
}

fn not_negative(name: &'static str, value: f64) -> Result<(), SettingsError> {
    positive(name, value + f64::MIN_POSITIVE)
}

fn duration(name: &'static str, value: Micros) -> Result<(), SettingsError> {
    check(name, value < MAX_DURATION)
}

fn check(name: &'static str, is_valid: bool) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { name })
    }
}
