//! Whether the caller of a request still waits for its outcome.
//!
//! An order for a zone carries nothing that tells a late copy from a new order. A caller that has
//! given up a copy closes its connection and sends the order again elsewhere, so an order is applied
//! only while its caller waits.

use std::sync::{Arc, Weak};

/// Held by the handler of a request. The HTTP server drops the handler once the caller has closed
/// the connection.
#[derive(Debug)]
pub(crate) struct WaitGuard(#[expect(dead_code, reason = "held for its reference count")] Arc<()>);

/// The caller of a request, as seen by the code that executes the request.
#[derive(Debug, Clone)]
pub(crate) struct Caller(Weak<()>);

impl Caller {
    /// Creates a caller that waits until the guard is dropped.
    pub(crate) fn waiting() -> (WaitGuard, Caller) {
        let handler = Arc::new(());
        let caller = Caller(Arc::downgrade(&handler));
        (WaitGuard(handler), caller)
    }

    /// Whether the caller still waits for the outcome.
    pub(crate) fn is_waiting(&self) -> bool {
        self.0.strong_count() > 0
    }
}

#[cfg(test)]
mod tests;
