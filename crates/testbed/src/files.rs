//! Reads scenarios and writes results. Output paths are checked before anything is run, so that no
//! result is lost at the end of a long run.

use std::path::{Path, PathBuf};

use ironmast_emulator::Scenario;
use serde::Serialize;

/// An error message that begins with the path it concerns.
fn at(path: &Path, error: &impl std::fmt::Display) -> String {
    format!("{}: {error}", path.display())
}

/// A scenario and the text it was read from.
pub(crate) struct Loaded {
    /// The path of its file.
    pub path: PathBuf,
    /// The text of the file.
    pub text: String,
    /// The parsed scenario.
    pub scenario: Scenario,
}

/// Reads a scenario; the error is one line with the path of the file.
pub(crate) fn load(path: &Path) -> Result<Loaded, String> {
    let text = std::fs::read_to_string(path).map_err(|error| at(path, &error))?;
    let scenario = Scenario::read(&text).map_err(|error| at(path, &error))?;
    Ok(Loaded {
        path: path.to_path_buf(),
        text,
        scenario,
    })
}

/// Creates a directory if necessary and checks that files can be created in it.
pub(crate) fn ensure_directory(path: &Path) -> Result<(), String> {
    std::fs::create_dir_all(path).map_err(|error| at(path, &error))?;
    let probe = path.join(".ironmast-testbed");
    let written = std::fs::write(&probe, b"").and_then(|()| std::fs::remove_file(&probe));
    written.map_err(|error| at(path, &error))
}

/// Checks that a file can be written, without changing one that exists.
pub(crate) fn check_writable(path: &Path) -> Result<(), String> {
    let exists = path.exists();
    let opened = std::fs::OpenOptions::new()
        .append(true)
        .create(true)
        .open(path);
    opened.map_err(|error| at(path, &error))?;
    if exists {
        Ok(())
    } else {
        std::fs::remove_file(path).map_err(|error| at(path, &error))
    }
}

/// Writes a text to a file.
pub(crate) fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| at(path, &error))
}

/// Writes JSON to a file, or to standard output for `-`.
pub(crate) fn write_json<T: Serialize>(path: &Path, value: &T) -> Result<(), String> {
    let text = serde_json::to_string_pretty(value).map_err(|error| error.to_string())?;
    if path == Path::new("-") {
        println!("{text}");
        return Ok(());
    }
    write(path, &(text + "\n"))
}
