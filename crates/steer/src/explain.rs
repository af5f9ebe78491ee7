use core::time;

use crate::balancer;
use crate::choose;
use crate::gate;
use crate::key;
use crate::pick;
use crate::rate;
use crate::recent;
use crate::report;
use crate::scope;
use crate::trace;
use crate::work;

/// How a request would be decided on.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Decision that would be made.
    pub decision: pick::Decision,
    /// Endpoints of the service, ordered by cost and then by id; those that were not
    /// compared come last.
    pub endpoints: Vec<Considered>,
    /// Whether only a sample of the engines was compared.
    pub is_sampled: bool,
    /// Whether the team uses much more than its equal share.
    pub is_over: bool,
}

/// An endpoint of the service of a request, with what this host knows of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Considered {
    /// Identifier of the endpoint.
    pub id: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether it may be sent to.
    pub gate: gate::Gate,
    /// Time for which it stays cold; `None` if it is not.
    pub cold_left: Option<time::Duration>,
    /// Whether it falls over if it has to refuse requests.
    pub is_brittle: bool,
    /// Tokens of the shared parts of the prompt that are probably in its prefix cache.
    pub cached_tokens: u32,
    /// Tokens of all parts that are probably in its prefix cache.
    pub cache_tokens: f64,
    /// Requests that may run at once.
    pub slots: u32,
    /// Requests of all hosts, as far as this host knows.
    pub running: f64,
    /// Prompt tokens that wait.
    pub queued_tokens: f64,
    /// Tokens of the KV cache that requests occupy.
    pub kv_tokens: f64,
    /// Tokens of the KV cache; `None` if the service has no engines.
    pub kv_capacity: Option<f64>,
    /// Learned rates, or the defaults.
    pub rates: rate::Rates,
    /// Last report of the endpoint and its age.
    pub report: Option<(report::Report, time::Duration)>,
    /// Age of the newest load that another host published; `None` without one.
    pub peer_age: Option<time::Duration>,
    /// Result of the comparison; `None` if the endpoint was not compared.
    pub weighed: Option<Weighed>,
}

/// Result of the comparison for one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighed {
    /// Terms of the cost.
    pub costs: trace::Costs,
    /// Whether the endpoint takes the request.
    pub is_admitted: bool,
    /// Whether the endpoint has room in its slots and KV cache.
    pub has_room: bool,
    /// Time to process the pending prompts in milliseconds.
    pub backlog_ms: f64,
    /// Time in milliseconds by which the wait or the backlog exceeds its bound; zero or
    /// negative if both are within it.
    pub excess_ms: f64,
    /// Prompt tokens that the endpoint probably has to process.
    pub prefill_tokens: u32,
    /// Position from 0 in the ranking for the prompt; `None` if it is not among the first.
    pub rank: Option<usize>,
    /// Whether the endpoint is reserved for the request's kind of work.
    pub is_reserved: bool,
}

/// Steps of a decision.
#[derive(Default)]
struct Recorder {
    gates: Vec<(key::Key, gate::Gate)>,
    weighed: rustc_hash::FxHashMap<key::Key, Weighed>,
    is_sampled: bool,
    is_over: bool,
}

impl trace::Trace for Recorder {
    fn gate(&mut self, key: key::Key, gate: gate::Gate) {
        self.gates.push((key, gate));
    }

    fn team(&mut self, is_over: bool) {
        self.is_over = is_over;
    }

    fn compare(&mut self, is_sampled: bool) {
        self.is_sampled = is_sampled;
        self.weighed.clear();
    }

    fn weigh(&mut self, candidate: &choose::Candidate, costs: &trace::Costs) {
        let weighed = Weighed {
            costs: *costs,
            is_admitted: candidate.admits(),
            has_room: candidate.has_room,
            backlog_ms: candidate.backlog_ms,
            excess_ms: candidate.excess_ms,
            prefill_tokens: candidate.prefill_tokens,
            rank: candidate.rank,
            is_reserved: candidate.is_reserved,
        };
        self.weighed.insert(candidate.key, weighed);
    }
}

impl balancer::Balancer {
    /// Explains the decision that [`Balancer::pick`] would make, and changes no state.
    /// `rng` is a copy of the generator in use; with it, the random parts are those that
    /// the next decision draws.
    ///
    /// [`Balancer::pick`]: balancer::Balancer::pick
    pub fn explain<'a>(
        &self,
        now: time::Duration,
        service: &str,
        work: &work::Work,
        objective: work::Objective,
        scope: impl Into<scope::Scope<'a>>,
        mut rng: impl rand::Rng,
    ) -> Explanation {
        let question = choose::Question {
            now,
            service,
            work,
            objective,
            scope: scope.into(),
        };
        let recent = self.recent.as_deref();
        let mut recent =
            recent.map_or_else(recent::Recent::default, |recent| recent.of_service(service));
        let mut recorder = Recorder::default();
        let (decision, _) = self.decide(&question, &mut recent, &mut rng, &mut recorder);
        let gates = recorder.gates.iter();
        let mut endpoints: Vec<Considered> = gates
            .filter_map(|(key, gate)| {
                let weighed = recorder.weighed.get(key).copied();
                self.considered(now, work, *key, *gate, weighed)
            })
            .collect();
        let cost = |endpoint: &Considered| {
            let weighed = endpoint.weighed.as_ref();
            weighed.map_or(f64::INFINITY, |weighed| weighed.costs.sum())
        };
        endpoints.sort_by(|a, b| cost(a).total_cmp(&cost(b)).then_with(|| a.id.cmp(&b.id)));
        Explanation {
            decision,
            endpoints,
            is_sampled: recorder.is_sampled,
            is_over: recorder.is_over,
        }
    }

    fn considered(
        &self,
        now: time::Duration,
        work: &work::Work,
        key: key::Key,
        gate: gate::Gate,
        weighed: Option<Weighed>,
    ) -> Option<Considered> {
        let endpoint = self.endpoints.get(key)?;
        let service = endpoint.listed.service.as_str();
        let total = endpoint.total(now, &self.options);
        let cold_left = endpoint.cold.left(now);
        let cached = endpoint.cache.prefix_len(work.shared());
        let cached = work.shared()[..cached].iter().map(|part| part.tokens);
        Some(Considered {
            id: endpoint.listed.id.clone(),
            data_centre: endpoint.listed.data_centre.clone(),
            gate,
            cold_left: (!cold_left.is_zero()).then_some(cold_left),
            is_brittle: self.is_brittle(now, service),
            cached_tokens: cached.fold(0, u32::saturating_add),
            cache_tokens: endpoint.cache.tokens(),
            slots: endpoint.listed.slots,
            running: total.running,
            queued_tokens: total.prefill_tokens,
            kv_tokens: total.kv_tokens,
            kv_capacity: self.kv_capacities.get(service).copied(),
            rates: self.rates(now, key),
            report: endpoint
                .report
                .map(|(report, at)| (report, now.saturating_sub(at))),
            peer_age: endpoint.peer_age(now),
            weighed,
        })
    }
}
