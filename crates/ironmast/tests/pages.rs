//! Checks the pages that describe the code against it: paths and crates of `docs/ARCHITECTURE.md`, and
//! names of `docs/glossary.md`.

mod sources;

use std::fs;

use sources::{crate_folders, rust_files, workspace};

fn read(page: &str) -> String {
    fs::read_to_string(workspace().join(page)).expect("the page")
}

fn crates() -> Vec<String> {
    crate_folders()
        .iter()
        .filter_map(|folder| folder.file_name())
        .map(|name| name.to_string_lossy().into_owned())
        .collect()
}

/// The spans of a text that stand between backticks.
fn code_spans(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// All source files of all crates, concatenated.
fn all_code() -> String {
    rust_files(&workspace().join("crates"), &[])
        .iter()
        .map(|path| fs::read_to_string(path).expect("a source file"))
        .collect()
}

/// Whether `text` holds `name` as a whole word.
fn has_word(text: &str, name: &str) -> bool {
    let is_part = |character: char| character.is_alphanumeric() || character == '_';
    text.match_indices(name).any(|(at, _)| {
        !text[..at].chars().next_back().is_some_and(is_part)
            && !text[at + name.len()..].chars().next().is_some_and(is_part)
    })
}

#[test]
fn each_source_file_named_by_the_architecture_exists() {
    let page = read("docs/ARCHITECTURE.md");
    let mut checked = 0;
    for path in code_spans(&page).filter(|span| span.contains("/src/") || span.contains("/tests/"))
    {
        let path = path.strip_prefix("crates/").unwrap_or(path);
        assert!(
            workspace().join("crates").join(path).is_file(),
            "docs/ARCHITECTURE.md names {path}, which does not exist"
        );
        checked += 1;
    }
    assert!(checked > 0, "docs/ARCHITECTURE.md names no source file");
}

#[test]
fn each_crate_has_a_row_in_the_architecture() {
    let page = read("docs/ARCHITECTURE.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    for name in crates() {
        let cell = format!("`{name}`");
        assert!(
            rows.iter().any(|row| row.contains(&cell)),
            "docs/ARCHITECTURE.md has no row for the crate {name}"
        );
    }
}

#[test]
fn each_name_in_the_glossary_is_in_the_code() {
    let page = read("docs/glossary.md");
    let crates = crates();
    let code = all_code();
    let mut checked = 0;
    for row in page.lines().filter(|line| line.starts_with("| ")) {
        let in_code = row.split(" | ").nth(2).unwrap_or_default();
        for name in code_spans(in_code) {
            let exists = crates.iter().any(|known| known == name) || has_word(&code, name);
            assert!(
                exists,
                "docs/glossary.md names {name}, which is not in the code"
            );
            checked += 1;
        }
    }
    assert!(checked > 0, "docs/glossary.md names nothing from the code");
}
