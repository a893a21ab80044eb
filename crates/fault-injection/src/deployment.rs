//! A whole deployment on loopback: pay servers by zone, one discovery and the relays of each proxy,
//! and the proxies themselves.

mod layout;
mod port;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use layout::{Layout, ZoneLayout, request_classes};
pub use port::{ReservedPort, reserve_port};

use crate::fault::{Fault, FaultError, Schedule};
use crate::load::{self, LoadProfile, LoadReport, SharedResults};
use crate::process::{Proxy, StartError};
use crate::relay::{Faults, Relay};
use crate::stub_servers::{Discovery, ExecutionRecord, PayServer, Registry, Target};

/// The name of discovery in links.
pub const DISCOVERY: &str = "discovery";

/// A deployment that could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A fault of the schedule is invalid.
    #[error(transparent)]
    Fault(#[from] FaultError),
    /// A socket, a file or a directory could not be opened.
    #[error("the deployment could not be set up: {0}")]
    Io(#[from] std::io::Error),
    /// A proxy did not start.
    #[error("proxy{0} did not start: {1}")]
    Start(usize, StartError),
    /// A proxy did not answer `ready` with `+OK` in time; with its last log lines.
    #[error("proxy{0} did not become ready in time; last log lines: {1}")]
    NotReady(usize, String),
}

/// The files and the listening address of one proxy, which stay the same over restarts.
struct ProxyFiles {
    port: ReservedPort,
    configuration: PathBuf,
}

/// A running deployment. It owns all its parts. When it is dropped, the proxies are killed and
/// reaped first; then the relays, discoveries and pay servers stop.
pub struct Deployment {
    /// The proxies; `None` while one is down.
    pub proxies: Vec<Option<Proxy>>,
    /// The faults of the run, and its clock.
    pub faults: Arc<Faults>,
    /// Every execution on every pay server.
    pub record: Arc<ExecutionRecord>,
    /// The relays: for each proxy one to each pay server (in the order of `servers`), then one to
    /// discovery.
    pub relays: Vec<Relay>,
    /// The pay servers.
    pub servers: Vec<PayServer>,
    /// The endpoint list shared by the discoveries.
    pub registry: Arc<Registry>,
    layout: Layout,
    proxy_files: Vec<ProxyFiles>,
    directory: tempfile::TempDir,
    discoveries: Vec<Discovery>,
}

/// The name of a proxy in links and file names.
fn proxy_name(proxy: usize) -> String {
    format!("proxy{proxy}")
}

/// Starts the pay servers of all zones and lists them in a registry.
fn start_pay_servers(
    layout: &Layout,
    record: &Arc<ExecutionRecord>,
) -> std::io::Result<(Vec<PayServer>, Arc<Registry>)> {
    let mut servers = Vec::new();
    let mut targets = Vec::new();
    for zone in &layout.zones {
        for uid in zone.server_names() {
            servers.push(PayServer::start(
                &uid,
                layout.service_time,
                Arc::clone(record),
            )?);
            targets.push(Target {
                uid,
                az: zone.name.clone(),
                state: "up".into(),
            });
        }
    }
    Ok((servers, Registry::new(targets)))
}

impl Deployment {
    /// Sets up a deployment under `schedule` and starts every proxy, each with a configuration made
    /// from [`crate::CONFIG`] and the zones of the layout.
    ///
    /// # Errors
    /// The layout has no zone or no proxy, a server, a relay or a file cannot be set up, or a proxy
    /// does not start.
    pub fn new(layout: Layout, schedule: Schedule) -> Result<Deployment, DeploymentError> {
        if layout.zones.is_empty() || layout.proxies == 0 {
            return Err(DeploymentError::Io(std::io::Error::other(
                "a deployment needs at least one zone and one proxy",
            )));
        }
        let record = Arc::new(ExecutionRecord::default());
        let (servers, registry) = start_pay_servers(&layout, &record)?;
        let proxy_count = layout.proxies;
        let mut deployment = Deployment {
            proxies: (0..proxy_count).map(|_| None).collect(),
            faults: Faults::new(schedule),
            record,
            relays: Vec::new(),
            servers,
            registry,
            layout,
            proxy_files: Vec::new(),
            directory: tempfile::tempdir()?,
            discoveries: Vec::new(),
        };
        for proxy in 0..proxy_count {
            deployment.prepare(proxy)?;
        }
        for proxy in 0..proxy_count {
            deployment.start(proxy)?;
        }
        Ok(deployment)
    }

    /// Starts the relays and the discovery of a proxy, reserves its port and writes its files.
    fn prepare(&mut self, proxy: usize) -> std::io::Result<()> {
        let name = proxy_name(proxy);
        let mut endpoints = HashMap::new();
        for server in &self.servers {
            let faults = Arc::clone(&self.faults);
            let relay = Relay::start(&name, &server.uid, server.address, faults)?;
            endpoints.insert(server.uid.clone(), relay.address);
            self.relays.push(relay);
        }
        let discovery = Discovery::start(Arc::clone(&self.registry), endpoints)?;
        let faults = Arc::clone(&self.faults);
        let relay = Relay::start(&name, DISCOVERY, discovery.address, faults)?;
        let port = reserve_port()?;
        let configuration = self.directory.path().join(format!("{name}.json"));
        let text = self
            .layout
            .configuration(proxy, relay.address, port.address);
        std::fs::write(&configuration, text)?;
        std::fs::create_dir_all(self.state_directory(proxy))?;
        self.relays.push(relay);
        self.discoveries.push(discovery);
        self.proxy_files.push(ProxyFiles {
            port,
            configuration,
        });
        Ok(())
    }

    /// Starts a proxy, or starts it again with the same address and state directory, and waits
    /// until it is ready. Returns how long that took after its start.
    ///
    /// # Errors
    /// The proxy cannot be started or is not ready in time.
    pub fn start(&mut self, proxy: usize) -> Result<Duration, DeploymentError> {
        let timeout = self.layout.start_timeout;
        let process = Proxy::start(
            &proxy_name(proxy),
            &self.layout.program,
            &self.proxy_files[proxy].configuration,
            &self.state_directory(proxy),
            timeout,
        )
        .map_err(|error| DeploymentError::Start(proxy, error))?;
        let ready_after = process
            .ready(timeout)
            .ok_or_else(|| DeploymentError::NotReady(proxy, process.tail(5)))?;
        self.proxies[proxy] = Some(process);
        Ok(ready_after)
    }

    /// The state directory (`TMPDIR`) of a proxy. A test that empties it makes the proxy restart
    /// without state.
    #[must_use]
    pub fn state_directory(&self, proxy: usize) -> PathBuf {
        let name = format!("{}.state", proxy_name(proxy));
        self.directory.path().join(name)
    }

    /// The address to which the clients of a proxy connect.
    #[must_use]
    pub fn client_address(&self, proxy: usize) -> SocketAddr {
        self.proxy_files[proxy].port.address
    }

    /// A proxy that is running.
    ///
    /// # Panics
    /// The proxy is down.
    #[must_use]
    pub fn proxy(&self, proxy: usize) -> &Proxy {
        self.proxies[proxy].as_ref().expect("proxy is running")
    }

    /// The faults that are active on some link at `elapsed`.
    #[must_use]
    pub fn active_faults(&self, elapsed: Duration) -> Vec<Fault> {
        self.faults.active_at(elapsed)
    }

    /// The directory of the configurations and state directories.
    #[must_use]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Applies a load to every proxy at once, while `meanwhile` runs on this thread; one report per
    /// proxy.
    pub fn run_load(
        &mut self,
        profile: &LoadProfile,
        meanwhile: impl FnOnce(&mut Deployment),
    ) -> Vec<LoadReport> {
        let results: Vec<SharedResults> = (0..self.proxy_files.len())
            .map(|_| SharedResults::default())
            .collect();
        self.run_load_into(profile, &results, |deployment, _| meanwhile(deployment))
    }

    /// As [`Deployment::run_load`], with the requests of each proxy added to its element of
    /// `results` as they complete, so that `meanwhile` can follow them.
    pub fn run_load_into(
        &mut self,
        profile: &LoadProfile,
        results: &[SharedResults],
        meanwhile: impl FnOnce(&mut Deployment, &[SharedResults]),
    ) -> Vec<LoadReport> {
        let start = Instant::now();
        self.faults.begin(start);
        self.record.begin(start);
        let load_of = |(proxy, results): (usize, &SharedResults)| {
            let address = self.client_address(proxy);
            let (profile, results) = (profile.clone(), Arc::clone(results));
            std::thread::spawn(move || {
                load::run_into(address, &format!("{proxy:x}"), &profile, start, &results)
            })
        };
        let threads: Vec<_> = results.iter().enumerate().map(load_of).collect();
        meanwhile(self, results);
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok()?.ok())
            .collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.proxies.clear();
    }
}
