use proptest::prelude::*;

use super::*;

fn event(id: u64, text: &str) -> String {
    format!("id: {id}\ndata: {text}\n\n")
}

fn push_all(events: &mut Events, parts: &[&str]) -> (String, Result<(), EventError>) {
    let mut out = String::new();
    for part in parts {
        let (whole, checked) = events.push(part.as_bytes());
        out.extend(
            whole
                .iter()
                .map(|whole| String::from_utf8_lossy(&whole.bytes).into_owned()),
        );
        if checked.is_err() {
            return (out, checked);
        }
    }
    (out, Ok(()))
}

#[test]
fn half_an_event_stays_until_it_is_whole() {
    let mut events = Events::default();
    assert_eq!(events.push(b"id: 1\ndata: a").0, None);
    assert!(!events.is_between());
    assert_eq!(events.push(b"b\n").0, None);
    let (whole, checked) = events.push(b"\nid: 2\n");
    let whole = whole.expect("the first event is whole");
    assert_eq!(
        (&whole.bytes[..], whole.last),
        (&b"id: 1\ndata: ab\n\n"[..], Some(1))
    );
    assert_eq!(checked, Ok(()));
    assert!(!events.is_between());
}

#[test]
fn an_event_is_whole_with_its_empty_line() {
    let mut events = Events::default();
    let (out, _) = push_all(&mut events, &["id: 1\r\ndata: a\r\n\r", "\n"]);
    assert_eq!(out, "id: 1\r\ndata: a\r\n\r\n");
    assert!(events.is_between());
}

#[test]
fn a_repeated_event_is_held_back_and_those_before_it_are_not() {
    let mut events = Events::after(Some(4));
    let (out, checked) = push_all(&mut events, &[&(event(5, "a") + &event(5, "a"))]);
    assert_eq!(out, event(5, "a"));
    assert_eq!(checked, Err(EventError::Order { last: 5, got: 5 }));
}

#[test]
fn a_gap_is_found() {
    let mut events = Events::after(Some(4));
    let (out, checked) = push_all(&mut events, &[&event(6, "a")]);
    assert_eq!(
        (out.as_str(), checked),
        ("", Err(EventError::Order { last: 4, got: 6 }))
    );
}

#[test]
fn the_first_id_of_a_fresh_stream_is_taken_as_it_is() {
    let (out, checked) = push_all(&mut Events::default(), &[&event(0, "a"), &event(1, "b")]);
    assert_eq!((out, checked), (event(0, "a") + &event(1, "b"), Ok(())));
}

#[test]
fn other_lines_and_comments_pass_unchanged() {
    let text = ": hello\n\nversions: 7\nid: 3\nevent: x\ndata: id: 9\n\n";
    let (out, checked) = push_all(&mut Events::default(), &[text]);
    assert_eq!((out.as_str(), checked), (text, Ok(())));
}

#[test]
fn an_id_that_is_no_number_is_an_error() {
    assert_eq!(Events::default().push(b"id: x\n").1, Err(EventError::Id));
}

#[test]
fn an_event_without_end_is_an_error() {
    let mut events = Events::default();
    assert_eq!(events.push(&vec![b'a'; EVENT_MOST]).1, Ok(()));
    assert_eq!(events.push(b"a").1, Err(EventError::TooLong));
}

proptest! {
    #[test]
    fn however_it_arrives_all_whole_events_come_out_and_nothing_else(
        texts in proptest::collection::vec("[a-z:\r]{0,20}", 1..20),
        cuts in proptest::collection::vec(1_usize..40, 1..60),
        missing in 0_usize..8,
    ) {
        let texts: Vec<String> = texts.iter().map(|text| text.replace('\r', "")).collect();
        let whole: Vec<String> = texts.iter().enumerate().map(|(id, text)| event(id as u64, text)).collect();
        let sent = whole.concat();
        let sent = &sent.as_bytes()[..sent.len().saturating_sub(missing)];
        let mut events = Events::default();
        let mut out = Vec::new();
        let mut rest = sent;
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at((*cut).min(rest.len()));
            let (whole, checked) = events.push(part);
            prop_assert_eq!(checked, Ok(()));
            let begun = out.len();
            out.extend(whole.iter().flat_map(|whole| whole.bytes.to_vec()));
            prop_assert!(out.len() == begun || out.ends_with(b"\n\n"));
            rest = after;
        }
        prop_assert!(sent.starts_with(&out));
        let kept = String::from_utf8_lossy(&out).into_owned();
        let complete = whole.iter().scan(0, |end, event| { *end += event.len(); Some(*end) });
        let expected = complete.filter(|end| *end <= sent.len()).last().unwrap_or(0);
        prop_assert_eq!(kept.len(), expected);
        prop_assert_eq!(events.is_between(), expected == sent.len());
    }
}
