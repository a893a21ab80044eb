//! A whole stage: pay servers by zone, one discovery and relays for each proxy, the proxies
//! themselves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use rustix::net::sockopt::set_socket_reuseport;
use rustix::net::{AddressFamily, SocketType};

use crate::fault::{FaultError, Schedule};
use crate::load::{self, LoadProfile, LoadReport};
use crate::process::{Proxy, StartError};
use crate::relay::{Faults, Relay};
use crate::stub_servers::{Discovery, ExecutionRecord, PayServer, Registry, Target};

/// What keeps a stage from being set up.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A fault of the schedule.
    #[error(transparent)]
    Fault(#[from] FaultError),
    /// A socket, a file or a folder.
    #[error("the stage could not be set up: {0}")]
    Io(#[from] std::io::Error),
    /// A proxy that did not start.
    #[error("proxy{0}: {1}")]
    Start(usize, StartError),
    /// A proxy that never said yes on `ready`.
    #[error("proxy{0} never said it was ready (its last lines: {1})")]
    NotReady(usize, String),
}

/// How a stage is laid out.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The `ironmast` program.
    pub program: PathBuf,
    /// Zones and their pay servers' count; proxies are in the first zone. Pay servers' uids, also
    /// their names in links, are `ZONE-N`.
    pub zones: Vec<(String, usize)>,
    /// Proxies, 1 or more; named `proxy0` and on in links.
    pub proxies: usize,
    /// How long a pay server works on a request.
    pub work: Duration,
    /// How long a proxy may take to start and to say yes.
    pub patience: Duration,
}

impl Layout {
    /// Every link of the stage, as its two ends' names.
    #[must_use]
    pub fn links(&self) -> Vec<(String, String)> {
        let servers = self
            .zones
            .iter()
            .flat_map(|(zone, n)| (0..*n).map(move |n| format!("{zone}-{n}")));
        let ends: Vec<String> = servers.chain(["discovery".to_string()]).collect();
        (0..self.proxies)
            .flat_map(|p| {
                ends.iter()
                    .map(move |end| (format!("proxy{p}"), end.clone()))
            })
            .collect()
    }
}

/// The classes that a stage's proxies know: the first part of a load's path.
///
/// # Panics
/// Where [`crate::CONFIG`] is no JSON or names no classes, which the crate's own test rules out.
#[must_use]
pub fn classes() -> Vec<String> {
    let config: serde_json::Value =
        serde_json::from_str(crate::CONFIG).expect("the template is JSON");
    let classes = config["settings"]["classes"]
        .as_array()
        .expect("classes are listed");
    classes
        .iter()
        .map(|c| c["name"].as_str().expect("a class has a name").to_string())
        .collect()
}

/// A stage. Everything in it is owned here and given back when it is dropped: proxies first (killed
/// and reaped), then relays, discoveries and pay servers.
pub struct Deployment {
    /// The proxies, none while one is down.
    pub proxies: Vec<Option<Proxy>>,
    /// The faults of the run, and its clock.
    pub faults: Arc<Faults>,
    /// Every run on every pay server.
    pub record: Arc<ExecutionRecord>,
    /// The relays, by link: for each proxy, one to each pay server (in the order of `servers`),
    /// then discovery.
    pub relays: Vec<Relay>,
    /// The pay servers.
    pub servers: Vec<PayServer>,
    /// The list shared by the discoveries.
    pub registry: Arc<Registry>,
    layout: Layout,
    places: Vec<(SocketAddr, OwnedFd, PathBuf)>,
    folder: tempfile::TempDir,
    _discoveries: Vec<Discovery>,
}

