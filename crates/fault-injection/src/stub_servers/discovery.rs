//! Stub discovery for one proxy: the endpoint list and its watch, with the addresses that this
//! proxy uses (its relays).
//!
//! The list is shared by the discoveries of all proxies. A change increments `rev`, and every watch
//! sends the whole list again.

use std::collections::HashMap;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::read_request;
use super::listener::Listener;

/// How often a watch looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a watch is silent before it sends an empty line.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// One pay server as discovery lists it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Uid of the pay server, the same for every proxy.
    pub uid: String,
    /// Zone of the pay server.
    pub az: String,
    /// State of the pay server: `up` or `draining`.
    pub state: String,
}

/// The list shared by the discoveries of a deployment.
#[derive(Debug)]
pub struct Registry {
    list: Mutex<TargetList>,
}

#[derive(Debug)]
struct TargetList {
    revision: u64,
    targets: Vec<Target>,
}

impl Registry {
    /// A list at revision 1.
    #[must_use]
    pub fn new(targets: Vec<Target>) -> Arc<Registry> {
        Arc::new(Registry {
            list: Mutex::new(TargetList {
                revision: 1,
                targets,
            }),
        })
    }

    /// Sets the state of one pay server (`up` or `draining`) and increments the revision.
    pub fn set_state(&self, uid: &str, state: &str) {
        let mut list = self.list.lock().expect("not poisoned");
        list.revision += 1;
        for target in list.targets.iter_mut().filter(|target| target.uid == uid) {
            target.state = state.into();
        }
    }

    /// The current list as one line of JSON, with the targets that have an endpoint.
    fn snapshot(&self, endpoints: &HashMap<String, SocketAddr>) -> Snapshot {
        let list = self.list.lock().expect("not poisoned");
        let listed = list.targets.iter().filter_map(|target| {
            let Target { uid, az, state } = target;
            let endpoint = endpoints.get(uid)?;
            Some(format!(
                r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"{az}","state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            ))
        });
        let targets = listed.collect::<Vec<_>>().join(",");
        let revision = list.revision;
        Snapshot {
            revision,
            line: format!("{{\"rev\":{revision},\"all\":true,\"targets\":[{targets}]}}\n"),
        }
    }
}

/// The list at one revision.
struct Snapshot {
    revision: u64,
    line: String,
}

/// Stub discovery for one proxy. When it is dropped it accepts no more connections and its watches
/// end.
pub struct Discovery {
    /// Address to which the proxy connects.
    pub address: SocketAddr,
    _listener: Listener,
}

impl Discovery {
    /// Serves `registry` with these endpoints, by the uids of the pay servers.
    ///
    /// # Errors
    /// The listening socket cannot be opened.
    pub fn start(
        registry: Arc<Registry>,
        endpoints: HashMap<String, SocketAddr>,
    ) -> std::io::Result<Discovery> {
        let listener = Listener::start(move |connection, stop| {
            // An error here is the end of the connection.
            let _ = serve(&connection, &registry, &endpoints, stop);
        })?;
        Ok(Discovery {
            address: listener.address,
            _listener: listener,
        })
    }
}

/// Serves one connection until its end, or until its watch ends.
fn serve(
    connection: &TcpStream,
    registry: &Registry,
    endpoints: &HashMap<String, SocketAddr>,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(connection);
    let mut writer = connection;
    while let Some(head) = read_request(&mut reader) {
        if head.contains("stream=1") {
            return watch(writer, registry, endpoints, stop);
        }
        let line = registry.snapshot(endpoints).line;
        let length = line.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{line}");
        writer.write_all(response.as_bytes())?;
    }
    Ok(())
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends the whole list now and on each change, and an empty line while nothing changes.
fn watch(
    mut writer: &TcpStream,
    registry: &Registry,
    endpoints: &HashMap<String, SocketAddr>,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let first = registry.snapshot(endpoints);
    let mut revision = first.revision;
    let response = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        chunk(&first.line)
    );
    writer.write_all(response.as_bytes())?;
    let mut last_sent = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
        let current = registry.snapshot(endpoints);
        let text = if current.revision != revision {
            revision = current.revision;
            chunk(&current.line)
        } else if last_sent.elapsed() >= KEEPALIVE_INTERVAL {
            chunk("\n")
        } else {
            continue;
        };
        last_sent = Instant::now();
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}
