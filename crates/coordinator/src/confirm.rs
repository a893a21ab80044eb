//! Words of servers that leave, which are acknowledged once a majority of the coordinators holds them.
//!
//! The word goes to every other coordinator, and a question behind it on the same link. Whoever answers the question
//! has taken the word in before, and spread it: it outlives the coordinator that acknowledges it. A link that comes up
//! meanwhile carries the word before anything else.

use std::time::Duration;

use ironmast_schema::control::Key;
use tokio::sync::oneshot;

use crate::state::Reply;

/// A word is confirmed within this or answered 503: servers wait for a second.
const CONFIRM_WITHIN: Duration = Duration::from_millis(700);

/// A word that waits.
#[derive(Debug)]
struct Waiting {
    key: Key,
    since: Duration,
    to: oneshot::Sender<Reply>,
}

/// The words that wait.
#[derive(Debug, Default)]
pub struct Confirmations {
    waiting: Vec<Waiting>,
}

impl Confirmations {
    /// Adds a word about this key that came at `now`.
    pub fn add(&mut self, now: Duration, key: Key, to: oneshot::Sender<Reply>) {
        self.waiting.push(Waiting { key, since: now, to });
    }

    /// What the words that wait are about.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.waiting.iter().map(|waiting| &waiting.key)
    }

    /// Answers the words that are confirmed: those older than the question that a majority has answered last. Those
    /// that have waited too long get 503.
    pub fn settle(&mut self, now: Duration, answered: Option<Duration>) {
        let is_confirmed = |waiting: &mut Waiting| answered.is_some_and(|asked| waiting.since <= asked);
        for waiting in self.waiting.extract_if(.., is_confirmed) {
            let _ = waiting.to.send(Reply::json("{}"));
        }
        let is_late = |waiting: &mut Waiting| now >= waiting.since + CONFIRM_WITHIN;
        self.waiting.extract_if(.., is_late).for_each(refuse);
    }

    /// Answers 503 to all that wait.
    pub fn refuse(&mut self) {
        self.waiting.drain(..).for_each(refuse);
    }
}

fn refuse(waiting: Waiting) {
    let _ = waiting.to.send(Reply::refused(503, "no majority of the coordinators has confirmed it in time"));
}
