//! Prefix affinity: rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads
//! (Mirrokni, Thorup and Zadimoghaddam, 2018).
//!
//! Requests with the same key go to the server that has their prompt prefix in its KV cache. Every
//! gate computes the same order of servers for a key without coordination. A request goes to a
//! later server in the order only while the earlier ones are overloaded.

use ironmast_balancer::{ServerId, mix};

use crate::guards::Guard;

/// Hash of a name, the same at every gate.
pub(crate) fn name_hash(name: &str) -> u64 {
    mix(ServerId::from_name(name).0)
}

/// Rendezvous weight of a server for a key. The server with the highest weight is first in the
/// key's order.
pub(crate) fn rendezvous_weight(key: u64, server_hash: u64) -> u64 {
    if Guard::Rendezvous.on() {
        mix(key ^ server_hash)
    } else {
        mix(key).wrapping_add(server_hash)
    }
}

/// A server that a key may be assigned to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Hash of the server's instance name.
    pub(crate) hash: u64,
    /// Used fraction of the server's capacity.
    pub(crate) utilization: f64,
    /// Time until the server has prefilled its pending prompts, in microseconds.
    pub(crate) prefill_wait: f64,
}

/// How much busier than others a server may be and still receive the requests of its keys.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadBounds {
    /// Fraction by which the utilization may exceed the mean over the candidates.
    pub(crate) excess: f64,
    /// Utilization up to which a server is never overloaded.
    pub(crate) floor: f64,
    /// Time by which the prefill wait may exceed the shortest one, in microseconds.
    pub(crate) extra_wait: f64,
}

/// Index of the first server in the key's order that is not overloaded and whose prefill wait is at
/// most `extra_wait` above the shortest among these; `None` without candidates. A server is not
/// overloaded if its utilization is at most the floor or within the excess over the mean. The
/// excess shrinks as the mean grows, because with scarce capacity no server should be full while
/// others are not. The least loaded server is never overloaded.
pub(crate) fn choose(key: u64, candidates: &[Candidate], bounds: LoadBounds) -> Option<usize> {
    let total: f64 = candidates
        .iter()
        .map(|candidate| candidate.utilization)
        .sum();
    let mean = total / candidates.len() as f64;
    let max_utilization = if Guard::BoundedLoad.on() {
        let excess = bounds.excess * (1.0 - mean * mean).max(0.0);
        ((1.0 + excess) * mean).max(bounds.floor)
    } else {
        f64::INFINITY
    };
    let within_load = || {
        let indexed = candidates.iter().enumerate();
        indexed.filter(|(_, candidate)| candidate.utilization <= max_utilization)
    };
    let shortest_wait = within_load()
        .map(|(_, candidate)| candidate.prefill_wait)
        .fold(f64::INFINITY, f64::min);
    let max_wait = shortest_wait + bounds.extra_wait;
    within_load()
        .filter(|(_, candidate)| {
            candidate.prefill_wait <= max_wait || !Guard::ShortPrefillWait.on()
        })
        .max_by_key(|(_, candidate)| rendezvous_weight(key, candidate.hash))
        .map(|(index, _)| index)
}

#[cfg(test)]
mod tests;
