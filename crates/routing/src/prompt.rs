//! The parts of a prompt, and what requests that share leading parts have in common.

use ironmast_balancer::mix;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's content.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

/// The affinity key, equal for requests that share a prompt prefix: the model and the last shared
/// part. `None` for a prompt without parts.
pub(crate) fn affinity_key(model: u64, parts: &[PromptPart]) -> Option<u64> {
    let last_shared = match parts {
        [] => return None,
        [only] => only,
        [.., last_shared, _own] => last_shared,
    };
    Some(mix(model ^ mix(last_shared.id)))
}

/// Number of tokens in the shared parts, which are all but the last.
pub(crate) fn shared_tokens(parts: &[PromptPart]) -> u64 {
    let shared = parts.split_last().map_or(parts, |(_own, shared)| shared);
    let tokens = shared.iter().map(|part| part.tokens);
    tokens.fold(0, u64::saturating_add)
}

#[cfg(test)]
mod tests;
