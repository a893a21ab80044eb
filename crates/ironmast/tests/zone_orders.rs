//! Tests orders for zones with three coordinators and a gate as processes, one coordinator being
//! suspended while an order reaches it.

mod system;

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use awc::http::Method;
use system::client::{call, configuration, decided, put, status};
use system::{Site, eventually, server};

/// The machine of the gate and its agent; the coordinators run on machines 1 to 3.
const GATE: u8 = 4;
/// Zone of the only server.
const ZONE: &str = "z9";
const ORDER_PATH: &str = "/api/evacuate/z9";
/// Longer than a coordinator is suspended here, so that it stays in contact and executes what it
/// reads afterwards.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(20);
/// Orders that reach a suspended coordinator, in turn.
const ROUNDS: u64 = 5;
/// Requests after which a zone that is back in service would have been seen to serve.
const REQUESTS: u64 = 20;

/// The gate's status for a request to the route below `prefix`.
fn gate_status(site: &Site, prefix: &str) -> Option<u16> {
    let headers = [
        ("Host", "a.example"),
        ("X-Ironmast-Request-Id", "00000000000000b1"),
        ("X-Ironmast-Deadline-Ms", "300"),
    ];
    let path = format!("{prefix}1");
    Some(call(Method::GET, site.frontend(GATE), &path, &headers, "")?.status)
}

/// Sends an order and ends the stream, as a caller that gives up; the response, if any, can still
/// be read.
fn send_and_give_up(at: SocketAddr, method: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).expect("connected");
    let head = format!("{method} {ORDER_PATH} HTTP/1.1\r\nHost: {at}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    stream.shutdown(Shutdown::Write).expect("ended");
    stream
}

/// What a coordinator sends before it closes the connection.
fn response(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    // A reset is an end without a response as well.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn order(site: &Site, coordinator: u8, method: &Method) {
    let at = site.control_plane(coordinator);
    let acknowledged = decided(|| status(method.clone(), at, ORDER_PATH, ""));
    assert_eq!(acknowledged, Some(200));
}

/// Guards against traffic to an evacuated zone: a coordinator that was suspended applied an order
/// that its caller had given up, and undid the newer order acknowledged by another coordinator.
#[test]
fn order_given_up_at_a_suspended_coordinator_does_not_undo_a_newer_one() {
    let site = Site::new(3).with_contact_timeout(CONTACT_TIMEOUT);
    let coordinators = [1, 2, 3].map(|number| site.bootstrap_coordinator(number));
    let _gate = site.start_gate(GATE);
    let _agent = site.start_agent(GATE);
    let second = site.control_plane(2);
    eventually("the configuration", || {
        put(second, "0", &configuration(1)).filter(|status| *status == 200)
    });
    let heartbeat = format!(
        "{{\"backend\":\"app\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"capacity\":8,\"state\":\"ready\",\"sequence\":1}}",
        server::start()
    );
    let is_served = |prefix: &str| gate_status(&site, prefix) == Some(200);
    eventually("a response", || {
        status(Method::PUT, second, "/api/instances/i-1", &heartbeat);
        is_served("/x/").then_some(())
    });
    for round in 0..ROUNDS {
        order(&site, 2, &Method::POST);
        coordinators[0].pause();
        let late = send_and_give_up(site.control_plane(1), "DELETE");
        order(&site, 2, &Method::DELETE);
        order(&site, 2, &Method::POST);
        coordinators[0].resume();
        let response = response(late);
        assert!(!response.contains(" 200 "), "round {round}: {response}");
        // The next configuration reaches the gate after all earlier changes.
        let (base, prefix) = (round + 1, format!("/x{round}/"));
        let next = configuration(base + 1).replace("/x/", &prefix);
        let first = site.control_plane(1);
        assert_eq!(decided(|| put(first, &base.to_string(), &next)), Some(200));
        eventually("the next configuration", || {
            (gate_status(&site, &prefix) != Some(404)).then_some(())
        });
        for _ in 0..REQUESTS {
            assert!(!is_served(&prefix), "round {round}: the zone serves");
        }
        order(&site, 2, &Method::DELETE);
        eventually("a response after the evacuation", || {
            is_served(&prefix).then_some(())
        });
    }
}
