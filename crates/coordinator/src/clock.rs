//! The steady clock of a coordinator; tests set it by hand.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reads the time since the start; copies agree.
#[derive(Clone)]
pub(crate) struct Clock(Rc<dyn Fn() -> Duration>);

impl Clock {
    /// The time since `start`.
    pub(crate) fn since(start: Instant) -> Self {
        Clock(Rc::new(move || start.elapsed()))
    }

    /// The time that `read` tells.
    #[cfg(test)]
    pub(crate) fn read_by(read: impl Fn() -> Duration + 'static) -> Self {
        Clock(Rc::new(read))
    }

    /// The reading now.
    pub(crate) fn now(&self) -> Duration {
        (self.0)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Clock").field(&self.now()).finish()
    }
}
