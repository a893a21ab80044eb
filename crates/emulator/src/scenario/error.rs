//! Errors of parsing and validating a scenario.

use thiserror::Error;

/// The problem for which a scenario is rejected, with its line.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("line {line}: {problem}")]
pub struct ScenarioError {
    /// The line number in the text, from 1.
    pub line: usize,
    /// The problem at that line.
    pub problem: ScenarioProblem,
}

/// A problem for which a scenario is rejected.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ScenarioProblem {
    /// The text is not TOML, or has an unknown key, a missing key or a value of the wrong type;
    /// holds the message of the parser, on one line.
    #[error("{0}")]
    Syntax(String),
    /// A setting is out of its range or contradicts another.
    #[error(transparent)]
    Setting(#[from] InvalidSetting),
}

/// A setting that is out of its range or contradicts another.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{path} {problem}")]
pub struct InvalidSetting {
    /// The path of the setting in the file: keys and list indexes (from 0), separated by dots.
    pub path: String,
    /// The problem, and the expected value.
    pub problem: SettingProblem,
}

/// A problem with a setting. The message includes the expected value.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingProblem {
    /// A name is empty.
    #[error("is empty, expected a name")]
    EmptyName,
    /// A name occurs twice.
    #[error("is a duplicate, expected distinct names")]
    DuplicateName,
    /// The name of a zone is empty, reserved or a duplicate.
    #[error(
        "contains `{name}` at index {index}, expected distinct, non-empty names other than `*`"
    )]
    InvalidZoneName {
        /// The rejected name.
        name: String,
        /// The index of the name in the list.
        index: usize,
    },
    /// A number is out of its range.
    #[error("is {value}, expected {min} to {max}")]
    OutOfRange {
        /// The number, or the length of the list.
        value: f64,
        /// The smallest valid value.
        min: f64,
        /// The largest valid value.
        max: f64,
    },
    /// The zone weights are not one finite number of at least 0 for each zone, or are all 0.
    #[error(
        "are invalid, expected one finite weight of at least 0 for each zone, not all of them 0"
    )]
    InvalidZoneWeights,
    /// A range of shares is empty or out of its range.
    #[error("is {from} to {to}, expected two shares above 0 and up to 1 in ascending order")]
    InvalidShares {
        /// The start of the range.
        from: f64,
        /// The end of the range.
        to: f64,
    },
    /// A range of speeds is empty or out of its range.
    #[error("is {from} to {to}, expected two speeds above 0 and up to 1000 in ascending order")]
    InvalidSpeeds {
        /// The start of the range.
        from: f64,
        /// The end of the range.
        to: f64,
    },
    /// The seconds of the rate curve do not increase, or a factor is out of its range.
    #[error("is invalid, expected increasing seconds, each with a factor from 0 to 1000")]
    InvalidRateCurve,
    /// The zone of a pool does not exist.
    #[error("is `{zone}`, expected *, {}", zones.join(", "))]
    UnknownPoolZone {
        /// The unknown zone.
        zone: String,
        /// The zones of the scenario.
        zones: Vec<String>,
    },
    /// A fault whose kind requires a zone has none.
    #[error("is missing, expected one of {}", zones.join(", "))]
    MissingZone {
        /// The zones of the scenario.
        zones: Vec<String>,
    },
    /// A fault names a zone or class that does not exist.
    #[error("is `{name}`, expected one of {}", expected.join(", "))]
    UnknownName {
        /// The unknown name.
        name: String,
        /// The names of the scenario's zones or classes.
        expected: Vec<String>,
    },
    /// A fault affects servers, but there are none in its zone.
    #[error("is `{zone}`, which has no servers, expected a zone with at least one")]
    ZoneWithoutServers {
        /// The zone without servers; empty for all zones.
        zone: String,
    },
}
