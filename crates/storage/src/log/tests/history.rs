//! Runs one random history and checks the recovered record after each power loss and kill.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::disk::Disk;
use crate::log::{Log, LogState};
use crate::recovery::{OpenError, Recovered};
use crate::settings::LogSettings;
use crate::testing::FaultyDisk;

/// Number of steps of a history.
const STEPS: u32 = 120;
/// Largest padding of a record, in bytes.
const MAX_PADDING: usize = 240;

/// Number and padding of a record.
type Record = (u64, Vec<u8>);

/// Settings of the log under test, and a function that wraps its disk.
pub(super) struct Setup {
    pub(super) settings: LogSettings,
    pub(super) wrap_disk: Box<dyn Fn(Arc<FaultyDisk>) -> Arc<dyn Disk>>,
}

/// A violated invariant of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// The recovered record contradicts what was reported as durable.
    WrongRecord {
        found: Option<u64>,
        allowed: Vec<Option<u64>>,
    },
    /// The recovered record was never written.
    UnknownRecord(u64),
    /// A crash alone made the log corrupted or unreadable.
    Unrecoverable(OpenError),
    /// More space was used than the settings allow.
    Space(u64),
}

struct History<'a> {
    setup: &'a Setup,
    random: Xoshiro256PlusPlus,
    /// Probability that a step injects a fault.
    fault_probability: f64,
    faulty: Arc<FaultyDisk>,
    disk: Arc<dyn Disk>,
    log: Option<Log<Record>>,
    /// The newest number that the log was asked to write.
    newest: u64,
    /// The newest number that was appended but not synced yet.
    unsynced: Option<u64>,
    /// The numbers that may be recovered after a crash.
    allowed: Vec<Option<u64>>,
}

/// Runs the history of a seed.
pub(super) fn run_history(seed: u64, setup: &Setup) -> Result<(), Violation> {
    let faulty = Arc::new(FaultyDisk::new(seed));
    let disk = (setup.wrap_disk)(Arc::clone(&faulty));
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x5eed);
    let fault_probability = random.random_range(0.05..0.6);
    let mut history = History {
        setup,
        random,
        fault_probability,
        faulty,
        disk,
        log: None,
        newest: 0,
        unsynced: None,
        allowed: vec![None],
    };
    history.open()?;
    for _ in 0..STEPS {
        history.step()?;
    }
    history.lose_power()
}

impl History<'_> {
    fn step(&mut self) -> Result<(), Violation> {
        if self.random.random_bool(self.fault_probability) {
            self.inject_fault()?;
        } else {
            self.operate();
        }
        let used = self.faulty.used_bytes();
        if used > self.setup.settings.space_bytes() {
            return Err(Violation::Space(used));
        }
        Ok(())
    }

    fn operate(&mut self) {
        match self.random.random_range(0..10) {
            0..5 => self.append(),
            5..9 => self.sync(),
            _ => self.reopen(),
        }
    }

    fn inject_fault(&mut self) -> Result<(), Violation> {
        match self.random.random_range(0..10) {
            0..2 => self.lose_power()?,
            2..4 => self.kill()?,
            4..6 => self.faulty.stop_after(self.random.random_range(0..12)),
            6 => self.faulty.fail_file_syncs(1),
            7 => self
                .faulty
                .fail_folder_syncs(self.random.random_range(1..4)),
            8 => self.faulty.set_full(true),
            _ => self.faulty.set_full(false),
        }
        Ok(())
    }

    fn append(&mut self) {
        let record = self.next_record();
        let Some(log) = &mut self.log else { return };
        if log.state() == LogState::Ready {
            self.allowed.push(Some(record.0));
            if log.append(&record).is_ok() {
                self.unsynced = Some(record.0);
            }
        }
    }

    fn sync(&mut self) {
        let Some(log) = &mut self.log else { return };
        if log.sync().is_ok() && self.unsynced.is_some() {
            self.allowed = vec![self.unsynced];
        }
    }

    fn reopen(&mut self) {
        let record = self.next_record();
        let Some(log) = &mut self.log else { return };
        self.allowed.push(Some(record.0));
        self.unsynced = None;
        if log.reopen(&record).is_ok() {
            self.allowed = vec![Some(record.0)];
        }
    }

    fn lose_power(&mut self) -> Result<(), Violation> {
        self.log = None;
        self.faulty.lose_power();
        self.open()
    }

    fn kill(&mut self) -> Result<(), Violation> {
        self.log = None;
        let faults_stay = self.random.random_bool(0.3);
        if !faults_stay {
            self.faulty.clear_faults();
        }
        match self.open() {
            Err(Violation::Unrecoverable(OpenError::Disk(_))) if faults_stay => self.lose_power(),
            outcome => outcome,
        }
    }

    fn open(&mut self) -> Result<(), Violation> {
        let opened = Log::open(Arc::clone(&self.disk), self.setup.settings.clone());
        let (log, recovered) = opened.map_err(Violation::Unrecoverable)?;
        self.log = Some(log);
        self.unsynced = None;
        match recovered {
            Recovered::Empty => self.check(None, false),
            Recovered::Found {
                record, durable, ..
            } if record.1 == padding(record.0) => self.check(Some(record.0), durable),
            Recovered::Found { record, .. } => Err(Violation::UnknownRecord(record.0)),
        }
    }

    fn check(&mut self, found: Option<u64>, durable: bool) -> Result<(), Violation> {
        if !self.allowed.contains(&found) {
            return Err(Violation::WrongRecord {
                found,
                allowed: self.allowed.clone(),
            });
        }
        if durable {
            self.allowed = vec![found];
        }
        Ok(())
    }

    fn next_record(&mut self) -> Record {
        self.newest += 1;
        (self.newest, padding(self.newest))
    }
}

/// Padding that is specific to the number, and partly looks like the start of a frame.
fn padding(number: u64) -> Vec<u8> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(number);
    let length = random.random_range(0..MAX_PADDING);
    let mut bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
    if let Some(start) = bytes.get_mut(2..6) {
        start.copy_from_slice(b"FRAM");
    }
    bytes
}
