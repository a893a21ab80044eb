//! Latency, cut links, and the connections that proxies keep to servers.

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

use crate::random::{stir, unit};
use crate::scenario::{Network as Spec, millis, seconds};

/// Latency and cuts between zones.
pub(crate) struct Network {
    inside: f64,
    between: f64,
    jitter: f64,
    /// A connection that is not made by then counts as failed.
    pub connect_timeout: Micros,
    /// Idle connections close after this.
    pub idle_close: Micros,
    /// Until when each zone is cut off.
    cut_until: Vec<Micros>,
    seed: u64,
}

impl Network {
    /// A network without cuts.
    pub(crate) fn new(spec: &Spec, zones: usize, seed: u64) -> Self {
        Network {
            inside: spec.inside_ms * 1e3,
            between: spec.between_ms * 1e3,
            jitter: spec.jitter,
            connect_timeout: millis(spec.connect_timeout_ms),
            idle_close: seconds(spec.idle_close_s),
            cut_until: vec![0; zones],
            seed,
        }
    }

    /// One way from zone to zone. `what` names the message: the same one takes as long under every
    /// policy.
    pub(crate) fn way(&self, from: usize, to: usize, what: [u64; 2]) -> Micros {
        let base = if from == to {
            self.inside
        } else {
            self.between
        };
        if self.jitter == 0.0 {
            return base as Micros;
        }
        (base * (1.0 + self.jitter * unit(stir([self.seed, what[0], what[1], 0x7a])))) as Micros
    }

    /// One way without jitter.
    pub(crate) fn plain_way(&self, from: usize, to: usize) -> Micros {
        (if from == to {
            self.inside
        } else {
            self.between
        }) as Micros
    }

    /// Cuts a zone off until then.
    pub(crate) fn cut(&mut self, zone: usize, until: Micros) {
        self.cut_until[zone] = self.cut_until[zone].max(until);
    }

    /// Until when nothing passes between the two, if that is so now.
    pub(crate) fn cut_between(&self, from: usize, to: usize, now: Micros) -> Option<Micros> {
        let until = self.cut_until[from].max(self.cut_until[to]);
        (from != to && until > now).then_some(until)
    }
}

/// Idle connections of one proxy to one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Idle {
    /// How many.
    pub count: u32,
    /// The life of the server that they lead to.
    pub life: u32,
    /// When one was last used.
    pub used: Micros,
    /// A look at their age is due.
    pub looked_after: bool,
}

/// Idle connections of one proxy, by server.
#[derive(Default)]
pub(crate) struct Connections(FxHashMap<u32, Idle>);

impl Connections {
    /// Takes an idle connection to that life of a server, if there is one.
    pub(crate) fn take(&mut self, server: u32, life: u32) -> bool {
        let Some(idle) = self
            .0
            .get_mut(&server)
            .filter(|i| i.life == life && i.count > 0)
        else {
            return false;
        };
        idle.count -= 1;
        true
    }

    /// Gives one back; true where a look at their age must be arranged.
    pub(crate) fn give(&mut self, server: u32, life: u32, now: Micros) -> bool {
        let idle = self.0.entry(server).or_default();
        if idle.life != life {
            (idle.count, idle.life) = (0, life);
        }
        idle.count += 1;
        idle.used = now;
        !std::mem::replace(&mut idle.looked_after, true)
    }

    /// Closes all to a server; how many of that life there were.
    pub(crate) fn close(&mut self, server: u32, life: u32) -> u32 {
        let Some(idle) = self.0.get_mut(&server) else {
            return 0;
        };
        let count = if idle.life == life { idle.count } else { 0 };
        idle.count = 0;
        count
    }

    /// Looks at the age of those to a server: closes them, or tells when to look again.
    pub(crate) fn age(
        &mut self,
        server: u32,
        life: u32,
        now: Micros,
        limit: Micros,
    ) -> (u32, Option<Micros>) {
        let Some(idle) = self.0.get_mut(&server) else {
            return (0, None);
        };
        if idle.count > 0 && idle.used + limit > now {
            return (0, Some(idle.used + limit));
        }
        idle.looked_after = false;
        (self.close(server, life), None)
    }

    /// Closes everything; tells how many to which life of which server.
    pub(crate) fn drain(&mut self) -> impl Iterator<Item = (u32, Idle)> + '_ {
        self.0.drain()
    }
}
