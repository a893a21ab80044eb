//! Validation of a scenario: checks, in the order of the file, that each setting is in its range and
//! that settings do not contradict each other.

use super::class::Class;
use super::error::{InvalidSetting, SettingProblem};
use super::fault::{Fault, FaultKind};
use super::pool::Pool;
use super::{Clients, DiscoverySpec, Network, Proxies, Rules, Scenario};

type Validity = Result<(), InvalidSetting>;

// Limits that only reject obvious mistakes; no run comes near them.
const DAY_S: f64 = 86_400.0;
const HOUR_S: f64 = 3_600.0;
const HOUR_MS: f64 = 3_600_000.0;
/// The maximum number of servers, slots and proxies.
const MAX_COUNT: u32 = 100_000;

fn invalid(path: impl Into<String>, problem: SettingProblem) -> Validity {
    Err(InvalidSetting {
        path: path.into(),
        problem,
    })
}

fn within(path: &str, value: impl Into<f64>, min: impl Into<f64>, max: impl Into<f64>) -> Validity {
    let (value, min, max) = (value.into(), min.into(), max.into());
    // The comparison is false for NaN, which is therefore rejected as out of range.
    if value >= min && value <= max {
        return Ok(());
    }
    invalid(path, SettingProblem::OutOfRange { value, min, max })
}

fn share(path: &str, value: f64) -> Validity {
    within(path, value, 0.0, 1.0)
}

impl Scenario {
    /// Checks that each setting is in its range and that settings do not contradict each other.
    ///
    /// # Errors
    /// [`InvalidSetting`] for the first setting that fails a check.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        if self.name.is_empty() {
            return invalid("name", SettingProblem::EmptyName);
        }
        within("length_s", self.length_s, 0.1, DAY_S)?;
        within("warmup_s", self.warmup_s, 0.0, self.length_s)?;
        within("window_s", self.window_s, 0.01, DAY_S)?;
        self.validate_zones()?;
        self.clients.validate()?;
        self.proxies.validate(self.zones.len())?;
        self.network.validate()?;
        self.discovery.validate()?;
        self.rules.validate()?;
        self.validate_classes()?;
        self.validate_pools()?;
        self.faults
            .iter()
            .enumerate()
            .try_for_each(|(index, fault)| fault.validate(&format!("trouble.{index}"), self))
    }

    fn validate_zones(&self) -> Validity {
        within("zones", self.zones.len() as f64, 1, 1_000)?;
        for (index, zone) in self.zones.iter().enumerate() {
            if zone.is_empty() || zone == "*" || self.zones[..index].contains(zone) {
                let name = zone.clone();
                return invalid("zones", SettingProblem::InvalidZoneName { name, index });
            }
        }
        Ok(())
    }

    fn validate_classes(&self) -> Validity {
        within("class", self.classes.len() as f64, 1, 100)?;
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(&format!("class.{index}"))?;
            let mut earlier = self.classes[..index].iter();
            if earlier.any(|other| other.name == class.name) {
                return invalid(format!("class.{index}.name"), SettingProblem::DuplicateName);
            }
        }
        Ok(())
    }

    fn validate_pools(&self) -> Validity {
        within("pool", self.pools.len() as f64, 1, 1_000)?;
        for (index, pool) in self.pools.iter().enumerate() {
            pool.validate(&format!("pool.{index}"))?;
            if pool.zone != "*" && !self.zones.contains(&pool.zone) {
                let problem = SettingProblem::UnknownPoolZone {
                    zone: pool.zone.clone(),
                    zones: self.zones.clone(),
                };
                return invalid(format!("pool.{index}.zone"), problem);
            }
        }
        let servers: u64 = self.pools.iter().map(|pool| u64::from(pool.servers)).sum();
        within("pool", servers as f64, 1, MAX_COUNT)
    }
}

impl Clients {
    fn validate(&self) -> Validity {
        within("clients.rate", self.rate, 0.001, 1e7)?;
        within("clients.burst_s", self.burst_s, 0.001, HOUR_S)?;
        within("clients.rest_s", self.rest_s, 0.001, HOUR_S)?;
        within("clients.burst_factor", self.burst_factor, 1.0, 1_000.0)?;
        within("clients.busiest", self.first_proxy_weight, 0.001, 1e6)?;
        within("clients.retries", self.retries, 0, 100)?;
        within("clients.retry_ms", self.retry_ms, 0.0, HOUR_MS)?;
        share("clients.walk_away", self.disconnect_share)?;
        let (from, to) = self.timeout_share;
        if !(from > 0.0 && from <= to && to <= 1.0) {
            let problem = SettingProblem::InvalidShares { from, to };
            return invalid("clients.patience", problem);
        }
        self.validate_rate_curve()
    }

