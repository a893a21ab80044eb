//! An entry of discovery's list, as discovery writes it and as the module sees it.

use std::net::SocketAddr;

use ironmast_balancer::{Micros, Phase, Scope, Server, ServerId};
use serde::{Deserialize, Serialize};

/// An entry as discovery writes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Target {
    /// The server's name, the same at every proxy.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone's name.
    pub az: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u64,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// Its size against the others.
    pub capacity_hint: Option<f64>,
    /// When it last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// An entry that makes sense.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What the module is told.
    pub server: Server,
    /// What discovery wrote.
    pub target: Target,
}

impl Target {
    /// Reads it in the module's terms; `zone` gives a zone's number.
    ///
    /// # Errors
    /// What makes no sense, in a few words.
    pub fn entry(self, zone: impl FnOnce(&str) -> usize) -> Result<Entry, String> {
        let phase = match self.state.as_str() {
            "up" => Phase::Ready,
            "draining" => Phase::Draining,
            "removed" => Phase::Gone,
            other => return Err(format!("`{other}` is not a known state")),
        };
        if self.uid.is_empty() {
            return Err("it has no uid".to_string());
        }
        let size = self.capacity_hint.filter(|s| s.is_finite()).unwrap_or(1.0);
        let started = Some((self.boot_ms as Micros).saturating_mul(1_000)).filter(|&at| at > 0);
        let (id, cell, zone) = (
            ServerId::from_name(&self.uid),
            self.pod_group,
            zone(&self.az),
        );
        Ok(Entry {
            server: Server {
                id,
                zone,
                cell,
                phase,
                size,
                started,
            },
            target: self,
        })
    }
}

/// News from discovery.
#[derive(Clone, Debug)]
pub struct News {
    /// How to read the entries.
    pub scope: Scope,
    /// The list's version, where it is known.
    pub rev: Option<u64>,
    /// The entries.
    pub entries: Vec<Entry>,
}
