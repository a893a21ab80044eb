//! Network delays, partitions between zones, and the idle connections of proxies to servers.

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

use crate::random::{hash_parts, unit_interval};
use crate::scenario::{Network as NetworkSpec, millis, seconds};

/// The model of the network: delays and partitions between zones.
pub(crate) struct Network {
    /// One-way delays without jitter, in microseconds.
    delay_within_zone: f64,
    delay_between_zones: f64,
    jitter: f64,
    /// The timeout for connecting to a server.
    pub connect_timeout: Micros,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// The end of the last partition of each zone from all others, by zone.
    partitioned_until: Vec<Micros>,
    seed: u64,
}

impl Network {
    /// A network without partitions.
    pub(crate) fn new(spec: &NetworkSpec, zones: usize, seed: u64) -> Self {
        Network {
            delay_within_zone: spec.within_zone_ms * 1e3,
            delay_between_zones: spec.between_zones_ms * 1e3,
            jitter: spec.jitter,
            connect_timeout: millis(spec.connect_timeout_ms),
            idle_timeout: seconds(spec.idle_timeout_s),
            partitioned_until: vec![0; zones],
            seed,
        }
    }

    /// The one-way delay of a message between two zones, with jitter. The jitter is a hash of
    /// `message`, which identifies the message, so that it has the same delay under every policy.
    pub(crate) fn delay(&self, from: usize, to: usize, message: [u64; 2]) -> Micros {
        let base = self.base_delay_f64(from, to);
        if self.jitter == 0.0 {
            return base as Micros;
        }
        let bits = hash_parts([self.seed, message[0], message[1], 0x7a]);
        (base * (1.0 + self.jitter * unit_interval(bits))) as Micros
    }

    /// The one-way delay between two zones, without jitter.
    pub(crate) fn base_delay(&self, from: usize, to: usize) -> Micros {
        self.base_delay_f64(from, to) as Micros
    }

    /// Partitions a zone from all others until `until`, or longer if a partition is in force.
    pub(crate) fn partition(&mut self, zone: usize, until: Micros) {
        self.partitioned_until[zone] = self.partitioned_until[zone].max(until);
    }

    /// The end of the partition between two zones, if one is in force at `now`.
    pub(crate) fn partition_end(&self, from: usize, to: usize, now: Micros) -> Option<Micros> {
        let until = self.partitioned_until[from].max(self.partitioned_until[to]);
        (from != to && until > now).then_some(until)
    }

    fn base_delay_f64(&self, from: usize, to: usize) -> f64 {
        if from == to {
            self.delay_within_zone
        } else {
            self.delay_between_zones
        }
    }
}

/// The idle connections of one proxy to one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdleConnections {
    pub count: u32,
    /// The incarnation of the server at the other end.
    pub incarnation: u32,
    last_used: Micros,
    /// Whether an idle check is scheduled.
    check_scheduled: bool,
}

/// The outcome of an idle check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleCheck {
    /// All connections were closed; this many led to the checked incarnation.
    Closed(u32),
    /// Nothing was closed; the next check is due at this time.
    CheckAgainAt(Micros),
}

/// The idle connections of one proxy, by server.
#[derive(Default)]
pub(crate) struct ConnectionPool(FxHashMap<u32, IdleConnections>);

impl ConnectionPool {
    /// Takes an idle connection to this incarnation of a server. Returns false if there is none.
    pub(crate) fn take(&mut self, server: u32, incarnation: u32) -> bool {
        let Some(idle) = self
            .0
            .get_mut(&server)
            .filter(|idle| idle.incarnation == incarnation && idle.count > 0)
        else {
            return false;
        };
        idle.count -= 1;
        true
    }

    /// Returns a connection to the pool. The result is true if the caller must schedule an idle
    /// check.
    pub(crate) fn put_back(&mut self, server: u32, incarnation: u32, now: Micros) -> bool {
        let idle = self.0.entry(server).or_default();
        if idle.incarnation != incarnation {
            (idle.count, idle.incarnation) = (0, incarnation);
        }
        idle.count += 1;
        idle.last_used = now;
        !std::mem::replace(&mut idle.check_scheduled, true)
    }

    /// Closes all connections to a server. Returns the number that led to this incarnation.
    pub(crate) fn close(&mut self, server: u32, incarnation: u32) -> u32 {
        let Some(idle) = self.0.get_mut(&server) else {
            return 0;
        };
        let count = std::mem::take(&mut idle.count);
        if idle.incarnation == incarnation {
            count
        } else {
            0
        }
    }

    /// Closes the connections to a server if none of them was used within `idle_timeout`.
    pub(crate) fn check_idle(
        &mut self,
        server: u32,
        incarnation: u32,
        now: Micros,
        idle_timeout: Micros,
    ) -> IdleCheck {
        let Some(idle) = self.0.get_mut(&server) else {
            return IdleCheck::Closed(0);
        };
        let expires = idle.last_used + idle_timeout;
        if idle.count > 0 && expires > now {
            return IdleCheck::CheckAgainAt(expires);
        }
        idle.check_scheduled = false;
        IdleCheck::Closed(self.close(server, incarnation))
    }

    /// Removes and returns all connections, by server.
    pub(crate) fn drain(&mut self) -> impl Iterator<Item = (u32, IdleConnections)> + '_ {
        self.0.drain()
    }
}
