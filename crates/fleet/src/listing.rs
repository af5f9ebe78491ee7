use std::collections;
use std::net;

use crate::entry;
use crate::listed;

/// The last state of a host according to the platform.
#[derive(Clone, Debug)]
struct Record {
    peer: net::SocketAddr,
    phase: entry::Phase,
    /// Lifetime that the phase `Leaving` applies to, once it is known.
    lifetime: Option<u64>,
}

/// The platform's list of hosts.
///
/// The list may be outdated: it may still show a host as leaving that has been
/// started again. So `Leaving` applies to the lifetime that was known when the
/// list first contained it, and to no later one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Listing {
    records: collections::BTreeMap<String, Record>,
}

impl Listing {
    /// Replaces the list by the first `hosts_max` of `hosts`.
    pub(crate) fn replace(&mut self, hosts: &[listed::Listed], hosts_max: usize) {
        let mut records = collections::BTreeMap::new();
        for host in hosts.iter().take(hosts_max) {
            let earlier = self.records.get(&host.name);
            let lifetime = earlier
                .filter(|record| record.phase == host.phase)
                .and_then(|record| record.lifetime);
            let record = Record {
                peer: host.peer,
                phase: host.phase,
                lifetime,
            };
            records.insert(host.name.clone(), record);
        }
        self.records = records;
    }

    /// Returns whether this lifetime is leaving according to the list.
    pub(crate) fn is_leaving(&mut self, name: &str, incarnation: u64) -> bool {
        let Some(record) = self.records.get_mut(name) else {
            return false;
        };
        record.phase == entry::Phase::Leaving
            && *record.lifetime.get_or_insert(incarnation) == incarnation
    }

    /// Returns the peer addresses of the hosts that are not leaving.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.records
            .values()
            .filter(|record| record.phase == entry::Phase::Up)
            .map(|record| record.peer)
    }
}
