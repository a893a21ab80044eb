//! Reads scenarios and writes results. Output paths are checked before anything is run, so that no
//! result is lost at the end of a long run.

use std::io;
use std::path::{Path, PathBuf};

use ironmast_emulator::{Scenario, ScenarioError};
use serde::Serialize;
use thiserror::Error;

/// An error of reading or writing a file or directory. The message is the path; the cause is the
/// source.
#[derive(Debug, Error)]
pub(crate) enum FileError {
    /// The file or directory cannot be read or written.
    #[error("{}", path.display())]
    Io {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file contains no valid scenario.
    #[error("{}", path.display())]
    Scenario {
        /// The path.
        path: PathBuf,
        /// The line and the problem in it.
        source: ScenarioError,
    },
    /// The result has no JSON form.
    #[error("the result cannot be written as JSON")]
    Json(#[from] serde_json::Error),
}

impl FileError {
    /// A function that turns I/O errors that concern `path` into [`FileError::Io`].
    pub(crate) fn io(path: &Path) -> impl Fn(io::Error) -> FileError {
        move |source| FileError::Io {
            path: path.to_path_buf(),
            source,
        }
    }
}

/// A scenario and the text from which it was parsed.
pub(crate) struct LoadedScenario {
    /// The path of the file.
    pub path: PathBuf,
    /// The text of the file.
    pub text: String,
    /// The parsed scenario.
    pub scenario: Scenario,
}

/// Reads and validates a scenario.
///
/// # Errors
/// The file cannot be read, or contains no valid scenario.
pub(crate) fn load_scenario(path: &Path) -> Result<LoadedScenario, FileError> {
    let text = std::fs::read_to_string(path).map_err(FileError::io(path))?;
    let scenario = Scenario::parse(&text).map_err(|source| FileError::Scenario {
        path: path.to_path_buf(),
        source,
    })?;
    Ok(LoadedScenario {
        path: path.to_path_buf(),
        text,
        scenario,
    })
}

/// Creates a directory if necessary and checks with a probe file that files can be created in it.
///
/// # Errors
/// The directory or a file in it cannot be created.
pub(crate) fn ensure_directory(path: &Path) -> Result<(), FileError> {
    std::fs::create_dir_all(path).map_err(FileError::io(path))?;
    let probe = path.join(".ironmast-testbed");
    let written = std::fs::write(&probe, b"").and_then(|()| std::fs::remove_file(&probe));
    written.map_err(FileError::io(path))
}

/// Checks that a file can be written, without changing one that exists.
///
/// # Errors
/// The file cannot be opened for writing.
pub(crate) fn check_writable(path: &Path) -> Result<(), FileError> {
    let exists = path.exists();
    let opened = std::fs::OpenOptions::new()
        .append(true)
        .create(true)
        .open(path);
    opened.map_err(FileError::io(path))?;
    if exists {
        Ok(())
    } else {
        std::fs::remove_file(path).map_err(FileError::io(path))
    }
}

/// Writes a text to a file.
///
/// # Errors
/// The file cannot be written.
pub(crate) fn write(path: &Path, text: &str) -> Result<(), FileError> {
    std::fs::write(path, text).map_err(FileError::io(path))
}

/// Writes a text to a file, or as a line to standard output for `-`.
///
/// # Errors
/// The file cannot be written.
pub(crate) fn write_or_print(path: &Path, text: &str) -> Result<(), FileError> {
    if path == Path::new("-") {
        println!("{text}");
        Ok(())
    } else {
        write(path, text)
    }
}

/// Writes JSON to a file, or to standard output for `-`.
///
/// # Errors
/// The file cannot be written, or the value has no JSON form.
pub(crate) fn write_json<T: Serialize>(path: &Path, value: &T) -> Result<(), FileError> {
    let text = serde_json::to_string_pretty(value)?;
    if path == Path::new("-") {
        println!("{text}");
        return Ok(());
    }
    write(path, &(text + "\n"))
}
