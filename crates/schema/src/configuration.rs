//! The operator's configuration: routes, services and limits, and what makes one invalid
//! (PROTOCOL.md, "The operator's API").

use std::collections::{BTreeMap, BTreeSet};

use garde::Validate;
use serde::{Deserialize, Serialize};

/// Why a configuration is refused, in one line.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ConfigurationError {
    /// The body is no configuration.
    #[error("the configuration can't be read: {0}")]
    Unreadable(String),
    /// A value is out of range.
    #[error("the configuration is invalid: {0}")]
    OutOfRange(String),
    /// Two services have one name.
    #[error("service {0} is named twice")]
    ServiceTwice(String),
    /// A route names a service that isn't there.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// What it names.
        service: String,
    },
    /// Two routes have one host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// The first of them.
        first: String,
        /// The second.
        second: String,
    },
    /// Nothing would be sent anywhere.
    #[error("the weights of route {0} sum to 0")]
    NoWeight(String),
    /// A route names neither a service nor a split, or both.
    #[error("route {0} needs either a backend or a traffic_split")]
    NoBackend(String),
    /// A time-out of 0.
    #[error("timeout_ms of route {0} is 0")]
    NoTimeout(String),
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Configuration {
    /// The operator's number for it.
    #[garde(skip)]
    pub generation: u64,
    /// Which requests go to which services.
    #[garde(dive)]
    pub routes: Vec<Route>,
    /// The services.
    #[garde(dive)]
    pub services: Vec<Service>,
    /// What a client may send.
    #[serde(default)]
    #[garde(skip)]
    pub limits: ClientLimits,
}

/// What the kind of a request allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteType {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events.
    Streaming,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Route {
    /// Its name.
    #[garde(skip)]
    pub name: String,
    /// The `Host` it is for.
    #[garde(length(min = 1))]
    pub hostname: String,
    /// The beginning of the paths it is for; begins and ends with a slash.
    #[garde(custom(slashes))]
    pub path_prefix: String,
    /// What may be repeated.
    #[serde(rename = "type")]
    #[garde(skip)]
    pub kind: RouteType,
    /// The longest time a request is held, in ms.
    #[garde(skip)]
    pub timeout_ms: u64,
    /// An answer within this earns its full worth, in ms.
    #[serde(default)]
    #[garde(skip)]
    pub target_latency_ms: f64,
    /// Its rank, 0 is the highest.
    #[serde(default)]
    #[garde(skip)]
    pub priority: u32,
    /// The one service that serves it.
    #[serde(default)]
    #[garde(skip)]
    pub backend: Option<String>,
    /// Or several, by weight.
    #[serde(default)]
    #[garde(dive)]
    pub traffic_split: Option<Vec<Split>>,
    /// The most servers that one request may be sent to.
    #[serde(default = "one")]
    #[garde(range(min = 1))]
    pub max_attempts: u32,
    /// Requests carry prompt prefixes by which servers are chosen.
    #[serde(default)]
    #[garde(skip)]
    pub session_affinity: bool,
    /// A stream may be taken up elsewhere.
    #[serde(default)]
    #[garde(skip)]
    pub resumable: bool,
    /// The longest pause between events that is in time, in ms.
    #[serde(default)]
    #[garde(skip)]
    pub gap_aim_ms: f64,
    /// Regions that may serve it; empty means all.
    #[serde(default)]
    #[garde(skip)]
    pub allowed_regions: Vec<String>,
}

/// A part of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Split {
    /// The service.
    #[garde(skip)]
    pub backend: String,
    /// Its weight against the others'.
    #[garde(range(min = 0.0))]
    pub weight: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
pub struct Service {
    /// Its name.
    #[garde(length(min = 1))]
    pub name: String,
    /// The path of its health check.
    #[serde(default = "default_health_check")]
    #[garde(skip)]
    pub health_check: String,
    /// Connections that each of its servers accepts from all callers.
    #[serde(default)]
    #[garde(skip)]
    pub max_connections: u64,
    /// How long its servers stay cold after a start, in s.
    #[serde(default)]
    #[garde(skip)]
    pub warmup_s: f64,
    /// Requests a second that a cold server bears; 0 where it isn't limited.
    #[serde(default)]
    #[garde(skip)]
    pub warmup_per_s: f64,
    /// What its model servers are made of.
    #[serde(default)]
    #[garde(skip)]
    pub runtime: Option<Runtime>,
}

