use core::time;

use rand::{RngExt, SeedableRng};

use crate::action;
use crate::bucket;
use crate::entry;
use crate::rank;

/// Hosts of a data centre that hold a watch at the platform.
const WATCHERS: usize = 2;

/// Time without word after which a host reads the platform itself.
const SILENCE: time::Duration = time::Duration::from_secs(3);

/// Largest random addition to [`SILENCE`], so that hosts do not read at once.
const JITTER: time::Duration = time::Duration::from_secs(3);

/// First wait after a failed call.
const BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Longest wait after a failed call.
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(30);

/// Decides who reads the configuration from the platform.
#[derive(Clone, Debug)]
pub struct Poller {
    rng: rand_pcg::Pcg64Mcg,
    bucket: bucket::Bucket,
    configured: bool,
    word: time::Duration,
    read: Option<time::Duration>,
    patience: time::Duration,
    failures: u32,
    retry_at: time::Duration,
}

impl Poller {
    /// Returns the state of a host that just started without a configuration.
    pub fn new(seed: u64) -> Self {
        let mut poller = Self {
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            bucket: bucket::Bucket::new(),
            configured: false,
            word: time::Duration::ZERO,
            read: None,
            patience: SILENCE,
            failures: 0,
            retry_at: time::Duration::ZERO,
        };
        poller.patience = poller.draw_patience();
        poller
    }

    /// Returns what to do now; the host calls it about every second.
    ///
    /// `live` holds the live hosts, own included. The answer is for one step:
    /// a host with a watch in progress ignores `Watch`, and one whose watch is
    /// no longer wanted lets it end. A host without a configuration asks its
    /// peers as well ([`Poller::is_unconfigured`]).
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
            // A read without a token waits for the next draw as well: all
            // buckets refill at the same time after a common start.
            self.read = Some(now);
            self.patience = self.draw_patience();
            if self.bucket.take(now) {
                return action::Action::Read;
            }
        }
        if is_watcher(own, live) {
            return action::Action::Watch;
        }
        action::Action::Follow
    }

    /// Notes a digest from a peer.
    pub fn record_digest(&mut self, now: time::Duration) {
        self.word = self.word.max(now);
    }

    /// Notes an answer of the platform.
    pub fn record_answer(&mut self, now: time::Duration) {
        self.record_digest(now);
        self.failures = 0;
        self.retry_at = now;
    }

    /// Notes a failed call to the platform; the next one waits.
    pub fn record_failure(&mut self, now: time::Duration) {
        let wait = BACKOFF
            .saturating_mul(1 << self.failures.min(16))
            .min(BACKOFF_MAX);
        self.failures = self.failures.saturating_add(1);
        let wait = wait.mul_f64(self.rng.random_range(0.5..1.0));
        self.retry_at = now.saturating_add(wait);
    }

    /// Notes that a configuration is in force.
    pub fn set_configured(&mut self) {
        self.configured = true;
    }

    /// Returns whether no configuration is in force yet, so that the host
    /// asks its peers for theirs.
    pub fn is_unconfigured(&self) -> bool {
        !self.configured
    }

    /// Returns whether a read is due: at the start, then after each silence.
    ///
    /// Digests do not count as word while there is no configuration, because
    /// they do not bring one.
    fn is_read_due(&self, now: time::Duration) -> bool {
        let Some(read) = self.read else {
            return !self.configured || self.is_silent(now, self.word);
        };
        let since = if self.configured {
            self.word.max(read)
        } else {
            read
        };
        self.is_silent(now, since)
    }

    fn is_silent(&self, now: time::Duration, since: time::Duration) -> bool {
        now.saturating_sub(since) >= self.patience
    }

    fn draw_patience(&mut self) -> time::Duration {
        SILENCE + JITTER.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

/// Returns whether the host is one of the first of its data centre.
fn is_watcher(own: &entry::Entry, live: &[&entry::Entry]) -> bool {
    let near = live
        .iter()
        .filter(|host| host.data_centre == own.data_centre)
        .map(|host| host.name.as_str());
    rank::order(near, "platform watch")
        .into_iter()
        .take(WATCHERS)
        .any(|name| name == own.name)
}
