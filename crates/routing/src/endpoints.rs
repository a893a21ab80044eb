//! The endpoint table: the state of every server, in entries that are reused, and the groups of the
//! current routing table (the servers of one service in one region). The module holds state only
//! and makes no decision.

use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::decision::ServerHandle;
use crate::endpoint::Endpoint;
use crate::outlier::GroupHealth;
use crate::table::{RegionId, ServerSpec, Table};

/// The endpoint table.
#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    entries: Vec<Option<Endpoint>>,
    free_indexes: Vec<u32>,
    by_instance: FxHashMap<Arc<str>, u32>,
    /// Indexes of the listed servers of each service and region.
    groups: Vec<Vec<u32>>,
    regions: usize,
    /// Number of servers that were ever added, which makes handles unique.
    generations: u32,
    table_version: u64,
}

impl Endpoints {
    /// Applies a new routing table. The state of servers that stay is kept. Servers that left
    /// remain as unlisted entries until their last attempt ends.
    pub(crate) fn apply_table(&mut self, now: Micros, table: &Table) {
        self.table_version += 1;
        self.regions = table.region_count();
        self.groups = vec![Vec::new(); table.services().len() * self.regions];
        for endpoint in self.entries.iter_mut().flatten() {
            endpoint.is_listed = false;
        }
        for spec in table.servers() {
            let index = match self.by_instance.get(&spec.instance) {
                Some(index) => self.update(*index, spec),
                None => self.insert(now, spec),
            };
            self.list(index, table);
        }
        let endpoints = self.entries.iter().flatten();
        let obsolete: Vec<u32> = endpoints
            .filter(|endpoint| endpoint.is_obsolete())
            .map(|endpoint| endpoint.handle.index)
            .collect();
        for index in obsolete {
            self.remove(index);
        }
    }

    fn group_index(&self, service: u32, region: RegionId) -> u32 {
        service * self.regions as u32 + u32::from(region)
    }

    /// Adds a server and returns its index.
    fn insert(&mut self, now: Micros, spec: &Arc<ServerSpec>) -> u32 {
        let index = self.free_indexes.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() as u32 - 1
        });
        self.generations = self.generations.wrapping_add(1);
        let handle = ServerHandle {
            index,
            generation: self.generations,
        };
        self.entries[index as usize] = Some(Endpoint::new(now, spec, handle));
        self.by_instance.insert(spec.instance.clone(), index);
        index
    }

    /// Updates a known server and returns its index.
    fn update(&mut self, index: u32, spec: &Arc<ServerSpec>) -> u32 {
        if let Some(endpoint) = self.entries[index as usize].as_mut() {
            endpoint.update_spec(spec);
        }
        index
    }

    /// Adds a server to the group of its service and region.
    fn list(&mut self, index: u32, table: &Table) {
        let Some(endpoint) = self.entries[index as usize].as_mut() else {
            return;
        };
        let service = table.service(&endpoint.spec.service);
        let region = table.region(&endpoint.spec.region);
        let (Some(service), Some(region)) = (service, region) else {
            return;
        };
        let group = service * self.regions as u32 + u32::from(region);
        endpoint.list(
            region,
            group,
            &table.services()[service as usize],
            table.gates,
        );
        self.groups[group as usize].push(index);
    }

    fn remove(&mut self, index: u32) {
        if let Some(endpoint) = self.entries[index as usize].take() {
            self.by_instance.remove(&endpoint.spec.instance);
            self.free_indexes.push(index);
        }
    }

    /// Drops a server that is not listed if no attempt at it is in flight.
    pub(crate) fn remove_if_obsolete(&mut self, server: ServerHandle) {
        if self.get(server).is_some_and(Endpoint::is_obsolete) {
            self.remove(server.index);
        }
    }

    /// The server of a handle; `None` if it was dropped.
    pub(crate) fn get(&self, server: ServerHandle) -> Option<&Endpoint> {
        let endpoint = self.entries.get(server.index as usize)?.as_ref()?;
        (endpoint.handle == server).then_some(endpoint)
    }

    /// The server of a handle, for changes; `None` if it was dropped.
    pub(crate) fn get_mut(&mut self, server: ServerHandle) -> Option<&mut Endpoint> {
        let endpoint = self.entries.get_mut(server.index as usize)?.as_mut()?;
        (endpoint.handle == server).then_some(endpoint)
    }

    /// The server at an index; `None` if the entry is free.
    pub(crate) fn at(&self, index: u32) -> Option<&Endpoint> {
        self.entries.get(index as usize)?.as_ref()
    }

    /// The handle of an instance; `None` if the instance is unknown.
    pub(crate) fn handle(&self, instance: &str) -> Option<ServerHandle> {
        let index = *self.by_instance.get(instance)?;
        self.at(index).map(|endpoint| endpoint.handle)
    }

    /// The listed servers of a service in a region.
    pub(crate) fn members(
        &self,
        service: u32,
        region: RegionId,
    ) -> impl Iterator<Item = &Endpoint> {
        self.group(self.group_index(service, region))
    }

    /// The listed servers of a group.
    pub(crate) fn group(&self, group: u32) -> impl Iterator<Item = &Endpoint> {
        let members = self.groups.get(group as usize).map(Vec::as_slice);
        let indexes = members.unwrap_or_default().iter();
        indexes.filter_map(|index| self.at(*index))
    }

    /// Number of routing tables applied so far, by which users detect a new one.
    pub(crate) fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Every listed server.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.entries.iter().flatten();
        endpoints.filter(|endpoint| endpoint.is_listed)
    }

    /// Every listed server, for changes.
    pub(crate) fn listed_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        let endpoints = self.entries.iter_mut().flatten();
        endpoints.filter(|endpoint| endpoint.is_listed)
    }

    /// Health of the other servers in a server's group, the medians with which outlier detection
    /// compares it. `count` includes the server itself.
    pub(crate) fn group_health(&self, endpoint: &Endpoint) -> GroupHealth {
        let others = || {
            let group = self.group(endpoint.group);
            group.filter(|other| other.handle != endpoint.handle)
        };
        let is_ejected = |other: &&Endpoint| other.outlier.ejection().is_some();
        GroupHealth {
            count: others().count() + 1,
            ejected: others().filter(is_ejected).count(),
            short_term_failures: median(others().map(|other| other.outlier.short_term_failures())),
            long_term_failures: median(others().map(|other| other.outlier.long_term_failures())),
            slowness: median(others().filter_map(|other| other.outlier.slowness())),
        }
    }
}

/// The lower median; 0 if there are no values.
fn median(values: impl Iterator<Item = f32>) -> f32 {
    let mut values: SmallVec<[f32; 64]> = values.collect();
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f32::total_cmp).1
}

#[cfg(test)]
mod tests;
