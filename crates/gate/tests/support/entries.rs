//! Entries of the control plane, as the agent sends them to its gate.

use std::net::SocketAddr;

use ironmast_schema::configuration::Configuration;
use ironmast_schema::control::{
    ControlState, Entry, GateRecord, InstanceRecord, Key, Liveness, Value,
};
use ironmast_schema::registration::Heartbeat;

use super::{LOCAL_ZONE, Server};

/// The JSON of a route to the service `x`, with additional fields.
pub(crate) fn route(name: &str, kind: &str, timeout_ms: u128, fields: &str) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"a.example","path_prefix":"/{name}/","type":"{kind}","timeout_ms":{timeout_ms},
        "backend":"x"{fields}}}"#
    )
}

/// The entry of a configuration with these routes and the service `x`.
pub(crate) fn control(version: u64, routes: &[String]) -> Entry {
    let text = format!(
        r#"{{"generation":{version},"routes":[{}],"services":[{{"name":"x"}}]}}"#,
        routes.join(",")
    );
    let configuration = Configuration::parse(text.as_bytes()).expect("a valid configuration");
    let control = ControlState {
        configuration: Some(configuration),
        evacuated: Vec::new(),
    };
    Entry {
        key: Key::Control,
        version,
        value: Value::Control(control),
    }
}

/// The entry of a server of the service `x`.
pub(crate) fn instance(server: &Server, zone: &str, version: u64, liveness: Liveness) -> Entry {
    instance_at(&server.instance, server.address, zone, version, liveness)
}

/// The entry of a server of the service `x` with this id and address.
pub(crate) fn instance_at(
    id: &str,
    address: SocketAddr,
    zone: &str,
    version: u64,
    liveness: Liveness,
) -> Entry {
    let body = format!(
        r#"{{"backend":"x","address":"{address}","zone":"{zone}","capacity":8,"state":"ready","sequence":{version}}}"#
    );
    let heartbeat = Heartbeat::parse(body.as_bytes()).expect("a valid heartbeat");
    let record = InstanceRecord {
        heartbeat,
        liveness,
    };
    Entry {
        key: Key::Instance(id.to_string()),
        version,
        value: Value::Instance(record),
    }
}

/// The entry of another gate of the region, at port 80 of this address.
pub(crate) fn gate(address: [u8; 4]) -> Entry {
    let record = GateRecord {
        zone: LOCAL_ZONE.to_string(),
        region: "north".to_string(),
        ready: true,
        down: false,
    };
    Entry {
        key: Key::Gate(SocketAddr::from((address, 80))),
        version: 1,
        value: Value::Gate(record),
    }
}
