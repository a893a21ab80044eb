//! Parsing of the tab-separated fields of a line; `-` stands for an absent value.

use std::str::{FromStr, Split};

use ironmast_settings::{FieldError, parse_number};

/// The fields of one line, read in order. The caller names each field for error messages.
pub(crate) struct Fields<'a> {
    rest: Split<'a, char>,
}

/// Returns the error of an invalid field.
pub(crate) fn invalid<T>(field: &str, problem: impl Into<String>) -> Result<T, FieldError> {
    Err(FieldError::new(field, problem))
}

impl<'a> Fields<'a> {
    pub(crate) fn new(line: &'a str) -> Self {
        Self {
            rest: line.split('\t'),
        }
    }

    /// Reads the next field, which may be empty or `-`.
    pub(crate) fn text(&mut self, field: &str) -> Result<&'a str, FieldError> {
        self.rest
            .next()
            .ok_or_else(|| FieldError::new(field, "missing"))
    }

    /// Reads the next field, which must not be empty or `-`.
    pub(crate) fn required(&mut self, field: &str) -> Result<&'a str, FieldError> {
        match self.text(field)? {
            "" | "-" => invalid(field, "must not be absent"),
            value => Ok(value),
        }
    }

    pub(crate) fn number<T: FromStr>(&mut self, field: &str) -> Result<T, FieldError> {
        parse_number(field, self.text(field)?)
    }

    pub(crate) fn optional<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, FieldError> {
        match self.text(field)? {
            "-" => Ok(None),
            value => parse_number(field, value).map(Some),
        }
    }

    pub(crate) fn bool(&mut self, field: &str) -> Result<bool, FieldError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            value => invalid(field, format!("`{value}` is not 0 or 1")),
        }
    }

    /// Reads all remaining fields.
    pub(crate) fn rest(&mut self) -> impl Iterator<Item = &'a str> {
        self.rest.by_ref()
    }

    /// Checks that no field remains.
    pub(crate) fn end(&mut self) -> Result<(), FieldError> {
        match self.rest.next() {
            Some(extra) => invalid("(end)", format!("unexpected extra field `{extra}`")),
            None => Ok(()),
        }
    }
}
