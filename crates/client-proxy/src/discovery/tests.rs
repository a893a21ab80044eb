//! Tests of `discovery.rs`.

use super::*;

fn objects(text: &str, pieces: usize) -> Vec<String> {
    let mut objects = Objects::default();
    let mut found = Vec::new();
    for piece in text.as_bytes().chunks(pieces) {
        objects.push(piece);
        while let Some(object) = objects.next() {
            found.push(String::from_utf8(object).expect("text").trim().to_string());
        }
    }
    assert!(
        objects.text.trim_ascii().is_empty(),
        "left: {:?}",
        objects.text
    );
    found
}

#[test]
fn lists_are_found_whatever_lines_and_pieces_they_come_in() {
    let indented = "{\n  \"rev\": 7,\n  \"targets\": [\n    {\"uid\": \"a}\\\"{\"}\n  ]\n}";
    let text = format!("\n\n{indented}\n\n{{\"rev\":8}}{{\"rev\":9}}\n");
    for pieces in [1, 2, 7, 1_000] {
        assert_eq!(
            objects(&text, pieces),
            [indented, "{\"rev\":8}", "{\"rev\":9}"]
        );
    }
    assert_eq!(objects("non\"sense\n{}\n", 3), ["non\"sense", "{}"]);
}
