//! What an owner has out of one key: permits that may still count, asks that wait, and who wants
//! how much.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::message::Settled;
use crate::terms::Terms;
use crate::view::GateId;

#[cfg(test)]
mod tests;

/// How long a gate's last ask counts as its demand.
const DEMAND_SPAN: Duration = Duration::from_secs(4);

/// The longest time a refused gate is told to wait.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// An ask that waits for permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Pending {
    pub gate: GateId,
    pub sequence: u64,
    pub want: u32,
    pub pool: u32,
    pub life: Duration,
    pub arrived: Duration,
    /// When it is refused if nothing came free.
    pub until: Duration,
}

#[derive(Clone, Debug)]
struct Charge {
    gate: GateId,
    sequence: u64,
    count: u32,
    arrived: Duration,
    /// The moment from which the permits count no more.
    ends: Duration,
}

/// The permits and asks of one key. Refused gates are given turns, one after the other, so that
/// they come back when something is free.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    charges: Vec<Charge>,
    pub pending: VecDeque<Pending>,
    /// The end of the quiet period, while it lasts.
    pub opens: Option<Duration>,
    /// The turn that the next refused gate is given.
    turn: Duration,
    demand: FxHashMap<GateId, (u32, Duration)>,
}

impl Ledger {
    /// Drops what counts no more.
    pub(crate) fn prune(&mut self, now: Duration) {
        self.charges.retain(|charge| now < charge.ends);
        self.demand.retain(|_, (_, at)| *at + DEMAND_SPAN > now);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.charges.is_empty() && self.pending.is_empty() && self.demand.is_empty()
    }

    /// Puts an ask at the end of those that wait; an earlier one of the same gate is dropped.
    pub(crate) fn push(&mut self, ask: Pending) {
        self.demand.insert(ask.gate, (ask.want, ask.arrived));
        self.pending.retain(|other| other.gate != ask.gate);
        self.pending.push_back(ask);
    }

    /// Permits that may still count.
    pub(crate) fn charged(&self) -> u32 {
        self.charges.iter().map(|charge| charge.count).sum()
    }

    /// What a gate that wants `want` may have at once: all of it while the pool is enough for
    /// everybody, else its part by demand, and one at least.
    pub(crate) fn fair(&self, want: u32, pool: u32) -> u32 {
        let total: u64 = self.wanted();
        if total <= u64::from(pool) {
            return want;
        }
        let part = u64::from(pool) * u64::from(want) / total;
        u32::try_from(part).unwrap_or(want).max(1).min(want)
    }

    pub(crate) fn charge(&mut self, ask: &Pending, count: u32, terms: &Terms) {
        let ends = ask.arrived + terms.charged(ask.life);
        let Pending {
            gate,
            sequence,
            arrived,
            ..
        } = *ask;
        self.charges.push(Charge {
            gate,
            sequence,
            count,
            arrived,
            ends,
        });
    }

    /// Takes the end of a grant: unused permits come back, and used ones count from their use on.
    ///
    /// The gate sent the ask before it arrived here, so a use `last_used_after` the sending lies
    /// before `last_used_after` the arrival.
    pub(crate) fn settle(&mut self, gate: &GateId, settled: &Settled, terms: &Terms) {
        let same =
            |charge: &&mut Charge| charge.gate == *gate && charge.sequence == settled.sequence;
        let Some(charge) = self.charges.iter_mut().find(same) else {
            return;
        };
        charge.count = charge.count.min(settled.used);
        let ends = charge.arrived + settled.last_used_after + terms.settles();
        charge.ends = charge.ends.min(ends);
        self.charges.retain(|charge| charge.count > 0);
    }

    /// The first moment at which a permit counts no more.
    pub(crate) fn next_free(&self) -> Option<Duration> {
        self.charges.iter().map(|charge| charge.ends).min()
    }

    /// Permits of a pool that will be free by `at` if none is given until then.
    pub(crate) fn free_by(&self, at: Duration, pool: u32) -> u32 {
        let charges = self.charges.iter().filter(|charge| charge.ends > at);
        pool.saturating_sub(charges.map(|charge| charge.count).sum())
    }

    /// How long a refused gate must wait for its turn.
    pub(crate) fn retry_after(&mut self, now: Duration, ask: &Pending, terms: &Terms) -> Duration {
        let turn = self.turn.max(self.free_after_pending(now));
        let longest = now + LONGEST_WAIT;
        if turn >= longest || ask.pool == 0 {
            return LONGEST_WAIT.mul_f64(0.5 + 0.5 * spread(&ask.gate, ask.sequence));
        }
        let each = terms.settles() / ask.pool;
        self.turn = turn + each * self.fair(ask.want, ask.pool);
        turn - now
    }

    /// When a permit comes free that none of the waiting asks will take.
    fn free_after_pending(&self, now: Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::new();
        for charge in &self.charges {
            ends.extend(std::iter::repeat_n(charge.ends, charge.count as usize));
        }
        ends.sort_unstable();
        let place = self.pending.len().min(ends.len().saturating_sub(1));
        ends.get(place).copied().unwrap_or(now).max(now)
    }

    fn wanted(&self) -> u64 {
        self.demand.values().map(|(want, _)| u64::from(*want)).sum()
    }
}

/// A number from 0 to 1 that differs between gates and from time to time.
fn spread(gate: &GateId, salt: u64) -> f64 {
    let bytes = gate.address.to_string();
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(bytes.as_bytes(), salt);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
