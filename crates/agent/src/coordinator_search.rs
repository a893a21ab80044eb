//! Searches for a coordinator that is in contact with the majority while the agent is connected to
//! one that is not.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordinator_connection::{CoordinatorConnection, connect_nearest};
use crate::state::SharedState;

/// Backoff after the first attempt; doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A running attempt to connect to one of the other coordinators.
type Attempt<'a> = Pin<Box<dyn Future<Output = Option<CoordinatorConnection>> + 'a>>;

/// The search of one coordinator link.
pub(crate) struct CoordinatorSearch<'a> {
    state: &'a SharedState,
    /// Address of the coordinator that the agent is connected to; the search excludes it.
    current: SocketAddr,
    attempt: Option<Attempt<'a>>,
    next_attempt_at: Instant,
    backoff: Duration,
}

impl<'a> CoordinatorSearch<'a> {
    /// A search without an attempt.
    pub(crate) fn new(state: &'a SharedState, current: SocketAddr) -> Self {
        CoordinatorSearch {
            state,
            current,
            attempt: None,
            next_attempt_at: Instant::now(),
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Starts an attempt unless one is running or the backoff has not expired.
    pub(crate) fn start_attempt(&mut self) {
        if self.attempt.is_some() || Instant::now() < self.next_attempt_at {
            return;
        }
        let mut others = self.state.borrow().coordinators().clone();
        others.remove(&self.current);
        let state = self.state;
        self.attempt = Some(Box::pin(connect_nearest(state, others)));
    }

    /// Aborts a running attempt and resets the backoff. Called when the current coordinator is in
    /// contact with the majority.
    pub(crate) fn stop(&mut self) {
        *self = CoordinatorSearch::new(self.state, self.current);
    }

    /// Completes once an attempt has found a coordinator in contact with the majority, and never while
    /// no attempt is running. Cancel safe: a running attempt continues with the next call.
    pub(crate) async fn found(&mut self) -> CoordinatorConnection {
        loop {
            let Some(attempt) = &mut self.attempt else {
                return pending().await;
            };
            let result = attempt.await;
            self.attempt = None;
            self.next_attempt_at = Instant::now() + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            if let Some(connection) = result.filter(|connection| connection.in_contact) {
                return connection;
            }
        }
    }
}
