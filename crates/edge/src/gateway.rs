use core::cmp;
use std::net;

use base::mutex;

use crate::gossip;
use crate::host;

/// Hosts that are asked one after the other to send to a brittle endpoint.
const GATEWAYS_MAX: usize = 3;

/// Place of a host in the order in which hosts take an endpoint: those of its data centre
/// first, then by a hash of both names, so that all hosts derive the same order.
type Place = (bool, cmp::Reverse<u64>);

/// A host through which all hosts send to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Gateway {
    /// This host.
    Own,
    /// Another one, with its address for other hosts.
    Other(net::SocketAddr),
}

/// Returns the place of a host in the order for an endpoint.
pub(crate) fn place(host: &fleet::Entry, endpoint: u64, data_centre: &str) -> Place {
    let is_remote = host.data_centre != data_centre;
    (is_remote, cmp::Reverse(gossip::score(&host.name, endpoint)))
}

impl host::Host {
    /// Returns how this host sends to a brittle endpoint as its gateway. One that sees less
    /// than half of the hosts may be cut off from those that have another gateway.
    pub(crate) fn gateway_role(&self) -> steer::Role {
        let membership = mutex::lock(&self.membership);
        match membership.live().len() * 2 >= membership.entries().count() {
            true => steer::Role::Gateway,
            false => steer::Role::Alone,
        }
    }

    /// Returns the first live hosts in the order for the endpoint.
    pub(crate) fn gateways(&self, pick: &steer::Pick) -> Vec<Gateway> {
        let endpoint = gossip::name_hash(&pick.id);
        let membership = mutex::lock(&self.membership);
        let own = &membership.own().name;
        let live = membership.live().into_iter();
        let mut hosts: Vec<(Place, Gateway)> = live
            .map(|entry| {
                let gateway = match entry.name == *own {
                    true => Gateway::Own,
                    false => Gateway::Other(entry.peer),
                };
                (place(entry, endpoint, &pick.data_centre), gateway)
            })
            .collect();
        hosts.sort_unstable_by_key(|(place, _)| *place);
        hosts.truncate(GATEWAYS_MAX);
        hosts.into_iter().map(|(_, gateway)| gateway).collect()
    }
}