    fn validate_rate_curve(&self) -> Validity {
        let curve = &self.rate_curve;
        let increases = curve.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let in_range = curve
            .iter()
            .all(|(second, factor)| second.is_finite() && (0.0..=1_000.0).contains(factor));
        if increases && in_range {
            Ok(())
        } else {
            invalid("clients.curve", SettingProblem::InvalidRateCurve)
        }
    }
}

impl Proxies {
    fn validate(&self, zones: usize) -> Validity {
        within("proxies.count", self.count, 1, MAX_COUNT)?;
        within("proxies.most_tries", self.max_attempts, 1, 3)?;
        within(
            "proxies.max_retry_after_s",
            self.max_retry_after_s,
            0.0,
            HOUR_S,
        )?;
        share("proxies.cross_zone", self.cross_zone_penalty)?;
        let weights = &self.zone_weights;
        if weights.is_empty() {
            return Ok(());
        }
        let in_range = weights
            .iter()
            .all(|weight| weight.is_finite() && *weight >= 0.0);
        if weights.len() == zones && in_range && weights.iter().sum::<f64>() > 0.0 {
            Ok(())
        } else {
            invalid("proxies.zone_weights", SettingProblem::InvalidZoneWeights)
        }
    }
}

impl Network {
    fn validate(&self) -> Validity {
        within("network.inside_ms", self.within_zone_ms, 0.0, 10_000.0)?;
        within("network.between_ms", self.between_zones_ms, 0.0, 10_000.0)?;
        within("network.jitter", self.jitter, 0.0, 10.0)?;
        share("network.datagram_loss", self.datagram_loss)?;
        within(
            "network.connect_timeout_ms",
            self.connect_timeout_ms,
            1.0,
            60_000.0,
        )?;
        within("network.idle_close_s", self.idle_timeout_s, 0.1, DAY_S)
    }
}

impl DiscoverySpec {
    fn validate(&self) -> Validity {
        within("discovery.start_s", self.start_delay_s, 0.0, HOUR_S)?;
        within("discovery.drain_s", self.drain_delay_s, 0.0, HOUR_S)?;
        within("discovery.gone_s", self.removal_delay_s, 0.0, HOUR_S)?;
        within("discovery.spread_s", self.spread_s, 0.0, HOUR_S)?;
        within("discovery.most_wait_s", self.max_wait_s, 0.0, HOUR_S)?;
        within("discovery.calls_per_s", self.queries_per_s, 0.1, 1e6)
    }
}

impl Rules {
    fn validate(&self) -> Validity {
        within("rules.answer_slack_ms", self.answer_slack_ms, 0.0, 10_000.0)?;
        within("rules.drain_grace_ms", self.drain_grace_ms, 0.0, 60_000.0)?;
        within("rules.ask_within_s", self.max_query_interval_s, 0.1, HOUR_S)?;
        within("rules.cold_multiple", self.overload_multiple, 1.0, 100.0)?;
        within("rules.cold_window_s", self.overload_window_s, 0.1, 60.0)
    }
}

impl Class {
    fn validate(&self, path: &str) -> Validity {
        let at = |key: &str| format!("{path}.{key}");
        if self.name.is_empty() {
            return invalid(at("name"), SettingProblem::EmptyName);
        }
        within(&at("share"), self.share, 1e-6, 1e6)?;
        within(&at("dedup_s"), self.deduplication_window_s, 0.0, HOUR_S)?;
        within(&at("work_ms"), self.work_ms, 0.001, HOUR_MS)?;
        within(&at("cv"), self.cv, 0.0, 100.0)?;
        within(&at("aim_ms"), self.latency_target_ms, 0.1, HOUR_MS)?;
        let min_ms = self.latency_target_ms;
        within(&at("deadline_ms"), self.deadline_ms, min_ms, HOUR_MS)?;
        within(&at("worth"), self.value, 0.0, 1e6)
    }
}

