//! Error details of settings and configurations: fields that cannot be parsed or are out of range.

use std::fmt;

/// The fields whose values are out of range, each with its reason.
///
/// The text is one line, as in `limits.memory_mb: lower than 1; node_name: length is lower than 1`.
#[derive(Debug)]
pub struct InvalidFields(garde::Report);

impl InvalidFields {
    /// Wraps the report of `garde`, which checks the rules in the fields' attributes.
    pub(crate) fn new(report: garde::Report) -> Self {
        InvalidFields(report)
    }
}

impl fmt::Display for InvalidFields {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (field, reason)) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("; ")?;
            }
            write!(formatter, "{field}: {reason}")?;
        }
        Ok(())
    }
}

/// The field of a JSON document that cannot be parsed, with the parser's error.
///
/// The text is one line, as in ``routes[2].type: unknown variant `bulk`, expected ...``.
#[derive(Debug)]
pub struct MalformedField {
    /// Path of the field; empty if the document as a whole is not JSON.
    path: String,
    reason: serde_json::Error,
}

impl MalformedField {
    /// Takes the error of a parser that tracks the path.
    pub(crate) fn new(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        let path = match error.path().to_string().as_str() {
            "." => String::new(),
            path => path.to_string(),
        };
        MalformedField {
            path,
            reason: error.into_inner(),
        }
    }

    /// Takes the error for text after the end of the document.
    pub(crate) fn trailing(reason: serde_json::Error) -> Self {
        MalformedField {
            path: String::new(),
            reason,
        }
    }
}

impl fmt::Display for MalformedField {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        write!(formatter, "{}", self.reason)
    }
}
