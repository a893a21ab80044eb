//! Long request bodies of many clients at once.

mod support;

use support::{Client, run_test, start_with_one_server};

/// A body within the default limit of 4 MiB.
const BODY_BYTES: usize = 4_000_000;
/// The gate has 64 MiB of memory, of which bodies may use a third.
const BODIES_THAT_FIT: usize = 5;
const CLIENTS: usize = 12;

/// Sends a request with a long body; returns the connection.
async fn send_long_request(mut client: Client, number: usize) -> Client {
    let head = format!(
        "POST /unsafe/a HTTP/1.1\r\nHost: a.example\r\nX-Ironmast-Request-Id: long-{number}\r\n\
         X-Ironmast-Deadline-Ms: 20000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    client.write(&head).await;
    client.write(&"x".repeat(BODY_BYTES)).await;
    client
}

// Guards against a gate that holds so many bodies that the platform kills it with all its requests.
#[test]
fn long_bodies_beyond_the_memory_limit_are_refused_and_short_requests_are_served() {
    run_test(async {
        let (mut server, gate, mut client) = start_with_one_server().await;
        let mut held = Vec::new();
        let mut clients = Vec::new();
        for number in 0..BODIES_THAT_FIT {
            clients.push(send_long_request(gate.connect().await, number).await);
            held.push(server.next_request().await);
        }
        for number in BODIES_THAT_FIT..CLIENTS {
            let mut refused = send_long_request(gate.connect().await, number).await;
            let (head, _) = refused.read_response().await;
            // The rest of the body is not read, so the connection can't be used again.
            for expected in [" 503 ", "retry-after: 0.", "connection: close"] {
                assert!(head.contains(expected), "{head}");
            }
        }
        assert!(server.has_no_request());

        client.send_request("/unsafe/a", "short").await;
        server.next_request().await.serve_and_close("short").await;
        assert_eq!(client.read_response().await.1, "short");

        for (client, request) in clients.iter_mut().zip(&mut held) {
            request.serve_and_close("long").await;
            assert_eq!(client.read_response().await.1, "long");
        }
        let mut client = send_long_request(gate.connect().await, CLIENTS).await;
        server.next_request().await.serve("again").await;
        assert_eq!(client.read_response().await.1, "again");
    });
}
