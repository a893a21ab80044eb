//! The versioned entry, the unit that the overlay disseminates.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The key of an entry, chosen by the user of the overlay.
pub type Key = u64;

/// The version of an entry: a higher version is newer. Encoded as the number alone.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// One version of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the entry.
    pub key: Key,
    /// Version of the entry; it orders the entries of one key.
    pub version: Version,
    /// Age of a tombstone in seconds since the removal; 0 for any other entry. A receiver expires a
    /// tombstone by this age and not by the time of receipt.
    pub removed_s: u32,
    /// Opaque payload; `None` for a tombstone.
    #[serde(with = "optional_bytes")]
    pub payload: Option<Arc<[u8]>>,
}

impl Entry {
    /// Estimated number of bytes of the entry on the wire: the payload and 16 bytes for the rest.
    #[must_use]
    pub fn size(&self) -> usize {
        const HEADER_BYTES: usize = 16;
        HEADER_BYTES + self.payload.as_ref().map_or(0, |payload| payload.len())
    }
}

/// Serializes a payload as one byte string instead of a sequence of integers, and deserializes it
/// into shared memory.
mod optional_bytes {
    use std::sync::Arc;

    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    struct Borrowed<'a>(&'a [u8]);

    impl Serialize for Borrowed<'_> {
        fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
            serializer.serialize_bytes(self.0)
        }
    }

    struct Owned(Arc<[u8]>);

    struct OwnedVisitor;

    impl<'de> Visitor<'de> for OwnedVisitor {
        type Value = Owned;

        fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
            formatter.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Owned, E> {
            Ok(Owned(Arc::from(bytes)))
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Owned, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = items.next_element()? {
                bytes.push(byte);
            }
            Ok(Owned(Arc::from(bytes)))
        }
    }

    impl<'de> Deserialize<'de> for Owned {
        fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Owned, D::Error> {
            deserializer.deserialize_bytes(OwnedVisitor)
        }
    }

    #[expect(clippy::ref_option, reason = "serde passes a reference to the field")]
    pub(super) fn serialize<S: Serializer>(
        bytes: &Option<Arc<[u8]>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        bytes.as_deref().map(Borrowed).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Arc<[u8]>>, D::Error> {
        Ok(Option::<Owned>::deserialize(deserializer)?.map(|owned| owned.0))
    }
}
