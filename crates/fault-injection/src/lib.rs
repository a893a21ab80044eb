//! Fault injection for tests: runs several ironmast processes on loopback with stub pay servers and
//! discovery, injects faults on the links between them through relays, applies load and checks what
//! was executed.
//!
//! The design and its rejected alternative are in `docs/design/stage.md`. Each part owns its
//! threads, sockets and processes and releases them when it is dropped:
//!
//! - [`fault`]: the schedule of faults on links, without I/O;
//! - [`relay`]: TCP relays that carry one link each under the schedule;
//! - [`datagrams`]: a UDP relay between two proxies under the same schedule;
//! - [`full_backlog`]: listeners whose accept queue is full, so that connection attempts hang;
//! - [`stub_servers`]: pay servers with an execution record, and discovery;
//! - [`failing_server`]: servers that fail an exchange at a chosen step, and a client that reports
//!   how a response ended;
//! - [`process`]: proxies as processes, signalled by process id, measured from `/proc`;
//! - [`load`]: open-loop clients, bounded, loopback only;
//! - [`verdict`]: compares what clients received with what pay servers executed;
//! - [`expectations`]: the assertions of a scenario;
//! - [`deployment`]: all of these set up and started together;
//! - [`scenario`]: a deployment, its load, faults and assertions, read from a file and run.

#![forbid(unsafe_code)]
#![expect(
    clippy::missing_panics_doc,
    reason = "test support: a poisoned lock or a failed set-up ends the test"
)]

pub mod datagrams;
pub mod deployment;
pub mod expectations;
pub mod failing_server;
pub mod fault;
pub mod free_ports;
pub mod full_backlog;
pub mod load;
pub mod process;
pub mod relay;
pub mod scenario;
pub mod stub_servers;
pub mod verdict;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The template of the proxies' configuration: the settings of the site's deployment in the proxy's
/// JSON form. The placeholders `{discovery}`, `127.0.0.1:0` (the address for clients), `"name":"n1"`
/// and `"balancers":1,"me":0` are replaced for each proxy.
pub const CONFIG: &str = include_str!("proxy.json");

/// Rejects an address that is not a loopback address: this crate sends nothing to other hosts.
///
/// # Errors
/// The address is not a loopback address.
pub fn require_loopback(address: SocketAddr) -> std::io::Result<()> {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(std::io::Error::new(
            std::io::ErrorKind::InvalidInput,
            format!("{address} is not a loopback address"),
        ))
    }
}

/// Sends one command line to a proxy's operations address and returns the response line (`+OK ...`
/// or `-ERR ...`), with a timeout of 1 s for the connection and for each read.
///
/// # Errors
/// The address is not a loopback address, the connection fails or no response arrives in time.
pub fn send_command(ops: SocketAddr, line: &str) -> std::io::Result<String> {
    require_loopback(ops)?;
    let mut stream = TcpStream::connect_timeout(&ops, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response.trim_end().to_string())
}
