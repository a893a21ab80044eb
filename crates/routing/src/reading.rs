//! Prompts that wait to be read at a server, of this gate and of its peers, and how long reading takes.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

/// What a peer told counts for so long.
const TOLD_HOLDS: Micros = 500_000;
/// Peers that are remembered for one server.
const PEERS_MOST: usize = 64;
/// A server is quiet to others where this many gates say so.
const QUIET_TO: usize = 2;
/// What was measured before counts for this part at each further measurement.
const FADES: f64 = 0.98;
/// Tokens measured before a pace is known.
const TOKENS_LEAST: f64 = 20_000.0;

/// No prompt counts for more tokens than this, whatever its client says.
const PROMPT_MOST: u64 = 1 << 20;
/// Each doubling of the objective, against the shortest of the service, puts a request so many ranks later.
const RANKS_PER_DOUBLING: f64 = 3.0;

/// Tokens of a prompt that wait to be read where `kept` of it have been read already.
pub(crate) fn waits(tokens: u64, kept: u64) -> u64 {
    tokens.saturating_sub(kept).min(PROMPT_MOST)
}

/// The rank of a request at a server: that of its route, and later for an objective longer than the shortest of the
/// service. What may take longer, and mostly does, hardly notices one that is short in front of it; the other way
/// round the short one is late. All sizes of a kind have one rank.
pub(crate) fn rank(priority: u32, objective: f64, shortest: f64) -> u32 {
    let ratio = (objective.max(1.0) / shortest.max(1.0)).max(1.0);
    priority.saturating_add((RANKS_PER_DOUBLING * ratio.log2()).round() as u32)
}

/// Tokens that wait to be read at one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unread {
    own: u64,
    /// By peer: when it told, and its tokens.
    peers: SmallVec<[(u64, Micros, u64); 2]>,
}

impl Unread {
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
        self.peers.retain(|(known, at, _)| *known != peer && at.saturating_add(TOLD_HOLDS) > now);
        if tokens > 0 && self.peers.len() < PEERS_MOST {
            self.peers.push((peer, now, tokens));
        }
    }

    /// Those of all.
    pub fn all(&self, now: Micros) -> u64 {
        let fresh = self.peers.iter().filter(|(_, at, _)| at.saturating_add(TOLD_HOLDS) > now);
        fresh.map(|(.., tokens)| tokens).fold(self.own, |sum, tokens| sum.saturating_add(*tokens))
    }
}

/// Other gates that find a server quiet, and when each said so last.
#[derive(Clone, Debug, Default)]
pub(crate) struct ToldQuiet {
    peers: SmallVec<[(u64, Micros); 2]>,
}

impl ToldQuiet {
    /// A peer told whether it finds the server quiet.
    pub fn told(&mut self, now: Micros, peer: u64, quiet: bool) {
        self.peers.retain(|(known, at)| *known != peer && at.saturating_add(TOLD_HOLDS) > now);
        if quiet && self.peers.len() < PEERS_MOST {
            self.peers.push((peer, now));
        }
    }

    /// True where so many find it quiet that it is not the way of one of them that is at fault.
    pub fn by_several(&self, now: Micros) -> bool {
        self.peers.iter().filter(|(_, at)| at.saturating_add(TOLD_HOLDS) > now).count() >= QUIET_TO
    }
}

/// The time that servers of a service take over a token that waits to be read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    tokens: f64,
    took: f64,
}

impl Pace {
    /// So many tokens, those in front among them, were read in that time.
    pub fn measured(&mut self, tokens: u64, took: Micros) {
        self.tokens = self.tokens * FADES + tokens as f64;
        self.took = self.took * FADES + took as f64;
    }

    /// The time over so many tokens, in microseconds; 0 where no pace is known.
    pub fn over(&self, tokens: u64) -> f64 {
        match self.tokens >= TOKENS_LEAST {
            true => tokens as f64 * self.took / self.tokens,
            false => 0.0,
        }
    }
}

#[cfg(test)]
mod tests;
