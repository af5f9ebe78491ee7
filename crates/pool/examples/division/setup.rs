use core::time::Duration;

use crate::sim::{MILLISECOND, SECOND};

/// How the hosts divide the places of the endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Division {
    /// Each host queues for itself and sees the others in the load reports.
    Alone,
    /// One home holds the queue.
    Home,
    /// The home leases places to the hosts, each of which queues for itself.
    Lease,
}

/// One experiment.
#[derive(Clone, Debug)]
pub struct Setup {
    pub division: Division,
    pub engines: usize,
    /// Requests per second, per tier.
    pub rates: [f64; 3],
    /// Whether a quarter of the hosts gets three quarters of tier 0.
    pub skewed: bool,
    pub floor: f64,
    /// Age of a load report when it arrives.
    pub lag: Duration,
    /// Whether the policies are told of the load reports.
    pub reports: bool,
    /// Whether a home reads the load before its first grant, and counts the places
    /// of dead hosts as foreign load until the next report.
    pub careful: bool,
    /// Share of messages that are sent again after [`RESEND`].
    pub loss: f64,
    /// Start and end of a split into two halves.
    pub split: Option<(Duration, Duration)>,
    /// Time at which the home loses power.
    pub death: Option<Duration>,
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
            skewed: false,
            floor: 0.05,
            lag: 500 * MILLISECOND,
            reports: true,
            careful: false,
            loss: 0.0,
            split: None,
            death: None,
            length: 50 * SECOND,
            seed,
        }
    }

    /// Returns whether two hosts cannot reach each other.
    pub fn is_cut(&self, now: Duration, one: usize, other: usize) -> bool {
        let split = |(start, end)| now >= start && now < end;
        part(one) != part(other) && self.split.is_some_and(split)
    }

    /// Returns when an ask that is made at `now` to a host out of reach fails.
    ///
    /// A link is first given up for its silence. Then pauses, during which asks
    /// fail at once, and attempts to connect, for which they wait, take turns.
    pub fn failure(&self, now: Duration) -> Duration {
        let since = self.death.or(self.split.map(|(start, _)| start));
        let mut end = since.unwrap_or(now) + SILENCE;
        let mut pause = PAUSE;
        while end < now {
            end += pause;
            if now < end {
                return now;
            }
            end += SILENCE;
            pause *= 2;
        }
        end
    }

    /// Returns whether `one` takes `other` for dead.
    pub fn is_lost(&self, now: Duration, one: usize, other: usize) -> bool {
        let split = |(start, end)| now >= start + DETECTION && now < end + DIGEST;
        let dead = |at| other == FIRST_HOME && now >= at + DETECTION;
        (part(one) != part(other) && self.split.is_some_and(split)) || self.death.is_some_and(dead)
    }

    /// Returns whether a host has lost power.
    pub fn is_dead(&self, now: Duration, host: usize) -> bool {
        host == FIRST_HOME && self.death.is_some_and(|at| now >= at)
    }

    /// Returns the home that `host` asks after `tried` others.
    pub fn home(&self, now: Duration, host: usize, tried: usize) -> usize {
        if self.division != Division::Home || tried >= HOMES_MAX {
            return host;
        }
        let order = (0..HOSTS).map(|rank| (rank % 2) * (HOSTS / 2) + rank / 2);
        let mut live = order.filter(|&other| !self.is_lost(now, host, other));
        live.nth(tried).unwrap_or(host)
    }
}

/// Returns the half of the fleet in which a host is.
pub const fn part(host: usize) -> usize {
    host / (HOSTS / 2)
}

pub const HOSTS: usize = 12;

/// First host in the order of the homes; the second one is in the other half.
pub const FIRST_HOME: usize = 0;

/// Places of an engine's batch, which the settings state.
pub const BATCH: u32 = 8;

/// Homes that are asked one after the other, as in `host::broker`.
const HOMES_MAX: usize = 3;

/// Time until a link is given up: a ping after 400 ms that is not answered
/// within 600 ms (`peer::client::Options`). An attempt to connect takes as long.
pub const SILENCE: Duration = SECOND;

/// First pause between two attempts to connect, the mean of 50 to 100 ms; it
/// doubles (`peer::client::Options`).
const PAUSE: Duration = Duration::from_millis(75);

/// Time until a host is dead for the others: suspected after 3 s
/// (`fleet::Options`), and one digest period until the second vote is known.
pub const DETECTION: Duration = Duration::from_secs(4);

/// Period of digests.
pub const DIGEST: Duration = SECOND;

/// Shortest time until TCP sends a lost segment again.
pub const RESEND: Duration = Duration::from_millis(200);

/// Interval of load reports. Each host has its own phase.
pub const REPORT: Duration = Duration::from_millis(500);

/// Interval of the rebalancing of leases.
pub const REBALANCE: Duration = SECOND;
