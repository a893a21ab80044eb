//! Prefix affinity: rendezvous hashing with bounded load. Every gate finds the same order of
//! servers for a key without a word between them, and a key moves on to its next server only while
//! the one before is crowded.

use ironmast_balancer::{ServerId, mix};

use crate::guards::Guard;
use crate::request::PromptPart;

/// The key that requests sharing prompt parts have in common: the model and the last shared part.
pub(crate) fn key(model: u64, parts: &[PromptPart]) -> Option<u64> {
    let shared = match parts {
        [] => return None,
        [only] => only,
        [.., last_shared, _own] => last_shared,
    };
    Some(mix(model ^ mix(shared.id)))
}

/// Tokens of the parts that are shared.
pub(crate) fn shared_tokens(parts: &[PromptPart]) -> u64 {
    let shared = parts.split_last().map_or(parts, |(_own, shared)| shared);
    shared
        .iter()
        .map(|part| part.tokens)
        .fold(0, u64::saturating_add)
}

/// A name as a number, the same at every gate.
pub(crate) fn hash(name: &str) -> u64 {
    mix(ServerId::from_name(name).0)
}

/// A server's place in a key's order: the highest comes first.
pub(crate) fn rank(key: u64, server: u64) -> u64 {
    if Guard::Rendezvous.on() {
        mix(key ^ server)
    } else {
        mix(key).wrapping_add(server)
    }
}

/// A server that a key may go to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Hash of its name.
    pub hash: u64,
    /// Part of its room that is taken.
    pub utilization: f64,
    /// How long prompts wait there until they are read, in microseconds.
    pub wait: f64,
}

/// The key's first server in its order that is not crowded: its load is within `excess` of the
/// mean, or below `floor`. The fuller all are, the less excess is left: where room is scarce, none
/// is to be full while others are not. The least loaded is never crowded. Of these only such whose
/// wait is within `stay` of the shortest.
pub(crate) fn choose(
    key: u64,
    choices: &[Candidate],
    excess: f64,
    floor: f64,
    stay: f64,
) -> Option<usize> {
    let mean = choices.iter().map(|choice| choice.utilization).sum::<f64>() / choices.len() as f64;
    let bound = if Guard::BoundedLoad.on() {
        ((1.0 + excess * (1.0 - mean * mean).max(0.0)) * mean).max(floor)
    } else {
        f64::INFINITY
    };
    let under = || {
        choices
            .iter()
            .enumerate()
            .filter(|(_, choice)| choice.utilization <= bound)
    };
    let shortest = under()
        .map(|(_, choice)| choice.wait)
        .fold(f64::INFINITY, f64::min);
    let soon = under()
        .filter(|(_, choice)| choice.wait <= shortest + stay || !Guard::ShortPrefillWait.on());
    soon.max_by_key(|(_, choice)| rank(key, choice.hash))
        .map(|(place, _)| place)
}

#[cfg(test)]
mod tests;
