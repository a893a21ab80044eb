//! The value of the simulated register: a versioned content with its whole history, a set of marks,
//! and a flag.

use std::collections::BTreeSet;

use ironmast_register::{Decision, RegisterValue, Transition};

/// A register's value that records every change ever applied to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Value {
    /// All contents in order; the version is their count.
    pub contents: Vec<u64>,
    /// Marks in the order in which they were set.
    pub marks: Vec<u64>,
    /// Numbers of the changes that set and reset the flag, in order; the flag is set if their count
    /// is odd.
    pub flag_changes: Vec<u64>,
}

/// Rejection of a change whose base isn't the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnotherVersion;

impl RegisterValue for Value {
    type Rejection = AnotherVersion;
}

impl Value {
    pub(crate) fn version(&self) -> u64 {
        self.contents.len() as u64
    }

    /// Returns the content that replaced the version `base`.
    fn content_on(&self, base: u64) -> Option<u64> {
        self.contents.get(usize::try_from(base).ok()?).copied()
    }

    /// Whether the later value contains all of this one, in the same order.
    pub(crate) fn is_prefix_of(&self, later: &Self) -> bool {
        later.contents.starts_with(&self.contents)
            && later.marks.starts_with(&self.marks)
            && later.flag_changes.starts_with(&self.flag_changes)
    }

    pub(crate) fn is_flag_set(&self) -> bool {
        !self.flag_changes.len().is_multiple_of(2)
    }

    pub(crate) fn all(&self) -> BTreeSet<u64> {
        self.contents
            .iter()
            .chain(&self.marks)
            .chain(&self.flag_changes)
            .copied()
            .collect()
    }
}

/// A change of the simulated value, identified by a unique number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Replaces the content of the version `base`, if that is the newest. Any later retry of the
    /// change ends as unchanged.
    Put { base: u64, content: u64 },
    /// Sets a mark.
    Mark { mark: u64 },
    /// Sets or resets the flag. The change ends as unchanged if the flag already has the state
    /// `enabled`, whichever change gave it that state.
    SetFlag { number: u64, enabled: bool },
}

impl Change {
    pub(crate) fn number(self) -> u64 {
        match self {
            Self::Put { content, .. } => content,
            Self::Mark { mark } => mark,
            Self::SetFlag { number, .. } => number,
        }
    }

    /// Whether the value records permanently that the change was applied.
    pub(crate) fn is_recorded(self) -> bool {
        !matches!(self, Self::SetFlag { .. })
    }
}

impl Transition<Value> for Change {
    fn apply(&self, value: &Value) -> Decision<Value> {
        let mut next = value.clone();
        match *self {
            Self::Put { base, content } if value.version() == base => next.contents.push(content),
            Self::Put { base, content } if value.content_on(base) == Some(content) => {
                return Decision::Unchanged;
            }
            Self::Put { .. } => return Decision::Reject(AnotherVersion),
            Self::Mark { mark } if value.marks.contains(&mark) => return Decision::Unchanged,
            Self::Mark { mark } => next.marks.push(mark),
            Self::SetFlag { enabled, .. } if value.is_flag_set() == enabled => {
                return Decision::Unchanged;
            }
            Self::SetFlag { number, .. } => next.flag_changes.push(number),
        }
        Decision::Write(next)
    }
}
