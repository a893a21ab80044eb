//! Prompt tokens that are pending prefill at a server. Servers prefill prompts one after the other,
//! so these tokens determine how long a new request waits for its first byte.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::peer_report::{MAX_PEERS, PEER_REPORT_TTL};

/// Maximum number of tokens that a prompt counts for, since its client may declare any length.
const MAX_PROMPT_TOKENS: u64 = 1 << 20;

/// Number of tokens that a prompt adds to the backlog of a server that has `cached` of them in its
/// prefix cache.
pub(crate) fn pending_tokens(prompt_tokens: u64, cached: u64) -> u64 {
    prompt_tokens.saturating_sub(cached).min(MAX_PROMPT_TOKENS)
}

/// The latest report of a peer gate on its tokens at a server.
#[derive(Clone, Copy, Debug)]
struct PeerBacklog {
    peer: u64,
    reported_at: Micros,
    tokens: u64,
}

/// Tokens that are pending prefill at one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillBacklog {
    own: u64,
    peers: SmallVec<[PeerBacklog; 2]>,
}

impl PrefillBacklog {
    /// Adds a prompt of this gate.
    pub(crate) fn add(&mut self, tokens: u64) {
        self.own = self.own.saturating_add(tokens);
    }

    /// Removes a prompt of this gate that has been prefilled or abandoned.
    pub(crate) fn remove(&mut self, tokens: u64) {
        self.own = self.own.saturating_sub(tokens);
    }

    /// Number of this gate's tokens.
    pub(crate) fn own(&self) -> u64 {
        self.own
    }

    /// Replaces a peer's report and drops expired reports. Reports of further peers are ignored
    /// once `MAX_PEERS` are kept.
    pub(crate) fn record_peer(&mut self, now: Micros, peer: u64, tokens: u64) {
        self.peers
            .retain(|known| known.peer != peer && is_fresh(*known, now));
        if tokens > 0 && self.peers.len() < MAX_PEERS {
            self.peers.push(PeerBacklog {
                peer,
                reported_at: now,
                tokens,
            });
        }
    }

    /// Number of tokens of this gate and of all peers with a fresh report.
    pub(crate) fn total(&self, now: Micros) -> u64 {
        let fresh = self.peers.iter().filter(|known| is_fresh(**known, now));
        let tokens = fresh.map(|known| known.tokens);
        tokens.fold(self.own, u64::saturating_add)
    }
}

fn is_fresh(backlog: PeerBacklog, now: Micros) -> bool {
    backlog.reported_at.saturating_add(PEER_REPORT_TTL) > now
}

#[cfg(test)]
mod tests;
