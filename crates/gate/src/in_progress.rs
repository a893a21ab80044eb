//! Counts the requests that have reached an exchange and have not ended.

use std::rc::Rc;

/// The requests in progress of one gate.
#[derive(Debug, Default)]
pub(crate) struct RequestsInProgress(Rc<()>);

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgress(#[expect(dead_code, reason = "held for its reference count")] Rc<()>);

impl RequestsInProgress {
    /// Begins a request.
    pub(crate) fn start(&self) -> InProgress {
        InProgress(Rc::clone(&self.0))
    }

    /// The number of requests that have begun and not ended.
    pub(crate) fn count(&self) -> usize {
        Rc::strong_count(&self.0) - 1
    }
}