/// A port of the system's choice on 127.0.0.1, held without listening (`SO_REUSEPORT`) so that only
/// the proxies that listen there may have it; the port is given back when the descriptor is
/// dropped.
///
/// # Errors
/// No loopback port is free.
pub fn reserve_port() -> std::io::Result<(SocketAddr, OwnedFd)> {
    let port = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
    set_socket_reuseport(&port, true)?;
    rustix::net::bind(&port, &SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let at = SocketAddr::try_from(rustix::net::getsockname(&port)?)
        .map_err(|_| std::io::Error::other("not an internet address"))?;
    Ok((at, port))
}

/// The configuration of one proxy of `count`, from the stage's template.
fn configuration(layout: &Layout, me: usize, discovery: SocketAddr, listen: SocketAddr) -> String {
    let zones: Vec<String> = layout
        .zones
        .iter()
        .map(|(z, _)| format!("\"{z}\""))
        .collect();
    let (own, count) = (&layout.zones[0].0, layout.proxies);
    crate::CONFIG
        .replace("\"zone\":\"seattle\"", &format!("\"zone\":\"{own}\""))
        .replace(
            "\"zones\":[\"seattle\",\"portland\"]",
            &format!("\"zones\":[{}]", zones.join(",")),
        )
        .replace("{discovery}", &discovery.to_string())
        .replace("127.0.0.1:0", &listen.to_string())
        .replace("\"name\":\"n1\"", &format!("\"name\":\"n{me}\""))
        .replace(
            "\"balancers\":1,\"me\":0",
            &format!("\"balancers\":{count},\"me\":{me}"),
        )
}

impl Deployment {
    /// Sets up a stage under `schedule` and starts every proxy, each with a configuration from
    /// [`crate::CONFIG`] in which the zones are the layout's.
    ///
    /// # Errors
    /// A stand-in, a relay or a file cannot be set up.
    pub fn new(layout: Layout, schedule: Schedule) -> Result<Deployment, DeploymentError> {
        if layout.zones.is_empty() || layout.proxies == 0 {
            return Err(DeploymentError::Io(std::io::Error::other(
                "a stage needs a zone and a proxy",
            )));
        }
        let faults = Faults::new(schedule);
        let record = Arc::new(ExecutionRecord::default());
        let mut servers = Vec::new();
        for (zone, count) in &layout.zones {
            for n in 0..*count {
                servers.push((
                    zone.clone(),
                    PayServer::start(&format!("{zone}-{n}"), layout.work, Arc::clone(&record))?,
                ));
            }
        }
        let targets = servers.iter().map(|(az, s)| Target {
            uid: s.uid.clone(),
            az: az.clone(),
            state: "up".into(),
        });
        let registry = Registry::new(targets.collect());
        let servers: Vec<PayServer> = servers.into_iter().map(|(_, s)| s).collect();
        let folder = tempfile::tempdir()?;
        let (mut relays, mut discoveries, mut places) = (Vec::new(), Vec::new(), Vec::new());
        for p in 0..layout.proxies {
            let me = format!("proxy{p}");
            let mut endpoints = HashMap::new();
            for server in &servers {
                let relay = Relay::start(&me, &server.uid, server.address, Arc::clone(&faults))?;
                endpoints.insert(server.uid.clone(), relay.address);
                relays.push(relay);
            }
            let discovery = Discovery::start(Arc::clone(&registry), endpoints)?;
            let relay = Relay::start(&me, "discovery", discovery.address, Arc::clone(&faults))?;
            let (listen, port) = reserve_port()?;
            let config = folder.path().join(format!("{me}.json"));
            std::fs::write(&config, configuration(&layout, p, relay.address, listen))?;
            std::fs::create_dir_all(folder.path().join(format!("{me}.state")))?;
            places.push((listen, port, config));
            relays.push(relay);
            discoveries.push(discovery);
        }
        let proxies = (0..layout.proxies).map(|_| None).collect();
        let mut stage = Deployment {
            proxies,
            faults,
            record,
            relays,
            servers,
            registry,
            layout,
            places,
            folder,
            _discoveries: discoveries,
        };
        for p in 0..stage.layout.proxies {
            stage.start(p)?;
        }
        Ok(stage)
    }

    /// Starts proxy `p` (again, on the same clients' address and state directory) and waits for its
    /// yes; how long the yes took.
    ///
    /// # Errors
    /// The proxy cannot be started or is not ready in time.
    pub fn start(&mut self, p: usize) -> Result<Duration, DeploymentError> {
        let (name, state) = (format!("proxy{p}"), self.state(p));
        let (program, patience) = (&self.layout.program, self.layout.patience);
        let proxy = Proxy::start(&name, program, &self.places[p].2, &state, patience)
            .map_err(|e| DeploymentError::Start(p, e))?;
        let ready = proxy
            .ready(patience)
            .ok_or_else(|| DeploymentError::NotReady(p, proxy.tail(5)))?;
        self.proxies[p] = Some(proxy);
        Ok(ready)
    }

    /// Proxy `p`'s state directory (its `TMPDIR`): wipe or spoil it to restart from nothing.
    #[must_use]
    pub fn state(&self, p: usize) -> PathBuf {
        self.folder.path().join(format!("proxy{p}.state"))
    }

    /// Where proxy `p`'s clients connect.
    #[must_use]
    pub fn listen(&self, p: usize) -> SocketAddr {
        self.places[p].0
    }

    /// Proxy `p`; panics where it is down.
    #[must_use]
    pub fn proxy(&self, p: usize) -> &Proxy {
        self.proxies[p].as_ref().expect("proxy is running")
    }

    /// The faults that hold on some link at `elapsed`.
    #[must_use]
    pub fn active_faults(&self, elapsed: Duration) -> Vec<crate::fault::Fault> {
        self.faults.active_at(elapsed)
    }

    /// The stage's own folder: configurations and state directories.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Plays `shape` on every proxy at once, while `meanwhile` runs on this thread; one report per
    /// proxy.
    pub fn run_load(
        &mut self,
        shape: &LoadProfile,
        meanwhile: impl FnOnce(&mut Deployment),
    ) -> Vec<LoadReport> {
        let tallies: Vec<load::SharedResults> = (0..self.places.len())
            .map(|_| load::SharedResults::default())
            .collect();
        self.run_load_into(shape, &tallies, |stage, _| meanwhile(stage))
    }

    /// The same, with each proxy's requests added to its tally as they end, for who watches live;
    /// `meanwhile` is given the tallies too.
    pub fn run_load_into(
        &mut self,
        shape: &LoadProfile,
        tallies: &[load::SharedResults],
        meanwhile: impl FnOnce(&mut Deployment, &[load::SharedResults]),
    ) -> Vec<LoadReport> {
        let start = std::time::Instant::now();
        self.faults.begin(start);
        self.record.begin(start);
        let loads: Vec<_> = (0..self.places.len())
            .map(|p| {
                let (at, shape, tally) = (self.listen(p), shape.clone(), Arc::clone(&tallies[p]));
                std::thread::spawn(move || {
                    load::run_into(at, &format!("{p:x}"), &shape, start, &tally)
                })
            })
            .collect();
        let meanwhile = |stage: &mut Deployment| meanwhile(stage, tallies);
        meanwhile(self);
        loads
            .into_iter()
            .filter_map(|l| l.join().ok()?.ok())
            .collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.proxies.clear();
    }
}
