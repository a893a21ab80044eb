//! Which gates a client may go to: those of its own zone, else of its region. A client is sent to another region only
//! where every request of its host may be served from there, or where its own region was lost; while its region's gates
//! restart it gets those that are about to stop or to serve, or no answer, and so keeps the one that it has.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ironmast_catalog::Gate;
use ironmast_schema::configuration::Configuration;
use ironmast_schema::control::{GatePresence, GateRecord};
use serde::{Deserialize, Serialize};

use crate::state::Reply;

/// An answer names no more addresses than this.
const ADDRESSES_MOST: usize = 64;

/// What a client asks.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Query {
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
enum Homes {
    /// Its routes name none.
    Anywhere,
    /// Those that all routes with homes name.
    Regions(BTreeSet<String>),
}

impl Homes {
    /// The homes of a host; none as long as no configuration is known.
    fn of(host: &str, configuration: Option<&Configuration>) -> Self {
        let Some(configuration) = configuration else { return Homes::Regions(BTreeSet::new()) };
        let of_host = configuration.routes.iter().filter(|route| route.hostname.eq_ignore_ascii_case(host));
        let named = of_host.map(|route| &route.allowed_regions).filter(|regions| !regions.is_empty());
        let named = named.map(|regions| regions.iter().cloned().collect::<BTreeSet<_>>());
        match named.reduce(|common, regions| &common & &regions) {
            Some(common) => Homes::Regions(common),
            None => Homes::Anywhere,
        }
    }

    fn admit(&self, region: &str) -> bool {
        match self {
            Homes::Anywhere => true,
            Homes::Regions(regions) => regions.contains(region),
        }
    }
}

/// The addresses for a client.
pub fn addresses(
    gates: &[Gate<'_>],
    configuration: Option<&Configuration>,
    query: &Query,
) -> Vec<SocketAddr> {
    let select = |presence: GatePresence, place: &dyn Fn(&GateRecord) -> bool| {
        let taken = gates.iter().filter(|gate| gate.record.presence() == presence && place(gate.record));
        let mut addresses: Vec<SocketAddr> = taken.map(|gate| gate.frontend).collect();
        addresses.sort_unstable();
        addresses.truncate(ADDRESSES_MOST);
        addresses
    };
    let in_zone = |gate: &GateRecord| gate.zone == query.zone;
    let in_region = |gate: &GateRecord| gate.region == query.region;
    let near = [select(GatePresence::Ready, &in_zone), select(GatePresence::Ready, &in_region)];
    if let Some(near) = near.into_iter().find(|near| !near.is_empty()) {
        return near;
    }
    let homes = Homes::of(&query.name, configuration);
    let lost = was_lost(gates, &query.region);
    let elsewhere = select(GatePresence::Ready, &|gate| lost || homes.admit(&gate.region));
    match elsewhere.is_empty() {
        true => select(GatePresence::Unready, &in_region),
        false => elsewhere,
    }
}

/// Whether a region has no gate left because the last of them has gone without a word.
fn was_lost(gates: &[Gate<'_>], region: &str) -> bool {
    let gates = || gates.iter().filter(|gate| gate.record.region == region);
    let last = gates().max_by_key(|gate| gate.heard);
    gates().all(|gate| gate.record.gone)
        && last.is_some_and(|gate| gate.record.presence() == GatePresence::Lost)
}

/// The reply that names these addresses.
pub fn answer(addresses: &[SocketAddr], ttl_s: f64) -> Reply {
    if addresses.is_empty() {
        return Reply::refused(503, "no gate is known that this client may go to");
    }
    serde_json::to_vec(&Answer { addresses, ttl_s }).map_or(Reply::refused(500, "no answer"), Reply::json)
}

#[cfg(test)]
mod tests;
