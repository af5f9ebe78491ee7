use core::time;

use crate::identity;
use crate::keys;

/// Options of a [`crate::Client`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Identity that this host presents in the handshake.
    pub identity: identity::Identity,
    /// Keys that the handshake accepts.
    pub keys: keys::Keys,
    /// Number of threads that serve links; 0 counts as 1.
    pub threads: usize,
    /// Maximum duration of a connection attempt, including the handshake and the
    /// first ping.
    pub connect_timeout: time::Duration,
    /// Delay after the first failed connection; it doubles with each further
    /// failure. Each delay is shortened at random by up to one half.
    pub backoff_min: time::Duration,
    /// Maximum delay after a failed connection.
    pub backoff_max: time::Duration,
    /// Time after the last call at which a link without pending calls and open
    /// grants is closed.
    pub idle_timeout: time::Duration,
    /// Time without an answer, while calls are pending, after which the client
    /// sends a ping.
    pub ping_delay: time::Duration,
    /// Time without an answer after a ping at which the link is closed and its
    /// calls fail.
    pub ping_timeout: time::Duration,
    /// Time between pings on a link without pending calls.
    pub keepalive_interval: time::Duration,
    /// Time for which reports to an unreachable host are retained for delivery.
    pub report_retention: time::Duration,
    /// Maximum number of calls queued for the task of a link; further asks, runs
    /// and fetches are refused. Reports have a higher limit.
    pub queue_max: usize,
    /// Maximum number of pending asks per link; further asks are refused.
    pub asks_max: usize,
    /// Maximum number of pending runs per link, and likewise of fetches; further
    /// ones are refused.
    pub runs_max: usize,
    /// Maximum total length of the bodies of pending runs per link, in bytes. A run
    /// that would exceed it is refused unless no other is pending.
    pub run_bytes_max: usize,
    /// Maximum number of unacknowledged reports per link; above it the oldest are
    /// dropped.
    pub reports_max: usize,
}

impl Options {
    /// Returns the default options. While calls are pending, a link whose host stops
    /// answering is closed after 1 s.
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
