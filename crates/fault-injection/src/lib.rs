//! The fault stage: several ironmast processes on loopback, stand-in pay servers and discovery, and
//! relays that put faults on the links between them.
//!
//! Design and the option turned down: `docs/design/stage.md`. The parts, each with one owner that
//! gives its resources back when dropped:
//!
//! - [`fault`]: the schedule of faults on links, without I/O;
//! - [`relay`]: TCP relays that carry one link each under the schedule;
//! - [`datagrams`]: a UDP relay between two proxies under the same schedule;
//! - [`backlog`]: listeners to which connections come up late;
//! - [`standin`]: pay servers with an execution record, and discovery;
//! - [`failing`]: servers that fail an exchange at a chosen step, and a client that says how an
//!   answer ended;
//! - [`process`]: proxies as processes, signalled by pid, measured from /proc;
//! - [`load`]: open-loop clients, bounded, loopback only;
//! - [`verdict`]: what clients saw against what pay servers ran; [`expect`]: what must hold of a
//!   run;
//! - [`stage`]: all of it laid out and started together; [`scenario`]: read from a file and played.

#![forbid(unsafe_code)]
#![expect(
    clippy::missing_panics_doc,
    reason = "test support: a poisoned lock or a failed set-up ends the test"
)]

pub mod backlog;
pub mod datagrams;
pub mod expect;
pub mod failing;
pub mod fault;
pub mod load;
pub mod process;
pub mod relay;
pub mod scenario;
pub mod stage;
pub mod standin;
pub mod verdict;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The proxies' configuration on a stage: the settings of the site's deployment in the proxy's JSON
/// form, with `{discovery}`, `127.0.0.1:0` (the clients' address), `"name":"n1"` and
/// `"balancers":1,"me":0` to be filled in.
pub const CONFIG: &str = include_str!("proxy.json");

/// Refuses any address off loopback: the stage sends nothing elsewhere.
///
/// # Errors
/// The address is not a loopback address.
pub fn loopback(address: SocketAddr) -> std::io::Result<()> {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(std::io::Error::new(
            std::io::ErrorKind::InvalidInput,
            format!("{address} is not a loopback address"),
        ))
    }
}

/// One line to a proxy's operators' address and its answer's line (`+OK ...` or `-ERR ...`), within
/// 1 s.
///
/// # Errors
/// The connection fails or gives no answer in time.
pub fn call(ops: SocketAddr, line: &str) -> std::io::Result<String> {
    loopback(ops)?;
    let mut stream = TcpStream::connect_timeout(&ops, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.trim_end().to_string())
}
