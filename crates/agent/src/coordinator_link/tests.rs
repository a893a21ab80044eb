//! Which coordinator the agent is linked to. The tests act as the coordinators.

use std::rc::Rc;

use tokio::net::TcpListener;

use super::*;
use crate::test_support::{ready_status, shared_state};

/// The state of an agent whose gate is ready.
fn state_with_ready_gate() -> SharedState {
    let state = shared_state();
    state.borrow_mut().gate_reporter.report_up(ready_status());
    state
}

/// A coordinator that reports to every agent whether it is in contact with the majority.
struct Coordinator {
    listener: TcpListener,
    in_contact: bool,
}

impl Coordinator {
    /// A coordinator that listens on loopback and that the agent knows.
    async fn new(state: &SharedState, in_contact: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        state.borrow_mut().add_coordinators(&[address]);
        Coordinator {
            listener,
            in_contact,
        }
    }

    fn keep_alive(&self) -> FromCoordinator {
        FromCoordinator::KeepAlive {
            coordinators: Vec::new(),
            observed: Vec::new(),
            in_contact: self.in_contact,
        }
    }

    /// Serves connections one after another until the agent has reported the gate's status this many
    /// times on one of them.
    async fn serve_until_reported(&self, times: usize) {
        loop {
            let (stream, _) = self.listener.accept().await.expect("an agent");
            if self.serve(stream, times).await.is_ok() {
                return;
            }
        }
    }

    /// Sends a keep-alive before reading each frame, until the gate's status was reported `times` times
    /// on this connection.
    async fn serve(&self, stream: tokio::net::TcpStream, times: usize) -> Result<()> {
        let (mut receiver, mut sender) = link::split::<ToCoordinator, FromCoordinator>(stream)?;
        let mut reported = 0;
        while reported < times {
            sender.send(&self.keep_alive()).await?;
            match receiver.next().await? {
                Some(ToCoordinator::Entries(_)) => reported += 1,
                Some(_) => {}
                None => bail!("the agent closed the connection"),
            }
        }
        Ok(())
    }

    /// Serves connections one after another, without end.
    async fn serve_forever(&self) {
        loop {
            let (stream, _) = self.listener.accept().await.expect("an agent");
            let _ = self.serve(stream, usize::MAX).await;
        }
    }
}

/// Runs the agent's link and `others` until `end` completes.
///
/// # Panics
/// `end` has not completed after 60 s.
async fn run_until(
    state: &SharedState,
    others: impl Future<Output = ()>,
    end: impl Future<Output = ()>,
) {
    tokio::select! {
        () = run(Rc::clone(state)) => {}
        () = others => {}
        () = end => {}
        () = tokio::time::sleep(Duration::from_secs(60)) => panic!("timed out"),
    }
}

#[tokio::test]
async fn agent_links_to_the_coordinator_in_contact() {
    let state = state_with_ready_gate();
    let (out_of_contact, in_contact) = (
        Coordinator::new(&state, false).await,
        Coordinator::new(&state, true).await,
    );
    run_until(
        &state,
        out_of_contact.serve_forever(),
        in_contact.serve_until_reported(3),
    )
    .await;
}

/// Guards against an agent that stays with a coordinator out of contact because it knew no other one
/// when it connected.
#[tokio::test]
async fn agent_moves_once_a_coordinator_in_contact_is_known() {
    let state = state_with_ready_gate();
    let out_of_contact = Coordinator::new(&state, false).await;
    run_until(
        &state,
        std::future::pending(),
        out_of_contact.serve_until_reported(2),
    )
    .await;
    let in_contact = Coordinator::new(&state, true).await;
    run_until(
        &state,
        out_of_contact.serve_forever(),
        in_contact.serve_until_reported(2),
    )
    .await;
}

/// Guards against an agent that gives up the link that carries the status while it searches for a
/// better coordinator over further connections, of which one is refused and none is better.
#[tokio::test]
async fn agent_keeps_its_link_when_no_coordinator_is_in_contact() {
    let state = state_with_ready_gate();
    let only = Coordinator::new(&state, false).await;
    let dead = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port")
        .local_addr()
        .expect("bound");
    state.borrow_mut().add_coordinators(&[dead]);
    run_until(&state, std::future::pending(), only.serve_until_reported(6)).await;
}
