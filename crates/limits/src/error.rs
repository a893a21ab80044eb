//! The error with which a limiter rejects a request.

use std::time::Duration;

use thiserror::Error;

/// A limit is exhausted: the request must not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitExceeded {
    /// No request may be sent before this reading of the local monotonic clock.
    #[error("the request limit is exhausted until {0:?} on the monotonic clock")]
    Until(Duration),
    /// It is not known when a request may be sent, for example because this gate has no quota of
    /// its own.
    #[error("the request limit is exhausted for an unknown time")]
    Indefinitely,
}

impl LimitExceeded {
    /// The delay from `now` until the caller may try again, or `None` if it is not known.
    #[must_use]
    pub fn retry_delay(self, now: Duration) -> Option<Duration> {
        match self {
            Self::Until(at) => Some(at.saturating_sub(now)),
            Self::Indefinitely => None,
        }
    }

    /// The rejection that ends first. One with a known end precedes one without.
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
