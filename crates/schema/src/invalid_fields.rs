//! The fields of a document whose values are out of range.

use std::fmt;

/// The fields whose values are out of range, each with its reason.
///
/// The text is one line, as in `limits.memory_mb: lower than 1; node_name: length is lower than 1`.
#[derive(Debug)]
pub struct InvalidFields(garde::Report);

impl InvalidFields {
    /// From the report of the rules that stand beside the fields.
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
