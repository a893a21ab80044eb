//! Local and remote zones, and values kept for each of the two.

use std::ops::{Index, IndexMut};

/// Whether a zone is the balancer's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// The balancer's own zone.
    Local,
    /// Any other zone.
    Remote,
}

impl Locality {
    /// Both localities, the local one first.
    pub(crate) const ALL: [Locality; 2] = [Locality::Local, Locality::Remote];
}

/// One value for the local zone, and one for all others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ByLocality<T> {
    pub local: T,
    pub remote: T,
}

impl<T> ByLocality<T> {
    /// The results of `value` for each locality.
    pub(crate) fn from_fn(mut value: impl FnMut(Locality) -> T) -> Self {
        ByLocality {
            local: value(Locality::Local),
            remote: value(Locality::Remote),
        }
    }
}

impl<T: Clone> ByLocality<T> {
    /// The same value for both localities.
    pub(crate) fn both(value: T) -> Self {
        ByLocality {
            local: value.clone(),
            remote: value,
        }
    }
}

impl<T> Index<Locality> for ByLocality<T> {
    type Output = T;

    fn index(&self, locality: Locality) -> &T {
        match locality {
            Locality::Local => &self.local,
            Locality::Remote => &self.remote,
        }
    }
}

impl<T> IndexMut<Locality> for ByLocality<T> {
    fn index_mut(&mut self, locality: Locality) -> &mut T {
        match locality {
            Locality::Local => &mut self.local,
            Locality::Remote => &mut self.remote,
        }
    }
}
