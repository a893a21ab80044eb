//! The catalog that each coordinator keeps: the latest word about every server instance and gate,
//! who has been heard of lately, and the operator's state. No I/O: whoever drives it passes the
//! time and sends what it returns.
#![forbid(unsafe_code)]

use std::net::SocketAddr;

use ironmast_schema::control::{
    ControlState, Entry, GateRecord, InstanceRecord, Key, Liveness, Value,
};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use rustc_hash::FxHashMap;

/// Microseconds of a steady clock.
pub type Micros = u64;

/// Versions that one heartbeat's number stands for: present, silent, removed.
const VERSIONS_PER_SEQUENCE: u64 = 4;
/// From the version of a word to that of the silence after it.
const VERSIONS_TO_SILENCE: u64 = 1;
/// The version of an incarnation that has ended: only its removal is newer.
const VERSION_GONE: u64 = u64::MAX - 1;
/// Records of what has ended or fallen silent are kept for this long.
const FORGET_AFTER: Micros = 120_000_000;

/// How long silence takes to count.
#[derive(Debug, Clone, Copy)]
pub struct ExpiryTimeouts {
    /// For server instances.
    pub instance: Micros,
    /// For gates.
    pub gate: Micros,
}

/// When a key was last heard of, here or by another coordinator, and its number then.
#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Micros,
    sequence: u64,
    /// When it last spoke to this coordinator itself.
    here: Option<Micros>,
}

/// What an entry from elsewhere has led to.
#[derive(Debug, Clone, PartialEq)]
pub enum MergeOutcome {
    /// It was news.
    Newer,
    /// It has been known, or differs in nothing that others must be told.
    Known,
    /// What is known here is newer and another thing: others must be told this.
    Stale(Box<Entry>),
}

/// A gate that is known.
#[derive(Debug, Clone, Copy)]
pub struct Gate<'a> {
    /// Where clients reach it.
    pub frontend: SocketAddr,
    /// The latest word about it.
    pub record: &'a GateRecord,
    /// When it was last heard of.
    pub last_heard: Micros,
    /// Whether any coordinator has heard it within the patience.
    pub is_reachable: bool,
    /// Whether it has spoken to this coordinator itself within the patience.
    pub is_directly_reachable: bool,
}

/// The catalog of one coordinator.
#[derive(Debug)]
pub struct EndpointTable {
    patience: ExpiryTimeouts,
    started: Micros,
    entries: FxHashMap<Key, Entry>,
    heard: FxHashMap<Key, Heard>,
    last_heartbeat: Micros,
    /// Keys heard of here since they were last told to the other coordinators.
    fresh: FxHashMap<Key, u64>,
}

impl EndpointTable {
    /// An empty catalog.
    #[must_use]
    pub fn new(now: Micros, patience: ExpiryTimeouts) -> Self {
        let (entries, heard, fresh) = Default::default();
        EndpointTable {
            patience,
            started: now,
            entries,
            heard,
            last_heartbeat: now,
            fresh,
        }
    }

