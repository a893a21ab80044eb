//! What an agent tells of the gate beside it as that one's link ends.

use std::path::Path;

use ironmast_schema::control::{GateStatus, Value};
use ironmast_schema::settings::Settings;

use super::*;

fn state() -> Shared {
    let text = "node_name: a\nip_address: 10.0.0.1\nzone: z\nregion: r\ninternal_port_range: [7000, 7009]\n";
    Rc::new(RefCell::new(State::new(
        &Settings::parse(Path::new("local.yaml"), text).expect("sound"),
    )))
}

/// What is told of a gate that said these things of itself and then closed its link.
fn told_of(said: &[bool]) -> Option<GateStatus> {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let connect = link::connect::<ToGate, FromGate>(address, Duration::from_secs(1));
        let (gate, accepted_link) = tokio::join!(connect, listener.accept());
        let (_receiver, mut sender) = gate.expect("a link");
        let frontend = "10.0.0.1:80".parse().expect("an address");
        for ready in said {
            sender
                .send(&FromGate::Status {
                    frontend,
                    ready: *ready,
                })
                .await
                .expect("the agent listens");
        }
        drop((_receiver, sender));
        let state = state();
        accepted(Rc::clone(&state), accepted_link.expect("accepted").0).await;
        let status = state.borrow().status.borrow().clone()?;
        match status.value {
            Value::Gate(record) => Some(record.status()),
            _ => None,
        }
    })
}

#[test]
fn a_gate_that_was_told_to_end_is_told_from_one_that_vanished() {
    assert_eq!(told_of(&[true, false]), Some(GateStatus::Stopped));
    assert_eq!(told_of(&[false, true]), Some(GateStatus::Lost));
    assert_eq!(told_of(&[]), None);
}
