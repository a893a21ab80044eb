//! TCP transport of the overlay: the crate owns the connections of one node (coordinator or agent)
//! to others and transfers the entries of [`ironmast_schema::control`] over the relay tree.
//!
//! [`ironmast_overlay`] contains the protocol without I/O; this crate performs the I/O. The driver
//! passes events of connections, clock and owner to the overlay and performs the resulting actions.
//! A peer that does not read is disconnected, so that it neither blocks other peers nor exhausts
//! the memory.
//!
//! - `driver` runs the overlay of one node in a task.
//! - `connection` opens, accepts and serves one connection.
//! - `connection_table` maps peers to their connections.
//! - `send_queue` bounds the outgoing messages of a connection.

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

/// A command from the owner of a handle to the driver.
#[derive(Debug)]
pub(crate) enum Command {
    /// Publish a new version of the entry under a key.
    Publish {
        /// The overlay's key of the entry.
        key: OverlayKey,
        /// The version of the entry.
        version: Version,
        /// The encoded entry.
        payload: Arc<[u8]>,
    },
    /// Publish a tombstone of a key.
    Remove {
        /// The overlay's key of the entry.
        key: OverlayKey,
        /// The version of the tombstone.
        version: Version,
    },
    /// Replace the addresses of the seed nodes.
    SetSeeds(Vec<SocketAddr>),
    /// Set whether this coordinator is in contact with a majority of the coordinators.
    SetInContact(bool),
    /// Notify the neighbours that this node leaves the overlay.
    Leave,
}

/// The listening address of a node cannot be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen at {address}")]
pub struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// A handle to a node of the overlay. The node runs until the last clone of the handle is dropped.
#[derive(Debug, Clone)]
pub struct OverlayHandle {
    commands: mpsc::UnboundedSender<Command>,
    log: Logger,
}

impl OverlayHandle {
    /// Listens at the node's address and joins the overlay. The receiver yields the entries that
    /// are newer than the node's own. The node ends when the last handle or the owner of its task
    /// is dropped.
    ///
    /// # Errors
    /// [`BindError`] if the listening address cannot be bound.
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

    /// Publishes an entry to all nodes. An entry that cannot be encoded is logged and not
    /// published.
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
    /// the owners of the nodes are not notified. `version` must be higher than all versions
    /// published under the key. A key that cannot be encoded is logged and not removed.
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
    /// coordinator that is out of contact stops being a root of the relay tree, so that agents
    /// choose other parents at once; entries published at it are still disseminated. Until the
    /// first call the coordinator counts as in contact: call this method with `false` immediately
    /// after [`OverlayHandle::start`], and at each change. Repeating a value has no effect.
    pub fn set_in_contact(&self, in_contact: bool) {
        self.send(Command::SetInContact(in_contact));
    }

    /// Notifies the neighbours that this node leaves the overlay.
    pub fn leave(&self) {
        self.send(Command::Leave);
    }

    fn send(&self, command: Command) {
        // The driver runs as long as a handle exists, so sending fails only at shutdown.
        let _ = self.commands.send(command);
    }
}

/// Returns the overlay's key for the key of an entry: a hash of its encoding.
fn overlay_key(key: &Key) -> Result<OverlayKey, postcard::Error> {
    Ok(xxh3_64(&postcard::to_stdvec(key)?))
}

/// Encodes an entry for the overlay; returns its key there and the payload.
fn encode(entry: &Entry) -> Result<(OverlayKey, Arc<[u8]>), postcard::Error> {
    let payload = postcard::to_stdvec(entry)?;
    Ok((overlay_key(&entry.key)?, Arc::from(payload)))
}

/// Returns the incarnation of a process that starts now: milliseconds since the Unix epoch.
fn incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
