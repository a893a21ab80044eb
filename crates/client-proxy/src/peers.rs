//! Datagrams between the proxies of a tier.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use ironmast_membership::{Action, Membership, PROTOCOL_TAG};
use slog::{Logger, debug, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::message::{Message, PeerMessage, Queue};

/// A longer datagram voids the run.
const MOST: usize = 256;

/// The socket and who may speak on it.
pub(crate) struct Peers {
    /// Bound to where datagrams arrive; they are sent from there too.
    pub socket: Option<Rc<UdpSocket>>,
    /// Every proxy of the cluster, by number.
    #[expect(
        clippy::struct_field_names,
        reason = "the peers of this proxy, beside its own socket"
    )]
    pub peers: Vec<SocketAddr>,
    /// Reaches them all.
    pub all: Option<SocketAddr>,
    /// Where remarks go.
    pub log: Logger,
    /// To the driver.
    pub queue: Queue,
    /// Whether this process serves: of two that replace one another only one speaks and hears.
    pub serving: watch::Receiver<bool>,
    /// Who of the tier is alive, where the operators' file turns it on; its datagrams begin with
    /// its tag.
    pub membership: Option<Membership>,
}

impl Peers {
    /// Sends what is to be told and passes on what arrives.
    pub(crate) async fn run(mut self, mut tells: mpsc::UnboundedReceiver<PeerMessage>) {
        let mut buffer = [0; MOST + 1];
        let start = Instant::now();
        let mut joined = false;
        loop {
            let Some(socket) = self.socket.clone() else {
                while tells.recv().await.is_some() {
                    warn!(
                        self.log,
                        "message to peers dropped: no socket is configured"
                    );
                }
                return;
            };
            let serves = *self.serving.borrow_and_update();
            if serves
                && !joined
                && let Some(membership) = self.membership.as_mut()
            {
                let actions = membership.join(&crate::members::v4(&self.peers), start.elapsed());
                self.carry(&socket, actions).await;
                joined = true;
            }
            let due = self
                .membership
                .as_ref()
                .and_then(Membership::next_deadline)
                .map(|d| start + d);
            let timer = async move {
                match due {
                    Some(due) => tokio::time::sleep_until(due.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer, if serves => {
                    if let Some(membership) = self.membership.as_mut() {
                        let actions = membership.tick(start.elapsed());
                        self.carry(&socket, actions).await;
                    }
                }
                Ok(()) = self.serving.changed() => {}
                tell = tells.recv() => match tell {
                    Some(tell) if serves => self.tell(&socket, tell).await,
                    Some(_) => {}
                    None => return,
                },
                received = socket.recv_from(&mut buffer), if serves => {
                    // An error speaks of an earlier datagram that found nobody.
                    let Ok((bytes, from)) = received else { continue };
                    let known = self.peers.contains(&from);
                    if let (true, Some(membership)) = (known && buffer.starts_with(&PROTOCOL_TAG), self.membership.as_mut()) {
                        match membership.handle_datagram(&buffer[..bytes], start.elapsed()) {
                            Ok(actions) => self.carry(&socket, actions).await,
                            Err(why) => debug!(self.log, "membership datagram rejected"; "why" => %why),
                        }
                        continue;
                    }
                    match self.peers.iter().position(|&p| p == from) {
                        Some(number) if bytes <= MOST => {
                            self.queue.send(Message::PeerDatagram { from: number as u32, data: buffer[..bytes].to_vec() });
                        }
                        _ => debug!(self.log, "peer datagram dropped"; "from" => from),
                    }
                }
            }
        }
    }

    /// Sends what membership asks for and logs who came and went.
    async fn carry(&self, socket: &UdpSocket, actions: Vec<Action>) {
        let tier = self.membership.as_ref().map_or(0, Membership::cluster_size);
        for action in actions {
            match action {
                Action::Send { to, datagram } => {
                    if let Err(error) = socket.send_to(&datagram, to).await {
                        debug!(self.log, "membership datagram could not be sent"; "why" => %error);
                    }
                }
                Action::MemberUp(m) => {
                    info!(self.log, "a member of the tier is up"; "member" => %m.address, "incarnation" => m.incarnation, "tier" => tier);
                }
                Action::MemberDown(m) => {
                    info!(self.log, "a member of the tier is down"; "member" => %m.address, "incarnation" => m.incarnation, "tier" => tier);
                }
            }
        }
    }

    async fn tell(&self, socket: &UdpSocket, PeerMessage { to, data }: PeerMessage) {
        let address = match to {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.all,
        };
        match address {
            Some(address) if data.len() <= MOST => {
                if let Err(error) = socket.send_to(&data, address).await {
                    debug!(self.log, "message to a peer could not be sent"; "why" => %error);
                }
            }
            _ => {
                warn!(self.log, "message to peers dropped: no address or too long"; "bytes" => data.len());
            }
        }
    }
}
