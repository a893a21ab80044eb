//! Files: scenarios in, results out. What can't be written is told before anything is played.

use std::path::{Path, PathBuf};

use ironmast_emulator::Scenario;
use serde::Serialize;

/// A scenario and the text it was read from.
pub(crate) struct Loaded {
    /// Its file.
    pub path: PathBuf,
    /// The text.
    pub text: String,
    /// What it says.
    pub scenario: Scenario,
}

/// Reads a scenario; an error is one line with file and line.
pub(crate) fn load(path: &Path) -> Result<Loaded, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let scenario = Scenario::read(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Loaded {
        path: path.to_path_buf(),
        text,
        scenario,
    })
}

/// Makes sure that a folder is there and takes files.
pub(crate) fn folder(path: &Path) -> Result<(), String> {
    std::fs::create_dir_all(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let probe = path.join(".ironmast-testbed");
    let written = std::fs::write(&probe, b"").and_then(|()| std::fs::remove_file(&probe));
    written.map_err(|e| format!("{}: {e}", path.display()))
}

/// Makes sure that a file can be written, and leaves one that is there as it is.
pub(crate) fn writable(path: &Path) -> Result<(), String> {
    let there = path.exists();
    let opened = std::fs::OpenOptions::new()
        .append(true)
        .create(true)
        .open(path);
    opened.map_err(|e| format!("{}: {e}", path.display()))?;
    if there {
        Ok(())
    } else {
        std::fs::remove_file(path).map_err(|e| format!("{}: {e}", path.display()))
    }
}

/// Writes a text.
pub(crate) fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes JSON to a file, or to standard output for `-`.
pub(crate) fn write_json<T: Serialize>(path: &Path, value: &T) -> Result<(), String> {
    let text = serde_json::to_string_pretty(value).map_err(|e| e.to_string())?;
    if path == Path::new("-") {
        println!("{text}");
        return Ok(());
    }
    write(path, &(text + "\n"))
}
