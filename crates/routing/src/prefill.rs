//! Prompts that wait to be read at a server, of this gate and of its peers, and how long reading
//! takes.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

/// What a peer told counts for so long.
const PEER_REPORT_TTL: Micros = 500_000;
/// PeerHealth that are remembered for one server.
const MAX_PEERS: usize = 64;
/// A server is out of order to others where this many gates say so.
const MIN_SUSPECTING_PEERS: usize = 2;
/// What was measured before counts for this part at each further measurement.
const DECAY: f64 = 0.99;
/// A measurement counts as no longer than this many times what was to be expected.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Where prompts differ in length by less than this part, as a variance, all time counts as
/// reading.
const MIN_VARIANCE_SHARE: f64 = 0.01;
/// Tokens measured before a pace is known.
const MIN_TOKENS: f64 = 20_000.0;

/// No prompt counts for more tokens than this, whatever its client says.
const MAX_PROMPT_TOKENS: u64 = 1 << 20;
/// Each doubling of the objective, against the shortest of the service, puts a request so many
/// ranks later.
const RANKS_PER_DOUBLING: f64 = 3.0;

/// Tokens of a prompt that wait to be read where `kept` of it have been read already.
pub(crate) fn waits(tokens: u64, kept: u64) -> u64 {
    tokens.saturating_sub(kept).min(MAX_PROMPT_TOKENS)
}

/// The rank of a request at a server: that of its route, and later for an objective longer than the
/// shortest of the service. What may take longer, and mostly does, hardly notices one that is short
/// in front of it; the other way round the short one is late. All sizes of a kind have one rank.
pub(crate) fn rank(priority: u32, objective: f64, shortest: f64) -> u32 {
    let ratio = (objective.max(1.0) / shortest.max(1.0)).max(1.0);
    priority.saturating_add((RANKS_PER_DOUBLING * ratio.log2()).round() as u32)
}

/// Tokens that wait to be read at one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillBacklog {
    own: u64,
    /// By peer: when it told, and its tokens.
    peers: SmallVec<[(u64, Micros, u64); 2]>,
}

impl PrefillBacklog {
    /// A prompt goes out.
    pub fn take(&mut self, tokens: u64) {
        self.own = self.own.saturating_add(tokens);
    }

    /// It has been read, or is not waited for any longer.
    pub fn release(&mut self, tokens: u64) {
        self.own = self.own.saturating_sub(tokens);
    }

    /// Those of this gate.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// A peer told its own.
    pub fn told(&mut self, now: Micros, peer: u64, tokens: u64) {
        self.peers
            .retain(|(known, at, _)| *known != peer && at.saturating_add(PEER_REPORT_TTL) > now);
        if tokens > 0 && self.peers.len() < MAX_PEERS {
            self.peers.push((peer, now, tokens));
        }
    }

    /// Those of all.
    pub fn all(&self, now: Micros) -> u64 {
        let fresh = self
            .peers
            .iter()
            .filter(|(_, at, _)| at.saturating_add(PEER_REPORT_TTL) > now);
        fresh
            .map(|(.., tokens)| tokens)
            .fold(self.own, |sum, tokens| sum.saturating_add(*tokens))
    }
}

/// Other gates that find a server out of order, and when each said so last.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerSuspicions {
    peers: SmallVec<[(u64, Micros); 2]>,
}

impl PeerSuspicions {
    /// A peer told whether it finds the server out of order.
    pub fn told(&mut self, now: Micros, peer: u64, suspect: bool) {
        self.peers
            .retain(|(known, at)| *known != peer && at.saturating_add(PEER_REPORT_TTL) > now);
        if suspect && self.peers.len() < MAX_PEERS {
            self.peers.push((peer, now));
        }
    }

    /// True where so many find it so that it is not the way of one of them that is at fault.
    pub fn is_confirmed(&self, now: Micros) -> bool {
        self.peers
            .iter()
            .filter(|(_, at)| at.saturating_add(PEER_REPORT_TTL) > now)
            .count()
            >= MIN_SUSPECTING_PEERS
    }
}

/// The time to a first byte at servers of a service: a line over the tokens that wait to be read,
/// fitted by least squares. What it takes without any token, such as the way there and back, is no
/// reading.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillRate {
    /// Sums over the measurements, the older ones faded: their number, tokens, times, squares and
    /// products.
    count: f64,
    tokens: f64,
    took: f64,
    tokens_squared: f64,
    tokens_took: f64,
}

impl PrefillRate {
    /// So many tokens, those in front among them, were read in that time.
    pub fn measured(&mut self, tokens: u64, took: Micros) {
        let (tokens, took) = (tokens as f64, self.bounded(tokens as f64, took as f64));
        self.count = self.count * DECAY + 1.0;
        self.tokens = self.tokens * DECAY + tokens;
        self.took = self.took * DECAY + took;
        self.tokens_squared = self.tokens_squared * DECAY + tokens * tokens;
        self.tokens_took = self.tokens_took * DECAY + tokens * took;
    }

    /// One measurement counts as no longer than a multiple of what was to be expected.
    fn bounded(&self, tokens: f64, took: f64) -> f64 {
        match self.is_known() {
            true => took.min(MAX_SAMPLE_RATIO * (self.first() + self.of_token() * tokens)),
            false => took,
        }
    }

    fn is_known(&self) -> bool {
        self.tokens >= MIN_TOKENS
    }

    /// Microseconds over a token.
    fn of_token(&self) -> f64 {
        let spread = self.count * self.tokens_squared - self.tokens * self.tokens;
        if spread <= self.tokens_squared * MIN_VARIANCE_SHARE {
            return self.took / self.tokens;
        }
        ((self.count * self.tokens_took - self.tokens * self.took) / spread).max(0.0)
    }

    /// The time to a first byte without any token, in microseconds.
    fn first(&self) -> f64 {
        ((self.took - self.of_token() * self.tokens) / self.count).max(0.0)
    }

    /// The time over so many tokens, in microseconds; 0 where no pace is known.
    pub fn over(&self, tokens: u64) -> f64 {
        match self.is_known() {
            true => tokens as f64 * self.of_token(),
            false => 0.0,
        }
    }
}

#[cfg(test)]
mod tests;
