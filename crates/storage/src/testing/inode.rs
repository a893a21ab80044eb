//! A file's bytes, as running programs see them and as a loss of power leaves them.

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Bytes that tear together; small, so that small records tear.
const SECTOR_BYTES: usize = 16;

/// A file without its name.
#[derive(Clone, Debug, Default)]
pub(super) struct Inode {
    /// What programs read.
    pub(super) cached: Vec<u8>,
    /// What the last sync covered.
    durable: Vec<u8>,
    /// Writes since then that a sync would cover.
    writes: Vec<Write>,
}

#[derive(Clone, Debug)]
struct Write {
    offset: usize,
    bytes: Vec<u8>,
}

impl Inode {
    /// Writes at the end.
    pub(super) fn append(&mut self, bytes: &[u8]) {
        let offset = self.cached.len();
        self.cached.extend_from_slice(bytes);
        self.writes.push(Write {
            offset,
            bytes: bytes.to_vec(),
        });
    }

    /// Makes all writes durable that are still marked as unsynced.
    pub(super) fn sync(&mut self) {
        for write in std::mem::take(&mut self.writes) {
            self.keep(write.offset, &write.bytes);
        }
    }

    /// A sync that fails: each write is on the disk or not, and all are marked as synced.
    pub(super) fn fail_sync(&mut self, random: &mut Xoshiro256PlusPlus) {
        for write in std::mem::take(&mut self.writes) {
            if random.random_bool(0.5) {
                self.keep(write.offset, &write.bytes);
            }
        }
    }

    /// Each unsynced write is present, missing or torn, or all are gone.
    pub(super) fn lose_power(&mut self, random: &mut Xoshiro256PlusPlus) {
        let writes = std::mem::take(&mut self.writes);
        if !random.random_bool(0.25) {
            for write in writes {
                self.keep_some(&write, random);
            }
        }
        self.cached = self.durable.clone();
    }

    fn keep_some(&mut self, write: &Write, random: &mut Xoshiro256PlusPlus) {
        match random.random_range(0..4) {
            0 => {}
            1 => self.keep(write.offset, &write.bytes),
            2 => self.keep(
                write.offset,
                &write.bytes[..random.random_range(0..=write.bytes.len())],
            ),
            _ => self.keep_sectors(write, random),
        }
    }

    fn keep_sectors(&mut self, write: &Write, random: &mut Xoshiro256PlusPlus) {
        for (number, sector) in write.bytes.chunks(SECTOR_BYTES).enumerate() {
            if random.random_bool(0.5) {
                self.keep(write.offset + number * SECTOR_BYTES, sector);
            }
        }
    }

    /// Puts bytes on the disk; a gap before them reads as zeros.
    fn keep(&mut self, offset: usize, bytes: &[u8]) {
        let end = offset + bytes.len();
        if self.durable.len() < end {
            self.durable.resize(end, 0);
        }
        self.durable[offset..end].copy_from_slice(bytes);
    }
}
