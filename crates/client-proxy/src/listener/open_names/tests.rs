//! Tests of `open_names.rs`.

use futures_util::FutureExt as _;

use super::*;

/// Opens a name in a process without a successor, which decides at once.
fn open<'a>(names: &'a OpenNames, name: &[u8]) -> Option<OpenName<'a>> {
    names
        .open(name)
        .now_or_never()
        .expect("without a successor the decision is immediate")
        .ok()
}

#[test]
fn a_name_is_open_once_until_it_is_dropped() {
    let names = OpenNames::new(Rc::default());
    let first = open(&names, b"a").expect("free");
    assert!(open(&names, b"a").is_none());
    assert!(open(&names, b"b").is_some());
    drop(first);
    assert!(open(&names, b"a").is_some());
}

#[test]
fn a_name_that_is_open_at_the_predecessor_is_not_opened_until_that_closes_it_or_is_lost() {
    let names = OpenNames::new(Rc::default());
    names.opened_at_predecessor("61".to_string());
    names.opened_at_predecessor("62".to_string());
    assert!(open(&names, b"a").is_none() && open(&names, b"b").is_none());
    names.closed_at_predecessor("61");
    assert!(open(&names, b"a").is_some() && open(&names, b"b").is_none());
    names.forget_predecessor();
    assert!(open(&names, b"b").is_some());
}

#[test]
fn a_claim_of_the_predecessor_is_granted_once_and_only_if_the_name_is_free() {
    let names = OpenNames::new(Rc::default());
    let local = open(&names, b"a").expect("free");
    assert!(!names.grant_claim("61"));
    assert!(names.grant_claim("62"));
    assert!(!names.grant_claim("62"));
    assert!(open(&names, b"b").is_none());
    drop(local);
    assert!(names.grant_claim("61"));
}
