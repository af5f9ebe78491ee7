use core::time;

use rand::RngExt;

use crate::balancer;
use crate::endpoint;
use crate::gate;
use crate::key;
use crate::pick;
use crate::recent;
use crate::scope;
use crate::trace;
use crate::weigh;
use crate::work;

/// Expected delay in milliseconds that each running request of a model engine
/// adds to a new one, because all requests of a batch share each step.
pub(crate) const RUNNING_DELAY_MS: f64 = 1.5;

/// Cost in milliseconds of a failure share of 1 in excess of the mean of the
/// service and `FAILURE_TOLERANCE`; a smaller excess costs proportionally less.
/// An endpoint that has just refused a request for lack of room costs as much.
const FAILURE_PENALTY_MS: f64 = 1_500.0;

/// Excess over the mean failure share that is attributed to chance and costs
/// nothing.
const FAILURE_TOLERANCE: f64 = 0.1;

/// Share of an engine's slots and KV cache up to which requests are admitted.
/// Beyond it, the engine preempts running requests.
const FILL_SHARE: f64 = 0.75;

/// Additional share that the most urgent requests may fill, so that they are
/// refused last.
const FILL_URGENT_SHARE: f64 = 0.15;

/// Cost in milliseconds of an engine without room for the request.
pub(crate) const NO_ROOM_PENALTY_MS: f64 = 5_000.0;

/// Upper bound of the random part of a cost in milliseconds. Without it, hosts
/// with the same load data would all choose the same endpoint.
pub(crate) const JITTER_MS: f64 = 4.0;

/// Bounds of the suggested retry delay in milliseconds, before jitter.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (200.0, 2_000.0);

/// Shortest retry delay for callers while no endpoint takes requests.
const RETRY_SHUT_MIN: time::Duration = time::Duration::from_millis(100);

/// Longest retry delay for callers while no endpoint takes requests. Another host may
/// send meanwhile.
const RETRY_SHUT_MAX: time::Duration = time::Duration::from_secs(4);

/// Retry delay for callers while only other hosts may send to the endpoints. Callers
/// come back to any host.
const RETRY_ELSEWHERE: time::Duration = time::Duration::from_millis(500);

/// A request that is decided on.
#[derive(Clone, Copy)]
pub(crate) struct Question<'a> {
    pub(crate) now: time::Duration,
    pub(crate) service: &'a str,
    pub(crate) work: &'a work::Work,
    pub(crate) objective: work::Objective,
    pub(crate) scope: scope::Scope<'a>,
}

/// An endpoint that is considered for a request.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) key: key::Key,
    /// Expected wait plus penalties, in milliseconds; the lowest cost wins.
    pub(crate) cost: f64,
    pub(crate) wait_ms: f64,
    /// Time to process the prompts that are already pending.
    pub(crate) backlog_ms: f64,
    pub(crate) has_room: bool,
    /// Time by which the wait or the backlog exceeds its bound; zero or negative
    /// if both are within it.
    pub(crate) excess_ms: f64,
    pub(crate) prefill_tokens: u32,
    pub(crate) rank: Option<usize>,
    pub(crate) is_cached: bool,
    pub(crate) share: f64,
    pub(crate) is_reserved: bool,
}

impl Candidate {
    /// Returns whether the endpoint takes the request.
    pub(crate) fn admits(&self) -> bool {
        self.has_room && self.excess_ms <= 0.0
    }
}

