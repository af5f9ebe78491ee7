//! Production policy: tiers, fair shares, late binding and adaptive limits.

use core::time;

use rand::SeedableRng;

use crate::action;
use crate::endpoint;
use crate::finish;
use crate::load;
use crate::options;
use crate::parts;
use crate::policy;
use crate::request;
use crate::running;
use crate::state;
use crate::stats;

/// Policy that combines [`sched::Queue`] and [`route::Table`].
///
/// Requests are bound to endpoints late: each waits in one queue of the shard until
/// an endpoint has a free slot. A submitted request whose identifier is already
/// queued or running is ignored, so that a message that is delivered twice has one
/// outcome.
#[derive(Debug)]
pub struct Current {
    pub(crate) options: options::Options,
    pub(crate) queue: sched::Queue<request::Request>,
    pub(crate) table: route::Table,
    pub(crate) quarantine: route::Quarantine,
    pub(crate) parts: parts::Parts,
    pub(crate) budgets: Vec<route::Budget>,
    pub(crate) lengths: Vec<route::Length>,
    /// Time from grant to completion, per class.
    pub(crate) service_times: Vec<route::Latency>,
    pub(crate) throughput: route::Throughput,
    pub(crate) states: rustc_hash::FxHashMap<request::RequestId, state::State>,
    pub(crate) running: slotmap::SlotMap<running::Key, running::Running>,
    /// Requests that entered the lane of suspects; may have left the queue since.
    pub(crate) suspects: Vec<request::RequestId>,
    /// Start of the outage of all endpoints; `None` if one is reachable.
    pub(crate) outage_since: Option<time::Duration>,
    pub(crate) rng: rand_pcg::Pcg64Mcg,
    last_sweep: time::Duration,
}

impl Current {
    /// Returns a policy without endpoints.
    pub fn new(options: &options::Options) -> Self {
        let mut shard = Self {
            options: options.clone(),
            queue: sched::Queue::new(queue_options(options)),
            table: route::Table::new(table_options(options)),
            quarantine: route::Quarantine::new(),
            parts: parts::Parts::default(),
            budgets: Vec::new(),
            lengths: Vec::new(),
            service_times: Vec::new(),
            throughput: route::Throughput::default(),
            states: rustc_hash::FxHashMap::default(),
            running: slotmap::SlotMap::with_key(),
            suspects: Vec::new(),
            outage_since: None,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(options.seed),
            last_sweep: time::Duration::ZERO,
        };
        shard.resize_classes();
        shard
    }

    /// Returns the latest decisions of the queue to drop a request, oldest first.
    /// The oldest are evicted from a ring buffer.
    pub fn records(&self) -> impl Iterator<Item = &sched::Record> {
        self.queue.records()
    }

    /// Returns how many such decisions were recorded in total, including evicted
    /// ones.
    pub const fn records_total(&self) -> u64 {
        self.queue.records_total()
    }

    fn resize_classes(&mut self) {
        let count = self.options.classes.len().max(1);
        self.budgets.resize_with(count, route::Budget::default);
        self.lengths.resize_with(count, route::Length::new);
        self.service_times
            .resize_with(count, route::Latency::default);
    }

    /// Returns the index of the request's class, limited to the last class.
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
        self.states.remove(&request.id);
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

    /// Refuses every queued request whose latest useful start is at or before
    /// `limit`: with `Expired` if its deadline has passed, otherwise with `reason`.
    fn expire(
        &mut self,
        now: time::Duration,
        limit: time::Duration,
        reason: answer::Kind,
        out: &mut Vec<action::Action>,
    ) {
        let mut expired = Vec::new();
        self.queue.expire_until(now, limit, &mut expired);
        let after = Some(self.retry_after(self.lowest_tier_wait(now)));
        for request in expired {
            let kind = if request.deadline <= now {
                answer::Kind::Expired
            } else {
                reason
            };
            self.refuse(&request, kind, after, out);
        }
    }

    /// Updates the state of an outage and refuses queued requests that are not
    /// expected to start in time.
    fn refuse_unservable(&mut self, now: time::Duration, out: &mut Vec<action::Action>) {
        self.expire(now, now, answer::Kind::Overload, out);
        let mut shed = Vec::new();
        self.queue.shed_overload(now, self.capacity(), &mut shed);
        let after = Some(self.retry_after(self.lowest_tier_wait(now)));
        for request in shed {
            self.refuse(&request, answer::Kind::Overload, after, out);
        }
        if !self.table.has_open_endpoint() {
            self.expire(now, time::Duration::MAX, answer::Kind::NoEndpoint, out);
        }
        if self.table.has_reachable_endpoint() {
            self.outage_since = None;
        } else {
            let since = *self.outage_since.get_or_insert(now);
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
        self.resize_classes();
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
        self.refuse_unservable(now, out);
        self.dispatch(now, out);
    }

    fn submit(
        &mut self,
        now: time::Duration,
        request: request::Request,
        out: &mut Vec<action::Action>,
    ) {
        if self.states.contains_key(&request.id) {
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
        let Some(&state::State::Queued(key)) = self.states.get(&id) else {
            return;
        };
        self.states.remove(&id);
        let job = self.queue.cancel(key);
        if let Some(job) = job
            && job.data.attempt > 0
        {
            let class = self.class(&job.data);
            self.budgets[class].refund();
        }
    }

    fn record_first_output(&mut self, now: time::Duration, id: request::RequestId) {
        if let Some(&state::State::Running(key)) = self.states.get(&id) {
            self.table.record_first_output(now, self.running[key].run);
        }
    }

    fn pause(&mut self, now: time::Duration, id: request::RequestId, pause: time::Duration) {
        if let Some(&state::State::Running(key)) = self.states.get(&id) {
            self.table.pause(now, self.running[key].run, pause);
        }
    }

    fn finish(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        finish: finish::Finish,
        out: &mut Vec<action::Action>,
    ) {
        let Some(&state::State::Running(key)) = self.states.get(&id) else {
            return;
        };
        self.states.remove(&id);
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
        self.quarantine.record_crash(now, fingerprint, endpoint);
    }

    fn record_part_crash(
        &mut self,
        now: time::Duration,
        part: u64,
        fingerprint: u64,
        endpoint: u64,
    ) {
        self.parts.record_crash(now, part, fingerprint, endpoint);
    }

    fn tick(&mut self, now: time::Duration, out: &mut Vec<action::Action>) {
        self.table.tick(now);
        if now >= self.last_sweep + SWEEP_PERIOD {
            self.last_sweep = now;
            self.quarantine.evict_expired(now);
            self.parts.evict_expired(now);
        }
        self.refuse_unservable(now, out);
        self.release_cleared(now);
        self.dispatch(now, out);
    }

    fn stats(&self, now: time::Duration) -> stats::Stats {
        stats::Stats {
            queued: self.queue.queued_by_class().collect(),
            in_flight: self.table.in_flight().collect(),
            wait: self.lowest_tier_wait(now),
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

/// Period of the eviction of expired crash records.
const SWEEP_PERIOD: time::Duration = time::Duration::from_secs(1);
