//! The error of a value that cannot be used.

use std::str::FromStr;

use thiserror::Error;

/// A field is missing or has a value that cannot be used. Callers add where the field stands.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct FieldError {
    /// The name of the field, or the path of the setting.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl FieldError {
    /// The error of `field`.
    #[must_use]
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

/// Parses a number.
///
/// # Errors
/// [`FieldError`] for `field` if `value` is not a number of the type.
pub fn parse_number<T: FromStr>(field: &str, value: &str) -> Result<T, FieldError> {
    value.parse().map_err(|_| {
        FieldError::new(
            field,
            format!("`{value}` is not a number of the expected form"),
        )
    })
}

/// Parses a number that is neither infinite nor NaN.
///
/// # Errors
/// [`FieldError`] for `field` if `value` is not such a number.
pub fn parse_finite(field: &str, value: &str) -> Result<f64, FieldError> {
    let number: f64 = parse_number(field, value)?;
    if !number.is_finite() {
        return Err(FieldError::new(
            field,
            format!("`{value}` is not a finite number"),
        ));
    }
    Ok(number)
}
