//! Tests a gate and its agent as processes: both start before any coordinator, and the gate continues
//! to serve while its agent is down.

mod system;

use std::net::TcpStream;

use awc::http::Method;
use system::client::{call, configuration, decided, put, status};
use system::{Site, eventually, server};

/// The machine of the gate and its agent; the coordinator runs on machine 1.
const GATE: u8 = 2;

fn served(site: &Site, id: &str) -> Option<()> {
    let headers = [
        ("Host", "a.example"),
        ("X-Ironmast-Request-Id", id),
        ("X-Ironmast-Deadline-Ms", "1500"),
    ];
    let response = call(Method::GET, site.frontend(GATE), "/x/1", &headers, "")?;
    (response.status == 200 && response.body == b"hello").then_some(())
}

#[test]
fn gate_started_before_its_coordinator_serves_and_continues_without_its_agent() {
    let site = Site::new(1);
    let mut gate = site.start_gate(GATE);
    let agent = site.start_agent(GATE);
    eventually("the gate's listener", || {
        TcpStream::connect(site.frontend(GATE)).ok()
    });
    let _coordinator = site.bootstrap_coordinator(1);
    let at = site.control_plane(1);
    eventually("the configuration", || {
        put(at, "0", &configuration(1)).filter(|status| *status == 200)
    });
    let heartbeat = format!(
        "{{\"backend\":\"app\",\"address\":\"{}\",\"zone\":\"z1\",\"capacity\":8,\"state\":\"ready\",\"sequence\":1}}",
        server::start()
    );
    assert_eq!(
        status(Method::PUT, at, "/api/instances/i-1", &heartbeat),
        Some(200)
    );
    eventually("a response", || served(&site, "00000000000000a1"));
    eventually("readiness", || {
        status(Method::GET, site.readiness(GATE), "/api/readyz", "").filter(|status| *status == 200)
    });
    let directory = site.directory(1);
    let resolved = eventually("the gate's address", || {
        call(
            Method::GET,
            directory,
            "/api/resolve?region=r&zone=z2",
            &[],
            "",
        )
        .filter(|response| response.status == 200)
    });
    assert!(String::from_utf8_lossy(&resolved.body).contains(&site.frontend(GATE).to_string()));
    agent.kill();
    eventually("a response without the agent", || {
        served(&site, "00000000000000a2")
    });
    assert!(gate.is_running());
    let _agent = site.start_agent(GATE);
    let next = configuration(2).replace("/x/", "/y/");
    assert_eq!(decided(|| put(at, "1", &next)), Some(200));
    eventually("the next configuration", || {
        let headers = [
            ("Host", "a.example"),
            ("X-Ironmast-Request-Id", "00000000000000a3"),
        ];
        call(Method::GET, site.frontend(GATE), "/y/1", &headers, "")
            .filter(|response| response.status == 200)
    });
}
