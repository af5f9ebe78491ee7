use core::time;
use std::net;

/// Settings of the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Peer addresses of hosts to contact first.
    pub seeds: Vec<net::SocketAddr>,
    /// Time between two calls of `tick`.
    pub period: time::Duration,
    /// Time without progress of the counter after which a host is suspected.
    pub suspect_after: time::Duration,
    /// Time after which a dead host is no longer contacted. It is above the
    /// length of a partition between regions, which is about an hour.
    pub evict_after: time::Duration,
    /// Time after which the incarnation of a forgotten host is forgotten too.
    pub tombstone_ttl: time::Duration,
    /// Entries in a digest.
    pub entries_max: usize,
    /// Hosts known at once; others are ignored.
    pub hosts_max: usize,
    /// Receivers of a digest in the own region.
    pub near_fanout: usize,
    /// Receivers of a digest in other regions.
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
