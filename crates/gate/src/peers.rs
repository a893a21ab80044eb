//! What the gates of a region tell each other, by datagrams: the prompts that each has out and that
//! wait to be read, and servers that seem out of order to it. A datagram holds all of it, so one
//! that is lost is made up for by the next. In a larger region each gate tells less often, so that
//! what a gate hears in a second does not grow with the region.

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

/// The version of the datagrams.
const VERSION: u8 = 2;
/// News is told at most this often to [`PEERS_FEW`] peers and fewer, and less often in proportion
/// to more.
const EVERY: Duration = Duration::from_millis(50);
const PEERS_FEW: usize = 16;
/// What has not changed is told again after this: peers forget it after half a second.
const AGAIN: Duration = Duration::from_millis(250);
/// Servers in one datagram.
const SERVERS_MOST: usize = 64;
/// The longest datagram that is read, in bytes.
const DATAGRAM_MOST: usize = 2_048;

/// What a gate has out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Told {
    version: u8,
    /// Hashes of servers, and the tokens that wait there.
    unread: Vec<(u64, u64)>,
    /// Hashes of servers that seem out of order.
    suspect: Vec<u64>,
}

/// Tells and hears for as long as the gate lives. A gate that can't do so serves without.
pub(crate) fn start(gate: &Rc<Gate>) {
    let gate = Rc::clone(gate);
    actix_rt::spawn(async move {
        let at = {
            let settings = gate.settings.borrow();
            SocketAddr::new(
                settings.ip_address,
                settings.internal_port(InternalPort::Gate),
            )
        };
        match UdpSocket::bind(at).await {
            Ok(socket) => {
                tokio::join!(hear(&gate, &socket), tell(&gate, &socket));
            }
            Err(error) => warn!(gate.log, "gates are not heard"; "at" => %at, "why" => %error),
        }
    });
}

async fn hear(gate: &Gate, socket: &UdpSocket) {
    let mut datagram = [0; DATAGRAM_MOST];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut datagram).await else {
            tokio::time::sleep(EVERY).await;
            continue;
        };
        let known = gate
            .peers
            .borrow()
            .iter()
            .any(|peer| peer.ip() == from.ip());
        if let Some(told) = parse(&datagram[..length]).filter(|_| known) {
            let now = gate.clock.now();
            gate.decider
                .borrow_mut()
                .apply_peer_report(now, peer_number(from.ip()), &told);
        }
    }
}

async fn tell(gate: &Gate, socket: &UdpSocket) {
    let mut last = PeerReport::default();
    let mut at = Instant::now();
    loop {
        let peers = gate.peers.borrow().clone();
        tokio::time::sleep(pause(peers.len())).await;
        let (news, is_due) = {
            let decider = gate.decider.borrow();
            let news = decider.peer_report(gate.clock.now());
            let is_changed = decider.is_significant_change(&last, &news);
            let is_due = is_changed || news != PeerReport::default() && at.elapsed() >= AGAIN;
            (news, is_due)
        };
        if !is_due {
            continue;
        }
        let datagram = encode(&news);
        for peer in peers {
            // One that is lost is told again.
            let _ = socket.try_send_to(&datagram, peer);
        }
        last = news;
        at = Instant::now();
    }
}

/// The time from one datagram to the next.
fn pause(peers: usize) -> Duration {
    let more = peers as f64 / PEERS_FEW as f64;
    EVERY.mul_f64(more.max(1.0)).min(AGAIN)
}

fn encode(news: &PeerReport) -> Vec<u8> {
    let unread = news
        .pending_prefill
        .iter()
        .take(SERVERS_MOST)
        .map(|at| (at.server, at.tokens));
    let suspect = news.suspect.iter().take(SERVERS_MOST).copied();
    let told = Told {
        version: VERSION,
        unread: unread.collect(),
        suspect: suspect.collect(),
    };
    postcard::to_stdvec(&told).unwrap_or_default()
}

fn parse(datagram: &[u8]) -> Option<PeerReport> {
    let told: Told = postcard::from_bytes(datagram).ok()?;
    let is_sound = told.version == VERSION
        && told.unread.len() <= SERVERS_MOST
        && told.suspect.len() <= SERVERS_MOST;
    let unread = told
        .unread
        .into_iter()
        .map(|(server, tokens)| PendingPrefill { server, tokens });
    is_sound.then(|| PeerReport {
        pending_prefill: unread.collect(),
        suspect: told.suspect,
    })
}

/// A number for a peer, the same for all its datagrams.
fn peer_number(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64,
    }
}

#[cfg(test)]
mod tests;
