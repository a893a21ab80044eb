//! Tests of faults that are visible to operators only in the log of a role.

mod system;

use std::net::TcpStream;
use std::time::Duration;

use ironmast_schema::control::{FromCoordinator, Hello, PROTOCOL_VERSION, ToCoordinator};
use ironmast_transport::link;
use system::client::{configuration, decided, put};
use system::{Site, eventually};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Connects to a coordinator as a node of another protocol version; returns once the coordinator has
/// closed the link.
fn connect_with_protocol(site: &Site, protocol: u16) {
    actix_rt::System::new().block_on(async {
        let at = site.internal(1);
        let (mut receiver, mut sender) =
            link::connect::<FromCoordinator, ToCoordinator>(at, CONNECT_TIMEOUT)
                .await
                .expect("the coordinator listens");
        let hello = Hello {
            protocol,
            coordinator: None,
        };
        sender
            .send(&ToCoordinator::Hello(hello))
            .await
            .expect("sent");
        let frame = receiver.next().await;
        assert!(
            !matches!(frame, Ok(Some(_))),
            "the coordinator must close the link"
        );
    });
}

#[test]
fn a_node_of_another_protocol_version_is_logged_once_with_its_address() {
    let site = Site::new(1);
    let _coordinator = site.bootstrap_coordinator(1);
    eventually("the listener", || TcpStream::connect(site.internal(1)).ok());
    for _ in 0..20 {
        connect_with_protocol(&site, PROTOCOL_VERSION + 1);
    }
    let message = "a node speaks another version of the protocol";
    let lines = site.logged("coordinator", 1, message);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("peer: 127.0.0.1:"), "{lines:?}");
    let version = format!("version {} of the protocol", PROTOCOL_VERSION + 1);
    assert!(lines[0].contains(&version), "{lines:?}");
}

#[test]
fn coordinator_that_never_had_contact_logs_it_once() {
    let site = Site::new(3);
    let _alone = site.bootstrap_coordinator(1);
    let message = "no contact with a majority of the coordinators since the start";
    let lines = site.logged("coordinator", 1, message);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("links: 0"), "{lines:?}");
    assert!(lines[0].contains("other coordinators: 2"), "{lines:?}");
}

#[test]
fn a_gate_logs_each_version_that_it_applies() {
    const GATE: u8 = 2;
    let site = Site::new(1);
    let _coordinator = site.bootstrap_coordinator(1);
    let (_gate, _agent) = (site.start_gate(GATE), site.start_agent(GATE));
    let at = site.control_plane(1);
    eventually("the first configuration", || {
        put(at, "0", &configuration(3)).filter(|status| *status == 200)
    });
    site.logged("gate", GATE, "version: 3");
    let next = || put(at, "3", &configuration(8));
    assert_eq!(decided(next), Some(200));
    let lines = site.logged("gate", GATE, "version: 8");
    assert!(lines[0].contains("configuration applied"), "{lines:?}");
    assert_eq!(site.logged("gate", GATE, "configuration applied").len(), 2);
}

#[test]
fn errors_of_accepting_are_logged_once_while_they_persist() {
    const AGENT: u8 = 2;
    const DESCRIPTORS: u32 = 24;
    let site = Site::new(1);
    let _agent = site.start_agent_with_descriptors(AGENT, DESCRIPTORS);
    eventually("the listener", || TcpStream::connect(site.feed()).ok());
    let _connections: Vec<TcpStream> = (0..2 * DESCRIPTORS)
        .map(|_| TcpStream::connect(site.feed()).expect("the listen backlog accepts it"))
        .collect();
    let lines = site.logged("agent", AGENT, "cannot accept a connection");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("Too many open files"), "{lines:?}");
}
