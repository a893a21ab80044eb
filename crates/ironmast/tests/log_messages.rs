//! Checks `docs/operators/log-messages.md` against the sources: each message that a program logs at
//! warning or above has a row there, and each row is for a message that is still logged.

mod sources;

use std::collections::BTreeSet;
use std::fs;

use sources::{crate_folders, rust_files, workspace};

/// The macros of `slog` that log at warning or above.
const MACROS: [&str; 3] = ["warn!(", "error!(", "crit!("];

/// Unit tests, which are compiled into no program.
const UNIT_TESTS: [&str; 2] = ["tests", "tests.rs"];

/// Crates whose code runs only in tests and experiments.
const NOT_IN_SERVICE: [&str; 4] = [
    "emulator",
    "fault-injection",
    "simulator-adapter",
    "testbed",
];

/// The text of the first string literal in `code`, with its escapes resolved.
fn first_literal(code: &str) -> String {
    let begin = code.find('"').expect("a message") + 1;
    let mut text = String::new();
    let mut rest = code[begin..].chars().peekable();
    while let Some(character) = rest.next() {
        match character {
            '"' => break,
            '\\' => match rest.next() {
                Some('\n') => while rest.next_if(|next| next.is_whitespace()).is_some() {},
                Some(escaped) => text.push(escaped),
                None => {}
            },
            other => text.push(other),
        }
    }
    text
}

/// The messages that one file logs at warning or above.
fn messages_of(source: &str) -> BTreeSet<String> {
    let mut messages = BTreeSet::new();
    for logging_macro in MACROS {
        for (at, _) in source.match_indices(logging_macro) {
            messages.insert(first_literal(&source[at..]));
        }
    }
    messages
}

fn logged() -> BTreeSet<String> {
    let in_service = crate_folders()
        .into_iter()
        .filter(|folder| !NOT_IN_SERVICE.iter().any(|name| folder.ends_with(name)));
    in_service
        .flat_map(|folder| rust_files(&folder.join("src"), &UNIT_TESTS))
        .flat_map(|path| messages_of(&fs::read_to_string(path).expect("a source file")))
        .collect()
}

/// The messages that the page explains: the first cell of each row, in backticks.
fn explained() -> BTreeSet<String> {
    let path = workspace().join("docs/operators/log-messages.md");
    let page = fs::read_to_string(path).expect("the page");
    page.lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once("` |"))
        .map(|(message, _)| message.to_string())
        .collect()
}

#[test]
fn each_message_at_warning_or_above_is_explained_and_no_other() {
    let (logged, explained) = (logged(), explained());
    assert!(!logged.is_empty(), "no message was found in the sources");
    let missing: Vec<_> = logged.difference(&explained).collect();
    let stale: Vec<_> = explained.difference(&logged).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "docs/operators/log-messages.md lacks {missing:#?} and explains what is not logged: {stale:#?}"
    );
}

#[test]
fn a_message_is_read_with_its_escapes_and_over_several_lines() {
    let source = "warn!(\n    log,\n    \"first \\\n     second \\\"third\\\"\"; \"why\" => why);\nerror!(log, \"fourth\");";
    let expected = ["first second \"third\"", "fourth"].map(String::from);
    assert_eq!(messages_of(source), BTreeSet::from(expected));
}
