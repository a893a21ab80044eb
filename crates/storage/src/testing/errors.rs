//! Errors of simulated disks.

use crate::disk::{DiskError, DiskOperation, FailureKind};

pub(super) fn not_found(file: &str, operation: DiskOperation) -> DiskError {
    DiskError::new(file, operation, FailureKind::NotFound, "no such file")
}

pub(super) fn name_exists(file: &str, operation: DiskOperation) -> DiskError {
    DiskError::new(
        file,
        operation,
        FailureKind::Exists,
        "the name is already in use",
    )
}

pub(super) fn full(file: &str, operation: DiskOperation) -> DiskError {
    DiskError::new(
        file,
        operation,
        FailureKind::Full,
        "no space left on the disk",
    )
}
