//! What waits in the queue of events.

use ironmast_balancer::{Micros, Outcome};
use slotmap::DefaultKey;

use crate::server::JobKey;

/// What waits in the queue.
pub(super) enum What {
    Arrive(u32),
    Again(DefaultKey),
    Expire(u64),
    Leave(u64),
    Timer {
        proxy: u32,
        life: u32,
        token: u64,
    },
    Reach {
        request: u64,
        n: u8,
    },
    Back {
        request: u64,
        n: u8,
        outcome: Outcome,
    },
    TimedOut {
        request: u64,
        n: u8,
    },
    CallOff {
        server: u32,
        life: u32,
        job: JobKey,
    },
    Look {
        server: u32,
        at: Micros,
    },
    Visible(u32),
    News {
        proxy: u32,
        life: u32,
    },
    Called {
        proxy: u32,
        life: u32,
        ok: bool,
    },
    Probe {
        proxy: u32,
        life: u32,
        server: u32,
        sent: Micros,
    },
    Probed {
        proxy: u32,
        life: u32,
        server: u32,
        sent: Micros,
        held: Option<u32>,
    },
    Peer {
        from: u32,
        to: u32,
        data: Box<[u8]>,
    },
    Idle {
        proxy: u32,
        server: u32,
    },
    Step(u32),
    Sample,
}
