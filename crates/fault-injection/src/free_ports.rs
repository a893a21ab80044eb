//! Consecutive free ports, for processes that are given a range of them.
//!
//! A port that is free now may be taken before it is used: where one port suffices,
//! [`reserve_port`](crate::deployment::reserve_port) keeps it.

use std::net::{IpAddr, TcpListener};
use std::ops::Range;

/// Below the kernel's ephemeral ports (`ip_local_port_range`, from 32,768 on), which it assigns to
/// any connection at 127.0.0.1 and keeps for a minute after the connection.
const PORTS: Range<u16> = 10_000..32_000;

/// Returns the first of `count` consecutive ports that are free at all of these
/// addresses; `None` if there are none. `start` determines where the search begins, so that tests
/// that run at the same time find different ones.
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

/// [`find_consecutive_free_ports`] with a `start` derived from the process id, so that tests in
/// different processes search from different ports.
#[must_use]
pub fn find_consecutive_free_ports_for_process(addresses: &[IpAddr], count: u16) -> Option<u16> {
    /// Distance between the starts of processes with consecutive ids, in ranges of `count` ports.
    const SEARCHES_PER_PROCESS: usize = 37;
    let process = std::process::id() as usize;
    find_consecutive_free_ports(addresses, count, process * SEARCHES_PER_PROCESS)
}

fn is_free(address: IpAddr, port: u16) -> bool {
    TcpListener::bind((address, port)).is_ok()
}
