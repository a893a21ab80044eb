//! Transports that violate the contract.

use std::net::SocketAddr;

use ironmast_transport::frames::{
    Hello, LinkEvent, LinkId, LinkOptions, MessageTransport, SendError, Sent,
};

use crate::factories::{Message, TransportFactory};

/// The fault of a transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// Each tenth message is lost.
    Loses,
    /// Each tenth message is sent twice.
    Repeats,
    /// Each tenth message is sent after the next.
    Swaps,
    /// The end of a link is not reported.
    HidesEnds,
}

/// Makes transports that have a fault.
pub(crate) struct FaultyFactory<F> {
    /// Makes the transports without the fault.
    pub factory: F,
    /// The fault of all transports.
    pub fault: Fault,
}

impl<F: TransportFactory> TransportFactory for FaultyFactory<F> {
    type Transport<M: Message> = Faulty<F::Transport<M>>;

    fn listen<M: Message>(&mut self, hello: Hello, options: LinkOptions) -> Self::Transport<M> {
        let transport = self.factory.listen(hello, options);
        Faulty {
            transport,
            fault: self.fault,
            sent: 0,
            delayed: None,
        }
    }

    fn unused_address(&mut self) -> SocketAddr {
        self.factory.unused_address()
    }
}

/// A transport with a fault.
pub(crate) struct Faulty<T: MessageTransport> {
    transport: T,
    fault: Fault,
    sent: usize,
    delayed: Option<Vec<u8>>,
}

impl<M: Message, T: MessageTransport<Message = M>> MessageTransport for Faulty<T> {
    type Message = M;

    fn local_address(&self) -> SocketAddr {
        self.transport.local_address()
    }

    fn connect(&mut self, peer: SocketAddr) -> LinkId {
        self.transport.connect(peer)
    }

    fn send(&mut self, link: LinkId, message: &M) -> Result<Sent, SendError> {
        self.sent += 1;
        if !self.sent.is_multiple_of(10) {
            let sent = self.transport.send(link, message);
            if let Some(delayed) = self.delayed.take() {
                let message = postcard::from_bytes::<M>(&delayed).expect("encoded below");
                self.transport.send(link, &message)?;
            }
            return sent;
        }
        match self.fault {
            Fault::Loses => return Ok(Sent { dropped: 0 }),
            Fault::Repeats => drop(self.transport.send(link, message)?),
            Fault::Swaps => {
                self.delayed = Some(postcard::to_stdvec(message).expect("a message"));
                return Ok(Sent { dropped: 0 });
            }
            Fault::None | Fault::HidesEnds => {}
        }
        self.transport.send(link, message)
    }

    fn close(&mut self, link: LinkId) {
        self.transport.close(link);
    }

    async fn next(&mut self) -> LinkEvent<M> {
        loop {
            let event = self.transport.next().await;
            if self.fault == Fault::HidesEnds && matches!(event, LinkEvent::Down { .. }) {
                continue;
            }
            return event;
        }
    }
}