impl Pool {
    fn validate(&self, path: &str) -> Validity {
        let at = |key: &str| format!("{path}.{key}");
        within(&at("servers"), self.servers, 0, MAX_COUNT)?;
        within(&at("cores"), self.cores, 1, 1_024)?;
        within(&at("slots"), self.slot_count(), self.cores, MAX_COUNT)?;
        within(&at("queue"), self.queue, 0, 100_000_000)?;
        let (from, to) = self.speed;
        if !(from > 0.0 && from <= to && to <= 1_000.0) {
            return invalid(at("speed"), SettingProblem::InvalidSpeeds { from, to });
        }
        within(
            &at("handshake_work_ms"),
            self.handshake_work_ms,
            0.0,
            1_000.0,
        )?;
        within(&at("probe_work_ms"), self.probe_work_ms, 0.0, 1_000.0)?;
        within(&at("cold_share"), self.initial_speed_share, 0.01, 1.0)?;
        within(&at("cold_s"), self.warm_up_s, 0.001, HOUR_S)?;
        within(&at("cold_work_s"), self.warm_up_work_s, 0.0, 1e6)?;
        within(&at("overdrive_ratio"), self.overdrive_ratio, 0.0, 1e6)?;
        within(&at("overdrive_s"), self.overdrive_s, 0.0, HOUR_S)?;
        within(&at("overdrive_factor"), self.overdrive_factor, 1.0, 1_000.0)?;
        within(&at("recover_s"), self.recover_s, 0.0, HOUR_S)
    }
}

impl Fault {
    fn validate(&self, path: &str, scenario: &Scenario) -> Validity {
        let at = |key: &str| format!("{path}.{key}");
        within(&at("at_s"), self.at_s, 0.0, scenario.length_s)?;
        let min_s = match self.kind {
            FaultKind::ProxyRestart => 0.0,
            _ => 0.001,
        };
        within(&at("for_s"), self.for_s, min_s, DAY_S)?;
        within(&at("share"), self.share, 0.001, 1.0)?;
        within(&at("factor"), self.factor, 0.01, 1_000.0)?;
        within(&at("batch"), self.batch, 0.001, 1.0)?;
        within(&at("drain_s"), self.drain_s, 0.0, 600.0)?;
        within(&at("pause_s"), self.pause_s, 0.001, 600.0)?;
        within(&at("retries"), self.retries, 0, 100)?;
        self.validate_zone(&at("zone"), &scenario.zones)?;
        self.validate_class(&at("class"), &scenario.classes)?;
        self.validate_targets(&at("zone"), &scenario.pools)
    }

    fn validate_zone(&self, path: &str, zones: &[String]) -> Validity {
        let needs_zone = matches!(self.kind, FaultKind::ZoneLoss | FaultKind::ZonePartition);
        if self.zone.is_empty() && needs_zone {
            let zones = zones.to_vec();
            return invalid(path, SettingProblem::MissingZone { zones });
        }
        if !self.zone.is_empty() && !zones.contains(&self.zone) {
            return invalid(path, unknown_name(&self.zone, zones.iter()));
        }
        Ok(())
    }

    fn validate_class(&self, path: &str, classes: &[Class]) -> Validity {
        let needs_class = self.kind == FaultKind::GreyFailure;
        let is_known = classes.iter().any(|class| class.name == self.class);
        if (needs_class || !self.class.is_empty()) && !is_known {
            let names = classes.iter().map(|class| &class.name);
            return invalid(path, unknown_name(&self.class, names));
        }
        Ok(())
    }

    /// Checks that a fault that affects servers has at least one server in its zone.
    fn validate_targets(&self, path: &str, pools: &[Pool]) -> Validity {
        let affects_servers = !matches!(
            self.kind,
            FaultKind::ZonePartition
                | FaultKind::ProxyRestart
                | FaultKind::Surge
                | FaultKind::RetryStorm
                | FaultKind::DiscoveryOutage
                | FaultKind::SlowDependency
        );
        let is_target = |pool: &Pool| {
            let in_zone = self.zone.is_empty() || pool.zone == "*" || pool.zone == self.zone;
            pool.servers > 0 && in_zone
        };
        if affects_servers && !pools.iter().any(is_target) {
            let zone = self.zone.clone();
            return invalid(path, SettingProblem::ZoneWithoutServers { zone });
        }
        Ok(())
    }
}

fn unknown_name<'a>(name: &str, expected: impl Iterator<Item = &'a String>) -> SettingProblem {
    SettingProblem::UnknownName {
        name: name.to_string(),
        expected: expected.cloned().collect(),
    }
}