    /// Everything that is known.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.values().cloned().collect()
    }

    /// What is known of one key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Takes a server's heartbeat; returns what others must be told, if anything has changed.
    pub fn record_heartbeat(
        &mut self,
        now: Micros,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Option<Entry> {
        let key = Key::Instance(id.to_string());
        let sequence = heartbeat.sequence;
        let version = version_of(sequence);
        self.last_heartbeat = now;
        let known = self.entries.get(&key);
        // A word that is late, has come before, or is of an incarnation that has ended changes
        // nothing.
        if known.is_some_and(|entry| entry.version >= version) {
            return None;
        }
        let changed = known.is_none_or(|entry| match &entry.value {
            Value::Instance(record) => {
                record.liveness != Liveness::Alive || differs(&record.heartbeat, &heartbeat)
            }
            _ => true,
        });
        self.hear(now, &key, sequence);
        let value = Value::Instance(InstanceRecord {
            heartbeat,
            liveness: Liveness::Alive,
        });
        let entry = Entry {
            key: key.clone(),
            version,
            value,
        };
        self.entries.insert(key, entry.clone());
        changed.then_some(entry)
    }

    /// Takes a server's word that it ends; returns what others must be told.
    pub fn deregister(&mut self, now: Micros, id: &str) -> Option<Entry> {
        let key = Key::Instance(id.to_string());
        let entry = self.entries.get_mut(&key)?;
        let Value::Instance(record) = &mut entry.value else {
            return None;
        };
        if record.liveness == Liveness::Deregistered {
            return None;
        }
        record.liveness = Liveness::Deregistered;
        entry.version = VERSION_GONE;
        let entry = entry.clone();
        note(&mut self.heard, now, &key, 0);
        Some(entry)
    }

    /// Takes what a gate says of itself; returns what others must be told, if anything has changed.
    pub fn update_gate(
        &mut self,
        now: Micros,
        key: Key,
        version: u64,
        record: GateRecord,
    ) -> Option<Entry> {
        let known = self.entries.get(&key);
        if known.is_some_and(|entry| entry.version >= version) {
            return None;
        }
        let value = Value::Gate(record);
        let changed = known.is_none_or(|entry| entry.value != value);
        self.hear(now, &key, version);
        let entry = Entry {
            key: key.clone(),
            version,
            value,
        };
        self.entries.insert(key, entry.clone());
        changed.then_some(entry)
    }

    /// Puts the operator's state under its version; returns what others must be told, if it is
    /// newer.
    pub fn update_control_state(
        &mut self,
        now: Micros,
        version: u64,
        state: ControlState,
    ) -> Option<Entry> {
        let entry = Entry {
            key: Key::Control,
            version,
            value: Value::Control(state),
        };
        (self.merge(now, &entry) == MergeOutcome::Newer).then_some(entry)
    }

    /// Takes an entry from elsewhere.
    pub fn merge(&mut self, now: Micros, entry: &Entry) -> MergeOutcome {
        if let Some(known) = self.entries.get(&entry.key) {
            if known.version > entry.version && differ(&entry.value, &known.value) {
                return MergeOutcome::Stale(Box::new(known.clone()));
            }
            if known.version >= entry.version {
                return MergeOutcome::Known;
            }
        }
        note(&mut self.heard, now, &entry.key, 0);
        self.entries.insert(entry.key.clone(), entry.clone());
        MergeOutcome::Newer
    }

    /// Another coordinator has heard of these. What they said comes as entries of their own, under
    /// the versions of these numbers, and may still be on its way: the entries here stay as they
    /// are.
    pub fn merge_observed(&mut self, now: Micros, heard: &[(Key, u64)]) {
        for (key, sequence) in heard {
            let late = self
                .heard
                .get(key)
                .is_some_and(|last| last.sequence > *sequence);
            if !late && self.entries.contains_key(key) {
                note(&mut self.heard, now, key, *sequence);
            }
        }
    }

    /// What has been heard of here since the last call, for the other coordinators.
    pub fn take_observed(&mut self) -> Vec<(Key, u64)> {
        self.fresh.drain().collect()
    }

    /// This coordinator has been without the others' word until now: nobody's silence before
    /// counts.
    pub fn restart_expiry(&mut self, now: Micros) {
        self.started = now;
    }

    /// Finds who has fallen silent; returns what others must be told.
    pub fn expire(&mut self, now: Micros) -> Vec<Entry> {
        // Guards the list against emptying while this coordinator itself hears nobody.
        let deaf = now < self.started + self.patience.instance
            || now > self.last_heartbeat + self.patience.instance / 2;
        let mut out = Vec::new();
        for (key, entry) in &mut self.entries {
            let unheard = Heard {
                at: self.started,
                sequence: 0,
                here: None,
            };
            let heard = self.heard.get(key).copied().unwrap_or(unheard);
            let silent_since = heard.at.max(self.started);
            match &mut entry.value {
                Value::Instance(record) if record.liveness == Liveness::Alive => {
                    if deaf || now <= silent_since + self.patience.instance {
                        continue;
                    }
                    record.liveness = Liveness::Unreachable;
                    entry.version =
                        entry.version.max(version_of(heard.sequence)) + VERSIONS_TO_SILENCE;
                    out.push(entry.clone());
                }
                Value::Gate(record) if !record.down && now > silent_since + self.patience.gate => {
                    record.down = true;
                    entry.version = entry.version.max(heard.sequence) + VERSIONS_TO_SILENCE;
                    out.push(entry.clone());
                }
                _ => {}
            }
        }
        out
    }

    /// The gates that are known, those that have gone among them.
    pub fn gates(&self, now: Micros) -> impl Iterator<Item = Gate<'_>> {
        let patience = self.patience.gate;
        self.entries
            .iter()
            .filter_map(move |(key, entry)| match (key, &entry.value) {
                (Key::Gate(frontend), Value::Gate(record)) => {
                    let heard = self.heard.get(key);
                    let is_recent = |at: Micros| now <= at + patience;
                    Some(Gate {
                        frontend: *frontend,
                        record,
                        last_heard: heard.map_or(self.started, |heard| heard.at),
                        is_reachable: heard.is_some_and(|heard| is_recent(heard.at)),
                        is_directly_reachable: heard
                            .and_then(|heard| heard.here)
                            .is_some_and(is_recent),
                    })
                }
                _ => None,
            })
    }

    fn hear(&mut self, now: Micros, key: &Key, sequence: u64) {
        note(&mut self.heard, now, key, sequence).here = Some(now);
        self.fresh.insert(key.clone(), sequence);
    }

    /// Drops what has ended or been silent for long; returns the keys with the versions of their
    /// removal.
    pub fn purge(&mut self, now: Micros) -> Vec<(Key, u64)> {
        let ended = |entry: &Entry| match &entry.value {
            Value::Instance(record) => record.liveness != Liveness::Alive,
            Value::Gate(record) => record.down,
            Value::Control(_) => false,
        };
        let heard = &mut self.heard;
        let mut removed = Vec::new();
        self.entries.retain(|key, entry| {
            let keep = !ended(entry)
                || heard
                    .get(key)
                    .is_some_and(|last| now <= last.at + FORGET_AFTER);
            if !keep {
                heard.remove(key);
                removed.push((key.clone(), entry.version + 1));
            }
            keep
        });
        removed
    }
}

