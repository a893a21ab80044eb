//! Operations of clients, the tries at them, and the attempts of proxies.

use ironmast_balancer::{Micros, Outcome};
use slotmap::{DefaultKey, KeyData};
use smallvec::SmallVec;

use crate::server::JobKey;

/// A client's wish, with all its tries.
pub(super) struct Op {
    pub(super) number: u64,
    pub(super) proxy: u32,
    pub(super) class: u8,
    pub(super) work: f64,
    pub(super) start: Micros,
    /// Tries so far; the fate once it has ended.
    pub(super) tries: u32,
    pub(super) ended: bool,
    /// Tries open, retries due and jobs at servers.
    pub(super) holds: u32,
    /// Where and when it ran.
    pub(super) runs: SmallVec<[(usize, Micros); 1]>,
}

/// One try of an operation, as a proxy holds it.
pub(super) struct Try {
    pub(super) op: DefaultKey,
    pub(super) proxy: u32,
    pub(super) expires: Micros,
    pub(super) over: bool,
    /// Its client has left.
    pub(super) left: bool,
    pub(super) attempts: SmallVec<[Attempt; 1]>,
}

pub(super) struct Attempt {
    pub(super) server: u32,
    pub(super) life: u32,
    pub(super) sent: Micros,
    pub(super) out: bool,
    pub(super) fresh: bool,
    /// It holds a connection that the server counts.
    pub(super) connected: bool,
    pub(super) job: Option<JobKey>,
    /// How it ended, as the proxy was told.
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

impl Try {
    pub(super) fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}

/// How one try ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Served,
    Refused(Option<Micros>),
    Failed,
    /// The proxy was not there, or went down with it.
    Unreachable,
    /// No answer came in time.
    Unanswered,
    /// The client left.
    Walked,
}

pub(super) fn key(request: u64) -> DefaultKey {
    KeyData::from_ffi(request).into()
}
