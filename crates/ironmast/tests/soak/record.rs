//! What clients and servers saw during a soak, and whether the guarantees held.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::traffic::{DEADLINE, Kind};

/// A status that promises that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Trouble counts for requests that end this long after it: their answer may still be on its way.
const TROUBLE_TAIL: Duration = Duration::from_secs(1);

/// How many servers may run a request that may be repeated.
pub(crate) const MAX_ATTEMPTS: u32 = 2;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// A complete response with this status; `echoes_id` tells whether it is of this request.
    Response { status: u16, echoes_id: bool },
    /// The connection ended, or nothing came in time.
    NoResponse,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub id: String,
    pub kind: Kind,
    pub began_at: Instant,
    pub ended_at: Instant,
    pub ending: Ending,
}

/// A time in which the processes of the gate's machine were killed or suspended.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    from: Instant,
    until: Option<Instant>,
}

/// The runs of one request at all servers.
#[derive(Clone, Copy, Debug)]
struct Runs {
    kind: Kind,
    count: u32,
}

/// The shared record of a soak.
#[derive(Clone, Default)]
pub(crate) struct Record(Arc<Mutex<Events>>);

#[derive(Default)]
struct Events {
    sent: Vec<Sent>,
    /// How often each request has run, by id.
    runs: HashMap<String, Runs>,
    troubles: Vec<Trouble>,
    violations: Vec<String>,
}

impl Record {
    pub(crate) fn request_ended(&self, sent: Sent) {
        self.events(|events| events.sent.push(sent));
    }

    pub(crate) fn request_run(&self, id: &str, kind: Kind) {
        self.events(|events| {
            let first = Runs { kind, count: 0 };
            events.runs.entry(id.to_string()).or_insert(first).count += 1;
        });
    }

    pub(crate) fn trouble_begins(&self) {
        let from = Instant::now();
        self.events(|events| events.troubles.push(Trouble { from, until: None }));
    }

    pub(crate) fn trouble_ends(&self) {
        let until = Instant::now();
        self.events(|events| {
            let last = events.troubles.last_mut().expect("it has begun");
            last.until = Some(until);
        });
    }

    pub(crate) fn violation(&self, text: String) {
        self.events(|events| events.violations.push(text));
    }

    /// The number of requests and of those that got a 200.
    pub(crate) fn counts(&self) -> (usize, usize) {
        self.events(|events| {
            let is_served =
                |sent: &&Sent| matches!(sent.ending, Ending::Response { status: 200, .. });
            (
                events.sent.len(),
                events.sent.iter().filter(is_served).count(),
            )
        })
    }

    /// All violations, those that show only when the soak has ended among them.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.events(|events| {
            let mut violations = events.violations.clone();
            for sent in &events.sent {
                violations.extend(events.violation_of(sent));
            }
            for (id, runs) in &events.runs {
                if runs.count > runs.allowed() {
                    violations.push(format!("request {id} has run {} times", runs.count));
                }
            }
            violations
        })
    }

    fn events<T>(&self, access: impl FnOnce(&mut Events) -> T) -> T {
        access(&mut self.0.lock().expect("no panic"))
    }
}

impl Runs {
    /// How often the request may run.
    fn allowed(self) -> u32 {
        match self.kind {
            Kind::ResumableStream => MAX_ATTEMPTS,
            Kind::Single | Kind::Stream => 1,
        }
    }
}

impl Events {
    fn violation_of(&self, sent: &Sent) -> Option<String> {
        let id = &sent.id;
        let runs = self.runs.get(id).map_or(0, |runs| runs.count);
        match sent.ending {
            Ending::Response {
                status,
                echoes_id: false,
            } => Some(format!("request {id}: {status} of another request")),
            Ending::Response { status: 200, .. } if runs == 0 => {
                Some(format!("request {id}: 200, but it has not run"))
            }
            Ending::Response { status, .. } if NOT_RUN_STATUSES.contains(&status) && runs > 0 => {
                Some(format!("request {id}: {status}, but it has run"))
            }
            Ending::NoResponse if runs > 0 && !self.may_end_unanswered(sent) => Some(format!(
                "request {id} ({:?}): it has run {runs} times, and its connection ended without a complete \
                 answer after {} ms",
                sent.kind,
                (sent.ended_at - sent.began_at).as_millis()
            )),
            _ => None,
        }
    }

    /// Whether no answer is owed: the gate was killed or suspended, or the deadline has passed.
    fn may_end_unanswered(&self, sent: &Sent) -> bool {
        self.is_in_trouble(sent) || sent.ended_at - sent.began_at >= DEADLINE
    }

    fn is_in_trouble(&self, sent: &Sent) -> bool {
        self.troubles.iter().any(|trouble| {
            let has_begun = trouble.from <= sent.ended_at;
            let is_over = trouble
                .until
                .is_some_and(|until| until + TROUBLE_TAIL < sent.began_at);
            has_begun && !is_over
        })
    }
}
