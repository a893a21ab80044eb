//! The error of a missing or invalid value, and the parsing of numbers.

use std::str::FromStr;

use thiserror::Error;

/// A field is missing or its value is invalid. Callers add the file or the line of the field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct FieldError {
    /// The name of the field, or the path of the setting.
    pub field: String,
    /// Why the value is rejected, as the second half of the message.
    pub problem: String,
}

impl FieldError {
    /// Creates the error of `field`, shown as `field: problem`.
    #[must_use]
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

/// Parses a number of type `T`.
///
/// # Errors
/// [`FieldError`] for `field` if `value` is not a number of type `T` or exceeds its range.
pub fn parse_number<T: FromStr>(field: &str, value: &str) -> Result<T, FieldError> {
    value.parse().map_err(|_| {
        FieldError::new(
            field,
            format!("`{value}` is not a number of the expected type"),
        )
    })
}

/// Parses a floating-point number that is neither infinite nor NaN.
///
/// # Errors
/// [`FieldError`] for `field` if `value` is not a number or not finite.
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
