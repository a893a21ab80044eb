//! The overlay on sockets: it owns the connections of one node (coordinator or agent) to others and
//! carries the entries of [`ironmast_schema::control`] over the relay tree.
//!
//! [`ironmast_overlay`] decides, this crate performs the I/O: the driver passes events of
//! connections, clock and owner to the overlay and carries out its actions. A peer that does not
//! read is disconnected, so that it neither blocks the others nor fills the memory.

#![forbid(unsafe_code)]

mod connection;
mod connection_table;
mod driver;
mod send_queue;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use ironmast_overlay::{Descriptor, Key as OverlayKey, Locality, Role, Version};
use ironmast_schema::control::{Entry, Key};
use ironmast_schema::settings::{InternalPort, Settings};
use ironmast_transport::tasks::Tasks;
use slog::{Logger, error};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// A command of the owner to the driver.
#[derive(Debug)]
pub(crate) enum Command {
    /// Publish a version of a key.
    Publish {
        /// The key.
        key: OverlayKey,
        /// The version.
        version: Version,
        /// The encoded entry.
        payload: Arc<[u8]>,
    },
    /// Publish a tombstone of a key.
    Remove {
        /// The key.
        key: OverlayKey,
        /// The version of the tombstone.
        version: Version,
    },
    /// Replace the addresses of the seed nodes.
    SetSeeds(Vec<SocketAddr>),
    /// Set whether this coordinator is in contact with a majority of the coordinators.
    SetInContact(bool),
    /// Notify the neighbours that this node leaves.
    Leave,
}

/// The listening address of a node cannot be bound.
#[derive(Debug, thiserror::Error)]
#[error("listening at {address}")]
pub struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// The handle of a node of the overlay, which runs until the last clone of the handle is dropped.
#[derive(Debug, Clone)]
pub struct OverlayHandle {
    commands: mpsc::UnboundedSender<Command>,
    log: Logger,
}

impl OverlayHandle {
    /// Listens at the node's address and joins the overlay. The receiver yields the entries that
    /// are newer than the node's own. The node ends with the last handle, or with the owner of its
    /// task.
    ///
    /// # Errors
    /// The listening address cannot be bound.
    pub async fn start(
        settings: &Settings,
        role: Role,
        log: &Logger,
        tasks: &Tasks,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Entry>), BindError> {
        let port = settings.internal_port(InternalPort::Agent);
        let address = SocketAddr::new(settings.ip_address, port);
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| BindError { address, source })?;
        let local_node = Descriptor {
            address,
            locality: Locality::from_names(&settings.region, &settings.zone),
            role,
            incarnation: incarnation(),
        };
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let (updates, entries) = mpsc::unbounded_channel();
        let driver = driver::run(listener, local_node, command_receiver, updates, log.clone());
        tasks.spawn_essential("overlay", driver);
        let handle = OverlayHandle {
            commands,
            log: log.clone(),
        };
        handle.set_seeds(settings);
        Ok((handle, entries))
    }

    /// Replaces the seed nodes by those of the settings.
    pub fn set_seeds(&self, settings: &Settings) {
        let port = settings.internal_port(InternalPort::Agent);
        let seeds = settings
            .seed_nodes
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .collect();
        self.send(Command::SetSeeds(seeds));
    }

    /// Publishes an entry.
    pub fn publish(&self, entry: &Entry) {
        match encode(entry) {
            Ok((key, payload)) => self.send(Command::Publish {
                key,
                version: Version(entry.version),
                payload,
            }),
            Err(error) => {
                error!(self.log, "cannot encode an entry, it is not published"; "error" => %error);
            }
        }
    }

    /// Publishes a tombstone of a key, after which the overlay stores of all nodes drop the key;
    /// their owners are not notified. `version` must be higher than the published ones.
    pub fn remove(&self, key: &Key, version: u64) {
        match overlay_key(key) {
            Ok(key) => self.send(Command::Remove {
                key,
                version: Version(version),
            }),
            Err(error) => {
                error!(self.log, "cannot encode a key, it is not removed"; "error" => %error);
            }
        }
    }

    /// Sets whether this coordinator is in contact with a majority of the coordinators. A
    /// coordinator that is not stops being a root of the relay tree, so that agents choose other
    /// parents at once; entries published at it are still disseminated. Until the first call the
    /// coordinator counts as in contact: call this with `false` right after
    /// [`OverlayHandle::start`], and at each change. Repeating a value has no effect.
    pub fn set_in_contact(&self, in_contact: bool) {
        self.send(Command::SetInContact(in_contact));
    }

    /// Notifies the neighbours that this node leaves.
    pub fn leave(&self) {
        self.send(Command::Leave);
    }

    fn send(&self, command: Command) {
        // The driver runs for as long as a handle exists, so that sending fails only at shutdown.
        let _ = self.commands.send(command);
    }
}

/// The overlay's key of an entry's key.
fn overlay_key(key: &Key) -> Result<OverlayKey, postcard::Error> {
    Ok(xxh3_64(&postcard::to_stdvec(key)?))
}

/// An entry as the overlay carries it, and its key there.
fn encode(entry: &Entry) -> Result<(OverlayKey, Arc<[u8]>), postcard::Error> {
    let payload = postcard::to_stdvec(entry)?;
    Ok((overlay_key(&entry.key)?, Arc::from(payload)))
}

/// Incarnation of a process that starts now: the time of day in milliseconds.
fn incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
