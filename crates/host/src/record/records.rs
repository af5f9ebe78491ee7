use core::hash::BuildHasher;
use core::time;
use std::collections;
use std::sync;

use crate::record::counter;
use crate::record::end;
use crate::record::entry;
use crate::record::metrics;
use crate::record::shard;
use crate::record::tally;
use crate::record::trace;
use base::clock;
use base::mutex;

/// Number of shards of the recent requests, each under its own lock. With 64 per
/// shard they hold 1,024 ended requests.
const SHARDS: usize = 16;

/// Recent requests and counts of this host, in bounded memory.
///
/// The shards divide the requests by their id; they are not the shards of pools.
pub(crate) struct Records {
    clock: clock::Clock,
    hasher: collections::hash_map::RandomState,
    shards: [sync::Mutex<shard::Shard>; SHARDS],
    counters: [sync::Mutex<counter::Counter>; counter::COUNTERS],
    metrics: arc_swap::ArcSwap<metrics::Metrics>,
}

impl Records {
    pub(crate) fn new(settings: &conf::Settings, clock: clock::Clock) -> Self {
        let now = clock.now();
        Self {
            clock,
            hasher: collections::hash_map::RandomState::new(),
            shards: core::array::from_fn(|_| sync::Mutex::default()),
            counters: core::array::from_fn(|_| {
                sync::Mutex::new(counter::Counter::new(settings, now))
            }),
            metrics: arc_swap::ArcSwap::from_pointee(open_metrics(settings)),
        }
    }

    /// Applies new settings.
    pub(crate) fn replace(&self, settings: &conf::Settings) {
        let now = self.clock.now();
        for counter in &self.counters {
            mutex::lock(counter).replace(settings, now);
        }
        if self.metrics.load().statsd() != settings.metrics.statsd {
            self.metrics.store(sync::Arc::new(open_metrics(settings)));
        }
    }

    /// Starts the record of a request. It ends when the last copy of the returned
    /// trace is dropped.
    pub(crate) fn open(
        self: &sync::Arc<Self>,
        request: &front::Request,
        resolved: &class::Resolution,
    ) -> trace::Trace {
        let pool = request.target.pool().to_owned();
        let entry = entry::Entry::new(request.id.clone(), pool, resolved, self.clock.now());
        let cell = sync::Arc::new(sync::Mutex::new(entry));
        let shard = self.shard(&request.id);
        mutex::lock(shard).open(request.id.clone(), cell.clone());
        trace::Trace::new(self.clone(), cell)
    }

    /// Counts a request that was refused before its class was resolved.
    pub(crate) fn count_unclassified(&self, refusal: &answer::Refusal) {
        self.metrics.load().count_refused("none", refusal.kind);
    }

    /// Returns at most `limit` requests: open ones first, then the latest first.
    pub(crate) fn list(&self, limit: usize) -> Vec<entry::Entry> {
        let mut all = Vec::new();
        for shard in &self.shards {
            mutex::lock(shard).list(&mut all);
        }
        all.sort_by_key(|entry| (entry.end.is_some(), core::cmp::Reverse(entry.start)));
        all.truncate(limit);
        all
    }

    /// Returns the number of open requests.
    pub(crate) fn count_open(&self) -> usize {
        let shards = self.shards.iter();
        shards.map(|shard| mutex::lock(shard).count_open()).sum()
    }

    /// Returns an open or recent request by its id.
    pub(crate) fn find(&self, id: &str) -> Option<entry::Entry> {
        mutex::lock(self.shard(id)).find(id)
    }

    /// Returns the service level counts of this host.
    pub(crate) fn snapshot(&self) -> burn::Snapshot {
        let now = self.clock.now();
        let mut all = burn::Snapshot::default();
        for counter in &self.counters {
            all.merge(&mutex::lock(counter).snapshot(now));
        }
        all.hosts = 1;
        all
    }

    /// Returns the counts of a class since the start of the process.
    pub(crate) fn class(&self, name: &str) -> tally::Tally {
        let mut sum = tally::Tally::default();
        for counter in &self.counters {
            sum.add(&mutex::lock(counter).class(name));
        }
        sum
    }

    /// Returns the counts of a team since the start of the process.
    pub(crate) fn team(&self, key: u32) -> tally::Tally {
        mutex::lock(self.counter(key)).team(key)
    }

    /// Sends the metrics about the host itself.
    pub(crate) fn send_host_metrics(&self, asks: u64, peers: u64, revision: u64) {
        self.metrics.load().send_host_metrics(asks, peers, revision);
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> time::Duration {
        self.clock.now()
    }

    /// Ends the record of a request: logs and counts it.
    pub(super) fn close(&self, cell: &sync::Mutex<entry::Entry>) {
        let now = self.clock.now();
        let mut entry = mutex::lock(cell).clone();
        entry.is_running = false;
        // A request without an end was dropped while it waited for a grant.
        let dropped = match entry.first {
            None => end::End::Cancelled,
            Some(_) => end::End::Cut,
        };
        let end = *entry.end.get_or_insert(dropped);
        log::debug!(
            target: "host",
            request = entry.id.as_str(),
            class = &*entry.class,
            endpoint = entry.endpoint.as_deref().unwrap_or("");
            "request ended: {}",
            end.name()
        );
        mutex::lock(self.counter(entry.team_key)).add(&entry, now);
        self.metrics.load().count_ended(&entry);
        mutex::lock(self.shard(&entry.id)).close(entry);
    }

    fn shard(&self, id: &str) -> &sync::Mutex<shard::Shard> {
        &self.shards[self.hasher.hash_one(id) as usize % SHARDS]
    }

    fn counter(&self, team: u32) -> &sync::Mutex<counter::Counter> {
        &self.counters[team as usize % counter::COUNTERS]
    }
}

fn open_metrics(settings: &conf::Settings) -> metrics::Metrics {
    let statsd = settings.metrics.statsd;
    metrics::Metrics::new(statsd).unwrap_or_else(|cause| {
        log::error!(target: "host", "metrics are disabled: {cause:#}");
        metrics::Metrics::new(None).expect("a sink without a socket cannot fail")
    })
}
