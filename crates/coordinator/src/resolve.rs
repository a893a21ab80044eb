//! Which gates a client may go to: those of its own zone, else of its region. A client is sent to
//! another region only where every request of its host may be served from there, or where its own
//! region was lost; while its region's gates restart it gets those that are about to stop or to
//! serve, or no answer, and so keeps the one that it has.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ironmast_endpoints::Gate;
use ironmast_schema::configuration::Configuration;
use ironmast_schema::control::GateStatus;
use serde::{Deserialize, Serialize};

use crate::node::Reply;

/// An answer names no more addresses than this.
const MAX_ADDRESSES: usize = 64;

/// What a client asks.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Query {
    /// The host that it wants.
    pub name: String,
    /// The region that it is in.
    pub region: String,
    /// The zone that it is in.
    pub zone: String,
}

#[derive(Serialize)]
struct Answer<'a> {
    addresses: &'a [SocketAddr],
    ttl_s: f64,
}

/// Regions from which all requests of a host may be served.
#[derive(Debug, PartialEq, Eq)]
enum AllowedRegions {
    /// Its routes name none.
    Anywhere,
    /// Those that all routes with homes name.
    Regions(BTreeSet<String>),
}

impl AllowedRegions {
    /// The homes of a host; none as long as no configuration is known.
    fn of(host: &str, configuration: Option<&Configuration>) -> Self {
        let Some(configuration) = configuration else {
            return AllowedRegions::Regions(BTreeSet::new());
        };
        let of_host = configuration
            .routes
            .iter()
            .filter(|route| route.hostname.eq_ignore_ascii_case(host));
        let named = of_host
            .map(|route| &route.allowed_regions)
            .filter(|regions| !regions.is_empty());
        let named = named.map(|regions| regions.iter().cloned().collect::<BTreeSet<_>>());
        match named.reduce(|common, regions| &common & &regions) {
            Some(common) => AllowedRegions::Regions(common),
            None => AllowedRegions::Anywhere,
        }
    }

    fn admit(&self, region: &str) -> bool {
        match self {
            AllowedRegions::Anywhere => true,
            AllowedRegions::Regions(regions) => regions.contains(region),
        }
    }
}

/// The addresses for a client.
pub(crate) fn addresses(
    gates: &[Gate<'_>],
    configuration: Option<&Configuration>,
    query: &Query,
) -> Vec<SocketAddr> {
    let is_ready = |gate: &Gate<'_>| gate.is_reachable && gate.record.status() == GateStatus::Ready;
    let near = nearest(gates, query, is_ready);
    if !near.is_empty() {
        return near;
    }
    let homes = AllowedRegions::of(&query.name, configuration);
    let lost = was_lost(gates, &query.region);
    let elsewhere = select(gates, |gate| {
        is_ready(gate) && (lost || homes.admit(&gate.record.region))
    });
    if !elsewhere.is_empty() {
        return elsewhere;
    }
    select(gates, |gate| {
        let unready = gate.is_reachable && gate.record.status() == GateStatus::NotReady;
        unready && gate.record.region == query.region
    })
}

/// The addresses for a client at a coordinator that knows of no other coordinator's news: gates of
/// the client's region that speak to this one. Where requests of the host must leave that region
/// there are none: the region may be cut off from their homes, and another coordinator can tell who
/// is there.
pub(crate) fn addresses_heard_here(
    gates: &[Gate<'_>],
    configuration: Option<&Configuration>,
    query: &Query,
) -> Vec<SocketAddr> {
    let homes = AllowedRegions::of(&query.name, configuration);
    if configuration.is_some() && !homes.admit(&query.region) {
        return Vec::new();
    }
    nearest(gates, query, |gate| {
        let ready = gate.is_directly_reachable && gate.record.status() == GateStatus::Ready;
        ready && gate.record.region == query.region
    })
}

/// The usable gates of the client's zone; without any, those of its region.
fn nearest(
    gates: &[Gate<'_>],
    query: &Query,
    is_usable: impl Fn(&Gate<'_>) -> bool,
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

/// The first addresses, in order, of the gates that fit.
fn select(gates: &[Gate<'_>], fits: impl Fn(&Gate<'_>) -> bool) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = gates
        .iter()
        .filter(|gate| fits(gate))
        .map(|gate| gate.frontend)
        .collect();
    addresses.sort_unstable();
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// Whether a region has no gate left because the last of them has gone without a word.
fn was_lost(gates: &[Gate<'_>], region: &str) -> bool {
    let gates = || gates.iter().filter(|gate| gate.record.region == region);
    let last = gates().max_by_key(|gate| gate.last_heard);
    gates().all(|gate| gate.record.down)
        && last.is_some_and(|gate| gate.record.status() == GateStatus::Lost)
}

/// The reply that names these addresses.
pub(crate) fn answer(addresses: &[SocketAddr], ttl_s: f64) -> Reply {
    if addresses.is_empty() {
        return Reply::refused(503, "no gate is known that this client may go to");
    }
    serde_json::to_vec(&Answer { addresses, ttl_s })
        .map_or(Reply::refused(500, "no answer"), Reply::json)
}

#[cfg(test)]
mod tests;
