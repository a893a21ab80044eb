//! The monotonic clock of a coordinator. Tests set it by hand.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reads the time since the start of the process; all clones read the same time.
#[derive(Clone)]
pub(crate) struct Clock(Rc<dyn Fn() -> Duration>);

impl Clock {
    /// A clock that reads the time since `start`.
    pub(crate) fn since(start: Instant) -> Self {
        Clock(Rc::new(move || start.elapsed()))
    }

    /// A clock that reads the time returned by `read`.
    #[cfg(test)]
    pub(crate) fn from_fn(read: impl Fn() -> Duration + 'static) -> Self {
        Clock(Rc::new(read))
    }

    /// The current time.
    pub(crate) fn now(&self) -> Duration {
        (self.0)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Clock").field(&self.now()).finish()
    }
}
