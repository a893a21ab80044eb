//! Selection of the gates that a client may connect to.
//!
//! A client gets the ready gates of its own zone, otherwise those of its region. Gates of other
//! regions are selected only if all requests to the host may be served there, or if the client's
//! own region was lost. While all gates of its region restart and no other region is allowed, the
//! client gets gates that are not ready (starting or stopping) or no address; without an address it
//! keeps the ones that it has.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ironmast_endpoints::GateView;
use ironmast_schema::configuration::Configuration;
use ironmast_schema::control::GateStatus;
use serde::Deserialize;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Query parameters of an address resolution.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Query {
    /// The host name that the client connects to.
    pub name: String,
    /// The client's region.
    pub region: String,
    /// The client's zone.
    pub zone: String,
}

/// The regions in which all requests to a host may be served.
#[derive(Debug, PartialEq, Eq)]
enum AllowedRegions {
    /// No route of the host restricts its regions.
    All,
    /// The regions that every route of the host with a restriction allows.
    Only(BTreeSet<String>),
}

impl AllowedRegions {
    /// The allowed regions of a host; no region while no configuration is known.
    fn for_host(host: &str, configuration: Option<&Configuration>) -> Self {
        let Some(configuration) = configuration else {
            return AllowedRegions::Only(BTreeSet::new());
        };
        configuration
            .routes
            .iter()
            .filter(|route| route.hostname.eq_ignore_ascii_case(host))
            .filter(|route| !route.allowed_regions.is_empty())
            .map(|route| {
                route
                    .allowed_regions
                    .iter()
                    .cloned()
                    .collect::<BTreeSet<_>>()
            })
            .reduce(|common, regions| &common & &regions)
            .map_or(AllowedRegions::All, AllowedRegions::Only)
    }

    fn contains(&self, region: &str) -> bool {
        match self {
            AllowedRegions::All => true,
            AllowedRegions::Only(regions) => regions.contains(region),
        }
    }
}

/// Selects the addresses for a client from all gates.
pub(crate) fn addresses(
    gates: &[GateView<'_>],
    configuration: Option<&Configuration>,
    query: &Query,
) -> Vec<SocketAddr> {
    let is_ready =
        |gate: &GateView<'_>| gate.is_reachable && gate.record.status() == GateStatus::Ready;
    let nearest = nearest(gates, query, is_ready);
    if !nearest.is_empty() {
        return nearest;
    }
    let allowed = AllowedRegions::for_host(&query.name, configuration);
    let is_region_lost = is_region_lost(gates, &query.region);
    let remote = select(gates, |gate| {
        is_ready(gate) && (is_region_lost || allowed.contains(&gate.record.region))
    });
    if !remote.is_empty() {
        return remote;
    }
    select(gates, |gate| {
        let is_not_ready = gate.is_reachable && gate.record.status() == GateStatus::NotReady;
        is_not_ready && gate.record.region == query.region
    })
}

/// Selects the addresses for a client while this coordinator is out of contact with the others:
/// only gates of the client's region that report to this coordinator. Selects none if the host may
/// not be served in that region: the region may be partitioned from the allowed ones, and another
/// coordinator knows which gates are reachable.
pub(crate) fn addresses_of_direct_gates(
    gates: &[GateView<'_>],
    configuration: Option<&Configuration>,
    query: &Query,
) -> Vec<SocketAddr> {
    let allowed = AllowedRegions::for_host(&query.name, configuration);
    if configuration.is_some() && !allowed.contains(&query.region) {
        return Vec::new();
    }
    nearest(gates, query, |gate| {
        let is_ready = gate.is_directly_reachable && gate.record.status() == GateStatus::Ready;
        is_ready && gate.record.region == query.region
    })
}

/// The usable gates of the client's zone, or those of its region if the zone has none.
fn nearest(
    gates: &[GateView<'_>],
    query: &Query,
    is_usable: impl Fn(&GateView<'_>) -> bool,
) -> Vec<SocketAddr> {
    let in_zone = select(gates, |gate| {
        is_usable(gate) && gate.record.zone == query.zone
    });
    if in_zone.is_empty() {
        select(gates, |gate| {
            is_usable(gate) && gate.record.region == query.region
        })
    } else {
        in_zone
    }
}

/// The lowest [`MAX_ADDRESSES`] addresses of the gates that match, in ascending order.
fn select(gates: &[GateView<'_>], matches: impl Fn(&GateView<'_>) -> bool) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = gates
        .iter()
        .filter(|gate| matches(gate))
        .map(|gate| gate.frontend)
        .collect();
    addresses.sort_unstable();
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// Whether all gates of a region are down and the gate that reported last was lost rather than shut
/// down.
fn is_region_lost(gates: &[GateView<'_>], region: &str) -> bool {
    let in_region = || gates.iter().filter(|gate| gate.record.region == region);
    let last = in_region().max_by_key(|gate| gate.last_heard);
    in_region().all(|gate| gate.record.down)
        && last.is_some_and(|gate| gate.record.status() == GateStatus::Lost)
}

#[cfg(test)]
mod tests;
