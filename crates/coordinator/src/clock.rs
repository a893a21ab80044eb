//! The monotonic clock of a coordinator, which tests replace by one that they advance.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A monotonic clock; all clones read the same time.
#[derive(Clone)]
pub(crate) struct Clock(Rc<dyn Fn() -> Duration>);

impl Clock {
    /// Creates a clock that reads the time since `start`.
    pub(crate) fn since(start: Instant) -> Self {
        Clock(Rc::new(move || start.elapsed()))
    }

    /// Creates a clock that reads the time returned by `read`.
    #[cfg(test)]
    pub(crate) fn from_fn(read: impl Fn() -> Duration + 'static) -> Self {
        Clock(Rc::new(read))
    }

    /// Time since the clock's start.
    pub(crate) fn now(&self) -> Duration {
        (self.0)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Clock").field(&self.now()).finish()
    }
}
