//! The servers that operators have disabled, applied to discovery's list before the decision module
//! receives it.
//!
//! A disabled server is reported to the module as draining whatever discovery reports, so the
//! module's own rule for draining servers applies. A server that is enabled again is reported as
//! discovery reports it. If discovery has reported no start of the server since it was disabled, its
//! start is reported as the time at which it was enabled: it may have been restarted, and
//! discovery's report of that may be late.

use std::collections::{BTreeMap, BTreeSet};

use ironmast_balancer::{Micros, Phase, Scope, ServerId};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::command::UnknownServer;
use crate::endpoint::{Endpoint, EndpointUpdate};

#[cfg(test)]
mod tests;

/// The overrides that outlive the process: they are stored on disk and handed over to a successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverrideState {
    /// When each disabled server was disabled, by uid, in Unix microseconds.
    #[serde(rename = "out")]
    pub disabled: BTreeMap<String, Micros>,
    /// Servers that were enabled again and whose start discovery has not reported since, by uid.
    #[serde(rename = "back")]
    pub reenabled: BTreeMap<String, Reenabled>,
}

/// When a server was disabled and enabled again, in Unix microseconds; serialized as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Micros, Micros)", into = "(Micros, Micros)")]
pub struct Reenabled {
    /// When the server was disabled.
    pub disabled_at: Micros,
    /// When the server was enabled again.
    pub enabled_at: Micros,
}

impl From<(Micros, Micros)> for Reenabled {
    fn from((disabled_at, enabled_at): (Micros, Micros)) -> Self {
        Self {
            disabled_at,
            enabled_at,
        }
    }
}

impl From<Reenabled> for (Micros, Micros) {
    fn from(reenabled: Reenabled) -> Self {
        (reenabled.disabled_at, reenabled.enabled_at)
    }
}

/// The override of one server, as the processes of a hot restart exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOverride {
    /// The uid of the server.
    pub uid: String,
    /// The server's value in [`OverrideState::disabled`].
    #[serde(rename = "out")]
    pub disabled_at: Option<Micros>,
    /// The server's value in [`OverrideState::reenabled`].
    #[serde(rename = "back")]
    pub reenabled: Option<Reenabled>,
}

/// The result of a command that disables or enables a server.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The remark for the operator.
    pub remark: String,
    /// The list to pass to the decision module; `None` if nothing changed for it.
    pub update: Option<EndpointUpdate>,
}

/// Discovery's list, and the operators' overrides that are applied to it.
#[derive(Debug, Default)]
pub struct ServerOverrides {
    state: OverrideState,
    revision: Option<u64>,
    /// The endpoints as discovery reports them.
    discovered: BTreeMap<ServerId, Endpoint>,
    /// Servers that started after this moment are delegated to a successor, in Unix microseconds.
    delegated_after: Option<Micros>,
}

impl ServerOverrides {
    /// Creates overrides from the stored state of an earlier process, without a list.
    #[must_use]
    pub fn new(state: OverrideState) -> Self {
        Self {
            state,
            ..Self::default()
        }
    }

    /// Returns the overrides that outlive the process.
    #[must_use]
    pub fn state(&self) -> &OverrideState {
        &self.state
    }

    /// Returns discovery's last list in discovery's form, from which a successor starts; `None`
    /// before the first list.
    #[must_use]
    pub fn discovered(&self) -> Option<Value> {
        let revision = self.revision?;
        let targets: Vec<_> = self
            .discovered
            .values()
            .map(|endpoint| &endpoint.target)
            .collect();
        Some(json!({"rev": revision, "all": true, "targets": targets}))
    }

    /// Applies an update from discovery. Returns it with the overrides applied, for the decision
    /// module.
    pub fn apply_discovery(&mut self, mut update: EndpointUpdate) -> EndpointUpdate {
        if update.scope == Scope::Failed {
            return update;
        }
        self.revision = update.revision;
        let is_complete = update.scope != Scope::Changes;
        if is_complete {
            self.discovered.clear();
        }
        for endpoint in &update.endpoints {
            self.apply_endpoint(endpoint);
        }
        if is_complete {
            self.forget_reenabled_of_missing_servers();
        }
        update.endpoints = update
            .endpoints
            .into_iter()
            .map(|endpoint| self.overridden(endpoint))
            .collect();
        update
    }

    /// Disables a server at `now`, in Unix microseconds. For a server that is disabled already the
    /// first time remains.
    ///
    /// # Errors
    /// [`UnknownServer`] if no server has the uid.
    pub fn disable(&mut self, uid: &str, now: Micros) -> Result<Applied, UnknownServer> {
        self.require_known(uid)?;
        if self.state.disabled.contains_key(uid) {
            return Ok(Applied {
                remark: format!("{uid} is out of use already"),
                update: None,
            });
        }
        self.state.disabled.insert(uid.to_string(), now);
        // The next `enable` determines again whether the server's start is uncertain.
        self.state.reenabled.remove(uid);
        Ok(Applied {
            remark: format!("{uid} is out of use"),
            update: self.list_if_discovered(uid),
        })
    }

