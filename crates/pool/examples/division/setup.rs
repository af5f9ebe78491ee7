use core::time::Duration;

use crate::sim::{MILLISECOND, SECOND};

/// Way in which the hosts divide the slots of the endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Division {
    /// Each host has its own queue and sees the requests of others only in the load
    /// reports.
    Alone,
    /// One home holds the queue.
    Home,
    /// The home leases slots to the hosts, each of which has its own queue.
    Lease,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    pub division: Division,
    pub engines: usize,
    /// Requests per second, per tier.
    pub rates: [f64; 3],
    /// Whether a quarter of the hosts receives three quarters of tier 0.
    pub is_skewed: bool,
    pub floor: f64,
    /// Age of a load report when it arrives.
    pub report_lag: Duration,
    /// Whether the policies receive the load reports.
    pub has_reports: bool,
    /// Whether a home reads the load before its first grant, and counts the slots of
    /// dead hosts as load of other homes until the next report.
    pub is_careful: bool,
    /// Share of messages that are lost and sent again after [`RETRANSMISSION`].
    pub loss: f64,
    /// Start and end of a partition of the hosts into two halves.
    pub partition: Option<(Duration, Duration)>,
    /// Time at which the first home loses power.
    pub power_loss: Option<Duration>,
    /// Time during which requests arrive.
    pub length: Duration,
    pub seed: u64,
}

impl Setup {
    pub fn new(division: Division, seed: u64) -> Self {
        Self {
            division,
            engines: 16,
            rates: [40.0, 60.0, 60.0],
            is_skewed: false,
            floor: 0.05,
            report_lag: 500 * MILLISECOND,
            has_reports: true,
            is_careful: false,
            loss: 0.0,
            partition: None,
            power_loss: None,
            length: 50 * SECOND,
            seed,
        }
    }

    /// Returns whether two hosts cannot reach each other.
    pub fn is_separated(&self, now: Duration, one: usize, other: usize) -> bool {
        let is_during = |(start, end)| now >= start && now < end;
        half(one) != half(other) && self.partition.is_some_and(is_during)
    }

    /// Returns when a submission at `now` to an unreachable host fails.
    ///
    /// The link first times out. Then pauses, during which submissions fail at once,
    /// alternate with attempts to connect, whose end submissions wait for.
    pub fn failure(&self, now: Duration) -> Duration {
        let since = self.power_loss.or(self.partition.map(|(start, _)| start));
        let mut end = since.unwrap_or(now) + LINK_TIMEOUT;
        let mut pause = RECONNECT_PAUSE;
        while end < now {
            end += pause;
            if now < end {
                return now;
            }
            end += LINK_TIMEOUT;
            pause *= 2;
        }
        end
    }

    /// Returns whether `one` has marked `other` as dead.
    pub fn is_marked_dead(&self, now: Duration, one: usize, other: usize) -> bool {
        let is_during =
            |(start, end)| now >= start + FAILURE_DETECTION && now < end + DIGEST_PERIOD;
        let is_detected = |at| other == FIRST_HOME && now >= at + FAILURE_DETECTION;
        (half(one) != half(other) && self.partition.is_some_and(is_during))
            || self.power_loss.is_some_and(is_detected)
    }

    /// Returns whether a host has lost power.
    pub fn has_lost_power(&self, now: Duration, host: usize) -> bool {
        host == FIRST_HOME && self.power_loss.is_some_and(|at| now >= at)
    }

    /// Returns the home to which `host` submits a request after `tried` others.
    pub fn home(&self, now: Duration, host: usize, tried: usize) -> usize {
        if self.division != Division::Home || tried >= HOMES_MAX {
            return host;
        }
        let order = (0..HOSTS).map(|rank| (rank % 2) * (HOSTS / 2) + rank / 2);
        let mut homes = order.filter(|&other| !self.is_marked_dead(now, host, other));
        homes.nth(tried).unwrap_or(host)
    }
}

/// Returns the half of the hosts, 0 or 1, to which a host belongs.
pub const fn half(host: usize) -> usize {
    host / (HOSTS / 2)
}

pub const HOSTS: usize = 12;

/// First host in the order of the homes; the second one is in the other half.
pub const FIRST_HOME: usize = 0;

/// Slots of an engine's batch, which the settings state correctly.
pub const BATCH: u32 = 8;

/// Limit of the homes to which a request is submitted in turn, as in
/// `host::broker`.
const HOMES_MAX: usize = 3;

/// Time until a link times out: a ping after 400 ms that is not answered within
/// 600 ms (`peer::client::Options`). An attempt to connect takes as long.
pub const LINK_TIMEOUT: Duration = SECOND;

/// First pause between two attempts to connect, the mean of 50 to 100 ms; it
/// doubles (`peer::client::Options`).
const RECONNECT_PAUSE: Duration = Duration::from_millis(75);

/// Time until the others mark a host as dead: 3 s until it is suspected
/// (`fleet::Options`), and one digest period until the second vote arrives.
pub const FAILURE_DETECTION: Duration = Duration::from_secs(4);

/// Period of digests.
pub const DIGEST_PERIOD: Duration = SECOND;

/// Shortest retransmission timeout of TCP.
pub const RETRANSMISSION: Duration = Duration::from_millis(200);

/// Period of load reports. Each host has its own phase.
pub const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Period of the rebalancing of leases.
pub const REBALANCE_PERIOD: Duration = SECOND;
