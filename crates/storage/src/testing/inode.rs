//! The content of a simulated file, in the page cache and on the disk.

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Size of the units that are written atomically, in bytes; small, so that small records can tear.
const SECTOR_BYTES: usize = 16;

/// The content of a file, without its name.
#[derive(Clone, Debug, Default)]
pub(super) struct Inode {
    /// The content in the page cache, which reads return.
    pub(super) cached: Vec<u8>,
    /// The content on the disk, which is left after a power loss.
    durable: Vec<u8>,
    /// The writes since the last sync (dirty pages).
    writes: Vec<Write>,
}

#[derive(Clone, Debug)]
struct Write {
    offset: usize,
    bytes: Vec<u8>,
}

impl Inode {
    /// Appends to the file.
    pub(super) fn append(&mut self, bytes: &[u8]) {
        let offset = self.cached.len();
        self.cached.extend_from_slice(bytes);
        self.writes.push(Write {
            offset,
            bytes: bytes.to_vec(),
        });
    }

    /// Makes all dirty writes durable.
    pub(super) fn sync(&mut self) {
        for write in std::mem::take(&mut self.writes) {
            self.persist(write.offset, &write.bytes);
        }
    }

    /// Simulates a failed sync: each write reaches the disk or not, and all are marked as clean.
    pub(super) fn fail_sync(&mut self, random: &mut Xoshiro256PlusPlus) {
        for write in std::mem::take(&mut self.writes) {
            if random.random_bool(0.5) {
                self.persist(write.offset, &write.bytes);
            }
        }
    }

    /// Simulates a power loss: each unsynced write is present, missing or torn, or all are lost.
    pub(super) fn lose_power(&mut self, random: &mut Xoshiro256PlusPlus) {
        let writes = std::mem::take(&mut self.writes);
        if !random.random_bool(0.25) {
            for write in writes {
                self.persist_partially(&write, random);
            }
        }
        self.cached = self.durable.clone();
    }

    /// Puts all of a write, a prefix, some of its sectors or nothing on the disk.
    fn persist_partially(&mut self, write: &Write, random: &mut Xoshiro256PlusPlus) {
        match random.random_range(0..4) {
            0 => {}
            1 => self.persist(write.offset, &write.bytes),
            2 => self.persist(
                write.offset,
                &write.bytes[..random.random_range(0..=write.bytes.len())],
            ),
            _ => self.persist_sectors(write, random),
        }
    }

    fn persist_sectors(&mut self, write: &Write, random: &mut Xoshiro256PlusPlus) {
        for (number, sector) in write.bytes.chunks(SECTOR_BYTES).enumerate() {
            if random.random_bool(0.5) {
                self.persist(write.offset + number * SECTOR_BYTES, sector);
            }
        }
    }

    /// Puts bytes on the disk; a gap before them is filled with zeros.
    fn persist(&mut self, offset: usize, bytes: &[u8]) {
        let end = offset + bytes.len();
        if self.durable.len() < end {
            self.durable.resize(end, 0);
        }
        self.durable[offset..end].copy_from_slice(bytes);
    }
}
