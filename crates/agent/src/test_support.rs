//! Setup that the tests of this crate share.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use ironmast_schema::settings::Settings;

use crate::gate_reporter::ReportedStatus;
use crate::state::{AgentState, SharedState};

/// Minimal valid settings of an agent, as YAML.
const SETTINGS: &str =
    "node_name: a\nip_address: 10.0.0.1\nzone: z\nregion: r\ninternal_port_range: [7000, 7009]\n";

/// The state of an agent that has just started.
pub(crate) fn agent_state() -> AgentState {
    let settings = Settings::parse(Path::new("local.yaml"), SETTINGS).expect("valid settings");
    AgentState::new(&settings)
}

/// The state of [`agent_state`], as shared by tasks.
pub(crate) fn shared_state() -> SharedState {
    Rc::new(RefCell::new(agent_state()))
}

/// The frontend address of the gate.
pub(crate) fn frontend() -> SocketAddr {
    "10.0.0.1:80".parse().expect("a valid address")
}

/// A status of a gate that accepts new clients.
pub(crate) fn ready_status() -> ReportedStatus {
    ReportedStatus {
        frontend: frontend(),
        ready: true,
    }
}