/// The version of a heartbeat with this number; the end of an incarnation is above all of them.
fn version_of(sequence: u64) -> u64 {
    sequence
        .saturating_mul(VERSIONS_PER_SEQUENCE)
        .min(VERSION_GONE - VERSIONS_PER_SEQUENCE)
}

fn note<'a>(
    heard: &'a mut FxHashMap<Key, Heard>,
    now: Micros,
    key: &Key,
    sequence: u64,
) -> &'a mut Heard {
    let last = heard.entry(key.clone()).or_insert(Heard {
        at: now,
        sequence,
        here: None,
    });
    last.at = last.at.max(now);
    last.sequence = last.sequence.max(sequence);
    last
}

/// Whether others who hold the first value must be told of the second.
fn differ(old: &Value, new: &Value) -> bool {
    match (old, new) {
        (Value::Instance(old), Value::Instance(new)) => {
            old.liveness != new.liveness || differs(&old.heartbeat, &new.heartbeat)
        }
        _ => old != new,
    }
}

/// Whether gates must be told of the second heartbeat after the first.
fn differs(old: &Heartbeat, new: &Heartbeat) -> bool {
    let cold = |beat: &Heartbeat| beat.warmup_left_ms > 0.0;
    let same = old.backend == new.backend
        && old.address == new.address
        && old.zone == new.zone
        && old.generation == new.generation
        && old.capacity == new.capacity
        && old.state == new.state
        && cold(old) == cold(new);
    // How much longer a server stays cold, and what is left of one that ends, is worth telling each
    // time.
    !same
        || cold(new)
        || new.state == InstanceState::Draining && old.remaining_ms != new.remaining_ms
}

#[cfg(test)]
mod tests;
