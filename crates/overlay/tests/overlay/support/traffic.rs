//! Traffic counters, and the sizes of messages on the wire.

use ironmast_overlay::Message;
use postcard::ser_flavors::Size;

/// Bytes of framing that are counted for each message: length and checksum.
const FRAME_OVERHEAD_BYTES: u64 = 8;

/// Traffic of one node in one direction since the start of the simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    /// Number of bytes to other regions.
    pub inter_region_bytes: u64,
    /// Number of bytes to other regions in messages of entries.
    pub inter_region_entry_bytes: u64,
}

pub(crate) fn wire_size(message: &Message) -> u64 {
    FRAME_OVERHEAD_BYTES
        + postcard::serialize_with_flavor(message, Size::default()).expect("serializable") as u64
}
