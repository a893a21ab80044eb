//! Consecutive free ports, for processes that are given a range of them.
//!
//! A port that is free now may be taken before it is used: where one port suffices,
//! [`reserve_port`](crate::deployment::reserve_port) keeps it.

use std::net::{IpAddr, TcpListener};
use std::ops::Range;

/// Below what the system itself chooses from (`ip_local_port_range`, from 32,768 on), as it gives
/// those to any connection at 127.0.0.1, and keeps them for a minute after it.
const PORTS: Range<u16> = 10_000..32_000;

/// The first of `count` consecutive ports that are free at all of these addresses. `start` determines
/// where the search begins, so that tests that run at the same time find different ones.
#[must_use]
pub fn find_consecutive_free_ports(addresses: &[IpAddr], count: u16, start: usize) -> Option<u16> {
    let firsts = PORTS.step_by(usize::from(count));
    let length = firsts.len();
    let mut firsts = firsts.cycle().skip(start % length).take(length);
    firsts.find(|&first| {
        let mut ports = first..first + count;
        ports.all(|port| addresses.iter().all(|&address| is_free(address, port)))
    })
}

/// The same for the tests of one process, each of which gets other ports.
#[must_use]
pub fn find_consecutive_free_ports_for_process(addresses: &[IpAddr], count: u16) -> Option<u16> {
    /// Keeps apart where the searches of processes begin.
    const SEARCHES_PER_PROCESS: usize = 37;
    let process = std::process::id() as usize;
    find_consecutive_free_ports(addresses, count, process * SEARCHES_PER_PROCESS)
}

fn is_free(address: IpAddr, port: u16) -> bool {
    TcpListener::bind((address, port)).is_ok()
}
