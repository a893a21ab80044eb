//! Validation of the settings of a balancer.

use thiserror::Error;

use super::ids::Micros;
use super::settings::{ClassSettings, Effect, Penalties, Safety, Settings, TenantSettings};

/// Durations stay below 10^15 microseconds (31 years), so that sums with clock readings cannot overflow.
const MAX_DURATION: Micros = 1_000_000_000_000_000;

/// The reason why settings are invalid.
#[derive(Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// The list of request classes is empty.
    #[error("no class of requests is configured")]
    NoClasses,
    /// The index of the balancer's own zone is not below the number of zones.
    #[error("the balancer's own zone is not among the configured zones")]
    UnknownZone,
    /// A number is outside its valid range.
    #[error("the setting `{path}` is out of range")]
    OutOfRange {
        /// The path of the setting in the settings file, as in `classes.0.objective`.
        path: String,
    },
}

impl Settings {
    /// Checks each setting's range and the settings' consistency.
    ///
    /// Errors name a setting by its outer key, which may differ from the name of the field.
    ///
    /// # Errors
    /// [`SettingsError`] for the first setting that is out of range or contradicts another.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (index, class) in self.classes.iter().enumerate() {
            validate_class(index, class)?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            validate_tenant(index, tenant)?;
        }
        if self.zone >= self.zones {
            return Err(SettingsError::UnknownZone);
        }
        positive("balancers", f64::from(self.balancers))?;
        positive("limits.most_tries", f64::from(self.limits.max_attempts))?;
        positive("tick", self.tick as f64)?;
        duration("tick", self.tick)?;
        validate_safety(&self.safety)?;
        fraction("over_share_worth", self.over_share_value)?;
        validate_penalties(&self.penalties)
    }
}

fn validate_class(index: usize, class: &ClassSettings) -> Result<(), SettingsError> {
    let path = |key: &str| format!("classes.{index}.{key}");
    positive(&path("objective"), class.latency_target as f64)?;
    duration(&path("objective"), class.latency_target)?;
    positive(&path("hard_limit"), class.deadline as f64)?;
    duration(&path("hard_limit"), class.deadline)?;
    if let Effect::Deduplicated { window, .. } = class.effect {
        duration(&path("dedup_window"), window)?;
    }
    not_negative(&path("worth"), class.value)?;
    fraction(&path("late_share"), class.late_value_share)
}

fn validate_tenant(index: usize, tenant: &TenantSettings) -> Result<(), SettingsError> {
    let path = |key: &str| format!("tenants.{index}.{key}");
    not_negative(&path("allowance_per_s"), tenant.allowance_per_s)?;
    fraction(&path("share"), tenant.share)
}

fn validate_safety(safety: &Safety) -> Result<(), SettingsError> {
    duration("safety.ask_within", safety.discovery_interval)?;
    duration("safety.cold", safety.warm_up)?;
    duration("safety.fall", safety.overload_window)?;
    positive("safety.fall_multiple", safety.overload_multiple)?;
    positive("safety.fall", safety.overload_window as f64)?;
    positive("safety.cold_share", safety.initial_capacity)?;
    fraction("safety.cold_share", safety.initial_capacity)
}

fn validate_penalties(penalties: &Penalties) -> Result<(), SettingsError> {
    not_negative("penalties.cross_zone", penalties.cross_zone)
}

fn fraction(path: &str, value: f64) -> Result<(), SettingsError> {
    check(path, (0.0..=1.0).contains(&value))
}

fn positive(path: &str, value: f64) -> Result<(), SettingsError> {
    check(path, value.is_finite() && value > 0.0)
}

fn not_negative(path: &str, value: f64) -> Result<(), SettingsError> {
    // The addition turns 0 into a positive number and leaves larger values unchanged in effect.
    positive(path, value + f64::MIN_POSITIVE)
}

fn duration(path: &str, value: Micros) -> Result<(), SettingsError> {
    check(path, value < MAX_DURATION)
}

fn check(path: &str, is_valid: bool) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange {
            path: path.to_string(),
        })
    }
}
