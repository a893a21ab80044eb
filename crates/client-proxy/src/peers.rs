//! Exchanges datagrams with the other proxies of the cluster, for the decision module and, where it
//! is enabled, for the membership protocol.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ironmast_membership::{Action, Membership, PROTOCOL_TAG};
use slog::{Logger, debug, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::members;
use crate::message::{Message, PeerMessage, Queue};

/// Maximum size of a datagram in bytes, set by the platform.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Task that owns the datagram socket.
pub(crate) struct Peers {
    /// Socket on which datagrams are received and from which they are sent; `None` if no address is
    /// configured.
    pub socket: Option<Rc<UdpSocket>>,
    /// Address of every proxy of the cluster. The index identifies a proxy to the decision module.
    pub addresses: Vec<SocketAddr>,
    /// Broadcast address of the cluster; `None` if it is not configured.
    pub broadcast: Option<SocketAddr>,
    /// Logger of the process.
    pub log: Logger,
    /// Sender of the driver's queue.
    pub queue: Queue,
    /// Whether this process serves. Of the two processes of a hot restart only one sends and
    /// receives.
    pub serving: watch::Receiver<bool>,
    /// Membership protocol, which detects the live proxies of the cluster; `None` if disabled. Its
    /// datagrams begin with [`PROTOCOL_TAG`].
    pub membership: Option<Membership>,
}

/// A received datagram.
struct Datagram<'a> {
    data: &'a [u8],
    from: SocketAddr,
}

impl Datagram<'_> {
    /// Whether the datagram belongs to the membership protocol. Compares only received bytes,
    /// because the rest of the buffer may still contain an earlier datagram.
    fn is_membership(&self) -> bool {
        self.data.starts_with(&PROTOCOL_TAG)
    }
}

impl Peers {
    /// Sends messages and handles received datagrams until all senders of `messages` are dropped.
    /// Messages to send are discarded while this process does not serve.
    pub(crate) async fn run(mut self, mut messages: mpsc::UnboundedReceiver<PeerMessage>) {
        let Some(socket) = self.socket.clone() else {
            return self.discard(messages).await;
        };
        // One byte more than permitted, so that an oversized datagram is detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let start = Instant::now();
        let mut has_joined = false;
        loop {
            let serves = *self.serving.borrow_and_update();
            if serves
                && !has_joined
                && let Some(membership) = self.membership.as_mut()
            {
                let peers = members::ipv4_peers(&self.addresses);
                let actions = membership.join(&peers, start.elapsed());
                self.carry_out(&socket, actions).await;
                has_joined = true;
            }
            let due = self.membership.as_ref().and_then(Membership::next_deadline);
            let due = due.map(|after_start| start + after_start);
            tokio::select! {
                () = sleep_until(due), if serves => {
                    if let Some(membership) = self.membership.as_mut() {
                        let actions = membership.tick(start.elapsed());
                        self.carry_out(&socket, actions).await;
                    }
                }
                Ok(()) = self.serving.changed() => {}
                message = messages.recv() => match message {
                    Some(message) if serves => self.send(&socket, message).await,
                    Some(_) => {}
                    None => return,
                },
                received = socket.recv_from(&mut buffer), if serves => {
                    // An error refers to an earlier datagram that could not be delivered.
                    if let Ok((bytes, from)) = received {
                        let datagram = Datagram { data: &buffer[..bytes], from };
                        self.receive(&socket, datagram, start.elapsed()).await;
                    }
                }
            }
        }
    }

    /// Discards all messages and logs each, because no socket is configured.
    async fn discard(&self, mut messages: mpsc::UnboundedReceiver<PeerMessage>) {
        while messages.recv().await.is_some() {
            warn!(
                self.log,
                "message to peers dropped: no peer socket is configured"
            );
        }
    }

    /// Passes a datagram to the membership protocol or to the driver. `now` is the time since this
    /// task started, the clock of the membership protocol. Datagrams from unknown addresses and
    /// oversized datagrams for the decision module are dropped.
    async fn receive(&mut self, socket: &UdpSocket, datagram: Datagram<'_>, now: Duration) {
        let is_membership = datagram.is_membership();
        let Datagram { data, from } = datagram;
        let peer = self.addresses.iter().position(|&address| address == from);
        if peer.is_some()
            && is_membership
            && let Some(membership) = self.membership.as_mut()
        {
            match membership.handle_datagram(data, now) {
                Ok(actions) => self.carry_out(socket, actions).await,
                Err(error) => {
                    debug!(self.log, "membership datagram rejected"; "error" => %error);
                }
            }
            return;
        }
        match peer {
            Some(peer) if data.len() <= MAX_DATAGRAM_BYTES => {
                self.queue.send(Message::PeerDatagram {
                    from: peer as u32,
                    data: data.to_vec(),
                });
            }
            _ => {
                debug!(self.log, "peer datagram dropped: unknown sender, or more than 256 bytes"; "from" => from);
            }
        }
    }

    /// Carries out the actions of the membership protocol.
    async fn carry_out(&self, socket: &UdpSocket, actions: Vec<Action>) {
        let cluster_size = self.membership.as_ref().map_or(0, Membership::cluster_size);
        for action in actions {
            match action {
                Action::Send { to, datagram } => {
                    if let Err(error) = socket.send_to(&datagram, to).await {
                        debug!(self.log, "membership datagram could not be sent"; "error" => %error);
                    }
                }
                Action::MemberUp(member) => {
                    info!(self.log, "a member of the tier is up"; "member" => %member.address, "incarnation" => member.incarnation, "tier" => cluster_size);
                }
                Action::MemberDown(member) => {
                    info!(self.log, "a member of the tier is down"; "member" => %member.address, "incarnation" => member.incarnation, "tier" => cluster_size);
                }
            }
        }
    }

    /// Sends a message of the decision module to one peer or to all.
    async fn send(&self, socket: &UdpSocket, PeerMessage { to, data }: PeerMessage) {
        let address = match to {
            Some(peer) => self.addresses.get(peer as usize).copied(),
            None => self.broadcast,
        };
        match address {
            Some(address) if data.len() <= MAX_DATAGRAM_BYTES => {
                if let Err(error) = socket.send_to(&data, address).await {
                    debug!(self.log, "message to a peer could not be sent; it is not retried"; "error" => %error);
                }
            }
            _ => {
                warn!(self.log, "message to peers dropped: the destination has no address, or the message exceeds 256 bytes"; "bytes" => data.len());
            }
        }
    }
}

/// Sleeps until `due`; never returns if it is `None`.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
