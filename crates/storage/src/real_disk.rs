//! [`Disk`] on a folder of the file system.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

use crate::disk::{Disk, DiskError, DiskOperation, FailureKind};

/// Path of the current directory, also the name of the disk's folder in errors.
const FOLDER: &str = ".";

/// A [`Disk`] on a folder of the file system. Keeps a descriptor open for each file that was
/// created through it, until the file is removed.
#[derive(Debug)]
pub struct RealDisk {
    folder: PathBuf,
    open: Mutex<HashMap<String, Arc<File>>>,
}

impl RealDisk {
    /// Opens a folder, which is created durably if it is missing.
    ///
    /// # Errors
    /// When the folder cannot be created, or the path is not a folder.
    pub fn open(folder: &Path) -> Result<Self, DiskError> {
        if !folder.is_dir() {
            create_folder(folder).map_err(failed(FOLDER, DiskOperation::Open))?;
        }
        Ok(Self {
            folder: folder.to_owned(),
            open: Mutex::default(),
        })
    }

    fn path(&self, file: &str) -> PathBuf {
        self.folder.join(file)
    }

    /// Runs a system call on the descriptor of a file.
    fn with_open<T>(
        &self,
        file: &str,
        operation: DiskOperation,
        run: impl FnOnce(&File) -> io::Result<T>,
    ) -> Result<T, DiskError> {
        let handle = self.handle(file, operation)?;
        run(&handle).map_err(failed(file, operation))
    }

    /// The open descriptor of a file, shared so that the table is not locked during the system
    /// call; opened anew for a file that wasn't created through this disk.
    fn handle(&self, file: &str, operation: DiskOperation) -> Result<Arc<File>, DiskError> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = open.get(file) {
            return Ok(Arc::clone(handle));
        }
        OpenOptions::new()
            .append(true)
            .open(self.path(file))
            .map(Arc::new)
            .map_err(failed(file, operation))
    }
}

impl Disk for RealDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder).map_err(failed(FOLDER, DiskOperation::List))? {
            let entry = entry.map_err(failed(FOLDER, DiskOperation::List))?;
            // Names of a log's files are ASCII, so a name that is not UTF-8 is skipped.
            if let Ok(name) = entry.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, DiskError> {
        fs::read(self.path(file)).map_err(failed(file, DiskOperation::Read))
    }

    fn create(&self, file: &str) -> Result<(), DiskError> {
        let handle = OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(self.path(file))
            .map_err(failed(file, DiskOperation::Create))?;
        self.open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(file.to_owned(), Arc::new(handle));
        Ok(())
    }

    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.with_open(file, DiskOperation::Append, |mut handle| {
            handle.write_all(bytes)
        })
    }

    fn sync_file(&self, file: &str) -> Result<(), DiskError> {
        self.with_open(file, DiskOperation::SyncFile, File::sync_data)
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), DiskError> {
        if self
            .path(to)
            .try_exists()
            .map_err(failed(to, DiskOperation::Rename))?
        {
            return Err(DiskError::new(
                to,
                DiskOperation::Rename,
                FailureKind::Exists,
                "the new name is already in use",
            ));
        }
        fs::rename(self.path(from), self.path(to)).map_err(failed(from, DiskOperation::Rename))?;
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = open.remove(from) {
            open.insert(to.to_owned(), handle);
        }
        Ok(())
    }

    fn remove(&self, file: &str) -> Result<(), DiskError> {
        self.open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(file);
        fs::remove_file(self.path(file)).map_err(failed(file, DiskOperation::Remove))
    }

    fn sync_folder(&self) -> Result<(), DiskError> {
        let folder = File::open(&self.folder).map_err(failed(FOLDER, DiskOperation::SyncFolder))?;
        folder
            .sync_all()
            .map_err(failed(FOLDER, DiskOperation::SyncFolder))
    }
}

/// Creates a folder and syncs its parent.
fn create_folder(folder: &Path) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    match folder.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => File::open(parent)?.sync_all(),
        _ => File::open(FOLDER)?.sync_all(),
    }
}

/// Adds the file and the operation to a system error.
fn failed(file: &str, operation: DiskOperation) -> impl Fn(io::Error) -> DiskError {
    let file = file.to_owned();
    move |error| DiskError::new(&file, operation, kind_of(&error), &error.to_string())
}

fn kind_of(error: &io::Error) -> FailureKind {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            FailureKind::Full
        }
        io::ErrorKind::NotFound => FailureKind::NotFound,
        io::ErrorKind::AlreadyExists => FailureKind::Exists,
        _ => FailureKind::Other,
    }
}
