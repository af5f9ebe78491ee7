use core::time;
use std::collections;
use std::net;
use std::sync;

use tokio::sync::watch;

use base::clock;
use base::mutex;

/// Maximum number of homes of a shard that are asked, one after the other.
const HOMES_MAX: usize = 3;

/// Number of hosts per shard that receive crash reports: the home and the host
/// that replaces it next.
pub(crate) const NEAR_HOMES: usize = 2;

/// Time for which a caller may cache the list of hosts.
pub(crate) const LIST_TTL: time::Duration = time::Duration::from_secs(5);

/// A host that may be the home of a shard.
#[derive(Clone, Debug)]
pub(crate) struct Home {
    pub(crate) name: String,
    pub(crate) address: net::SocketAddr,
    pub(crate) is_self: bool,
}

/// This host's view of the fleet: membership and the last digest of each host.
pub(crate) struct View {
    clock: clock::Clock,
    membership: sync::Mutex<fleet::Membership>,
    /// Whether this host is leaving, for tasks that wait for it.
    leaving: watch::Sender<bool>,
    /// Arrival of the last digest of each host, and the revision in it.
    digests: sync::Mutex<collections::HashMap<String, (time::Duration, u64)>>,
}

impl View {
    pub(crate) fn new(clock: clock::Clock, membership: fleet::Membership) -> Self {
        Self {
            clock,
            membership: sync::Mutex::new(membership),
            leaving: watch::Sender::new(false),
            digests: sync::Mutex::default(),
        }
    }

    /// Returns the first candidates for the home of a shard, in rank order.
    pub(crate) fn homes(&self, pool: &str, shard: u32) -> Vec<Home> {
        let membership = self.lock();
        let own = membership.own().clone();
        let live = membership.live();
        fleet::rank::homes(pool, shard, &live, Some(&own.region))
            .into_iter()
            .take(HOMES_MAX)
            .map(|entry| Home {
                name: entry.name.clone(),
                address: entry.peer,
                is_self: entry.name == own.name,
            })
            .collect()
    }

    /// Returns the membership entry of a host that is not dead.
    pub(crate) fn find(&self, name: &str) -> Option<fleet::Entry> {
        self.lock().find(name).cloned()
    }

    /// Returns whether this incarnation of a host is dead or was replaced.
    pub(crate) fn has_ended(&self, name: &str, incarnation: u64) -> bool {
        self.lock().has_ended(name, incarnation)
    }

    /// Returns whether this host is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().own().phase == fleet::Phase::Leaving
    }

    /// Returns whether this host is the home of a shard.
    pub(crate) fn is_home(&self, pool: &str, shard: u32) -> bool {
        self.homes(pool, shard)
            .first()
            .is_some_and(|home| home.is_self)
    }

    /// Returns whether this host is among the first [`NEAR_HOMES`] candidates for
    /// the home of a shard.
    pub(crate) fn is_near_home(&self, pool: &str, shard: u32) -> bool {
        self.homes(pool, shard)
            .iter()
            .take(NEAR_HOMES)
            .any(|home| home.is_self)
    }

    /// Returns whether another live host is known.
    pub(crate) fn has_peers(&self) -> bool {
        let membership = self.lock();
        let own = &membership.own().name;
        membership.live().iter().any(|entry| entry.name != *own)
    }

    /// Marks this host as leaving.
    pub(crate) fn leave(&self) {
        self.lock().set_leaving();
        self.leaving.send_replace(true);
    }

    /// Returns the digests that are due and the addresses to send them to.
    pub(crate) fn tick(&self) -> Vec<(net::SocketAddr, fleet::Digest)> {
        let now = self.clock.now();
        self.lock().tick(now)
    }

    /// Merges a digest of another host into the membership.
    pub(crate) fn receive(&self, digest: &fleet::Digest) -> fleet::Comparison {
        let now = self.clock.now();
        let mut membership = self.lock();
        let received = membership.receive(now, digest);
        if let Some(sender) = digest.entries.first() {
            let mut digests = self.digests();
            digests.insert(sender.name.clone(), (now, digest.revision));
            digests.retain(|name, _| membership.find(name).is_some());
        }
        received
    }

    /// Returns the arrival of the last digest of a host, and the revision in it.
    pub(crate) fn last_digest(&self, name: &str) -> Option<(time::Duration, u64)> {
        self.digests().get(name).copied()
    }

    fn digests(&self) -> sync::MutexGuard<'_, collections::HashMap<String, (time::Duration, u64)>> {
        mutex::lock(&self.digests)
    }

    /// Merges the platform's list of hosts into the membership.
    pub(crate) fn apply_platform_list(&self, hosts: &[peer::platform::Host]) {
        let listed: Vec<fleet::Listed> = hosts
            .iter()
            .map(|host| fleet::Listed {
                name: host.name.clone(),
                peer: host.peer,
                phase: match host.state {
                    peer::platform::State::Live => fleet::Phase::Up,
                    peer::platform::State::Leaving => fleet::Phase::Leaving,
                },
            })
            .collect();
        let now = self.clock.now();
        self.lock().apply_platform_list(now, &listed);
    }

    /// Records that another host announced that it is leaving.
    pub(crate) fn mark_leaving(&self, name: &str, incarnation: u64) {
        let now = self.clock.now();
        self.lock().mark_leaving(now, name, incarnation);
    }

    /// Returns the answer of `GET /v1/hosts`.
    pub(crate) fn discover(
        &self,
        caller: net::IpAddr,
        keys: Vec<String>,
    ) -> fleet::discover::Answer {
        let options = fleet::discover::Options {
            ttl: LIST_TTL,
            keys,
            ..fleet::discover::Options::default()
        };
        let membership = self.lock();
        let data_centre = &membership.own().data_centre;
        fleet::discover::answer(membership.live(), data_centre, caller, &options)
    }

    /// Waits until this host is leaving.
    pub(crate) async fn wait_until_leaving(&self) {
        let mut leaving = self.leaving.subscribe();
        // The sender is part of this view, so waiting cannot fail.
        drop(leaving.wait_for(|&leaving| leaving).await);
    }

    /// Calls `read` with the membership, under its lock.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&mut fleet::Membership) -> T) -> T {
        read(&mut self.lock())
    }

    fn lock(&self) -> sync::MutexGuard<'_, fleet::Membership> {
        mutex::lock(&self.membership)
    }
}