impl balancer::Balancer {
    /// Selects an endpoint of a service for a request.
    ///
    /// Endpoints marked unreachable are considered only if no reachable one is left.
    ///
    /// Bulk work is bounded by the tightest target of recent bulk work that is at
    /// least as urgent, so that a longer target does not admit a request where a
    /// more urgent one is refused.
    pub fn pick<'a>(
        &mut self,
        now: time::Duration,
        service: &str,
        work: &work::Work,
        objective: work::Objective,
        scope: impl Into<scope::Scope<'a>>,
        rng: &mut impl rand::Rng,
    ) -> pick::Decision {
        let question = Question {
            now,
            service,
            work,
            objective,
            scope: scope.into(),
        };
        let mut recent = self.recent.take().unwrap_or_default();
        let (decision, refused_tokens) = self.decide(&question, &mut recent, rng, &mut ());
        self.recent = Some(recent);
        // Engines are divided by the demand, of which refused work is a part. A
        // request that was sent before has been counted.
        if let Some(tokens) = refused_tokens.filter(|_| question.scope.tried.is_empty()) {
            self.record_demand(now, service, work, tokens);
        }
        decision
    }

    /// Decides on a request and reports the steps to `trace`. Returns the decision and,
    /// for a request that was refused after a comparison, its fewest prompt tokens to
    /// process at one of the endpoints.
    ///
    /// Only `recent` and `rng` change, so that [`Balancer::explain`] decides on copies of
    /// them.
    ///
    /// [`Balancer::explain`]: balancer::Balancer::explain
    pub(crate) fn decide(
        &self,
        question: &Question<'_>,
        recent: &mut recent::Recent,
        rng: &mut impl rand::Rng,
        trace: &mut impl trace::Trace,
    ) -> (pick::Decision, Option<u32>) {
        let Question {
            now,
            service,
            work,
            objective,
            scope,
        } = *question;
        if work.is_bulk() {
            recent.record_target(now, service, objective);
        }
        let is_allowed = |key: key::Key| {
            let build = self.endpoints.get(key).and_then(|endpoint| endpoint.build);
            scope.build.is_none_or(|allowed| build == Some(allowed))
        };
        let Some(keys) = self.services.get(service) else {
            return (pick::Decision::NoEndpoint, None);
        };
        let accepting: Vec<(key::Key, gate::Gate)> = keys
            .iter()
            .filter(|key| !scope.tried.contains(key) && is_allowed(**key))
            .map(|&key| (key, self.gate(now, key)))
            .inspect(|&(key, gate)| trace.gate(key, gate))
            .filter(|(_, gate)| *gate != gate::Gate::Leaving)
            .collect();
        let with = |states: fn(gate::Gate) -> bool| -> Vec<key::Key> {
            let matching = accepting.iter().filter(|(_, gate)| states(*gate));
            matching.map(|&(key, _)| key).collect()
        };
        let mut list = with(|gate| matches!(gate, gate::Gate::Open | gate::Gate::Full));
        let mut down = with(|gate| gate == gate::Gate::Down).len();
        if list.is_empty() {
            down = 0;
            list = with(|gate| gate == gate::Gate::Down);
        }
        if list.is_empty() && !accepting.is_empty() {
            let waits = accepting.iter().filter_map(|(_, gate)| gate.wait());
            let refusal = refuse_until(waits.min(), rng);
            return (pick::Decision::Refused(refusal), None);
        }
        let weighs_prefix = self.weighs_prefix(service);
        let is_over = weighs_prefix && recent.record_team(question);
        trace.team(is_over);
        let mut request = weigh::Request {
            now,
            service,
            work,
            objective,
            is_sampled: self.samples_engines(now, service),
            is_over,
            weighs_prefix,
            target: match work.is_bulk() {
                true => recent.bulk_target(now, service, objective),
                false => objective.target_first,
            },
        };
        let mut candidates = self.compare(&request, &list, recent, rng, trace);
        if request.is_sampled && !candidates.iter().any(Candidate::admits) {
            // A request is refused only if no endpoint at all admits it.
            request.is_sampled = false;
            candidates = self.compare(&request, &list, recent, rng, trace);
        }
        let by_cost = |a: &&Candidate, b: &&Candidate| a.cost.total_cmp(&b.cost);
        let admitted = candidates.iter().filter(|candidate| candidate.admits());
        if let Some(best) = admitted.min_by(by_cost) {
            return (pick::Decision::Selected(self.picked(now, best)), None);
        }
        let Some(best) = candidates.iter().min_by(by_cost) else {
            return (pick::Decision::NoEndpoint, None);
        };
        let refusal = pick::Refusal {
            retry_after: retry_after(best.excess_ms, rng),
            wait_ms: best.wait_ms,
            backlog_ms: best.backlog_ms,
            has_room: best.has_room,
            compared: list.len(),
            down,
        };
        let prefill_tokens = candidates
            .iter()
            .map(|candidate| candidate.prefill_tokens)
            .min();
        (pick::Decision::Refused(refusal), prefill_tokens)
    }

    /// Compares endpoints for a request.
    fn compare(
        &self,
        request: &weigh::Request<'_>,
        keys: &[key::Key],
        recent: &mut recent::Recent,
        rng: &mut impl rand::Rng,
        trace: &mut impl trace::Trace,
    ) -> Vec<Candidate> {
        trace.compare(request.is_sampled);
        match request.weighs_prefix {
            true => self.weighed(request, keys, recent, rng, trace),
            false => self.candidates(request, keys, recent, rng, trace).collect(),
        }
    }

    /// Returns whether only a random sample of the engines is compared, because
    /// other hosts choose among the same engines.
    fn samples_engines(&self, now: time::Duration, service: &str) -> bool {
        let has_peers = self
            .last_peer_update
            .is_some_and(|at| now.saturating_sub(at) < self.options.peer_load_age);
        has_peers && self.kv_capacities.contains_key(service)
    }

    pub(crate) fn mean_failure_share(&self, now: time::Duration, keys: &[key::Key]) -> f64 {
        let sum: f64 = keys
            .iter()
            .map(|&key| self.endpoints[key].failure_share(now, &self.options))
            .sum();
        sum / keys.len().max(1) as f64
    }

    /// Estimates the prompt tokens that the endpoint cannot take from its prefix
    /// cache.
    pub(crate) fn prefill_tokens(
        &self,
        endpoint: &endpoint::Endpoint,
        work: &work::Work,
        is_first_ranked: bool,
    ) -> f64 {
        let shared = work.shared();
        let cached = endpoint.cache.prefix_len(shared);
        let mut known: f64 = shared[..cached]
            .iter()
            .map(|part| f64::from(part.tokens))
            .sum();
        if is_first_ranked && cached < shared.len() {
            let rest: f64 = shared[cached..]
                .iter()
                .map(|part| f64::from(part.tokens))
                .sum();
            known += rest * self.options.first_rank_cached_share;
        }
        (f64::from(work.prompt_tokens) - known).max(0.0)
    }

    /// Returns the cost of an endpoint that fails or has refused requests, in
    /// milliseconds; `mean` is the mean failure share of the service.
    pub(crate) fn fault_ms(&self, now: time::Duration, key: key::Key, mean: f64) -> f64 {
        let endpoint = &self.endpoints[key];
        let share = endpoint.failure_share(now, &self.options);
        let failed = (share - mean - FAILURE_TOLERANCE).max(0.0);
        let full = if endpoint.fault.is_full(now) {
            1.0
        } else {
            0.0
        };
        (failed + full) * FAILURE_PENALTY_MS
    }

    fn picked(&self, now: time::Duration, best: &Candidate) -> pick::Pick {
        let endpoint = &self.endpoints[best.key];
        pick::Pick {
            key: best.key,
            id: endpoint.listed.id.clone(),
            started_ms: endpoint.listed.started_ms,
            build: endpoint.listed.build.clone(),
            address: endpoint.listed.address,
            data_centre: endpoint.listed.data_centre.clone(),
            is_local: endpoint.listed.data_centre == self.options.data_centre,
            wait_ms: best.wait_ms,
            prefill_tokens: best.prefill_tokens,
            report_age: endpoint.report.map(|(_, at)| now.saturating_sub(at)),
            rank: best.rank,
            interactive_share: best.share,
            is_reserved: best.is_reserved,
            is_cached: best.is_cached,
        }
    }
}

