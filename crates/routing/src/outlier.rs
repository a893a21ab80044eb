//! Outlier detection: which servers are set aside for a while, for failures or slowness that their
//! peers do not show.

use ironmast_balancer::Micros;

use crate::decision::Outcome;
use crate::guards::Guard;

/// PrefillRate of the quick mean of failures, by kind: one lost connection says less than an error, none
/// up says more.
const PACE_ERROR: f32 = 0.25;
const PACE_UNREACHABLE: f32 = 0.3;
const PACE_BROKEN: f32 = 0.15;
/// PrefillRate of the long mean of failures, which finds servers that fail a part of their requests.
const PACE_LONG: f32 = 0.04;
/// How far the quick mean must stand out from the peers' to eject.
const FAILING: f32 = 0.5;
/// How far the long mean must stand out, and after how many attempts.
const LONG_ABOVE_PEERS: f32 = 0.15;
/// And the long mean is a multiple of the peers': where most fail, it is no matter of single
/// servers.
const LONG_OF_PEERS: f32 = 2.0;
/// Both by this many standard deviations more: where all fail at times, some look worse by chance.
const DEVIATIONS: f32 = 2.5;
const LONG_SAMPLES: u32 = 15;
/// Failures in a row that eject, unless the peers fail this often too.
const IN_A_ROW: u16 = 4;
const PEERS_FAIL: f32 = 0.1;
/// Failed connections in a row that eject even if most peers are ejected: nothing is there.
const UNREACHABLE_IN_A_ROW: u16 = 2;
/// PrefillRate of the mean of slowness, how far it must stand out from the peers', and after how many
/// first bytes.
const PACE_SLOW: f32 = 0.1;
const SLOW_ABOVE_PEERS: f32 = 3.0;
const SLOW_SAMPLES: u32 = 8;
/// The long mean of one that comes back, as a part of what ejects: a single failure soon after
/// does.
const ON_PROBATION: f32 = 0.8;
/// One that comes back is judged by its first bytes after this many.
const PROBATION: u32 = 3;
/// What is slow against the peers matters from this part of the latency objective on.
const LATE_FROM: f32 = 0.35;
/// And only while no more than this part of its room is taken.
const SLOW_BELOW: f64 = 0.4;
/// One slow answer counts as no slower than this many times the usual.
const SLOW_MOST: f32 = 20.0;

/// What the others of a group show.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerHealth {
    /// The group's servers that are listed, this one among them, and the ejected ones of the
    /// others.
    pub count: usize,
    pub ejected: usize,
    /// Medians over the others.
    pub quick: f32,
    pub long: f32,
    pub slowness: f32,
}

impl PeerHealth {
    /// At most half of a group is ejected.
    fn allow(&self) -> bool {
        2 * (self.ejected + 1) <= self.count || !Guard::MaxEjectedShare.on()
    }
}

/// How long a first byte took: as a multiple of what is usual on its route, and as a part of the
/// objective; and the part of the server's room that is taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstByte {
    pub ratio: f64,
    pub part: f64,
    pub taken: f64,
}

/// An ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ejection {
    pub since: Micros,
    pub until: Micros,
}

/// Why health sets a server aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Its answers fail more often than its peers'.
    Failing,
    /// No connection comes up.
    Unreachable,
    /// Its first bytes are late against its peers'.
    Slow,
    /// It owes answers, gives no sign and fails its health check.
    Unresponsive,
}

/// What is known of a server's health.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    quick: f32,
    long: f32,
    attempts: u32,
    in_a_row: u16,
    unreachable: u16,
    slowness: f32,
    /// Mean part of the objective that the first byte took.
    lateness: f32,
    first_bytes: u32,
    ejected: Option<Ejection>,
    rest: Micros,
    /// A trial request or a probe is out.
    pub trial: bool,
}

impl OutlierDetector {
    pub fn quick(&self) -> f32 {
        self.quick
    }

    pub fn long(&self) -> f32 {
        self.long
    }

    /// Multiple of the usual time to the first byte; none before enough of them.
    pub fn slowness(&self) -> Option<f32> {
        (self.first_bytes >= SLOW_SAMPLES).then_some(self.slowness)
    }

    /// True where the peers' slowness matters to what is judged of it.
    pub fn may_be_slow(&self, ratio: f64) -> bool {
        self.ejected.is_some() || self.slowness > 1.5 || ratio > f64::from(SLOW_ABOVE_PEERS)
    }

    pub fn ejected(&self) -> Option<Ejection> {
        self.ejected
    }

    /// True where the ejection is over and nobody tries it yet.
    pub fn trial_due(&self, now: Micros) -> bool {
        !self.trial && self.ejected.is_some_and(|ejected| ejected.until <= now)
    }

    /// An attempt sent at `sent` ended. `trial` says that it decides the return. Tells why the
    /// server is ejected, if it is now.
    pub fn attempt_finished(
        &mut self,
        now: Micros,
        outcome: &Outcome,
        sent: Micros,
        peers: PeerHealth,
        rests: (Micros, Micros),
    ) -> Option<EjectionCause> {
        use Outcome::*;
        match outcome {
            Success | ClientError => self.good(sent),
            ServerError | Timeout => self.bad(PACE_ERROR, true),
            ConnectFailed => {
                self.unreachable = self.unreachable.saturating_add(1);
                self.bad(PACE_UNREACHABLE, false);
            }
            Reset | MalformedResponse | Truncated { .. } => self.bad(PACE_BROKEN, true),
            // Full is load, not ill health; the rest is the gate's or the client's doing.
            NotExecuted { .. } if !Guard::OverloadIsNoFailure.on() => self.bad(PACE_ERROR, true),
            NotExecuted { .. } | WrongInstance | WrongVersion | NotSent | Cancelled => {
                return None;
            }
        }
        let cause = self.cause(peers)?;
        let due = self
            .ejected
            .is_none_or(|ejected| sent >= ejected.until || ejected.until <= now);
        due.then(|| self.eject(now, rests))?;
        Some(cause)
    }

