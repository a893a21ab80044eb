//! The file operations that the log needs, and their errors. A trait, so that tests can run the log
//! on disks that lose power, fill up, stall or fail to sync.

use std::fmt;

/// One folder of files on a disk.
///
/// Nothing is durable before a sync: [`Disk::sync_file`] covers a file's bytes,
/// [`Disk::sync_folder`] the names. An operation may block for as long as the disk does.
pub trait Disk: Send + Sync {
    /// Names of all files in the folder, in no particular order.
    ///
    /// # Errors
    /// When the folder cannot be read.
    fn list(&self) -> Result<Vec<String>, DiskError>;

    /// The content of a file.
    ///
    /// # Errors
    /// [`FailureKind::NotFound`] when there is no such file, else what the disk reports.
    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError>;

    /// Creates an empty file that [`Disk::append`] can write to.
    ///
    /// # Errors
    /// [`FailureKind::Exists`] when the name is in use, [`FailureKind::Full`] when there is no
    /// space.
    fn create(&self, file: &str) -> Result<(), DiskError>;

    /// Writes bytes at the end of a file.
    ///
    /// # Errors
    /// [`FailureKind::Full`] when there is no space. After any error a part of the bytes may have
    /// been written.
    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), DiskError>;

    /// Makes the bytes of a file durable.
    ///
    /// # Errors
    /// After an error the unsynced bytes may be lost even if a later sync of the same file
    /// succeeds.
    fn sync_file(&self, file: &str) -> Result<(), DiskError>;

    /// Renames a file; the new name must not be in use.
    ///
    /// # Errors
    /// [`FailureKind::Exists`] when the new name is in use, [`FailureKind::NotFound`] when there is
    /// no such file.
    fn rename(&self, from: &str, to: &str) -> Result<(), DiskError>;

    /// Removes a file.
    ///
    /// # Errors
    /// [`FailureKind::NotFound`] when there is no such file.
    fn remove(&self, file: &str) -> Result<(), DiskError>;

    /// Makes the names in the folder durable: files created, renamed and removed.
    ///
    /// # Errors
    /// After an error the names may be lost even if a later sync succeeds.
    fn sync_folder(&self) -> Result<(), DiskError>;
}

/// A disk operation, for errors and for the counters of simulated disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DiskOperation {
    /// Opening the folder.
    Open,
    /// [`Disk::list`].
    List,
    /// [`Disk::read`].
    Read,
    /// [`Disk::create`].
    Create,
    /// [`Disk::append`].
    Append,
    /// [`Disk::sync_file`].
    SyncFile,
    /// [`Disk::rename`].
    Rename,
    /// [`Disk::remove`].
    Remove,
    /// [`Disk::sync_folder`].
    SyncFolder,
}

impl fmt::Display for DiskOperation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DiskOperation::Open => "open folder",
            DiskOperation::List => "list",
            DiskOperation::Read => "read",
            DiskOperation::Create => "create",
            DiskOperation::Append => "append",
            DiskOperation::SyncFile => "sync file",
            DiskOperation::Rename => "rename",
            DiskOperation::Remove => "remove",
            DiskOperation::SyncFolder => "sync folder",
        })
    }
}

/// The kinds of failure that callers treat differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The disk or the quota is full.
    Full,
    /// There is no such file.
    NotFound,
    /// The name is in use.
    Exists,
    /// Any other failure, for example an input/output error.
    Other,
}

/// A failed operation: the file, the operation and the reason that the system gave.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{operation} failed for {file}: {reason}")]
pub struct DiskError {
    /// Name of the file, or of the folder for operations on the folder.
    pub file: String,
    /// The operation that failed.
    pub operation: DiskOperation,
    /// The kind of failure, for callers that handle some of them.
    pub kind: FailureKind,
    /// The error text of the operating system or the simulated disk.
    pub reason: String,
}

impl DiskError {
    /// Creates an error; for implementations of [`Disk`].
    #[must_use]
    pub fn new(file: &str, operation: DiskOperation, kind: FailureKind, reason: &str) -> Self {
        Self {
            file: file.to_owned(),
            operation,
            kind,
            reason: reason.to_owned(),
        }
    }

    /// Whether the disk was full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.kind == FailureKind::Full
    }
}
