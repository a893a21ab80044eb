//! Reports of servers that drain or leave, which are acknowledged once a majority of the
//! coordinators holds them.
//!
//! A report goes to every other coordinator, and a question behind it on the same link. Whoever
//! answers the question has received the report before, and published it: it outlives the
//! coordinator that acknowledges it. A link that comes up meanwhile carries the report before
//! anything else.

use std::time::Duration;

use ironmast_schema::control::Key;
use tokio::sync::oneshot;

use crate::node::Reply;

/// A report is confirmed within this time or answered 503: servers wait for a second.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);

/// A report that isn't confirmed yet.
#[derive(Debug)]
struct PendingReport {
    key: Key,
    /// When it came, by the coordinator's steady clock.
    since: Duration,
    to: oneshot::Sender<Reply>,
}

/// The reports that aren't confirmed yet.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    waiting: Vec<PendingReport>,
}

impl PendingReports {
    /// Adds a report about this key that came at `now`; `to` gets the answer.
    pub(crate) fn add(&mut self, now: Duration, key: Key, to: oneshot::Sender<Reply>) {
        self.waiting.push(PendingReport {
            key,
            since: now,
            to,
        });
    }

    /// The keys that the unconfirmed reports are about.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &Key> {
        self.waiting.iter().map(|waiting| &waiting.key)
    }

    /// Answers the confirmed reports, and 503 to those that have waited too long. `answered` is
    /// when the newest question that a majority has answered was asked: reports that came no later
    /// are confirmed.
    pub(crate) fn settle(&mut self, now: Duration, answered: Option<Duration>) {
        let is_confirmed =
            |waiting: &mut PendingReport| answered.is_some_and(|asked| waiting.since <= asked);
        for waiting in self.waiting.extract_if(.., is_confirmed) {
            let _ = waiting.to.send(Reply::json("{}"));
        }
        let is_late = |waiting: &mut PendingReport| now >= waiting.since + REPLICATION_TIMEOUT;
        self.waiting.extract_if(.., is_late).for_each(refuse);
    }

    /// Answers 503 to all that wait.
    pub(crate) fn refuse(&mut self) {
        self.waiting.drain(..).for_each(refuse);
    }
}

fn refuse(waiting: PendingReport) {
    let _ = waiting.to.send(Reply::refused(
        503,
        "no majority of the coordinators has confirmed it in time",
    ));
}
