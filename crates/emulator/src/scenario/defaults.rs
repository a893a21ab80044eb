//! Defaults of keys that a scenario file may omit, named after the key and, where several tables
//! have the key, the table.
//!
//! `docs/scenarios.md` lists them. Tables that may be omitted ([`Network`],
//! [`DiscoverySpec`], [`Rules`]) implement [`Default`] instead.
//!
//! [`Network`]: super::Network
//! [`DiscoverySpec`]: super::DiscoverySpec
//! [`Rules`]: super::Rules

pub(super) fn window_s() -> f64 {
    10.0
}

// [clients]

pub(super) fn burst_s() -> f64 {
    1.0
}

pub(super) fn rest_s() -> f64 {
    1.0
}

pub(super) fn burst_factor() -> f64 {
    2.0
}

pub(super) fn first_proxy_weight() -> f64 {
    1.0
}

pub(super) fn retry_ms() -> f64 {
    100.0
}

pub(super) fn timeout_share() -> (f64, f64) {
    (1.0, 1.0)
}

// [proxies]

pub(super) fn max_attempts() -> u32 {
    3
}

pub(super) fn max_retry_after_s() -> f64 {
    2.0
}

pub(super) fn cross_zone_penalty() -> f64 {
    0.16
}

// [[class]]

pub(super) fn class_share() -> f64 {
    1.0
}

pub(super) fn deduplication_window_s() -> f64 {
    4.0
}

pub(super) fn cv() -> f64 {
    0.5
}

pub(super) fn value() -> f64 {
    1.0
}

// [[pool]]

/// All zones in turn (round robin).
pub(super) fn pool_zone() -> String {
    "*".into()
}

pub(super) fn queue() -> u32 {
    64
}

pub(super) fn speed() -> (f64, f64) {
    (1.0, 1.0)
}

pub(super) fn initial_speed_share() -> f64 {
    1.0
}

pub(super) fn warm_up_s() -> f64 {
    8.0
}

pub(super) fn overdrive_s() -> f64 {
    2.0
}

pub(super) fn overdrive_factor() -> f64 {
    2.0
}

pub(super) fn recover_s() -> f64 {
    3.0
}

// [[trouble]]

pub(super) fn fault_share() -> f64 {
    1.0
}

pub(super) fn fault_factor() -> f64 {
    2.0
}

pub(super) fn batch() -> f64 {
    0.1
}

pub(super) fn fault_drain_s() -> f64 {
    3.0
}

pub(super) fn pause_s() -> f64 {
    0.5
}

pub(super) fn fault_retries() -> u32 {
    3
}

// Several tables

/// The default of switches that are on unless a scenario disables them.
pub(super) fn enabled() -> bool {
    true
}
