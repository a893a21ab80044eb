//! One request on a connection of its own, and its outcome.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::Outcome;

/// Sends one request and waits for the complete response, at most `timeout`.
pub(super) fn send_request(
    address: SocketAddr,
    path: &str,
    txn: &str,
    timeout: Duration,
) -> Outcome {
    let start = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
        return Outcome::Broken;
    };
    let request = request_text(path, txn, timeout);
    if stream.write_all(request.as_bytes()).is_err() {
        return Outcome::Broken;
    }
    match read_to_end(&mut stream, start, timeout) {
        Ok(response) => outcome_of(&response),
        Err(outcome) => outcome,
    }
}

/// The text of a request: POST for payments and timesheets, GET for everything else.
fn request_text(path: &str, txn: &str, timeout: Duration) -> String {
    let is_timesheet = path.starts_with("/timesheet");
    let is_post = is_timesheet || path.starts_with("/deposit");
    let (method, body) = if is_post {
        ("POST", "{\"amount\":1}")
    } else {
        ("GET", "")
    };
    let length = if is_post {
        format!("Content-Length: {}\r\n", body.len())
    } else {
        String::new()
    };
    let key = if is_timesheet {
        format!("Idempotency-Key: {txn}\r\n")
    } else {
        String::new()
    };
    let remaining_ms = timeout.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: pay\r\nConnection: close\r\nX-Txn: {txn}\r\n\
         X-Remaining: {remaining_ms}m\r\n{key}{length}\r\n{body}"
    )
}

/// Reads until the server closes the connection; the error is the outcome of a request
/// whose connection fails or that reaches its timeout first.
fn read_to_end(
    stream: &mut TcpStream,
    start: Instant,
    timeout: Duration,
) -> Result<Vec<u8>, Outcome> {
    let mut response = Vec::new();
    let mut buffer = [0u8; 4096];
    loop {
        let remaining = timeout
            .checked_sub(start.elapsed())
            .filter(|remaining| !remaining.is_zero())
            .ok_or(Outcome::TimedOut)?;
        let _ = stream.set_read_timeout(Some(remaining));
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(response),
            Ok(length) => response.extend_from_slice(&buffer[..length]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(Outcome::TimedOut);
            }
            Err(_) => return Err(Outcome::Broken),
        }
    }
}

/// The outcome of a response that the server ended by closing the connection.
fn outcome_of(response: &[u8]) -> Outcome {
    let status = response
        .get(9..12)
        .and_then(|status| std::str::from_utf8(status).ok())
        .unwrap_or("");
    let has_complete_head = response.windows(4).any(|bytes| bytes == b"\r\n\r\n");
    match status {
        "200" if has_complete_head => Outcome::Served,
        "429" | "503" => Outcome::Rejected,
        "" => Outcome::Broken,
        _ if !has_complete_head => Outcome::Broken,
        _ => Outcome::Failed,
    }
}
