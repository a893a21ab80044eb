//! Applies updates of the endpoint list.

use std::collections::BTreeSet;

use ironmast_admin::endpoint::{Endpoint, EndpointUpdate};
use ironmast_balancer::{Event, Listing, Phase, Scope, Server, ServerId};
use slog::{debug, info};

use super::Driver;
use crate::message::UpstreamCommand;

/// Maximum number of server names in one log line.
const MAX_NAMES_PER_LINE: usize = 32;

impl Driver {
    /// Passes an update of the endpoint list to the upstream task and the decision module. The
    /// operators' overrides must already be applied to it.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate) {
        let EndpointUpdate {
            scope, endpoints, ..
        } = update;
        let mut removed: BTreeSet<ServerId> = match scope {
            Scope::Complete | Scope::Cached => self.servers.keys().copied().collect(),
            _ => BTreeSet::new(),
        };
        self.log_new_servers(&endpoints);
        for endpoint in &endpoints {
            removed.remove(&endpoint.server.id);
            self.update_endpoint(endpoint);
        }
        for id in removed {
            self.servers.remove(&id);
            self.outputs
                .command_upstream(UpstreamCommand::StopSending(id));
        }
        let servers: Vec<Server> = endpoints
            .into_iter()
            .map(|endpoint| endpoint.server)
            .collect();
        let entries = servers.len();
        for server in &servers {
            debug!(self.log, "server listed"; "at" => self.clock.now(), "server" => %server.id,
                "phase" => ?server.phase, "zone" => server.zone, "size" => server.size, "started" => ?server.started);
        }
        self.dispatch(Event::Members(Listing { scope, servers }));
        info!(self.log, "endpoint update: {:?}", scope; "entries" => entries, "known" => self.servers.len());
    }

    /// Logs names and addresses of newly listed servers, because other log lines identify a server
    /// only by its ID.
    fn log_new_servers(&self, endpoints: &[Endpoint]) {
        let is_new = |endpoint: &&Endpoint| !self.servers.contains_key(&endpoint.server.id);
        let names: Vec<String> = endpoints
            .iter()
            .filter(is_new)
            .map(|Endpoint { server, target }| {
                format!("{}={}@{}", server.id, target.uid, target.endpoint)
            })
            .collect();
        for names in names.chunks(MAX_NAMES_PER_LINE) {
            info!(self.log, "new servers"; "servers" => names.join(" "));
        }
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let Endpoint { server, target } = endpoint;
        // A terminated server never gets another request.
        if server.phase == Phase::Gone {
            self.servers.remove(&server.id);
        } else {
            self.servers.insert(server.id, target.endpoint);
        }
        // An attempt that was decided before this update may not have been written yet; the
        // upstream task must not write it to a server that has stopped accepting requests.
        let command = if server.phase == Phase::Ready {
            UpstreamCommand::ResumeSending(server.id)
        } else {
            UpstreamCommand::StopSending(server.id)
        };
        self.outputs.command_upstream(command);
    }
}
