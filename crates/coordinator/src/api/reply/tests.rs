//! HTTP statuses and bodies of all outcomes, compared byte for byte.

use super::*;

fn status_and_text(reply: Reply) -> (u16, String) {
    (
        reply.status.as_u16(),
        String::from_utf8(reply.body).expect("text"),
    )
}

#[test]
fn each_change_outcome_has_its_status_and_text() {
    let mismatch = ChangeError::Rejected(Rejection::VersionMismatch);
    let stale = ChangeError::Rejected(Rejection::StaleGeneration);
    let caller_gone = ChangeError::Rejected(Rejection::CallerGone);
    let table: [(ChangeOutcome, u16, &str); 8] = [
        (Ok(()), 200, "{}"),
        (Err(mismatch), 412, "another version is in place\n"),
        (
            Err(stale),
            400,
            "the generation is not above the current one\n",
        ),
        (
            Err(caller_gone),
            503,
            "the caller has closed the connection\n",
        ),
        (
            Err(ChangeError::OutOfContact),
            503,
            "no majority of the coordinators is in contact\n",
        ),
        (
            Err(ChangeError::NoQuorum),
            503,
            "no majority of the coordinators has answered in time\n",
        ),
        (
            Err(ChangeError::Unknown),
            504,
            "it may be in force or come into force\n",
        ),
        (
            Err(ChangeError::ContactLost),
            503,
            "contact with the other coordinators was lost\n",
        ),
    ];
    for (outcome, status, text) in table {
        assert_eq!(
            status_and_text(outcome.into()),
            (status, text.to_string()),
            "{outcome:?}"
        );
    }
    assert_eq!(
        status_and_text(ChangeOutcome::Err(ChangeError::ContactLostAfterApply).into()),
        (
            504,
            "it may be in force; contact was lost meanwhile\n".to_string()
        )
    );
}

#[test]
fn each_read_outcome_has_its_status_and_text() {
    let table: [(ReadOutcome, u16, &str); 5] = [
        (
            Ok(b"{\"generation\":3}".to_vec()),
            200,
            "{\"generation\":3}",
        ),
        (
            Err(ReadError::NoConfiguration),
            404,
            "there is no configuration yet\n",
        ),
        (
            Err(ReadError::OutOfContact),
            503,
            "no majority of the coordinators is in contact\n",
        ),
        (
            Err(ReadError::NoQuorum),
            503,
            "no majority of the coordinators has answered in time\n",
        ),
        (
            Err(ReadError::ContactLost),
            503,
            "contact with the other coordinators was lost\n",
        ),
    ];
    for (outcome, status, text) in table {
        assert_eq!(
            status_and_text(outcome.clone().into()),
            (status, text.to_string()),
            "{outcome:?}"
        );
    }
}

#[test]
fn each_registration_outcome_has_its_status_and_text() {
    let table: [(RegistrationOutcome, u16, &str); 4] = [
        (Ok(()), 200, "{}"),
        (
            Err(RegistrationError::OutOfContact),
            503,
            "no majority of the coordinators is in contact\n",
        ),
        (
            Err(RegistrationError::UnknownServer),
            503,
            "this server is not known here\n",
        ),
        (
            Err(RegistrationError::NotReplicated),
            503,
            "no majority of the coordinators has confirmed it in time\n",
        ),
    ];
    for (outcome, status, text) in table {
        assert_eq!(
            status_and_text(outcome.into()),
            (status, text.to_string()),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_resolution_has_status_200_with_addresses_and_ttl() {
    let reply = Reply::from(ResolveOutcome::Ok(Resolution {
        addresses: vec!["10.0.0.1:80".parse().expect("an address")],
        ttl_s: 2.0,
    }));
    assert_eq!(reply.status, 200);
    let body: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(
        body,
        serde_json::json!({"addresses": ["10.0.0.1:80"], "ttl_s": 2.0})
    );
}

#[test]
fn a_resolution_without_gate_has_status_503() {
    let reply = Reply::from(ResolveOutcome::Err(ResolveError::NoGate));
    assert_eq!(reply.status, 503);
    assert_eq!(reply.body, b"no gate is known that this client may go to\n");
}
