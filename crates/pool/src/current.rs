//! The policy in use: tiers, fairness, late binding and adaptive limits.

use core::time;

use rand::SeedableRng;

use crate::action;
use crate::endpoint;
use crate::finish;
use crate::live;
use crate::load;
use crate::options;
use crate::policy;
use crate::request;
use crate::running;
use crate::stats;

/// Combines [`sched::Queue`] and [`route::Table`].
///
/// An ask whose id is queued or running is ignored, so that a message that is
/// delivered twice has one outcome.
#[derive(Debug)]
pub struct Current {
    pub(crate) options: options::Options,
    pub(crate) queue: sched::Queue<request::Request>,
    pub(crate) table: route::Table,
    pub(crate) blame: route::Quarantine,
    pub(crate) budgets: Vec<route::Budget>,
    pub(crate) lengths: Vec<route::Length>,
    /// Time in service per class.
    pub(crate) services: Vec<route::Latency>,
    pub(crate) pace: route::Throughput,
    pub(crate) live: rustc_hash::FxHashMap<request::RequestId, live::Live>,
    pub(crate) running: slotmap::SlotMap<running::Key, running::Running>,
    /// Queued asks that were suspects when they were queued.
    pub(crate) suspects: Vec<request::RequestId>,
    /// Time since which every endpoint is down.
    pub(crate) outage: Option<time::Duration>,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    swept: time::Duration,
}

impl Current {
    /// Returns a shard without endpoints.
    pub fn new(options: &options::Options) -> Self {
        let mut shard = Self {
            options: options.clone(),
            queue: sched::Queue::new(queue_options(options)),
            table: route::Table::new(table_options(options)),
            blame: route::Quarantine::new(),
            budgets: Vec::new(),
            lengths: Vec::new(),
            services: Vec::new(),
            pace: route::Throughput::default(),
            live: rustc_hash::FxHashMap::default(),
            running: slotmap::SlotMap::with_key(),
            suspects: Vec::new(),
            outage: None,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(options.seed),
            swept: time::Duration::ZERO,
        };
        shard.resize();
        shard
    }

    /// Returns the last decisions to give up an ask, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &sched::Record> {
        self.queue.records()
    }

    /// Returns how many decisions were recorded, those that left the ring included.
    pub const fn records_total(&self) -> u64 {
        self.queue.records_total()
    }

    fn resize(&mut self) {
        let count = self.options.classes.len().max(1);
        self.budgets.resize_with(count, route::Budget::default);
        self.lengths.resize_with(count, route::Length::new);
        self.services.resize_with(count, route::Latency::default);
    }

    /// Returns the index of the class, which is in range.
    pub(crate) fn class(&self, request: &request::Request) -> usize {
        usize::from(request.class).min(self.lengths.len() - 1)
    }

    pub(crate) fn refuse(
        &mut self,
        request: &request::Request,
        kind: answer::Kind,
        retry_after: Option<time::Duration>,
        out: &mut Vec<action::Action>,
    ) {
        self.live.remove(&request.id);
        if request.attempt > 0 && kind != answer::Kind::RetryBudget && kind != answer::Kind::Poison
        {
            let class = self.class(request);
            self.budgets[class].refund();
        }
        out.push(action::Action::Refuse {
            request: request.id,
            kind,
            retry_after,
        });
    }

    /// Refuses every queued ask whose start is useless at `limit`.
    fn expire(
        &mut self,
        now: time::Duration,
        limit: time::Duration,
        reason: answer::Kind,
        out: &mut Vec<action::Action>,
    ) {
        let mut gone = Vec::new();
        self.queue.expire_until(now, limit, &mut gone);
        let after = Some(self.advice(self.wait_lowest(now)));
        for request in gone {
            let kind = if request.deadline <= now {
                answer::Kind::Expired
            } else {
                reason
            };
            self.refuse(&request, kind, after, out);
        }
    }

    /// Follows outages and gives up what they leave without hope.
    fn check(&mut self, now: time::Duration, out: &mut Vec<action::Action>) {
        self.expire(now, now, answer::Kind::Overload, out);
        let mut gone = Vec::new();
        self.queue.shed_overload(now, self.capacity(), &mut gone);
        let after = Some(self.advice(self.wait_lowest(now)));
        for request in gone {
            self.refuse(&request, answer::Kind::Overload, after, out);
        }
        if !self.table.has_open_endpoint() {
            self.expire(now, time::Duration::MAX, answer::Kind::NoEndpoint, out);
        }
        if self.table.has_reachable_endpoint() {
            self.outage = None;
        } else {
            let since = *self.outage.get_or_insert(now);
            // An outage is expected to last as long again as it has lasted.
            let limit = now + now.saturating_sub(since);
            self.expire(now, limit, answer::Kind::NoEndpoint, out);
        }
    }
}

