use super::*;
use crate::fields::Fields;

#[test]
fn every_action_is_encoded_as_its_line() {
    let line = "7\tclasses.count=1\tclasses.0.name=a\tclasses.0.objective=1\tclasses.0.hard_limit=2\tzone=z\tzones=z";
    let mut instance = Instance::create(&mut Fields::new(line)).expect("valid settings");
    let server = ServerId::from_name("b:1");
    instance.servers.insert(server, "b:1".to_string());
    let data = vec![0x0a, 0xff];
    for (action, text) in [
        (
            Action::Send {
                id: 9,
                server,
                timeout: Some(5),
                start_deadline: None,
            },
            "SEND\t3\t9\tb:1\t5\n",
        ),
        (
            Action::Send {
                id: 9,
                server,
                timeout: None,
                start_deadline: None,
            },
            "SEND\t3\t9\tb:1\t0\n",
        ),
        (
            Action::Reject {
                id: 9,
                retry_after: None,
            },
            "NOT_NOW\t3\t9\t0\n",
        ),
        (Action::Fail { id: 9 }, "END_FAILED\t3\t9\n"),
        (Action::Cancel { id: 9, attempt: 1 }, "REVOKE\t3\t9\t1\n"),
        (Action::Timer { delay: 4, token: 8 }, "AFTER\t3\t4\t8\n"),
        (Action::Subscribe, "WATCH\t3\t1\n"),
        (Action::Unsubscribe, "WATCH\t3\t0\n"),
        (Action::FetchAll, "QUERY_ALL\t3\n"),
        (Action::Probe { server }, "HEALTH_CHECK\t3\tb:1\n"),
        (
            Action::SendToPeers { to: None, data },
            "PUBLISH\t3\t-1\t0aff\n",
        ),
        (
            Action::SendToPeers {
                to: Some(2),
                data: Vec::new(),
            },
            "PUBLISH\t3\t2\t-\n",
        ),
        (Action::CloseIdle { server }, "DISCONNECT\t3\tb:1\n"),
        (
            Action::Log("two\tlines\n".to_string()),
            "REMARK\t3\ttwo lines \n",
        ),
    ] {
        let mut out = String::new();
        instance
            .encode_action(3, &action, &mut out)
            .expect("a listed server");
        assert_eq!(out, text);
    }
    let unknown = Action::Probe {
        server: ServerId::from_name("c:1"),
    };
    assert!(
        instance
            .encode_action(3, &unknown, &mut String::new())
            .is_err()
    );
}
