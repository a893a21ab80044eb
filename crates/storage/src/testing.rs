//! Simulated disks for tests, and checks of the contract of [`Disk`](crate::Disk) for any
//! implementation. Public, for the tests of other crates that store data.

mod contract;
mod errors;
mod faulty;
mod inode;
mod memory;
mod stall;
mod unsafe_disk;

pub use contract::check_disk_contract;
pub use faulty::FaultyDisk;
pub use memory::MemoryDisk;
pub use unsafe_disk::{Safeguard, UnsafeDisk};
