//! Reads a settings file and validates it.

use std::path::Path;

use garde::Validate as _;

use super::SETTINGS_VARIABLE;
use super::error::SettingsError;
use super::model::Settings;
use crate::invalid_fields::InvalidFields;

impl Settings {
    /// Reads the settings file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// [`SettingsError`], whose text says in one line why the settings can't be used.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::VariableNotSet)?;
        Settings::read(Path::new(&path))
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError`], whose text says in one line why the settings can't be used.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(path, &text)
    }

    /// Parses and validates the text of a settings file; `path` is used only in error messages.
    ///
    /// # Errors
    /// [`SettingsError`], whose text says in one line why the settings can't be used.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Settings =
            serde_saphyr::from_str(text).map_err(|error| SettingsError::Malformed {
                path: path.to_path_buf(),
                parser_error: Box::new(error),
            })?;
        settings
            .validate()
            .map_err(|report| SettingsError::Invalid {
                path: path.to_path_buf(),
                fields: InvalidFields::new(report),
            })?;
        Ok(settings)
    }
}
