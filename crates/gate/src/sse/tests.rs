use proptest::prelude::*;

use super::*;

fn event(id: u64, text: &str) -> String {
    format!("id: {id}\ndata: {text}\n\n")
}

/// Pushes all chunks until one is invalid; returns the text of the complete events.
fn push_all(framer: &mut EventFramer, chunks: &[&str]) -> (String, Result<(), EventError>) {
    let mut relayed = String::new();
    for chunk in chunks {
        let Framed { complete, validity } = framer.push(chunk.as_bytes());
        relayed.extend(
            complete
                .iter()
                .map(|events| String::from_utf8_lossy(&events.bytes).into_owned()),
        );
        if validity.is_err() {
            return (relayed, validity);
        }
    }
    (relayed, Ok(()))
}

#[test]
fn partial_event_is_withheld_until_it_is_complete() {
    let mut framer = EventFramer::default();
    assert_eq!(framer.push(b"id: 1\ndata: a").complete, None);
    assert!(!framer.is_at_event_boundary());
    assert_eq!(framer.push(b"b\n").complete, None);
    let Framed { complete, validity } = framer.push(b"\nid: 2\n");
    let complete = complete.expect("the first event is complete");
    assert_eq!(
        (&complete.bytes[..], complete.last_id),
        (&b"id: 1\ndata: ab\n\n"[..], Some(1))
    );
    assert_eq!(validity, Ok(()));
    assert!(!framer.is_at_event_boundary());
}

#[test]
fn event_is_complete_with_its_empty_line() {
    let mut framer = EventFramer::default();
    let (relayed, _) = push_all(&mut framer, &["id: 1\r\ndata: a\r\n\r", "\n"]);
    assert_eq!(relayed, "id: 1\r\ndata: a\r\n\r\n");
    assert!(framer.is_at_event_boundary());
}

#[test]
fn duplicate_event_is_withheld_and_those_before_it_are_relayed() {
    let mut framer = EventFramer::resuming_after(Some(4));
    let (relayed, validity) = push_all(&mut framer, &[&(event(5, "a") + &event(5, "a"))]);
    assert_eq!(relayed, event(5, "a"));
    assert_eq!(validity, Err(EventError::OutOfSequence { last: 5, got: 5 }));
}

#[test]
fn gap_in_the_ids_is_an_error() {
    let mut framer = EventFramer::resuming_after(Some(4));
    let (relayed, validity) = push_all(&mut framer, &[&event(6, "a")]);
    assert_eq!(
        (relayed.as_str(), validity),
        ("", Err(EventError::OutOfSequence { last: 4, got: 6 }))
    );
}

#[test]
fn first_id_of_a_new_stream_may_be_any_number() {
    let (relayed, validity) = push_all(
        &mut EventFramer::default(),
        &[&event(0, "a"), &event(1, "b")],
    );
    assert_eq!(
        (relayed, validity),
        (event(0, "a") + &event(1, "b"), Ok(()))
    );
}

#[test]
fn other_fields_and_comments_are_relayed_unchanged() {
    let text = ": hello\n\nversions: 7\nid: 3\nevent: x\ndata: id: 9\n\n";
    let (relayed, validity) = push_all(&mut EventFramer::default(), &[text]);
    assert_eq!((relayed.as_str(), validity), (text, Ok(())));
}

#[test]
fn id_that_is_not_a_number_is_an_error() {
    assert_eq!(
        EventFramer::default().push(b"id: x\n").validity,
        Err(EventError::InvalidId)
    );
}

#[test]
fn event_longer_than_the_maximum_is_an_error() {
    let mut framer = EventFramer::default();
    assert_eq!(framer.push(&vec![b'a'; MAX_EVENT_BYTES]).validity, Ok(()));
    assert_eq!(framer.push(b"a").validity, Err(EventError::TooLong));
}

proptest! {
    #[test]
    fn exactly_the_complete_events_are_relayed_however_the_bytes_arrive(
        texts in proptest::collection::vec("[a-z:\r]{0,20}", 1..20),
        chunk_lengths in proptest::collection::vec(1_usize..40, 1..60),
        missing in 0_usize..8,
    ) {
        let texts: Vec<String> = texts.iter().map(|text| text.replace('\r', "")).collect();
        let events: Vec<String> = texts.iter().enumerate().map(|(id, text)| event(id as u64, text)).collect();
        let sent = events.concat();
        let sent = &sent.as_bytes()[..sent.len().saturating_sub(missing)];
        let mut framer = EventFramer::default();
        let mut relayed = Vec::new();
        let mut rest = sent;
        for length in chunk_lengths.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at((*length).min(rest.len()));
            let Framed { complete, validity } = framer.push(chunk);
            prop_assert_eq!(validity, Ok(()));
            let relayed_before = relayed.len();
            relayed.extend(complete.iter().flat_map(|events| events.bytes.to_vec()));
            prop_assert!(relayed.len() == relayed_before || relayed.ends_with(b"\n\n"));
            rest = after;
        }
        prop_assert!(sent.starts_with(&relayed));
        let kept = String::from_utf8_lossy(&relayed).into_owned();
        let ends = events.iter().scan(0, |end, event| { *end += event.len(); Some(*end) });
        let expected = ends.filter(|end| *end <= sent.len()).last().unwrap_or(0);
        prop_assert_eq!(kept.len(), expected);
        prop_assert_eq!(framer.is_at_event_boundary(), expected == sent.len());
    }
}
