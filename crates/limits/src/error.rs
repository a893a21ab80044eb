//! The error of a limiter that rejects a request.

use std::time::Duration;

use thiserror::Error;

/// A limit is exhausted: the request must not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitExceeded {
    /// No request may be sent before this moment of the local steady clock.
    #[error("the limit is exhausted until {0:?} on the steady clock")]
    Until(Duration),
    /// No moment is known at which a request may be sent, for example because this gate has no
    /// quota of its own.
    #[error("the limit is exhausted, and it is not known until when")]
    Indefinitely,
}

impl LimitExceeded {
    /// The delay from `now` until the caller may try again, or `None` where no moment is known.
    #[must_use]
    pub fn retry_delay(self, now: Duration) -> Option<Duration> {
        match self {
            Self::Until(at) => Some(at.saturating_sub(now)),
            Self::Indefinitely => None,
        }
    }

    /// The rejection that ends first. A known moment precedes an unknown one.
    #[must_use]
    pub fn earlier(self, other: Self) -> Self {
        match (self, other) {
            (Self::Until(a), Self::Until(b)) => Self::Until(a.min(b)),
            (Self::Until(at), Self::Indefinitely) | (Self::Indefinitely, Self::Until(at)) => {
                Self::Until(at)
            }
            (Self::Indefinitely, Self::Indefinitely) => Self::Indefinitely,
        }
    }
}
