//! Reports between the gates of a region. Each gate sees only its own requests; from the reports it
//! also knows the prompts that its peers have pending and the servers that they suspect.

use ironmast_balancer::Micros;

/// Time for which a peer's report counts, in microseconds.
pub(crate) const PEER_REPORT_TTL: Micros = 500_000;
/// Maximum number of peers that are remembered for one server.
pub(crate) const MAX_PEERS: usize = 64;

/// Report of one gate to the other gates of its region. Servers are identified by the hash of their
/// instance, which is the same at every gate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerReport {
    /// Prompt tokens that the gate has sent and that are pending prefill, by server.
    pub pending_prefill: Vec<PendingPrefill>,
    /// Servers that the gate suspects: they owe a response and nothing is received from them, or an
    /// attempt at them has recently failed without a response.
    pub suspect: Vec<u64>,
}

/// Prompt tokens that are pending prefill at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingPrefill {
    /// Hash of the server's instance.
    pub server: u64,
    /// Number of pending tokens.
    pub tokens: u64,
}
