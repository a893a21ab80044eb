//! The files of a proxy in `$TMPDIR`: the Unix socket to which the successor of a hot restart
//! connects, and the operators' overrides of servers, which must outlive the process.
//!
//! Without `$TMPDIR` there is no hot restart, and overrides are kept only in memory.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use ironmast_admin::overrides::OverrideState;
use slog::{Logger, warn};

/// The paths of a proxy's files, named after its listen address.
#[derive(Clone)]
pub(crate) struct RuntimeFiles {
    directory: Option<PathBuf>,
    proxy_name: String,
}

/// Why the overrides could not be saved.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SaveError {
    /// The proxy has no runtime directory.
    #[error("there is no $TMPDIR")]
    NoDirectory,
    /// The file could not be written or renamed into place.
    #[error("{}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl RuntimeFiles {
    /// The files of the proxy that listens on `listen`. If the system chooses the port there are
    /// none, because another process could not find them.
    pub(crate) fn new(directory: Option<PathBuf>, listen: SocketAddr) -> Self {
        let directory =
            directory.filter(|directory| listen.port() != 0 && !directory.as_os_str().is_empty());
        let ip = listen.ip().to_string().replace(':', "_");
        RuntimeFiles {
            directory,
            proxy_name: format!("ironmast-{ip}-{}", listen.port()),
        }
    }

    /// The path of the Unix socket to which a successor connects.
    pub(crate) fn socket(&self) -> Option<PathBuf> {
        self.path("sock")
    }

    /// The path at which this process binds the Unix socket before renaming it to
    /// [`RuntimeFiles::socket`].
    pub(crate) fn temporary_socket(&self) -> Option<PathBuf> {
        self.path(&format!("sock.{}", std::process::id()))
    }

    fn path(&self, extension: &str) -> Option<PathBuf> {
        self.directory
            .as_ref()
            .map(|directory| directory.join(format!("{}.{extension}", self.proxy_name)))
    }

    /// Loads the overrides that an earlier process saved. A file that can't be read or parsed is
    /// logged and treated as empty.
    pub(crate) fn load_overrides(&self, log: &Logger) -> OverrideState {
        let Some(path) = self.path("bans") else {
            return OverrideState::default();
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return OverrideState::default();
            }
            Err(error) => {
                warn!(log, "the file of disabled servers can't be read; all servers are enabled"; "file" => %path.display(), "error" => %error);
                return OverrideState::default();
            }
        };
        serde_json::from_str(&text).unwrap_or_else(|error| {
            warn!(log, "the file of disabled servers is malformed; all servers are enabled"; "file" => %path.display(), "error" => %error);
            OverrideState::default()
        })
    }

    /// Saves the overrides. They are written to a temporary file that is renamed into place, so
    /// that a reader finds either the old or the new overrides.
    ///
    /// # Errors
    /// [`SaveError`] if there is no runtime directory, or if the file can't be written.
    ///
    /// # Panics
    /// If the overrides can't be serialized, which can't happen: all map keys are strings.
    pub(crate) fn save_overrides(&self, overrides: &OverrideState) -> Result<(), SaveError> {
        let temporary_name = format!("bans.{}", std::process::id());
        let (Some(path), Some(temporary)) = (self.path("bans"), self.path(&temporary_name)) else {
            return Err(SaveError::NoDirectory);
        };
        let text = serde_json::to_string(overrides).expect("all map keys are strings");
        std::fs::write(&temporary, text)
            .and_then(|()| std::fs::rename(&temporary, &path))
            .map_err(|source| SaveError::Write { path, source })
    }
}
