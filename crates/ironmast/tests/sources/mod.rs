//! Finds the source files of the workspace, for tests that check documentation and rules against them.

use std::fs;
use std::path::{Path, PathBuf};

/// The root of the workspace.
pub(crate) fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The folders of all crates.
pub(crate) fn crate_folders() -> Vec<PathBuf> {
    fs::read_dir(workspace().join("crates"))
        .expect("the crates")
        .map(|entry| entry.expect("a crate").path())
        .collect()
}

/// The Rust files below `folder`, except for files and folders whose path ends with a name in
/// `left_out`.
pub(crate) fn rust_files(folder: &Path, left_out: &[&str]) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if left_out.iter().any(|name| path.ends_with(name)) {
            continue;
        }
        if path.is_dir() {
            found.extend(rust_files(&path, left_out));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}
