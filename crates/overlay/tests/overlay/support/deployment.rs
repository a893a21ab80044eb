//! Sizes and layouts of the simulated deployments.

use std::net::{Ipv4Addr, SocketAddr};

use ironmast_overlay::{Descriptor, Locality, Role};

/// A deployment: coordinators first, then agents, spread over the regions and zones in turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub coordinators: usize,
    pub agents: usize,
    pub regions: usize,
    pub zones: usize,
    /// Number of regions that have coordinators.
    pub coordinator_regions: usize,
}

impl Deployment {
    pub(crate) const SMALL: Deployment = Deployment {
        coordinators: 3,
        agents: 7,
        regions: 2,
        zones: 2,
        coordinator_regions: 2,
    };
    pub(crate) const TWENTY: Deployment = Deployment {
        coordinators: 3,
        agents: 20,
        regions: 3,
        zones: 2,
        coordinator_regions: 2,
    };
    pub(crate) const HUNDRED: Deployment = Deployment {
        coordinators: 5,
        agents: 100,
        regions: 5,
        zones: 3,
        coordinator_regions: 3,
    };
    pub(crate) const FIVE_HUNDRED: Deployment = Deployment {
        coordinators: 5,
        agents: 500,
        regions: 10,
        zones: 4,
        coordinator_regions: 5,
    };
    pub(crate) const TWO_THOUSAND: Deployment = Deployment {
        coordinators: 17,
        agents: 2_000,
        regions: 10,
        zones: 4,
        coordinator_regions: 5,
    };

    pub(crate) fn len(&self) -> usize {
        self.coordinators + self.agents
    }

    pub(crate) fn descriptor(&self, index: usize) -> Descriptor {
        let role = if index < self.coordinators {
            Role::Coordinator
        } else {
            Role::Agent
        };
        let (position, regions) = match role {
            Role::Coordinator => (index, self.coordinator_regions),
            Role::Agent => (index - self.coordinators, self.regions),
        };
        let region = position % regions;
        let zone = position / regions % self.zones;
        let locality = Locality {
            region: region as u32,
            zone: (region * self.zones + zone) as u32,
        };
        Descriptor {
            address: address(index),
            locality,
            role,
            incarnation: 1,
        }
    }
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index as u32), 7_000))
}

pub(crate) fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("simulated nodes have IPv4 addresses")
    };
    (address.ip().to_bits() - 0x0a00_0000) as usize
}
