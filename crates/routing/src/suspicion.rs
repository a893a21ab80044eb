//! Other gates' suspicions of one server (compare SWIM's suspicion mechanism). One gate may be
//! wrong because of its own network path, so only the agreement of several counts.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::peer_report::{MAX_PEERS, PEER_REPORT_TTL};

/// Number of other gates whose agreement confirms a suspicion.
const MIN_SUSPECTING_PEERS: usize = 2;

/// The latest suspicion of one peer.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    peer: u64,
    reported_at: Micros,
}

/// The other gates that suspect a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerSuspicions {
    suspicions: SmallVec<[Suspicion; 2]>,
}

impl PeerSuspicions {
    /// Records that a peer suspects the server. Beyond [`MAX_PEERS`] peers it has no effect.
    pub(crate) fn record(&mut self, now: Micros, peer: u64) {
        self.withdraw(now, peer);
        if self.suspicions.len() < MAX_PEERS {
            let reported_at = now;
            self.suspicions.push(Suspicion { peer, reported_at });
        }
    }

    /// Records that a peer does not suspect the server, and drops expired suspicions.
    pub(crate) fn withdraw(&mut self, now: Micros, peer: u64) {
        self.suspicions
            .retain(|known| known.peer != peer && is_fresh(*known, now));
    }

    /// True if at least [`MIN_SUSPECTING_PEERS`] other gates suspect the server, so that the cause
    /// is not the network path of one of them.
    pub(crate) fn is_confirmed(&self, now: Micros) -> bool {
        let fresh = self
            .suspicions
            .iter()
            .filter(|known| is_fresh(**known, now));
        fresh.count() >= MIN_SUSPECTING_PEERS
    }
}

fn is_fresh(suspicion: Suspicion, now: Micros) -> bool {
    suspicion.reported_at.saturating_add(PEER_REPORT_TTL) > now
}
