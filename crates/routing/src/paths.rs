//! Which other regions can be reached, by what this gate hears of the servers there taken together.
//! A region that is lost or cut off looks like many silent servers; learnt one by one, each of them
//! would cost a request.

use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

/// So many servers or attempts without an answer speak for the region, not for one server.
const UNANSWERED: usize = 2;
/// A region that can't be reached is asked for a sign this often.
pub(crate) const ASK_EVERY: Micros = 400_000;
/// A client whose requests are all at home in such regions has mostly found a gate elsewhere after
/// this long: the directory forgets gates within about as much, and clients ask it as often.
pub(crate) const GONE_ROUND_IN: Micros = 1_000_000;

/// The way to one region.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    /// When any server there was heard last.
    last_sign: Micros,
    /// Attempts that have ended without an answer since.
    unanswered: usize,
    asked_at: Micros,
}

/// The ways to all regions, by name.
#[derive(Debug, Default)]
pub(crate) struct Paths(FxHashMap<Arc<str>, Path>);

impl Paths {
    /// Something was sent to a server of the region: from the first time on an answer can be
    /// missed.
    pub fn tried(&mut self, now: Micros, region: &Arc<str>) {
        if !self.0.contains_key(region) {
            self.0.insert(
                region.clone(),
                Path {
                    last_sign: now,
                    ..Path::default()
                },
            );
        }
    }

    /// Something was heard of a server of the region.
    pub fn record_liveness(&mut self, now: Micros, region: &Arc<str>) {
        self.tried(now, region);
        if let Some(path) = self.0.get_mut(region) {
            (path.last_sign, path.unanswered) = (now, 0);
        }
    }

    /// An attempt at a server of the region ended without any answer.
    pub fn unanswered(&mut self, region: &Arc<str>) {
        self.0.entry(region.clone()).or_default().unanswered += 1;
    }

    /// Whether nothing was heard of the region for `patience`, though answers are owed: `quiet`
    /// tells how many servers there owe one for that long.
    pub fn is_dark(
        &self,
        now: Micros,
        region: &str,
        patience: Micros,
        quiet: impl FnOnce() -> usize,
    ) -> bool {
        let silent = self
            .0
            .get(region)
            .filter(|path| path.last_sign.saturating_add(patience) <= now);
        silent.is_some_and(|path| {
            path.unanswered >= UNANSWERED || path.unanswered + quiet() >= UNANSWERED
        })
    }

    /// Whether a dark region is to be asked for a sign now; the next time is [`ASK_EVERY`] later.
    pub fn ask(&mut self, now: Micros, region: &str) -> bool {
        let Some(path) = self.0.get_mut(region) else {
            return false;
        };
        let is_due = path.asked_at.saturating_add(ASK_EVERY) <= now;
        if is_due {
            path.asked_at = now;
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
