//! What an agent reports of its gate when the gate's connection closes.

use ironmast_schema::control::{GateStatus, Value};

use super::*;
use crate::test_support::{frontend, shared_state};

/// The status that the agent reports of a gate that has sent these readiness flags and then closed
/// its connection.
fn status_after_closing(sent: &[bool]) -> Option<GateStatus> {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let connect = link::connect::<ToGate, FromGate>(address, Duration::from_secs(1));
        let (gate, accepted) = tokio::join!(connect, listener.accept());
        let (receiver, mut sender) = gate.expect("connected");
        let frontend = frontend();
        for ready in sent {
            sender
                .send(&FromGate::Status {
                    frontend,
                    ready: *ready,
                })
                .await
                .expect("the agent listens");
        }
        drop((receiver, sender));
        let state = shared_state();
        serve(Rc::clone(&state), accepted.expect("accepted").0).await;
        let status = state.borrow().gate_reporter.subscribe().borrow().clone()?;
        match status.value {
            Value::Gate(record) => Some(record.status()),
            _ => None,
        }
    })
}

#[test]
fn closed_gate_is_stopped_if_it_was_not_ready_and_lost_if_it_was() {
    assert_eq!(
        status_after_closing(&[true, false]),
        Some(GateStatus::Stopped)
    );
    assert_eq!(status_after_closing(&[false, true]), Some(GateStatus::Lost));
    assert_eq!(status_after_closing(&[]), None);
}
