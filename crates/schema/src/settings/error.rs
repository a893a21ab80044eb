//! Errors of reading and validating settings.

use std::path::PathBuf;

use super::SETTINGS_VARIABLE;
use crate::invalid_fields::InvalidFields;

/// Why a settings file can't be used. Each message is one line that names the file, variable or
/// field and the reason.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable [`SETTINGS_VARIABLE`] isn't set.
    #[error("{SETTINGS_VARIABLE} is not set: set it to the path of the settings file")]
    VariableNotSet,
    /// The file can't be read.
    #[error("{path}: cannot be read: {source}", path = .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
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
    /// Values of fields are out of range.
    #[error("{path}: {fields}", path = .path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The fields, each with its reason.
        fields: InvalidFields,
    },
    /// The address of a listener that the role serves is not set.
    #[error("listeners_map.{name} is missing: this role serves it")]
    MissingListener {
        /// Key of the listener in `listeners_map`.
        name: &'static str,
    },
}

/// Joins the lines of the parser's message, which show the position in the file, into one line for
/// the log.
fn one_line(error: &serde_saphyr::Error) -> String {
    let text = error.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    lines.join("; ")
}
