//! Datagrams between the proxies of a cluster: those of the decision module, and those of
//! membership where it is enabled.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ironmast_membership::{Action, Membership, PROTOCOL_TAG};
use slog::{Logger, debug, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::members;
use crate::message::{Message, PeerMessage, Queue};

/// The maximum size of a datagram in bytes, given by the platform.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The socket of the datagrams and who may use it.
pub(crate) struct Peers {
    /// Bound to where datagrams arrive; they are sent from there too.
    pub socket: Option<Rc<UdpSocket>>,
    /// Every proxy of the cluster, by number.
    pub addresses: Vec<SocketAddr>,
    /// The address that reaches them all.
    pub broadcast: Option<SocketAddr>,
    /// The log.
    pub log: Logger,
    /// To the driver.
    pub queue: Queue,
    /// Whether this process serves: of the two of a hot restart only one sends and receives.
    pub serving: watch::Receiver<bool>,
    /// Which proxies of the cluster are alive, if membership is enabled; its datagrams begin with
    /// its tag.
    pub membership: Option<Membership>,
}

/// A datagram that has arrived.
struct Datagram<'a> {
    data: &'a [u8],
    from: SocketAddr,
}

impl Datagram<'_> {
    /// Whether it is one of membership. What is left in the buffer of an earlier datagram says
    /// nothing of it.
    fn is_membership(&self) -> bool {
        self.data.starts_with(&PROTOCOL_TAG)
    }
}

impl Peers {
    /// Sends messages and reports the datagrams that arrive, until all senders are dropped.
    pub(crate) async fn run(mut self, mut messages: mpsc::UnboundedReceiver<PeerMessage>) {
        let Some(socket) = self.socket.clone() else {
            return self.discard(messages).await;
        };
        // A byte more than is permitted, so that a longer datagram shows.
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
                    // An error is that of an earlier datagram, which could not be delivered.
                    if let Ok((bytes, from)) = received {
                        let datagram = Datagram { data: &buffer[..bytes], from };
                        self.receive(&socket, datagram, start.elapsed()).await;
                    }
                }
            }
        }
    }

    /// Discards all messages, because there is no socket.
    async fn discard(&self, mut messages: mpsc::UnboundedReceiver<PeerMessage>) {
        while messages.recv().await.is_some() {
            warn!(
                self.log,
                "message to peers dropped: no socket is configured"
            );
        }
    }

    /// Handles a datagram that arrived at `now`, in the time of membership.
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
            _ => debug!(self.log, "peer datagram dropped"; "from" => from),
        }
    }

    /// Carries out the actions of membership.
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

    /// Sends a message of the decision module.
    async fn send(&self, socket: &UdpSocket, PeerMessage { to, data }: PeerMessage) {
        let address = match to {
            Some(peer) => self.addresses.get(peer as usize).copied(),
            None => self.broadcast,
        };
        match address {
            Some(address) if data.len() <= MAX_DATAGRAM_BYTES => {
                if let Err(error) = socket.send_to(&data, address).await {
                    debug!(self.log, "message to a peer could not be sent"; "error" => %error);
                }
            }
            _ => {
                warn!(self.log, "message to peers dropped: no address or too long"; "bytes" => data.len());
            }
        }
    }
}

/// Returns at the moment `due`, or never if there is none.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
