//! Operations of clients, the tries at them, and the attempts of proxies.

use ironmast_balancer::{Micros, Outcome};
use slotmap::{DefaultKey, KeyData};
use smallvec::SmallVec;

use crate::server::JobKey;

/// A client's wish, with all its requests.
pub(super) struct Operation {
    pub(super) number: u64,
    pub(super) proxy: u32,
    pub(super) class: u8,
    pub(super) work: f64,
    pub(super) start: Micros,
    /// Tries so far; the fate once it has ended.
    pub(super) request_count: u32,
    pub(super) ended: bool,
    /// Tries open, retries due and jobs at servers.
    pub(super) references: u32,
    /// Where and when it ran.
    pub(super) executions: SmallVec<[(usize, Micros); 1]>,
}

/// One try of an operation, as a proxy references it.
pub(super) struct PendingRequest {
    pub(super) op: DefaultKey,
    pub(super) proxy: u32,
    pub(super) expires: Micros,
    pub(super) finished: bool,
    /// Its client has left.
    pub(super) client_left: bool,
    pub(super) attempts: SmallVec<[Attempt; 1]>,
}

pub(super) struct Attempt {
    pub(super) server: u32,
    pub(super) incarnation: u32,
    pub(super) sent: Micros,
    pub(super) open: bool,
    pub(super) new_connection: bool,
    /// It references a connection that the server counts.
    pub(super) connected: bool,
    pub(super) job: Option<JobKey>,
    /// How it ended, as the proxy was notified.
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

impl PendingRequest {
    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }
}

/// How one try ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    Served,
    Rejected(Option<Micros>),
    Failed,
    /// The proxy was not there, or went down with it.
    ProxyUnreachable,
    /// No answer came in time.
    Unanswered,
    /// The client left.
    ClientLeft,
}

pub(super) fn request_key(request: u64) -> DefaultKey {
    KeyData::from_ffi(request).into()
}
