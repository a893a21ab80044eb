//! Settings as pairs of path and value, looked up by path and parsed by type.

use std::collections::BTreeMap;

use crate::error::{FieldError, parse_finite, parse_number};

/// A type that can be parsed from the text of a setting.
pub(crate) trait ParseSetting: Sized {
    /// Parses the value of the setting at `path`.
    fn parse(path: &str, text: &str) -> Result<Self, FieldError>;
}

impl ParseSetting for u32 {
    fn parse(path: &str, text: &str) -> Result<Self, FieldError> {
        parse_number(path, text)
    }
}

impl ParseSetting for u64 {
    fn parse(path: &str, text: &str) -> Result<Self, FieldError> {
        parse_number(path, text)
    }
}

impl ParseSetting for f64 {
    fn parse(path: &str, text: &str) -> Result<Self, FieldError> {
        parse_finite(path, text)
    }
}

impl ParseSetting for bool {
    fn parse(path: &str, text: &str) -> Result<Self, FieldError> {
        match text {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            _ => Err(FieldError::new(
                path,
                format!("`{text}` is not true or false"),
            )),
        }
    }
}

/// The texts of the settings by path. An empty text or `-` means that the setting is absent.
pub(crate) struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    pub(crate) fn new(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self(pairs.into_iter().collect())
    }

    /// Returns the text of a setting, or `None` if it is absent.
    pub(crate) fn get(&self, path: &str) -> Option<&'a str> {
        self.0
            .get(path)
            .copied()
            .filter(|value| !value.is_empty() && *value != "-")
    }

    /// Returns the text of a required setting.
    pub(crate) fn required(&self, path: &str) -> Result<&'a str, FieldError> {
        self.get(path)
            .ok_or_else(|| FieldError::new(path, "missing"))
    }

    /// Parses the value of a required setting.
    pub(crate) fn required_value<T: ParseSetting>(&self, path: &str) -> Result<T, FieldError> {
        T::parse(path, self.required(path)?)
    }

    /// Parses the value of a setting, or returns `default` if it is absent.
    pub(crate) fn value_or<T: ParseSetting>(
        &self,
        path: &str,
        default: T,
    ) -> Result<T, FieldError> {
        match self.get(path) {
            Some(text) => T::parse(path, text),
            None => Ok(default),
        }
    }

    /// Replaces `value` with the parsed value of a setting, unless the setting is absent.
    pub(crate) fn update<T: ParseSetting>(
        &self,
        path: &str,
        value: &mut T,
    ) -> Result<(), FieldError> {
        if let Some(text) = self.get(path) {
            *value = T::parse(path, text)?;
        }
        Ok(())
    }

    /// Returns the values of a comma-separated list; empty if the setting is absent.
    pub(crate) fn list(&self, path: &str) -> Vec<String> {
        self.get(path)
            .map(|values| values.split(',').map(str::to_string).collect())
            .unwrap_or_default()
    }

    /// Returns the names of the elements of `collection`: `<collection>.count` holds their number and
    /// `<collection>.<index>.name` each name, which is required.
    pub(crate) fn names(&self, collection: &str) -> Result<Vec<String>, FieldError> {
        let count = self.value_or(&format!("{collection}.count"), 0u32)?;
        (0..count)
            .map(|index| {
                self.required(&format!("{collection}.{index}.name"))
                    .map(str::to_string)
            })
            .collect()
    }
}
