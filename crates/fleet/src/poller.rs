use core::time;

use rand::{RngExt, SeedableRng};

use crate::action;
use crate::bucket;
use crate::entry;
use crate::rank;

/// Hosts of each data centre that hold a long-poll watch at the platform.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Time without a digest or an answer after which a host reads the platform itself.
const CONTACT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest random addition to [`CONTACT_TIMEOUT`], so that hosts do not all read
/// at the same time.
const JITTER_MAX: time::Duration = time::Duration::from_secs(3);

/// Wait after the first failed call.
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(500);

/// Maximum wait after a failed call.
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(30);

/// Decides whether and when this host reads the configuration from the platform.
#[derive(Clone, Debug)]
pub struct Poller {
    rng: rand_pcg::Pcg64Mcg,
    bucket: bucket::Bucket,
    is_configured: bool,
    last_contact: time::Duration,
    last_read: Option<time::Duration>,
    /// Current [`CONTACT_TIMEOUT`] with its random addition.
    timeout: time::Duration,
    failures: u32,
    retry_at: time::Duration,
}

impl Poller {
    /// Returns the poller of a host that just started without a configuration.
    ///
    /// `seed` seeds the random parts of the waits.
    pub fn new(seed: u64) -> Self {
        let mut poller = Self {
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            bucket: bucket::Bucket::new(),
            is_configured: false,
            last_contact: time::Duration::ZERO,
            last_read: None,
            timeout: CONTACT_TIMEOUT,
            failures: 0,
            retry_at: time::Duration::ZERO,
        };
        poller.timeout = poller.draw_timeout();
        poller
    }

    /// Returns what to do now; the host should call it about every second.
    ///
    /// `live` contains the live hosts, this one included. The result applies to
    /// one step: a host with a watch in progress ignores `Watch`, and one that is
    /// no longer a watcher lets its watch end. A host without a configuration
    /// also asks its peers ([`Poller::is_unconfigured`]).
    pub fn next_action(
        &mut self,
        now: time::Duration,
        own: &entry::Entry,
        live: &[&entry::Entry],
    ) -> action::Action {
        if now < self.retry_at {
            return action::Action::Follow;
        }
        if self.is_read_due(now) {
            // A read without a token also waits for a new random timeout,
            // because all buckets refill at the same time after a common start.
            self.last_read = Some(now);
            self.timeout = self.draw_timeout();
            if self.bucket.take(now) {
                return action::Action::Read;
            }
        }
        if is_watcher(own, live) {
            return action::Action::Watch;
        }
        action::Action::Follow
    }

    /// Records a digest from a peer, which delays the next read.
    pub fn record_digest(&mut self, now: time::Duration) {
        self.last_contact = self.last_contact.max(now);
    }

    /// Records an answer of the platform.
    pub fn record_answer(&mut self, now: time::Duration) {
        self.record_digest(now);
        self.failures = 0;
        self.retry_at = now;
    }

    /// Records a failed call to the platform, which delays the next one with
    /// exponential backoff and jitter.
    pub fn record_failure(&mut self, now: time::Duration) {
        let wait = BACKOFF_MIN
            .saturating_mul(1 << self.failures.min(16))
            .min(BACKOFF_MAX);
        self.failures = self.failures.saturating_add(1);
        let wait = wait.mul_f64(self.rng.random_range(0.5..1.0));
        self.retry_at = now.saturating_add(wait);
    }

    /// Records that a configuration is in force.
    pub fn set_configured(&mut self) {
        self.is_configured = true;
    }

    /// Returns whether no configuration is in force yet, so that the host asks its
    /// peers for theirs.
    pub fn is_unconfigured(&self) -> bool {
        !self.is_configured
    }

    /// Returns whether a read is due: at the start, then after each timeout without
    /// contact.
    ///
    /// Digests do not count as contact while there is no configuration, because
    /// they do not contain one.
    fn is_read_due(&self, now: time::Duration) -> bool {
        let Some(read) = self.last_read else {
            return !self.is_configured || self.has_timed_out(now, self.last_contact);
        };
        let since = if self.is_configured {
            self.last_contact.max(read)
        } else {
            read
        };
        self.has_timed_out(now, since)
    }

    fn has_timed_out(&self, now: time::Duration, since: time::Duration) -> bool {
        now.saturating_sub(since) >= self.timeout
    }

    fn draw_timeout(&mut self) -> time::Duration {
        CONTACT_TIMEOUT + JITTER_MAX.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

/// Returns whether this host is one of the watchers of its data centre, the first
/// in rendezvous order.
fn is_watcher(own: &entry::Entry, live: &[&entry::Entry]) -> bool {
    let near = live
        .iter()
        .filter(|host| host.data_centre == own.data_centre)
        .map(|host| host.name.as_str());
    rank::order(near, "platform watch")
        .into_iter()
        .take(WATCHERS_PER_DATA_CENTRE)
        .any(|name| name == own.name)
}
