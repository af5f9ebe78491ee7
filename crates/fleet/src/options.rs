use core::time;
use std::net;

/// Settings of the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Peer addresses to contact while their hosts are dead or not known.
    pub seeds: Vec<net::SocketAddr>,
    /// Time between two calls of `tick`.
    pub period: time::Duration,
    /// Time without progress of its heartbeat counter after which a host is
    /// suspected.
    pub suspect_after: time::Duration,
    /// Time after which a dead host is evicted and no longer contacted. It exceeds
    /// the length of a partition between regions, which is about an hour.
    pub evict_after: time::Duration,
    /// How long the incarnation and the counter of an evicted host are kept, so
    /// that outdated digests do not bring it back.
    pub tombstone_ttl: time::Duration,
    /// Maximum number of entries in a digest, that of the sender included.
    pub entries_max: usize,
    /// Maximum number of other hosts known at once; further ones are ignored.
    pub hosts_max: usize,
    /// Number of hosts in the same region that are sent a digest in each period.
    pub near_fanout: usize,
    /// Number of hosts in other regions that are sent a digest in each period.
    pub far_fanout: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            period: time::Duration::from_secs(1),
            suspect_after: time::Duration::from_secs(3),
            evict_after: time::Duration::from_secs(2 * 60 * 60),
            tombstone_ttl: time::Duration::from_secs(24 * 60 * 60),
            entries_max: 24,
            hosts_max: 2_048,
            near_fanout: 3,
            far_fanout: 1,
        }
    }
}