    /// A first byte came.
    pub fn first_byte_received(
        &mut self,
        now: Micros,
        byte: FirstByte,
        peers: PeerHealth,
        rests: (Micros, Micros),
    ) -> Option<EjectionCause> {
        let ratio = (byte.ratio as f32).min(SLOW_MOST);
        self.first_bytes = self.first_bytes.saturating_add(1);
        let pace = PACE_SLOW.max(1.0 / self.first_bytes as f32);
        self.slowness += pace * (ratio - self.slowness);
        self.lateness += pace * ((byte.part as f32).min(SLOW_MOST) - self.lateness);
        let bound = SLOW_ABOVE_PEERS * peers.slowness;
        if peers.slowness <= 0.0 {
            return None;
        }
        let slow =
            self.slowness > bound && self.lateness > LATE_FROM && self.first_bytes >= SLOW_SAMPLES;
        // A slow trial prolongs the ejection: no answer to what was sent before now ends it.
        let trial = ratio > bound && byte.part as f32 > LATE_FROM;
        // A crowded server is slow for that, and ejecting it would crowd its peers.
        let crowded = byte.taken > SLOW_BELOW && Guard::LoadedIsNotSlow.on();
        let ejects = if self.ejected.is_some() {
            trial
        } else {
            slow && !crowded && peers.allow()
        };
        ejects.then(|| self.eject(now, rests))?;
        Some(EjectionCause::Slow)
    }

    /// A probe found it well, or not.
    pub fn health_check_finished(&mut self, now: Micros, well: bool, rests: (Micros, Micros)) {
        self.trial = false;
        if self.ejected.is_none() {
            return;
        }
        match well {
            true => self.restore(),
            false => self.eject(now, rests),
        }
    }

    /// It owes an answer, nothing was heard of it for long, and a probe failed.
    pub fn dark(
        &mut self,
        now: Micros,
        peers: PeerHealth,
        rests: (Micros, Micros),
    ) -> Option<EjectionCause> {
        (self.ejected.is_none() && peers.allow()).then(|| self.eject(now, rests))?;
        Some(EjectionCause::Unresponsive)
    }

    fn good(&mut self, sent: Micros) {
        self.count(0.0, PACE_ERROR);
        (self.in_a_row, self.unreachable) = (0, 0);
        // An answer to a request sent before the ejection tells nothing of now.
        if self.ejected.is_some_and(|ejected| sent >= ejected.since) {
            self.restore();
        }
        if self.ejected.is_none() && self.quick < 0.05 {
            self.rest = 0;
        }
    }

    fn bad(&mut self, pace: f32, reached: bool) {
        self.count(1.0, pace);
        self.in_a_row = self.in_a_row.saturating_add(1);
        if reached {
            self.unreachable = 0;
        }
    }

    fn count(&mut self, failed: f32, pace: f32) {
        self.attempts = self.attempts.saturating_add(1);
        self.quick += pace * (failed - self.quick);
        self.long += PACE_LONG.max(1.0 / self.attempts as f32) * (failed - self.long);
    }

    fn cause(&self, peers: PeerHealth) -> Option<EjectionCause> {
        if self.unreachable >= UNREACHABLE_IN_A_ROW {
            return Some(EjectionCause::Unreachable);
        }
        let quick =
            self.quick >= FAILING + peers.quick.max(peers.long) + noise(peers.long, PACE_ERROR);
        let stray = LONG_ABOVE_PEERS + peers.long + noise(peers.long, PACE_LONG);
        let long_bound = stray.max(LONG_OF_PEERS * peers.long);
        let long = self.attempts >= LONG_SAMPLES && self.long >= long_bound;
        let in_a_row = self.in_a_row >= IN_A_ROW && peers.long < PEERS_FAIL;
        let stands_out = quick || long || in_a_row;
        (stands_out && self.in_a_row > 0 && peers.allow()).then_some(EjectionCause::Failing)
    }

    fn eject(&mut self, now: Micros, (first, longest): (Micros, Micros)) {
        self.rest = (self.rest * 2).clamp(first, longest);
        self.ejected = Some(Ejection {
            since: now,
            until: now + self.rest,
        });
    }

    /// Back in use, on probation: the next failure counts for more than a first one.
    fn restore(&mut self) {
        self.ejected = None;
        self.quick = self.quick.min(FAILING / 2.0);
        self.long = self.long.min(LONG_ABOVE_PEERS * ON_PROBATION);
        (self.in_a_row, self.unreachable) = (0, 0);
        (self.slowness, self.lateness, self.first_bytes) = (1.0, 0.0, SLOW_SAMPLES - PROBATION);
    }
}

/// How far a running mean of that pace strays by chance where failures have that rate.
fn noise(rate: f32, pace: f32) -> f32 {
    DEVIATIONS * (rate * (1.0 - rate) * pace / (2.0 - pace)).sqrt()
}

#[cfg(test)]
mod tests;