/// Returns the time of a request without a prompt beside `running` others, as a multiple
/// of its time at an idle endpoint.
pub(crate) fn queue_factor(running: f64, slots: f64) -> f64 {
    let queued = (running + 1.0 - slots).max(0.0) / slots;
    1.0 + queued + running / slots * 0.2
}

/// Returns the share of an engine that requests with this objective may fill.
pub(crate) fn fill(objective: work::Objective) -> f64 {
    FILL_SHARE + FILL_URGENT_SHARE * objective.urgency
}

/// Returns whether the request fits into the share `fill` of an engine's slots
/// and KV cache.
pub(crate) fn has_room(
    endpoint: &endpoint::Endpoint,
    total: endpoint::Total,
    kv_capacity: f64,
    work: &work::Work,
    fill: f64,
) -> bool {
    let slots = f64::from(endpoint.listed.slots);
    let held = total.kv_tokens + f64::from(work.kv_tokens());
    total.running < slots * fill && (held < kv_capacity * fill || total.running < 1.0)
}

/// Returns the suggested retry delay, with jitter so that refused callers do
/// not return at the same time.
fn retry_after(excess_ms: f64, rng: &mut impl rand::Rng) -> time::Duration {
    let wait = excess_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
    let spread = rng.random_range(0.8..1.4);
    time::Duration::from_secs_f64(wait * spread / 1_000.0)
}

/// Returns the refusal of a request for which all endpoints pause or have used up
/// their limits; the first one takes requests again after `wait`, if that is known.
fn refuse_until(wait: Option<time::Duration>, rng: &mut impl rand::Rng) -> pick::Refusal {
    let wait = wait.unwrap_or(RETRY_ELSEWHERE).min(RETRY_SHUT_MAX);
    let spread = rng.random_range(1.0..1.3);
    pick::Refusal {
        retry_after: wait.mul_f64(spread).max(RETRY_SHUT_MIN),
        wait_ms: wait.as_secs_f64() * 1_000.0,
        backlog_ms: 0.0,
        has_room: false,
        compared: 0,
        down: 0,
    }
}
