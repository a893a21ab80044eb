//! Why settings can't be used.

use std::path::PathBuf;

use super::SETTINGS_VARIABLE;
use crate::invalid_fields::InvalidFields;

/// Why a settings file can't be used. Each message is one line with path, reason and remedy.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable isn't set.
    #[error("{SETTINGS_VARIABLE} is not set: set it to the path of the settings file")]
    VariableNotSet,
    /// The file can't be read.
    #[error("{path}: cannot be read: {source}", path = .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The file is not the YAML of settings.
    #[error("{path}: {reason}", path = .path.display(), reason = one_line(.parser_error))]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The parser's error with line and column.
        parser_error: Box<serde_saphyr::Error>,
    },
    /// Values are out of range.
    #[error("{path}: {fields}", path = .path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The fields with their reasons.
        fields: InvalidFields,
    },
    /// The file lacks the address of a listener that the role needs.
    #[error("listeners_map.{name} is missing: this role serves it")]
    MissingListener {
        /// Key of the listener.
        name: &'static str,
    },
}

/// The parser's message, whose lines show the place in the file, on one line of the log.
fn one_line(error: &serde_saphyr::Error) -> String {
    let text = error.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    lines.join("; ")
}
