//! The overlay on sockets. A [`OverlayHandle`] owns the connections of one node (coordinator or agent) to
//! others, and carries the entries of [`ironmast_schema::control`] over the relay tree.
#![forbid(unsafe_code)]

mod connections;
mod driver;
mod queue;

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, WrapErr as _};
use ironmast_overlay::{Descriptor, Key as OverlayKey, Locality, Role};
use ironmast_schema::control::{Entry, Key};
use ironmast_schema::settings::{InternalPort, Settings};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// What the owner of a mesh tells it.
#[derive(Debug)]
pub(crate) enum Command {
    /// State that others are to hold.
    Publish(OverlayKey, u64, Arc<[u8]>),
    /// State that others may forget.
    Remove(OverlayKey, u64),
    /// Where coordinators are.
    Seeds(Vec<SocketAddr>),
    /// Whether this coordinator is in contact with a majority of the coordinators.
    InContact(bool),
    /// The node is about to end.
    Leave,
}

/// The handle of a node's mesh; it ends when the handle is dropped.
#[derive(Debug, Clone)]
pub struct OverlayHandle {
    commands: mpsc::UnboundedSender<Command>,
}

impl OverlayHandle {
    /// Listens at the node's address and joins the others. Entries that are news here come out of
    /// the receiver.
    ///
    /// # Errors
    /// The address that can't be listened at.
    pub async fn start(
        settings: &Settings,
        role: Role,
        log: &Logger,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Entry>)> {
        let address = SocketAddr::new(
            settings.ip_address,
            settings.internal_port(InternalPort::Agent),
        );
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("listening at {address}"))?;
        let locality = Locality::from_names(&settings.region, &settings.zone);
        let me = Descriptor {
            address,
            locality,
            role,
            incarnation: driver::incarnation(),
        };
        let (commands, inbox) = mpsc::unbounded_channel();
        let (news, entries) = mpsc::unbounded_channel();
        actix_rt::spawn(driver::run(listener, me, inbox, news, log.clone()));
        let mesh = OverlayHandle { commands };
        mesh.set_seeds(settings);
        Ok((mesh, entries))
    }

    /// Takes the seeds of the settings file as they stand now.
    pub fn set_seeds(&self, settings: &Settings) {
        let port = settings.internal_port(InternalPort::Agent);
        let seeds = settings
            .seed_nodes
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port))
            .collect();
        self.tell(Command::Seeds(seeds));
    }

    /// Spreads an entry.
    pub fn publish(&self, entry: &Entry) {
        if let Ok(payload) = postcard::to_stdvec(entry) {
            self.tell(Command::Publish(
                key(&entry.key),
                entry.version,
                Arc::from(payload),
            ));
        }
    }

    /// Lets all nodes forget a key; `version` must be above the one that they hold.
    pub fn remove(&self, of: &Key, version: u64) {
        self.tell(Command::Remove(key(of), version));
    }

    /// Tells a coordinator's mesh whether the coordinator is in contact with a majority of the
    /// coordinators. One that is not stops being a root of the relay tree, so that agents turn to
    /// others at once; what is published there still spreads. Until the first call it counts as in
    /// contact: a coordinator calls this with `false` right after [`OverlayHandle::start`], and at each
    /// change. May be called at any moment, also with the same value again.
    pub fn set_in_contact(&self, in_contact: bool) {
        self.tell(Command::InContact(in_contact));
    }

    /// Tells the neighbours that this node ends.
    pub fn leave(&self) {
        self.tell(Command::Leave);
    }

    fn tell(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

/// The overlay's key of a key.
fn key(key: &Key) -> OverlayKey {
    xxh3_64(&postcard::to_stdvec(key).unwrap_or_default())
}
