//! Start of a node from its record, or with an empty disk.

use std::net::SocketAddr;

use crate::acceptor::Acceptor;
use crate::ballot::Identity;
use crate::bootstrap::BootstrapCheck;
use crate::guard::Guard;
use crate::node::RecordSource;
use crate::record::Record;
use crate::settings::Settings;

/// The acceptor and the bootstrap check with which a node starts.
pub(super) struct Recovery<V> {
    pub(super) acceptor: Acceptor<V>,
    /// The bootstrap check, if one is needed before the node may vote.
    pub(super) bootstrap_check: Option<BootstrapCheck<V>>,
}

impl<V: Clone> Recovery<V> {
    /// Recovers the acceptor of the node at the address `own_address` from the source of its record.
    pub(super) fn new(
        source: RecordSource<V>,
        own_address: SocketAddr,
        settings: &Settings,
    ) -> Self {
        let guards = settings.guards;
        match source {
            RecordSource::Durable(record) => Self {
                bootstrap_check: Self::restart_check(own_address, &record, settings),
                acceptor: Acceptor::recovered(record, guards),
            },
            RecordSource::Unsynced(record) => Self {
                bootstrap_check: Self::restart_check(own_address, &record, settings),
                acceptor: Acceptor::unsynced(record, guards),
            },
            RecordSource::Bootstrap { members, value }
                if guards.enforces(Guard::BootstrapCheck) =>
            {
                let timeout = settings.bootstrap_timeout;
                let blank = Record::empty(Identity::from_seed_address(own_address));
                Self {
                    bootstrap_check: Some(BootstrapCheck::new(
                        own_address,
                        members,
                        value,
                        timeout,
                    )),
                    acceptor: Acceptor::recovered(blank, guards),
                }
            }
            RecordSource::Bootstrap { members, value } => Self {
                bootstrap_check: None,
                acceptor: Acceptor::unsynced(
                    Record::bootstrap(own_address, &members, value),
                    guards,
                ),
            },
            RecordSource::Empty { identity } => Self {
                bootstrap_check: None,
                acceptor: Acceptor::unsynced(Record::empty(identity), guards),
            },
        }
    }

    fn restart_check(
        own_address: SocketAddr,
        record: &Record<V>,
        settings: &Settings,
    ) -> Option<BootstrapCheck<V>> {
        if !settings.guards.enforces(Guard::RestartBeforeFirstVote) {
            return None;
        }
        BootstrapCheck::restarted(own_address, record, settings.bootstrap_timeout)
    }
}
