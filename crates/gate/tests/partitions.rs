//! Requests whose deadline passes while a network partition separates the gate from its server. The
//! relay between them holds bytes for as long as the partition lasts and then delivers them, as
//! TCP's retransmissions would. Such a request must not reach the server afterwards: its client has
//! already received an error for it.

mod support;

use std::sync::Arc;

use ironmast_fault_injection::fault::{Fault, FaultKind, Schedule};
use ironmast_fault_injection::relay::{Faults, Relay};
use support::{LOCAL_ZONE, ReceivedRequest, Server, TestGate, run_test};

/// A fault of this kind on the link from gate to server, from now on.
fn fault(kind: FaultKind) -> Fault {
    Fault {
        at_s: 0.0,
        link: "gate->server".to_string(),
        kind,
        for_s: None,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        bytes_per_s: 0.0,
        share: 0.0,
    }
}

/// Starts a relay between gate and server, with no faults at first.
fn start_relay(server: &Server) -> (Relay, Arc<Faults>) {
    let faults = Faults::new(Schedule::new(Vec::new()).expect("no faults"));
    let relay = Relay::start("gate", "server", server.address, Arc::clone(&faults));
    (relay.expect("a port is free"), faults)
}

/// Sends a request with a deadline of 300 ms; returns the head of its response.
async fn send_and_time_out(gate: &TestGate, target: &str) -> String {
    let mut client = gate.connect().await;
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: r1\r\n\
         X-Ironmast-Deadline-Ms: 300\r\nContent-Length: 8\r\n\r\nquestion"
    );
    client.write(&request).await;
    let head = client.read_head().await;
    // The gate has finished with the request once it answers a readiness check sent later.
    gate.connect_readiness().await.check_readiness().await;
    head
}

/// Sends requests until one reaches the server; returns the first request that the server receives.
async fn send_until_received(
    gate: &TestGate,
    server: &mut Server,
    target: &str,
) -> ReceivedRequest {
    let mut client = gate.connect().await;
    let mut attempts = 0;
    loop {
        client
            .send_request(target, &format!("r{}", 2 + attempts))
            .await;
        attempts += 1;
        tokio::select! {
            request = server.next_request() => return request,
            // The gate doesn't choose the server yet, and has answered the request itself.
            _ = client.read_response() => {}
        }
    }
}

#[test]
fn a_request_given_up_in_a_partition_is_not_delivered_after_it() {
    run_test(async {
        let mut server = Server::start("i-1").await;
        let (relay, faults) = start_relay(&server);
        let gate = TestGate::start_with(&[("i-1", relay.address, LOCAL_ZONE)]).await;
        faults.set(fault(FaultKind::CutOneWay)).expect("valid");
        let head = send_and_time_out(&gate, "/unsafe/given-up").await;
        assert!(!head.starts_with("http/1.1 200"), "{head}");
        faults.set(fault(FaultKind::Pass)).expect("valid");
        let first = send_until_received(&gate, &mut server, "/unsafe/next").await;
        assert_eq!(first.request_line(), "post /unsafe/next http/1.1");
    });
}

/// Guards against late delivery on a connection that has carried a request before and was kept open.
#[test]
fn a_request_given_up_on_a_kept_connection_is_not_delivered_after_it() {
    run_test(async {
        let mut server = Server::start("i-1").await;
        let (relay, faults) = start_relay(&server);
        let gate = TestGate::start_with(&[("i-1", relay.address, LOCAL_ZONE)]).await;
        let kept = serve_on_kept_connection(&gate, &mut server).await;
        faults.set(fault(FaultKind::CutOneWay)).expect("valid");
        send_and_time_out(&gate, "/unsafe/given-up").await;
        faults.set(fault(FaultKind::Pass)).expect("valid");
        let next = kept.try_next_on_connection().await;
        assert!(
            next.is_none(),
            "the server has received the request whose deadline passed"
        );
    });
}

/// Sends and serves a first request, whose connection the gate keeps open; returns it.
async fn serve_on_kept_connection(gate: &TestGate, server: &mut Server) -> ReceivedRequest {
    let mut client = gate.connect().await;
    client.send_request("/safe/first", "r0").await;
    let mut request = server.next_request().await;
    request.serve("answer").await;
    client.read_response().await;
    request
}
