//! Datagrams between the proxies of a tier.

use std::net::SocketAddr;
use std::rc::Rc;

use slog::{Logger, debug, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use crate::message::{Message, Queue, Tell};

/// A longer datagram voids the run.
const MOST: usize = 256;

/// The socket and who may speak on it.
pub struct Peers {
    /// Bound to where datagrams arrive; they are sent from there too.
    pub socket: Option<Rc<UdpSocket>>,
    /// Every proxy of the tier, by number.
    pub peers: Vec<SocketAddr>,
    /// Reaches them all.
    pub all: Option<SocketAddr>,
    /// Where remarks go.
    pub log: Logger,
    /// To the driver.
    pub queue: Queue,
    /// Whether this process serves: of two that replace one another only one speaks and hears.
    pub serving: watch::Receiver<bool>,
}

impl Peers {
    /// Sends what is to be told and passes on what arrives.
    pub async fn run(mut self, mut tells: mpsc::UnboundedReceiver<Tell>) {
        let mut buffer = [0; MOST + 1];
        loop {
            let Some(socket) = self.socket.clone() else {
                while tells.recv().await.is_some() {
                    warn!(self.log, "a message to peers, but there is no socket for them");
                }
                return;
            };
            let serves = *self.serving.borrow_and_update();
            tokio::select! {
                Ok(()) = self.serving.changed() => {}
                tell = tells.recv() => match tell {
                    Some(tell) if serves => self.tell(&socket, tell).await,
                    Some(_) => {}
                    None => return,
                },
                received = socket.recv_from(&mut buffer), if serves => {
                    // An error speaks of an earlier datagram that found nobody.
                    let Ok((bytes, from)) = received else { continue };
                    match self.peers.iter().position(|&p| p == from) {
                        Some(number) if bytes <= MOST => {
                            self.queue.say(Message::Peer(number as u32, buffer[..bytes].to_vec()));
                        }
                        _ => debug!(self.log, "a datagram is dropped"; "from" => from),
                    }
                }
            }
        }
    }

    async fn tell(&self, socket: &UdpSocket, (to, data): Tell) {
        let address = match to {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.all,
        };
        match address {
            Some(address) if data.len() <= MOST => {
                if let Err(error) = socket.send_to(&data, address).await {
                    debug!(self.log, "a message is lost"; "why" => %error);
                }
            }
            _ => warn!(self.log, "a message to peers has no address or is too long"; "bytes" => data.len()),
        }
    }
}
