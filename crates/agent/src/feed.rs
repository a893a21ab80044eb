//! The feed of the gate beside the agent, over loopback.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, WrapErr as _};
use ironmast_schema::control::{FromGate, ToGate};
use ironmast_transport::link;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::state::State;

/// After an accept that failed.
const PAUSE: Duration = Duration::from_millis(20);

type Shared = Rc<RefCell<State>>;

/// Listens for the gate.
///
/// # Errors
/// The address that can't be listened at.
pub(crate) async fn start(state: &Shared, at: SocketAddr) -> Result<()> {
    let listener = TcpListener::bind(at)
        .await
        .wrap_err_with(|| format!("listening at {at}"))?;
    let shared = Rc::clone(state);
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(accepted(Rc::clone(&shared), stream));
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    });
    Ok(())
}

/// Returns once no gate is linked.
pub(crate) async fn gate_left(state: &Shared) {
    let left = Rc::clone(&state.borrow().gate_left);
    while state.borrow().gates_linked > 0 {
        left.notified().await;
    }
}

async fn accepted(state: Shared, stream: TcpStream) {
    state.borrow_mut().gates_linked += 1;
    let mut last = None;
    let _ = serve(&state, stream, &mut last).await;
    let mut state = state.borrow_mut();
    state.gates_linked -= 1;
    // The gate has ended: no client is to be sent there any more. Whether it was ready until then
    // tells whether it was told to end.
    if let Some((frontend, ready)) = last {
        state.status(frontend, ready, true);
    }
    state.gate_left.notify_one();
}

/// Feeds a gate until its link ends; `last` is what it last said of itself.
async fn serve(
    state: &Shared,
    stream: TcpStream,
    last: &mut Option<(SocketAddr, bool)>,
) -> Result<()> {
    let (mut receiver, mut sender) = link::split::<FromGate, ToGate>(stream)?;
    let (to, mut queue) = mpsc::unbounded_channel();
    state.borrow_mut().subscribe(to);
    loop {
        tokio::select! {
            frame = queue.recv() => match frame {
                Some(frame) => sender.send(&frame).await?,
                None => return Ok(()),
            },
            frame = receiver.next() => match frame? {
                Some(FromGate::Status { frontend, ready }) => {
                    *last = Some((frontend, ready));
                    state.borrow_mut().status(frontend, ready, false);
                }
                None => return Ok(()),
            },
        }
    }
}

#[cfg(test)]
mod tests;
