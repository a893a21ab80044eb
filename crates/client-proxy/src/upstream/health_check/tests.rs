use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};

use ironmast_transport::client::client;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::response_validation::ValidatingStream;
use slog::{Drain as _, o};

use super::*;

/// Captures log lines in memory.
#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    fn logger(&self) -> Logger {
        let decorator = slog_term::PlainSyncDecorator::new(self.clone());
        let lines = slog_term::FullFormat::new(decorator).build();
        Logger::root(lines.fuse(), o!())
    }

    fn text(&self) -> String {
        let bytes = self.0.lock().expect("not poisoned").clone();
        String::from_utf8(bytes).expect("text")
    }
}

impl std::io::Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts a server that answers one request with this status and returns its address.
fn server_with_status(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).expect("a request");
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(response.as_bytes()).expect("written");
    });
    address
}

#[test]
fn a_rejected_health_check_is_logged_with_server_address_and_status() {
    let address = server_with_status("503 Service Unavailable");
    let lines = LogLines::default();
    let server = ServerId::from_name("s-1");
    let outcome = actix_rt::System::new().block_on(async {
        let second = Duration::from_secs(1);
        let budget = DescriptorBudget::new(8);
        let check = HealthCheck {
            client: client(budget, second, second, ValidatingStream::new),
            server,
            address,
            clock: Clock::start(),
            log: lines.logger(),
        };
        check.run().await
    });
    let Message::HealthCheckEnded { outcome, .. } = outcome else {
        panic!("no result of a health check")
    };
    assert_eq!(outcome, Outcome::Overloaded);
    let text = lines.text();
    assert!(text.contains("health check rejected"), "{text}");
    for value in [
        format!("server: {server}"),
        format!("address: {address}"),
        "status: 503".to_string(),
    ] {
        assert!(text.contains(&value), "{value}: {text}");
    }
}
