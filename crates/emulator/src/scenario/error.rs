//! Why a scenario is rejected.

use thiserror::Error;

/// Why a scenario is rejected, and where.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("line {line}: {problem}")]
pub struct ScenarioError {
    /// The line in the text, from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: ScenarioProblem,
}

/// What is wrong with a scenario.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ScenarioProblem {
    /// The text is not TOML, or has an unknown key, a missing key or a value of the wrong type.
    /// The message of the parser, on one line.
    #[error("{0}")]
    Syntax(String),
    /// A setting is invalid.
    #[error(transparent)]
    Setting(#[from] InvalidSetting),
}

/// A setting that is out of its range or contradicts another.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{path} {problem}")]
pub struct InvalidSetting {
    /// Its path in the file: keys, and indexes of lists from 0, with dots between them.
    pub path: String,
    /// What is wrong, and what was expected.
    pub problem: SettingProblem,
}

/// What is wrong with a setting, and what was expected.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingProblem {
    /// A name is empty.
    #[error("is empty, expected a name")]
    EmptyName,
    /// A name occurs twice.
    #[error("stands twice, expected names that differ")]
    DuplicateName,
    /// The name of a zone is empty, reserved or a duplicate.
    #[error("names `{name}` at {index}, expected names that differ")]
    InvalidZoneName {
        /// The name.
        name: String,
        /// Its index in the list.
        index: usize,
    },
    /// A number is out of its range.
    #[error("is {value}, expected {min} to {max}")]
    OutOfRange {
        /// The number, or the length of the list.
        value: f64,
        /// The least that is valid.
        min: f64,
        /// The greatest that is valid.
        max: f64,
    },
    /// The weights of the zones are not one finite number from 0 for each, or are all 0.
    #[error("do not fit, expected one weight from 0 for each zone")]
    InvalidZoneWeights,
    /// A range of shares is empty or out of its range.
    #[error("is {from} to {to}, expected two rising shares over 0 up to 1")]
    InvalidShares {
        /// The start of the range.
        from: f64,
        /// Its end.
        to: f64,
    },
    /// A range of speeds is empty or out of its range.
    #[error("is {from} to {to}, expected two rising speeds over 0")]
    InvalidSpeeds {
        /// The start of the range.
        from: f64,
        /// Its end.
        to: f64,
    },
    /// The seconds of the rate curve do not increase, or a factor is out of its range.
    #[error("does not fit, expected rising seconds, each with a factor from 0 to 1000")]
    InvalidRateCurve,
    /// A pool is in a zone that does not exist.
    #[error("is `{zone}`, expected *, {}", zones.join(", "))]
    UnknownPoolZone {
        /// The zone.
        zone: String,
        /// Those that exist.
        zones: Vec<String>,
    },
    /// A fault lacks the zone that it needs.
    #[error("is missing, expected one of {}", zones.join(", "))]
    MissingZone {
        /// The zones that exist.
        zones: Vec<String>,
    },
    /// A fault names a zone or class that does not exist.
    #[error("is `{name}`, expected one of {}", expected.join(", "))]
    UnknownName {
        /// The name.
        name: String,
        /// Those that exist.
        expected: Vec<String>,
    },
    /// A fault affects servers, but its zone has none.
    #[error("`{zone}` has no server, expected a zone that has one")]
    ZoneWithoutServers {
        /// The zone.
        zone: String,
    },
}