impl policy::Policy for Current {
    fn configure(&mut self, now: time::Duration, options: options::Options) {
        self.queue.configure(now, queue_options(&options));
        self.table.configure(table_options(&options));
        self.options = options;
        self.resize();
    }

    fn set_endpoints(
        &mut self,
        now: time::Duration,
        set: &[endpoint::Endpoint],
        out: &mut Vec<action::Action>,
    ) {
        let list = set.iter().map(|endpoint| route::Spec {
            id: endpoint.id.0,
            is_up: endpoint.phase == endpoint::Phase::Up,
            slots: endpoint.slots,
        });
        self.table.set_endpoints(now, &list.collect::<Vec<_>>());
        self.check(now, out);
        self.dispatch(now, out);
    }

    fn submit(
        &mut self,
        now: time::Duration,
        request: request::Request,
        out: &mut Vec<action::Action>,
    ) {
        if self.live.contains_key(&request.id) {
            return;
        }
        self.admit(now, request, out);
        self.dispatch(now, out);
    }

    fn cancel(
        &mut self,
        _now: time::Duration,
        id: request::RequestId,
        _out: &mut Vec<action::Action>,
    ) {
        let Some(&live::Live::Queued(key)) = self.live.get(&id) else {
            return;
        };
        self.live.remove(&id);
        let job = self.queue.cancel(key);
        if let Some(job) = job
            && job.data.attempt > 0
        {
            let class = self.class(&job.data);
            self.budgets[class].refund();
        }
    }

    fn record_first_output(&mut self, now: time::Duration, id: request::RequestId) {
        if let Some(&live::Live::Running(key)) = self.live.get(&id) {
            self.table.record_first_output(now, self.running[key].run);
        }
    }

    fn finish(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        finish: finish::Finish,
        out: &mut Vec<action::Action>,
    ) {
        let Some(&live::Live::Running(key)) = self.live.get(&id) else {
            return;
        };
        self.live.remove(&id);
        if let Some(running) = self.running.remove(key) {
            self.settle(now, running, finish);
            self.dispatch(now, out);
        }
    }

    fn record_load(
        &mut self,
        now: time::Duration,
        id: endpoint::EndpointId,
        load: load::Load,
        out: &mut Vec<action::Action>,
    ) {
        let report = route::Report {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            is_draining: load.is_draining,
            at: load.at,
        };
        self.table.record_report(now, id.0, report);
        self.dispatch(now, out);
    }

    fn record_crash(&mut self, now: time::Duration, fingerprint: u64, endpoint: u64) {
        // Above every identity that this shard gives to its own endpoints.
        self.blame
            .record_crash(now, fingerprint, endpoint | 1 << 63);
    }

    fn tick(&mut self, now: time::Duration, out: &mut Vec<action::Action>) {
        self.table.tick(now);
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.blame.evict_expired(now);
        }
        self.check(now, out);
        self.review(now);
        self.dispatch(now, out);
    }

    fn stats(&self, now: time::Duration) -> stats::Stats {
        stats::Stats {
            queued: self.queue.queued_by_class().collect(),
            in_flight: self.table.in_flight().collect(),
            wait: self.wait_lowest(now),
        }
    }
}

fn queue_options(options: &options::Options) -> sched::Options {
    let classes = options.classes.iter().map(|class| sched::Class {
        tier: class.tier,
        floor: class.floor,
        starvation_window: class.starvation_window,
    });
    sched::Options {
        classes: classes.collect(),
        weights: options.weights.clone(),
        queue_max: options.queue_max,
    }
}

const fn table_options(options: &options::Options) -> route::Options {
    route::Options {
        long_tokens: options.long_tokens,
        long_share: options.long_share,
        seed: options.seed,
    }
}

/// Time between two sweeps over the crash blame.
const SWEEP: time::Duration = time::Duration::from_secs(1);
