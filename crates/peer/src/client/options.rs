use core::time;

use crate::identity;
use crate::keys;

/// Options of a [`crate::Client`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Who this host is.
    pub identity: identity::Identity,
    /// Shared keys.
    pub keys: keys::Keys,
    /// Threads that serve links.
    pub threads: usize,
    /// Longest duration of a connection attempt with its handshake.
    pub connect_timeout: time::Duration,
    /// Delay after the first failed connection; it doubles with each failure.
    pub backoff_min: time::Duration,
    /// Longest delay after a failed connection.
    pub backoff_max: time::Duration,
    /// Time after which a link without calls and grants is closed.
    pub idle_timeout: time::Duration,
    /// Time without any answer, while calls are open, after which the client pings.
    pub ping_delay: time::Duration,
    /// Time after a ping without an answer after which the link is given up.
    pub ping_timeout: time::Duration,
    /// Time between pings on a link without open calls.
    pub keepalive_interval: time::Duration,
    /// Time for which reports are kept for a host that cannot be reached.
    pub report_retention: time::Duration,
    /// Upper bound of calls that wait for the thread of a link.
    pub queue_max: usize,
    /// Upper bound of open asks per link; further asks are refused.
    pub asks_max: usize,
    /// Upper bound of open runs and fetches per link; further ones are refused.
    pub runs_max: usize,
    /// Upper bound of the bodies of open runs per link in bytes; a further run
    /// is refused unless no other is open.
    pub run_bytes_max: usize,
    /// Upper bound of reports that are not acknowledged; the oldest are dropped.
    pub reports_max: usize,
}

impl Options {
    /// Returns the default options. A silent host is given up after 1 s.
    pub fn new(identity: identity::Identity, keys: keys::Keys) -> Self {
        Self {
            identity,
            keys,
            threads: 1,
            connect_timeout: time::Duration::from_secs(1),
            backoff_min: time::Duration::from_millis(100),
            backoff_max: time::Duration::from_secs(5),
            idle_timeout: time::Duration::from_secs(60),
            ping_delay: time::Duration::from_millis(400),
            ping_timeout: time::Duration::from_millis(600),
            keepalive_interval: time::Duration::from_secs(10),
            report_retention: time::Duration::from_secs(60),
            queue_max: 4_096,
            asks_max: 4_096,
            runs_max: 64,
            run_bytes_max: 16 * 1024 * 1024,
            reports_max: 16_384,
        }
    }
}
