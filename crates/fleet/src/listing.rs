use std::collections;
use std::net;

use crate::entry;
use crate::listed;

/// What the platform last said about a host.
#[derive(Clone, Debug)]
struct Line {
    peer: net::SocketAddr,
    phase: entry::Phase,
    /// Lifetime that the phase `Leaving` applies to, once it is known.
    lifetime: Option<u64>,
}

/// The platform's list of hosts.
///
/// The list lags behind reality: it may still call a host leaving that has
/// been started again. So `Leaving` applies to the lifetime that was known
/// when the list first said it, and to no later one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Listing {
    lines: collections::BTreeMap<String, Line>,
}

impl Listing {
    /// Takes a new list, of at most `most` hosts.
    pub(crate) fn replace(&mut self, hosts: &[listed::Listed], most: usize) {
        let mut lines = collections::BTreeMap::new();
        for host in hosts.iter().take(most) {
            let earlier = self.lines.get(&host.name);
            let lifetime = earlier
                .filter(|line| line.phase == host.phase)
                .and_then(|line| line.lifetime);
            let line = Line {
                peer: host.peer,
                phase: host.phase,
                lifetime,
            };
            lines.insert(host.name.clone(), line);
        }
        self.lines = lines;
    }

    /// Returns whether the list calls this lifetime leaving.
    pub(crate) fn is_leaving(&mut self, name: &str, incarnation: u64) -> bool {
        let Some(line) = self.lines.get_mut(name) else {
            return false;
        };
        line.phase == entry::Phase::Leaving
            && *line.lifetime.get_or_insert(incarnation) == incarnation
    }

    /// Lists the addresses of the hosts that are not leaving.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.lines
            .values()
            .filter(|line| line.phase == entry::Phase::Up)
            .map(|line| line.peer)
    }
}
