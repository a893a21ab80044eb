//! A numeric key of a scenario and the values it takes: `PATH=FROM..TO[:STEPS]`.

use std::str::FromStr;

use ironmast_emulator::{Scenario, ScenarioProblem};
use thiserror::Error;
use toml::Value;

/// The number of values if none is given.
const DEFAULT_STEPS: usize = 8;

/// A key of a scenario, the first and the last of its values, and their number.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Variation {
    /// The path of the key: names of tables and indices of lists, separated by dots.
    pub path: String,
    /// The first value.
    pub from: f64,
    /// The last value.
    pub to: f64,
    steps: usize,
}

/// A text that is no valid `PATH=FROM..TO[:STEPS]`.
#[derive(Debug, Error)]
#[error("`{0}`: expected PATH=FROM..TO[:STEPS], as in clients.rate=100..900:9")]
pub(crate) struct InvalidVariation(String);

impl FromStr for Variation {
    type Err = InvalidVariation;

    fn from_str(text: &str) -> Result<Self, InvalidVariation> {
        parse(text).ok_or_else(|| InvalidVariation(text.to_string()))
    }
}

fn parse(text: &str) -> Option<Variation> {
    let (path, range) = text.split_once('=')?;
    let (range, steps) = match range.split_once(':') {
        Some((range, steps)) => (range, steps.parse().ok()?),
        None => (range, DEFAULT_STEPS),
    };
    let (from, to) = range.split_once("..")?;
    let (from, to): (f64, f64) = (from.parse().ok()?, to.parse().ok()?);
    let is_valid = !path.is_empty() && steps >= 2 && from.is_finite() && to.is_finite();
    is_valid.then(|| Variation {
        path: path.to_string(),
        from,
        to,
        steps,
    })
}

/// A value that could not be set in the scenario.
#[derive(Debug, Error)]
pub(crate) enum VariationError {
    /// The scenario has no table or list at the path.
    #[error("{0}: the scenario has no table or list at this path")]
    UnknownPath(String),
    /// The scenario with the value is invalid.
    #[error("{path} = {value}: {problem}")]
    Invalid {
        /// The path of the key.
        path: String,
        /// The value.
        value: f64,
        /// The problem, without a line number: the text with the value is not in a file.
        problem: ScenarioProblem,
    },
    /// The scenario's file is not valid TOML. The error is not a source, because its text has
    /// several lines and errors are printed on one.
    #[error("{}", .0.message())]
    Syntax(toml::de::Error),
    /// The scenario with the value could not be written as TOML.
    #[error("the scenario with the varied value cannot be written as TOML")]
    Write(#[from] toml::ser::Error),
}

impl Variation {
    /// The values, at equal distances.
    pub(super) fn values(&self) -> Vec<f64> {
        let last = (self.steps - 1) as f64;
        let value = |step: usize| self.from + (self.to - self.from) * step as f64 / last;
        (0..self.steps).map(value).collect()
    }

    /// The scenario `text` with the key set to a value. The value is written as an integer if the
    /// text has an integer there, or if the scenario is valid only with an integer.
    ///
    /// # Errors
    /// The scenario has no such key, or is invalid with the value.
    pub(super) fn apply(&self, text: &str, value: f64) -> Result<Scenario, VariationError> {
        let root: toml::Table = text.parse().map_err(VariationError::Syntax)?;
        let integer = Value::Integer(value.round() as i64);
        let first = if self.is_integer_in(&root) {
            integer.clone()
        } else {
            Value::Float(value)
        };
        self.set(root.clone(), first, value)
            .or_else(|error| self.set(root, integer, value).map_err(|_| error))
    }

    /// Whether the key is an integer in a scenario.
    fn is_integer_in(&self, root: &toml::Table) -> bool {
        let mut root = root.clone();
        let entry = parent_table(&mut root, &self.path);
        entry.is_some_and(|(table, key)| matches!(table.get(key), Some(Value::Integer(_))))
    }

    /// The scenario with the key set to `toml_value`.
    fn set(
        &self,
        mut root: toml::Table,
        toml_value: Value,
        value: f64,
    ) -> Result<Scenario, VariationError> {
        let (table, key) = parent_table(&mut root, &self.path)
            .ok_or_else(|| VariationError::UnknownPath(self.path.clone()))?;
        // A key that the file leaves to its default may be set too: parsing rejects unknown keys.
        table.insert(key.to_string(), toml_value);
        let text = toml::to_string(&root)?;
        Scenario::parse(&text).map_err(|error| VariationError::Invalid {
            path: self.path.clone(),
            value,
            problem: error.problem,
        })
    }
}

/// The table that contains the last key of a path, and that key.
fn parent_table<'table, 'path>(
    root: &'table mut toml::Table,
    path: &'path str,
) -> Option<(&'table mut toml::Table, &'path str)> {
    let (parents, key) = path.rsplit_once('.').unwrap_or(("", path));
    let mut parents = parents.split('.').filter(|name| !name.is_empty());
    let mut table = root;
    while let Some(name) = parents.next() {
        table = match table.get_mut(name)? {
            Value::Table(table) => table,
            Value::Array(items) => {
                let index: usize = parents.next()?.parse().ok()?;
                items.get_mut(index)?.as_table_mut()?
            }
            _ => return None,
        };
    }
    Some((table, key))
}

#[cfg(test)]
mod tests;
