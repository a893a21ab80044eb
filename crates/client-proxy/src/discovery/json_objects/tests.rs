//! Tests of `json_objects.rs`.

use super::*;

/// Splits `text`, received in chunks of `chunk_bytes`, into its objects.
fn objects(text: &str, chunk_bytes: usize) -> Vec<String> {
    let mut objects = JsonObjects::default();
    let mut found = Vec::new();
    for chunk in text.as_bytes().chunks(chunk_bytes) {
        objects.push(chunk);
        while let Some(object) = objects.next() {
            found.push(String::from_utf8(object).expect("text").trim().to_string());
        }
    }
    assert!(
        objects.buffer.trim_ascii().is_empty(),
        "left: {:?}",
        objects.buffer
    );
    found
}

#[test]
fn objects_are_found_whatever_lines_and_chunks_they_arrive_in() {
    let indented = "{\n  \"rev\": 7,\n  \"targets\": [\n    {\"uid\": \"a}\\\"{\"}\n  ]\n}";
    let text = format!("\n\n{indented}\n\n{{\"rev\":8}}{{\"rev\":9}}\n");
    for chunk_bytes in [1, 2, 7, 1_000] {
        assert_eq!(
            objects(&text, chunk_bytes),
            [indented, "{\"rev\":8}", "{\"rev\":9}"]
        );
    }
    assert_eq!(objects("non\"sense\n{}\n", 3), ["non\"sense", "{}"]);
}
