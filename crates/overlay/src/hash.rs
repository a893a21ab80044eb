//! Stable hash functions. Nodes compare hashes with each other, so that they must be equal on every
//! machine and in every build.

use std::net::{IpAddr, SocketAddr};

/// Offset basis of 64-bit FNV-1a.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Finalizer of splitmix64 (Steele, Lea and Flood 2014): every input bit changes about half of the
/// output bits.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// 64-bit FNV-1a over `bytes`, finalized with [`mix`].
pub(crate) fn bytes(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    mix(bytes.iter().fold(OFFSET, step))
}

/// Hash of an ordered pair of numbers.
pub(crate) fn pair(first: u64, second: u64) -> u64 {
    mix(mix(first.wrapping_add(PRIME)) ^ second.wrapping_mul(OFFSET))
}

/// Hash of an IP address and port.
pub(crate) fn address(address: SocketAddr) -> u64 {
    let port = u64::from(address.port());
    match address.ip() {
        IpAddr::V4(ip) => pair(u64::from(ip.to_bits()), port),
        IpAddr::V6(ip) => pair(bytes(&ip.octets()), port),
    }
}
