//! The link to a coordinator, on which the gate's status goes up. News comes over the relay tree.
//!
//! A coordinator that is out of contact with the majority tells the others nothing: the gate would
//! look gone to their directories. So the agent moves to one that is in contact. Where none is, any
//! link is better than none: the agent keeps the one it has while it looks for a better one, ever
//! less often.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr as _, bail};
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use ironmast_schema::control::{FromCoordinator, Hello, PROTOCOL_VERSION, ToCoordinator};
use ironmast_transport::link;
use tokio::time::Instant;

use crate::state::State;

#[cfg(test)]
mod tests;

/// A coordinator that can't be reached is tried again after this.
const RETRY: Duration = Duration::from_millis(300);
/// A connection must come up within this, and the coordinator must speak within it.
const CONNECT: Duration = Duration::from_millis(800);
/// A link that says nothing for this long has failed.
const SILENCE: Duration = Duration::from_millis(1_500);
/// The gate's status is repeated this often: three times within what coordinators wait for.
const STATUS: Duration = Duration::from_millis(400);
/// The longest wait between two searches for a coordinator in contact.
const SEARCH_PAUSE_MOST: Duration = Duration::from_secs(2);

type Shared = Rc<RefCell<State>>;

/// A link to a coordinator that has spoken.
struct Uplink {
    address: SocketAddr,
    receiver: link::Receiver<FromCoordinator>,
    sender: link::Sender<ToCoordinator>,
    in_contact: bool,
}

/// Adds coordinators that weren't known.
pub(crate) fn add(state: &Shared, coordinators: &[SocketAddr]) {
    state.borrow_mut().coordinators.extend(coordinators);
}

/// Keeps a link to the nearest coordinator that is in contact with the majority, or else to the
/// nearest.
pub(crate) async fn keep(state: Shared) {
    let mut next: Option<Uplink> = None;
    loop {
        if next.is_none() {
            let coordinators = state.borrow().coordinators.clone();
            next = nearest(&state, coordinators).await;
        }
        if let Some(uplink) = next.take() {
            next = serve(&state, uplink).await.ok();
        }
        if next.is_none() {
            tokio::time::sleep(RETRY).await;
        }
    }
}

/// Calls these coordinators; the first that answers is the nearest. One that is out of contact is
/// taken only where none in contact answers in time.
async fn nearest(state: &Shared, coordinators: BTreeSet<SocketAddr>) -> Option<Uplink> {
    let mut calls: FuturesUnordered<_> = coordinators
        .into_iter()
        .map(|address| open(state, address))
        .collect();
    let mut patience = pin!(tokio::time::sleep(CONNECT));
    let mut fallback = None;
    loop {
        tokio::select! {
            call = calls.next() => match call {
                Some(Ok(uplink)) if uplink.in_contact => return Some(uplink),
                Some(Ok(uplink)) => {
                    fallback.get_or_insert(uplink);
                }
                Some(Err(_)) => {}
                None => return fallback,
            },
            () = &mut patience, if fallback.is_some() => return fallback,
        }
    }
}

/// Calls a coordinator and waits for its first word.
async fn open(state: &Shared, address: SocketAddr) -> Result<Uplink> {
    let (mut receiver, mut sender) =
        link::connect::<FromCoordinator, ToCoordinator>(address, CONNECT).await?;
    sender
        .send(&ToCoordinator::Hello(Hello {
            protocol: PROTOCOL_VERSION,
            coordinator: None,
        }))
        .await?;
    let first = tokio::time::timeout(CONNECT, receiver.next()).await;
    let Some(frame) =
        first.wrap_err_with(|| format!("waiting for the first word of {address}"))??
    else {
        bail!("{address} closed the link")
    };
    let FromCoordinator::KeepAlive {
        coordinators,
        in_contact,
        ..
    } = frame;
    add(state, &coordinators);
    Ok(Uplink {
        address,
        receiver,
        sender,
        in_contact,
    })
}

/// Looks for a coordinator in contact, while the link is to one that isn't.
struct Search<'a> {
    state: &'a Shared,
    /// The coordinator that the link is to.
    present: SocketAddr,
    running: Option<Pin<Box<dyn Future<Output = Option<Uplink>> + 'a>>>,
    next_at: Instant,
    pause: Duration,
}

impl<'a> Search<'a> {
    fn new(state: &'a Shared, present: SocketAddr) -> Self {
        Search {
            state,
            present,
            running: None,
            next_at: Instant::now(),
            pause: RETRY,
        }
    }

    /// Begins to look, unless it does already or did just now.
    fn start(&mut self) {
        if self.running.is_some() || Instant::now() < self.next_at {
            return;
        }
        let mut others = self.state.borrow().coordinators.clone();
        others.remove(&self.present);
        let state = self.state;
        self.running = Some(Box::pin(nearest(state, others)));
    }

    /// The present coordinator is in contact.
    fn stop(&mut self) {
        *self = Search::new(self.state, self.present);
    }

    /// Returns once a coordinator in contact is found.
    async fn found(&mut self) -> Uplink {
        loop {
            let Some(running) = &mut self.running else {
                return pending().await;
            };
            let found = running.await;
            self.running = None;
            self.next_at = Instant::now() + self.pause;
            self.pause = (self.pause * 2).min(SEARCH_PAUSE_MOST);
            if let Some(uplink) = found.filter(|uplink| uplink.in_contact) {
                return uplink;
            }
        }
    }
}

/// Serves a link until it fails; returns the better one where one is found.
async fn serve(state: &Shared, uplink: Uplink) -> Result<Uplink> {
    let Uplink {
        address,
        mut receiver,
        mut sender,
        in_contact,
    } = uplink;
    let mut search = Search::new(state, address);
    if !in_contact {
        search.start();
    }
    let mut status = state.borrow().status.subscribe();
    status.mark_changed();
    let mut repeat = tokio::time::interval(STATUS);
    let mut silence = Box::pin(tokio::time::sleep(SILENCE));
    loop {
        tokio::select! {
            frame = receiver.next() => {
                let Some(frame) = frame? else { bail!("{address} closed the link") };
                silence.as_mut().reset(Instant::now() + SILENCE);
                let FromCoordinator::KeepAlive { coordinators, in_contact, .. } = frame;
                add(state, &coordinators);
                if in_contact { search.stop() } else { search.start() }
            }
            better = search.found() => return Ok(better),
            _ = status.changed() => {
                let now = status.borrow_and_update().clone();
                if let Some(entry) = now {
                    sender.send(&ToCoordinator::Entries(vec![entry])).await?;
                }
            }
            _ = repeat.tick() => {
                let again = state.borrow_mut().repeat_status();
                if let Some(entry) = again {
                    sender.send(&ToCoordinator::Entries(vec![entry])).await?;
                }
                state.borrow_mut().forget_ended();
            }
            () = &mut silence => bail!("{address} says nothing"),
        }
    }
}