/// A model server's figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Runtime {
    /// Requests that run at once.
    #[serde(default)]
    pub capacity: u64,
    /// Tokens that its memory holds.
    #[serde(default)]
    pub kv_cache_tokens: u64,
    /// Tokens in one event.
    #[serde(default)]
    pub stride: u64,
}

/// What a client may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientLimits {
    /// The head of a request, in bytes.
    pub max_header_bytes: u64,
    /// Its body, in bytes.
    pub max_body_bytes: u64,
    /// Until its head is whole, in ms.
    pub header_timeout_ms: u64,
    /// Between requests, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Configuration {
    /// Reads and checks a body.
    ///
    /// # Errors
    /// Why it is invalid.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let configuration: Configuration = serde_json::from_slice(body)
            .map_err(|error| ConfigurationError::Unreadable(error.to_string()))?;
        configuration.check()?;
        Ok(configuration)
    }

    /// Whether it may be in force; its number is checked where it is known which one is in force
    /// now.
    ///
    /// # Errors
    /// Why not.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        self.validate().map_err(|report| {
            let lines: Vec<String> = report.to_string().lines().map(str::to_string).collect();
            ConfigurationError::OutOfRange(lines.join("; "))
        })?;
        let services = self.service_names()?;
        let mut places: BTreeMap<(String, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            route.check(&services)?;
            let place = (
                route.hostname.to_ascii_lowercase(),
                route.path_prefix.as_str(),
            );
            if let Some(first) = places.insert(place, &route.name) {
                let (first, second) = (first.to_string(), route.name.clone());
                return Err(ConfigurationError::SamePlace { first, second });
            }
        }
        Ok(())
    }

    fn service_names(&self) -> Result<BTreeSet<&str>, ConfigurationError> {
        let mut names = BTreeSet::new();
        for service in &self.services {
            if !names.insert(service.name.as_str()) {
                return Err(ConfigurationError::ServiceTwice(service.name.clone()));
            }
        }
        Ok(names)
    }
}

impl Route {
    /// The services it may go to, with their weights.
    #[must_use]
    pub fn splits(&self) -> Vec<(&str, f64)> {
        match (&self.backend, &self.traffic_split) {
            (Some(backend), _) => vec![(backend, 1.0)],
            (None, Some(splits)) => splits
                .iter()
                .map(|s| (s.backend.as_str(), s.weight))
                .collect(),
            (None, None) => Vec::new(),
        }
    }

    fn check(&self, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
        if self.backend.is_some() == self.traffic_split.is_some() {
            return Err(ConfigurationError::NoBackend(self.name.clone()));
        }
        let splits = self.splits();
        if let Some((service, _)) = splits
            .iter()
            .find(|(service, _)| !services.contains(service))
        {
            let (route, service) = (self.name.clone(), service.to_string());
            return Err(ConfigurationError::UnknownService { route, service });
        }
        let sum: f64 = splits.iter().map(|split| split.1).sum();
        if !(sum > 0.0 && sum.is_finite()) {
            return Err(ConfigurationError::NoWeight(self.name.clone()));
        }
        if self.timeout_ms == 0 {
            return Err(ConfigurationError::NoTimeout(self.name.clone()));
        }
        Ok(())
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "garde passes the context by reference"
)]
fn slashes(prefix: &str, _: &()) -> garde::Result {
    if prefix.starts_with('/') && prefix.ends_with('/') {
        return Ok(());
    }
    Err(garde::Error::new("begins and ends with a slash"))
}

fn one() -> u32 {
    1
}

fn default_health_check() -> String {
    "/healthz".to_string()
}

#[cfg(test)]
mod tests;
