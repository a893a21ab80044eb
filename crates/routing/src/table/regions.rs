//! Regions of one table as small integers, and sets of regions as 64-bit masks.

/// Index of a region in one table. Another table may number the regions differently.
pub(crate) type RegionId = u8;

/// A set of regions of one table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RegionSet(u64);

impl RegionSet {
    /// Every region.
    pub(crate) const ALL: RegionSet = RegionSet(u64::MAX);
    /// No region.
    pub(crate) const NONE: RegionSet = RegionSet(0);
    /// Maximum number of regions that a set holds.
    pub(crate) const CAPACITY: usize = 64;

    /// The set as a bit mask: bit `n` stands for region `n`.
    pub(crate) fn bits(self) -> u64 {
        self.0
    }

    /// True if the region is in the set.
    pub(crate) fn contains(self, region: RegionId) -> bool {
        self.0 >> region & 1 == 1
    }

    /// The regions that are in both sets.
    pub(crate) fn intersection(self, other: RegionSet) -> RegionSet {
        RegionSet(self.0 & other.0)
    }

    /// The set with one more region.
    pub(crate) fn with(self, region: RegionId) -> RegionSet {
        RegionSet(self.0 | 1 << region)
    }
}
