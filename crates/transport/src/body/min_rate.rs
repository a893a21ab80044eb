//! The minimum rate at which a client must send a request body. Guards connections against clients
//! that announce a body and send it slowly, or not at all (Slowloris).

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;

use super::BodyChunks;
use crate::clock::{Clock, Micros};

/// The enforced rate, in bytes per second, slightly below the 64,000 that the clients agreed to.
const MIN_BYTES_PER_SECOND: u64 = 60_000;
/// Added to the time that the rate allows, for the start of a transfer.
const GRACE: Micros = 500_000;

/// Computes the deadline by which a client must have sent more of a request body. Only the time
/// spent waiting for the client counts, so a slow server does not make its client late.
#[derive(Clone, Copy, Debug)]
pub struct MinRateTimer {
    /// The deadline is never before this, whatever the rate: a short request may be sent slowly.
    earliest_deadline: Micros,
    received_bytes: u64,
    /// Time spent in completed waits.
    waited: Micros,
    /// Start of the wait in progress; `None` while the timer does not wait for the client.
    wait_started: Option<Micros>,
}

impl MinRateTimer {
    /// Creates the timer of a request whose first byte arrived at `request_started_at` and whose
    /// head is complete. The deadline is at least `header_timeout` after the first byte, whatever
    /// the rate.
    #[must_use]
    pub fn new(request_started_at: Micros, header_timeout: Micros) -> Self {
        MinRateTimer {
            earliest_deadline: request_started_at + header_timeout,
            received_bytes: 0,
            waited: 0,
            wait_started: None,
        }
    }

    /// Records that the wait for more bytes starts at `now`; does nothing during a wait.
    pub fn start_wait(&mut self, now: Micros) {
        self.wait_started.get_or_insert(now);
    }

    /// Ends the wait: `bytes` bytes arrived, or the body ended.
    pub fn record_received(&mut self, now: Micros, bytes: usize) {
        self.waited += self
            .wait_started
            .take()
            .map_or(0, |started| now.saturating_sub(started));
        self.received_bytes += bytes as u64;
    }

    /// The clock reading from which the client is late; `None` outside a wait.
    #[must_use]
    pub fn deadline(&self) -> Option<Micros> {
        let allowed = GRACE + self.received_bytes.saturating_mul(1_000_000) / MIN_BYTES_PER_SECOND;
        self.wait_started.map(|started| {
            let rate_deadline = started + allowed.saturating_sub(self.waited);
            self.earliest_deadline.max(rate_deadline)
        })
    }
}

/// A stream of the chunks of a request body that records each wait in a [`MinRateTimer`].
pub struct MinRateStream {
    chunks: BodyChunks,
    clock: Clock,
    timer: Rc<Cell<MinRateTimer>>,
}

impl MinRateStream {
    /// Wraps `chunks`; waits are recorded in `timer` with the readings of `clock`.
    pub fn new(chunks: BodyChunks, clock: Clock, timer: Rc<Cell<MinRateTimer>>) -> Self {
        MinRateStream {
            chunks,
            clock,
            timer,
        }
    }
}

impl Stream for MinRateStream {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = self.chunks.as_mut().poll_next(cx);
        let now = self.clock.now();
        let mut timer = self.timer.get();
        match &polled {
            Poll::Pending => timer.start_wait(now),
            Poll::Ready(Some(Ok(chunk))) => timer.record_received(now, chunk.len()),
            Poll::Ready(_) => timer.record_received(now, 0),
        }
        self.timer.set(timer);
        polled
    }
}

#[cfg(test)]
mod tests;