    /// Enables a server again at `now`, in Unix microseconds. Does nothing if it is enabled.
    ///
    /// # Errors
    /// [`UnknownServer`] if no server has the uid.
    pub fn enable(&mut self, uid: &str, now: Micros) -> Result<Applied, UnknownServer> {
        self.require_known(uid)?;
        let Some(disabled_at) = self.state.disabled.remove(uid) else {
            return Ok(Applied {
                remark: format!("{uid} is in use"),
                update: None,
            });
        };
        let reported_start = self
            .discovered
            .get(&ServerId::from_name(uid))
            .and_then(|endpoint| endpoint.server.started);
        if reported_start <= Some(disabled_at) {
            let reenabled = Reenabled {
                disabled_at,
                enabled_at: now,
            };
            self.state.reenabled.insert(uid.to_string(), reenabled);
        }
        Ok(Applied {
            remark: format!("{uid} is in use again"),
            update: self.list_if_discovered(uid),
        })
    }

    /// Leaves the servers that started after `after` (Unix microseconds) to a successor by reporting
    /// them as draining; `None` takes them back. Otherwise two processes would each send a server
    /// that is warming up as much as one process may. Returns the list for the decision module, if
    /// `after` changed.
    pub fn delegate_started_after(&mut self, after: Option<Micros>) -> Option<EndpointUpdate> {
        let before = std::mem::replace(&mut self.delegated_after, after);
        (before != after).then(|| self.list())
    }

    /// Returns the override of one server, for the other process of a hot restart.
    #[must_use]
    pub fn override_of(&self, uid: &str) -> ServerOverride {
        ServerOverride {
            uid: uid.to_string(),
            disabled_at: self.state.disabled.get(uid).copied(),
            reenabled: self.state.reenabled.get(uid).copied(),
        }
    }

    /// Applies an override that the other process of a hot restart received. Returns the list for
    /// the decision module, if discovery reports the server.
    pub fn apply_override(&mut self, change: ServerOverride) -> Option<EndpointUpdate> {
        let ServerOverride {
            uid,
            disabled_at,
            reenabled,
        } = change;
        insert_or_remove(&mut self.state.disabled, &uid, disabled_at);
        insert_or_remove(&mut self.state.reenabled, &uid, reenabled);
        self.list_if_discovered(&uid)
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        let Endpoint { server, target } = endpoint;
        if server.phase == Phase::Gone {
            self.discovered.remove(&server.id);
            self.state.reenabled.remove(&target.uid);
        } else {
            self.discovered.insert(server.id, endpoint.clone());
        }
        let reenabled = self.state.reenabled.get(&target.uid);
        let reports_start =
            reenabled.is_some_and(|reenabled| server.started > Some(reenabled.disabled_at));
        if reports_start {
            self.state.reenabled.remove(&target.uid);
        }
    }

    fn forget_reenabled_of_missing_servers(&mut self) {
        let discovered: BTreeSet<&str> = self
            .discovered
            .values()
            .map(|endpoint| endpoint.target.uid.as_str())
            .collect();
        self.state
            .reenabled
            .retain(|uid, _| discovered.contains(uid.as_str()));
    }

    /// Applies the overrides to an endpoint.
    fn overridden(&self, mut endpoint: Endpoint) -> Endpoint {
        let uid = &endpoint.target.uid;
        let server = &mut endpoint.server;
        if let Some(reenabled) = self.state.reenabled.get(uid) {
            server.started = Some(reenabled.enabled_at);
        }
        let is_delegated = self
            .delegated_after
            .is_some_and(|after| server.started > Some(after));
        let is_disabled = self.state.disabled.contains_key(uid);
        if server.phase == Phase::Ready && (is_delegated || is_disabled) {
            server.phase = Phase::Draining;
        }
        endpoint
    }

    /// The complete list with the overrides applied. The scope is that of a cached list, since a
    /// change reported by discovery would end the decision module's own queries.
    fn list(&self) -> EndpointUpdate {
        let endpoints = self
            .discovered
            .values()
            .map(|endpoint| self.overridden(endpoint.clone()))
            .collect();
        EndpointUpdate {
            scope: Scope::Cached,
            revision: self.revision,
            endpoints,
        }
    }

    /// The complete list, if discovery reports the server.
    fn list_if_discovered(&self, uid: &str) -> Option<EndpointUpdate> {
        self.discovered
            .contains_key(&ServerId::from_name(uid))
            .then(|| self.list())
    }

    fn require_known(&self, uid: &str) -> Result<(), UnknownServer> {
        // The id is a hash, so the uid is compared too: another one may have the same id.
        let is_discovered = self
            .discovered
            .get(&ServerId::from_name(uid))
            .is_some_and(|endpoint| endpoint.target.uid == uid);
        if is_discovered || self.state.disabled.contains_key(uid) {
            Ok(())
        } else {
            Err(UnknownServer(uid.to_string()))
        }
    }
}

/// Inserts or removes the value of a key.
fn insert_or_remove<V>(map: &mut BTreeMap<String, V>, key: &str, value: Option<V>) {
    match value {
        Some(value) => drop(map.insert(key.to_string(), value)),
        None => drop(map.remove(key)),
    }
}
