//! The newest beat of each coordinator, and how long ago it was sent.
//!
//! A beat carries the time since its coordinator started. Clocks of two machines run alike but
//! start apart, so the beat that was on its way for the shortest time tells how far apart, and the
//! age of any other follows from that: one that was held up, at a node or by a link, is not taken
//! for a fresh one. Ages are too short by the shortest time on the way, milliseconds up to a few
//! hundred.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::Beat;
use crate::node::NodeId;

/// Sources remembered at most; the one silent for longest is forgotten.
const SOURCES: usize = 32;

/// Time after which the distance between two clocks is measured anew: 100 ppm of drift make 6 ms in
/// it.
const WINDOW: Duration = Duration::from_secs(60);

/// The newest beat of one coordinator, and the distance of its clock.
#[derive(Clone, Copy, Debug)]
struct Newest {
    elapsed_ms: u64,
    /// Least distance in microseconds between arrival and `elapsed_ms`, in this window and in the
    /// one before.
    distance: i64,
    distance_before: i64,
    window: Duration,
}

impl Newest {
    fn first(now: Duration, elapsed_ms: u64) -> Newest {
        let distance = distance(now, elapsed_ms);
        Newest {
            elapsed_ms,
            distance,
            distance_before: distance,
            window: now,
        }
    }

    fn update(&mut self, now: Duration, elapsed_ms: u64) {
        let distance = distance(now, elapsed_ms);
        if self.window + WINDOW <= now {
            self.window = now;
            self.distance_before = std::mem::replace(&mut self.distance, distance);
        }
        self.distance = self.distance.min(distance);
        self.elapsed_ms = elapsed_ms;
    }

    fn age(&self, now: Duration) -> Duration {
        let shortest = self.distance.min(self.distance_before);
        let age = distance(now, self.elapsed_ms).saturating_sub(shortest);
        Duration::from_micros(u64::try_from(age).unwrap_or(0))
    }
}

/// Microseconds from `elapsed_ms` on the clock of the source to `now` on this one.
fn distance(now: Duration, elapsed_ms: u64) -> i64 {
    let now = i64::try_from(now.as_micros()).unwrap_or(i64::MAX);
    let elapsed = i64::try_from(elapsed_ms.saturating_mul(1_000)).unwrap_or(i64::MAX);
    now.saturating_sub(elapsed)
}

/// The newest beats of all coordinators.
#[derive(Clone, Debug, Default)]
pub struct Beats {
    newest: BTreeMap<NodeId, Newest>,
}

impl Beats {
    /// Takes a beat in; whether it is newer than those of the same source before.
    pub fn learn(&mut self, now: Duration, beat: &Beat) -> bool {
        match self.newest.get_mut(&beat.source) {
            Some(newest) if newest.elapsed_ms >= beat.elapsed_ms => return false,
            Some(newest) => newest.update(now, beat.elapsed_ms),
            None => self.add(now, beat),
        }
        true
    }

    fn add(&mut self, now: Duration, beat: &Beat) {
        self.newest
            .insert(beat.source, Newest::first(now, beat.elapsed_ms));
        if self.newest.len() <= SOURCES {
            return;
        }
        let oldest = self
            .newest
            .iter()
            .max_by_key(|(_, newest)| newest.age(now))
            .map(|(source, _)| *source);
        oldest.map(|source| self.newest.remove(&source));
    }

    /// Time since the newest beat of any coordinator was sent; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.newest.values().map(|newest| newest.age(now)).min()
    }

    /// Time since the newest beat of each coordinator was sent.
    pub fn ages(&self, now: Duration) -> impl Iterator<Item = (NodeId, Duration)> {
        self.newest
            .iter()
            .map(move |(source, newest)| (*source, newest.age(now)))
    }

    /// Up to `limit` beats newer than `sent` says, those of the longest unsent sources first, which
    /// are then noted in `sent`.
    pub(crate) fn unsent(&self, limit: usize, sent: &mut Sent) -> Vec<Beat> {
        sent.round += 1;
        sent.beats
            .retain(|source, _| self.newest.contains_key(source));
        let mut due: Vec<(u64, Beat)> = Vec::new();
        for (source, newest) in &self.newest {
            let (elapsed_ms, round) = sent.beats.get(source).copied().unwrap_or_default();
            if newest.elapsed_ms > elapsed_ms {
                due.push((
                    round,
                    Beat {
                        source: *source,
                        elapsed_ms: newest.elapsed_ms,
                    },
                ));
            }
        }
        due.sort_by_key(|(round, beat)| (*round, beat.source));
        due.truncate(limit);
        for (_, beat) in &due {
            sent.beats
                .insert(beat.source, (beat.elapsed_ms, sent.round));
        }
        due.into_iter().map(|(_, beat)| beat).collect()
    }
}

/// The beats sent on one link: time and round of sending by source.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sent {
    beats: BTreeMap<NodeId, (u64, u64)>,
    round: u64,
}
