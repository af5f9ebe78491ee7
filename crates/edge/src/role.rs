use core::time;
use std::collections;

use base::mutex;
use rand::RngExt;
use xxhash_rust::xxh3;

use crate::gossip;
use crate::host;
use crate::mesh;

/// Shortest time since the last message of a host after which it counts as not heard.
const HEARD_AGE: time::Duration = time::Duration::from_millis(1_000);

/// Longest time between two checks whether this host has to read the platform.
const ROLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Shortest time between two such checks.
const ROLE_CHECK_MIN: time::Duration = time::Duration::from_millis(5);

/// Time since the start of the process for which a host that is no seed waits for
/// the state of others before it reads the platform itself.
const START_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// Time since the start of the process after which a host has heard of the others
/// and knows whether it is a watcher.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(2_000);

impl host::Host {
    /// Returns whether and why this host has to read the platform itself.
    ///
    /// A starting host first leaves it to the seeds, unless it is one, so that a
    /// fleet that starts at once does not call the platform from every host.
    pub fn platform_role(&self) -> fleet::Role {
        let now = self.clock.now();
        if !self.is_ready() {
            return match now >= START_DELAY || self.is_seed() {
                true => fleet::Role::Starting,
                false => fleet::Role::Follower,
            };
        }
        let has_settled = now >= SETTLE_TIME || self.is_seed();
        if has_settled && self.is_watcher(now) {
            return fleet::Role::Watcher;
        }
        match self.plan_age(now) > self.standby_age(now) {
            true => fleet::Role::Standby,
            false => fleet::Role::Follower,
        }
    }

    /// Returns the delay until this host checks again whether it has to read the platform.
    pub fn role_check_delay(&self) -> time::Duration {
        let now = self.clock.now();
        let left = self.standby_age(now).saturating_sub(self.plan_age(now));
        left.clamp(ROLE_CHECK_MIN, ROLE_CHECK_INTERVAL)
    }

    /// Returns the age of the state from which this host reads the platform for lack of
    /// confirmations. It differs between hosts.
    fn standby_age(&self, now: time::Duration) -> time::Duration {
        let fleet = self.fleet();
        let window = HEARD_AGE.max(fleet.publish_period * 2);
        let hosts = mutex::lock(&self.watchers).heard(now, window) + 1;
        let drawn = xxh3::xxh3_64_with_seed(
            &self.confirmation.oldest_ms().to_le_bytes(),
            gossip::name_hash(&self.options.name),
        );
        let random = drawn as f64 / u64::MAX as f64;
        let delay = fleet::Pace::first_delay(fleet::Role::Standby, hosts, random);
        let intervals = fleet::freshness::Intervals::new(self.options.freshness, fleet);
        intervals.age_max + delay
    }

    /// Returns the intervals at which this host follows the platform.
    pub fn intervals(&self) -> fleet::freshness::Intervals {
        fleet::freshness::Intervals::new(self.options.freshness, self.fleet())
    }

    fn fleet(&self) -> fleet::freshness::Fleet {
        let membership = mutex::lock(&self.membership);
        let live = membership.live();
        let own = &self.options.data_centre;
        let near = live.iter().filter(|entry| entry.data_centre == *own);
        fleet::freshness::Fleet {
            hosts: live.len(),
            publish_period: mesh::load_period(near.count().saturating_sub(1)),
        }
    }

    /// Logs the bounds that cannot be kept at any size of the fleet.
    pub(crate) fn report_broken_bounds(&self) {
        let bounds = self.options.freshness;
        let fleet = fleet::freshness::Fleet {
            hosts: usize::MAX,
            publish_period: mesh::load_period(0),
        };
        let chains = fleet::freshness::Intervals::new(bounds, fleet).chains(bounds);
        for chain in chains.iter().filter(|chain| !chain.is_kept()) {
            log::warn!(
                target: "edge", bound_ms = chain.bound.as_millis() as u64;
                "a bound of the settings cannot be kept: {chain}"
            );
        }
    }

    /// Returns the wait of the next watch of the platform. `has_paused` is whether the host
    /// paused after the last answer.
    pub fn watch_wait(&self, has_paused: bool) -> time::Duration {
        let random = mutex::lock(&self.rng).random();
        self.intervals().watch_wait(has_paused, random)
    }

    /// Returns the delay before this host calls the platform again after a failure.
    pub fn platform_retry_delay(&self, pace: &mut fleet::Pace) -> time::Duration {
        let hosts = mutex::lock(&self.membership).live().len();
        pace.retry_delay(self.platform_role(), hosts, &mut *mutex::lock(&self.rng))
    }

    pub(crate) fn is_watcher(&self, now: time::Duration) -> bool {
        let membership = mutex::lock(&self.membership);
        let live = membership.live();
        let near = live
            .iter()
            .filter(|entry| entry.data_centre == self.options.data_centre)
            .map(|entry| (entry.name.as_str(), gossip::name_hash(&entry.name)));
        let data_centres: collections::HashSet<&str> = live
            .iter()
            .map(|entry| entry.data_centre.as_str())
            .collect();
        let own = (self.options.name.as_str(), self.options.cpu_millicores);
        let watchers = mutex::lock(&self.watchers);
        watchers.is_watcher(now, own, near, data_centres.len())
    }

    /// Returns whether other hosts contact this one first, or there are no seeds.
    fn is_seed(&self) -> bool {
        let seeds = &self.options.seeds;
        seeds.is_empty() || seeds.contains(&self.options.peer_listen)
    }
}
