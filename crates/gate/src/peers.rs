//! Load reports that the gates of a region send each other in UDP datagrams: the prompt tokens that
//! each gate has in flight and that wait for prefill, and the servers that it suspects to be
//! unhealthy.
//!
//! Each datagram holds a complete report, so a lost datagram is made up for by the next one. In a
//! larger region each gate sends less often, so that the number of datagrams that a gate receives
//! per second does not grow with the region.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ironmast_routing::{PeerReport, PendingPrefill};
use ironmast_schema::settings::InternalPort;
use serde::{Deserialize, Serialize};
use slog::warn;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::gate::Gate;

/// The version of the datagram format; datagrams of other versions are ignored.
const VERSION: u8 = 2;
/// The shortest time between two datagrams, which applies to up to [`PEERS_AT_FULL_RATE`] peers.
/// With more peers the interval grows in proportion to their number, up to [`REFRESH_INTERVAL`].
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(50);
/// The largest number of peers to which a gate sends at the full rate.
const PEERS_AT_FULL_RATE: usize = 16;
/// An unchanged report is sent again after this time, because peers discard it after half a second.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// The largest number of servers in each list of a datagram.
const MAX_SERVERS: usize = 64;
/// The longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A load report as it is encoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Datagram {
    /// The version of the format, see [`VERSION`].
    version: u8,
    /// Hashes of servers, and the prompt tokens that wait for prefill at each.
    unread: Vec<(u64, u64)>,
    /// Hashes of servers that are suspected to be unhealthy.
    suspect: Vec<u64>,
}

/// Exchanges load reports for as long as the gate runs. A gate that can't bind its port serves
/// without them.
pub(crate) async fn run(gate: Rc<Gate>) {
    let address = {
        let settings = gate.settings.borrow();
        SocketAddr::new(
            settings.ip_address,
            settings.internal_port(InternalPort::Gate),
        )
    };
    match UdpSocket::bind(address).await {
        Ok(socket) => {
            tokio::join!(receive_all(&gate, &socket), send_all(&gate, &socket));
        }
        Err(error) => {
            warn!(gate.log, "cannot bind the socket for load reports, serving without reports of other gates"; "address" => %address, "error" => %error);
        }
    }
}

async fn receive_all(gate: &Gate, socket: &UdpSocket) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(MIN_SEND_INTERVAL).await;
            continue;
        };
        let is_peer = gate
            .peers
            .borrow()
            .iter()
            .any(|peer| peer.ip() == sender.ip());
        if let Some(report) = decode(&buffer[..length]).filter(|_| is_peer) {
            let now = gate.clock.now();
            gate.decider
                .borrow_mut()
                .apply_peer_report(now, peer_number(sender.ip()), &report);
        }
    }
}

async fn send_all(gate: &Gate, socket: &UdpSocket) {
    let mut last_sent = PeerReport::default();
    let mut last_sent_at = Instant::now();
    loop {
        let peers = gate.peers.borrow().clone();
        tokio::time::sleep(send_interval(peers.len())).await;
        let Some(report) = report_to_send(gate, &last_sent, last_sent_at) else {
            continue;
        };
        let datagram = encode(&report);
        for peer in peers {
            // A datagram that is not sent is made up for by the next one.
            let _ = socket.try_send_to(&datagram, peer);
        }
        last_sent = report;
        last_sent_at = Instant::now();
    }
}

/// This gate's report, if it differs significantly from the last one or must be refreshed.
fn report_to_send(
    gate: &Gate,
    last_sent: &PeerReport,
    last_sent_at: Instant,
) -> Option<PeerReport> {
    let decider = gate.decider.borrow();
    let report = decider.peer_report(gate.clock.now());
    let is_changed = decider.is_significant_change(last_sent, &report);
    let is_due =
        is_changed || report != PeerReport::default() && last_sent_at.elapsed() >= REFRESH_INTERVAL;
    is_due.then_some(report)
}

/// The time between two datagrams of a gate with this many peers.
fn send_interval(peers: usize) -> Duration {
    let factor = peers as f64 / PEERS_AT_FULL_RATE as f64;
    MIN_SEND_INTERVAL
        .mul_f64(factor.max(1.0))
        .min(REFRESH_INTERVAL)
}

fn encode(report: &PeerReport) -> Vec<u8> {
    let pending_prefill = report
        .pending_prefill
        .iter()
        .take(MAX_SERVERS)
        .map(|at| (at.server, at.tokens));
    let suspect = report.suspect.iter().take(MAX_SERVERS).copied();
    let datagram = Datagram {
        version: VERSION,
        unread: pending_prefill.collect(),
        suspect: suspect.collect(),
    };
    postcard::to_stdvec(&datagram).unwrap_or_default()
}

/// Decodes a datagram; `None` if it is invalid or of another version.
fn decode(bytes: &[u8]) -> Option<PeerReport> {
    let datagram: Datagram = postcard::from_bytes(bytes).ok()?;
    let is_valid = datagram.version == VERSION
        && datagram.unread.len() <= MAX_SERVERS
        && datagram.suspect.len() <= MAX_SERVERS;
    let pending_prefill = datagram
        .unread
        .into_iter()
        .map(|(server, tokens)| PendingPrefill { server, tokens });
    is_valid.then(|| PeerReport {
        pending_prefill: pending_prefill.collect(),
        suspect: datagram.suspect,
    })
}

/// The id of a peer for the decider, derived from its IP address.
fn peer_number(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64,
    }
}

#[cfg(test)]
mod tests;
