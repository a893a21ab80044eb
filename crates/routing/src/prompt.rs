//! Prompt parts, and the affinity key and the tokens that requests with the same leading parts
//! share.

use ironmast_balancer::mix;

/// One part of a prompt, as the client lists it in `X-Ironmast-Prompt-Prefix`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's content: equal for equal parts.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

/// The affinity key, equal for requests that share a prompt prefix: a hash of the model and of the
/// last shared part. `None` for a prompt without parts.
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
