//! Settings as pairs of path and value, read by type.

use std::collections::BTreeMap;

use crate::error::{FieldError, parse_finite, parse_number};

/// The settings by path. An empty value and `-` stand for an absent one.
pub(crate) struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    pub(crate) fn new(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self(pairs.into_iter().collect())
    }

    pub(crate) fn get(&self, path: &str) -> Option<&'a str> {
        self.0
            .get(path)
            .copied()
            .filter(|value| !value.is_empty() && *value != "-")
    }

    pub(crate) fn required(&self, path: &str) -> Result<&'a str, FieldError> {
        self.get(path)
            .ok_or_else(|| FieldError::new(path, "missing"))
    }

    pub(crate) fn required_u64(&self, path: &str) -> Result<u64, FieldError> {
        parse_number(path, self.required(path)?)
    }

    pub(crate) fn f64_or(&self, path: &str, default: f64) -> Result<f64, FieldError> {
        self.get(path)
            .map_or(Ok(default), |value| parse_finite(path, value))
    }

    pub(crate) fn u64_or(&self, path: &str, default: u64) -> Result<u64, FieldError> {
        self.get(path)
            .map_or(Ok(default), |value| parse_number(path, value))
    }

    pub(crate) fn u32_or(&self, path: &str, default: u32) -> Result<u32, FieldError> {
        self.get(path)
            .map_or(Ok(default), |value| parse_number(path, value))
    }

    pub(crate) fn bool_or(&self, path: &str, default: bool) -> Result<bool, FieldError> {
        match self.get(path) {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(other) => Err(FieldError::new(
                path,
                format!("`{other}` is not true or false"),
            )),
        }
    }

    /// The values of a list that is separated by commas.
    pub(crate) fn list(&self, path: &str) -> Vec<String> {
        self.get(path)
            .map(|values| values.split(',').map(str::to_string).collect())
            .unwrap_or_default()
    }

    /// The names of the elements of `collection`, which has its length in `<collection>.count` and
    /// the names in `<collection>.<index>.name`.
    pub(crate) fn names(&self, collection: &str) -> Result<Vec<String>, FieldError> {
        let count = self.u32_or(&format!("{collection}.count"), 0)?;
        (0..count)
            .map(|index| {
                self.required(&format!("{collection}.{index}.name"))
                    .map(str::to_string)
            })
            .collect()
    }
}
