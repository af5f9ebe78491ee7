//! Discrete-event loop of one shard, for tests and for the figures in the
//! decision notes.

use core::time::Duration;
use std::collections;

use pool::{Action, Class, EndpointId, Finish, Load, Options, Phase, Policy, RequestId};
use rand::{RngExt, SeedableRng};

mod engine;
mod request;

pub use engine::Engine;
pub use request::{Fate, Line, Request};

pub const SECOND: Duration = Duration::from_secs(1);
pub const MILLISECOND: Duration = Duration::from_millis(1);

/// Interval of [`Policy::tick`].
const TICK: Duration = Duration::from_millis(20);

/// Interval and lag of load reports.
const REPORT: Duration = Duration::from_millis(500);

/// Change of an endpoint: when, which one, and what happens to it.
pub type Change = (Duration, usize, fn(&mut Engine));

enum Event {
    Arrive(usize, u16, Option<EndpointId>),
    First(RequestId),
    Done(RequestId, pool::Outcome),
    Report(usize, Load),
    Change(usize),
    Tick,
}

#[derive(Clone, Copy)]
struct Live {
    request: usize,
    attempt: u16,
    endpoint: Option<usize>,
    first: Option<Duration>,
}

/// One run of a policy over a trace.
pub struct Sim<P> {
    pub policy: P,
    pub engines: Vec<Engine>,
    pub trace: Vec<Request>,
    pub lines: Vec<Line>,
    pub grants: u64,
    pub fresh: u64,
    pub crashes: u32,
    pub changes: Vec<Change>,
    /// Longest time between two grants of each class while it had demand.
    pub gaps: Vec<Duration>,
    since: Vec<Option<Duration>>,
    live: collections::HashMap<RequestId, Live>,
    events: collections::BTreeMap<(Duration, u64), Event>,
    serial: u64,
    rng: rand_pcg::Pcg64Mcg,
}

impl<P: Policy> Sim<P> {
    pub fn new(policy: P, engines: Vec<Engine>, trace: Vec<Request>, seed: u64) -> Self {
        Self {
            policy,
            engines,
            trace,
            lines: Vec::new(),
            grants: 0,
            fresh: 0,
            crashes: 0,
            changes: Vec::new(),
            gaps: vec![Duration::ZERO; 16],
            since: vec![None; 16],
            live: collections::HashMap::new(),
            events: collections::BTreeMap::new(),
            serial: 0,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn after(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Self {
        for index in 0..self.trace.len() {
            self.after(self.trace[index].at, Event::Arrive(index, 0, None));
        }
        for index in 0..self.changes.len() {
            self.after(self.changes[index].0, Event::Change(index));
        }
        let set: Vec<_> = (self.engines.iter().enumerate())
            .map(|(index, engine)| pool::Endpoint {
                id: EndpointId(index as u32),
                phase: Phase::Up,
                slots: engine.slots,
            })
            .collect();
        let mut out = Vec::new();
        self.policy.set_endpoints(Duration::ZERO, &set, &mut out);
        self.after(TICK, Event::Tick);
        while self.lines.len() < self.trace.len() {
            let ((now, _), event) = self.events.pop_first().expect("a tick is always due");
            self.step(now, event, &mut out);
            while !out.is_empty() {
                let actions = core::mem::take(&mut out);
                actions.into_iter().for_each(|action| self.act(now, action));
            }
            self.check();
        }
        self
    }

    fn step(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(index, attempt, avoid) => self.arrive(now, index, attempt, avoid, out),
            Event::First(id) => {
                if let Some(live) = self.live.get_mut(&id) {
                    live.first = Some(now);
                    self.policy.record_first_output(now, id);
                }
            }
            Event::Done(id, outcome) => self.done(now, id, outcome, out),
            Event::Report(index, load) => {
                let id = EndpointId(index as u32);
                self.policy.record_load(now, id, load, out);
            }
            Event::Change(index) => {
                let (_, engine, change) = self.changes[index];
                change(&mut self.engines[engine]);
            }
            Event::Tick => self.tick(now, out),
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.policy.tick(now, out);
        self.after(now + TICK, Event::Tick);
        if !now.as_millis().is_multiple_of(REPORT.as_millis()) {
            return;
        }
        for index in 0..self.engines.len() {
            let load = self.engines[index].load(now);
            self.after(now + REPORT, Event::Report(index, load));
        }
    }

    fn arrive(
        &mut self,
        now: Duration,
        index: usize,
        attempt: u16,
        avoid: Option<EndpointId>,
        out: &mut Vec<Action>,
    ) {
        let request = &self.trace[index];
        self.serial += 1;
        let id = RequestId(self.serial);
        self.fresh += u64::from(attempt == 0);
        self.since[usize::from(request.class)].get_or_insert(now);
        let live = Live {
            request: index,
            attempt,
            endpoint: None,
            first: None,
        };
        self.live.insert(id, live);
        let submitted = pool::Request {
            id,
            class: request.class,
            team: request.team,
            caller: request.caller,
            prompt_tokens: 80,
            max_tokens: request.max_tokens,
            prefix_hash: 0,
            fingerprint: request.fingerprint,
            deadline: request.at + request.within,
            attempt,
            avoid,
        };
        self.policy.submit(now, submitted, out);
    }

    fn act(&mut self, now: Duration, action: Action) {
        match action {
            Action::Grant { request, endpoint } => self.grant(now, request, endpoint),
            Action::Refuse { request, kind, .. } => {
                let live = self.live.remove(&request).expect("one outcome per request");
                assert!(live.endpoint.is_none(), "refused after a grant");
                self.end(now, &live, Fate::Refused(kind));
            }
        }
    }

    fn grant(&mut self, now: Duration, id: RequestId, endpoint: EndpointId) {
        self.grants += 1;
        let live = self.live.get_mut(&id).expect("one outcome per request");
        assert!(live.endpoint.is_none(), "granted twice");
        let index = endpoint.0 as usize;
        live.endpoint = Some(index);
        let request = &self.trace[live.request];
        let class = usize::from(request.class);
        if let Some(since) = self.since[class].take() {
            self.gaps[class] = self.gaps[class].max(now - since);
        }
        let queued = self.policy.stats(now).queued;
        self.since[class] = queued
            .get(class)
            .is_some_and(|&count| count > 0)
            .then_some(now);
        let engine = &mut self.engines[index];
        assert!(engine.held < engine.slots, "more in flight than slots");
        engine.held += 1;
        if engine.dead {
            self.after(
                now + MILLISECOND,
                Event::Done(id, pool::Outcome::Unreachable),
            );
        } else if request.poison {
            self.after(
                now + 50 * MILLISECOND,
                Event::Done(id, pool::Outcome::Failed),
            );
        } else {
            let output = request.output;
            let noise = self.rng.random_range(0.9..1.1);
            let engine = &mut self.engines[index];
            if let Some((first, end)) = engine.start(now, id, output, noise) {
                self.after(first, Event::First(id));
                self.after(end, Event::Done(id, pool::Outcome::Complete));
            }
        }
    }

    fn done(
        &mut self,
        now: Duration,
        id: RequestId,
        outcome: pool::Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(live) = self.live.remove(&id) else {
            return;
        };
        let request = self.trace[live.request].clone();
        let index = live.endpoint.expect("only granted asks run");
        let engine = &mut self.engines[index];
        engine.held -= 1;
        if outcome == pool::Outcome::Complete
            && let Some((next, output)) = engine.finish(id)
        {
            let noise = self.rng.random_range(0.9..1.1);
            let (first, end) = self.engines[index].begin(now, output, noise);
            self.after(first, Event::First(next));
            self.after(end, Event::Done(next, pool::Outcome::Complete));
        }
        if request.poison && outcome == pool::Outcome::Failed && !self.engines[index].dead {
            self.crash(now, index);
        }
        let tokens = match outcome {
            pool::Outcome::Complete => request.output,
            _ => 0,
        };
        self.policy.finish(now, id, Finish { outcome, tokens }, out);
        if outcome == pool::Outcome::Complete {
            self.end(now, &live, Fate::Complete);
        } else if live.attempt < request.retries {
            let avoid = Some(EndpointId(index as u32));
            self.after(now, Event::Arrive(live.request, live.attempt + 1, avoid));
        } else {
            self.end(now, &live, Fate::Failed);
        }
    }

    /// Fails everything at the endpoint, which is back 2 s later.
    fn crash(&mut self, now: Duration, index: usize) {
        self.crashes += 1;
        self.engines[index].crash();
        let gone: Vec<_> = (self.live.iter())
            .filter(|(_, live)| live.endpoint == Some(index))
            .map(|(&id, _)| id)
            .collect();
        for id in gone {
            self.after(now, Event::Done(id, pool::Outcome::Failed));
        }
        self.changes
            .push((now + 2 * SECOND, index, |engine| engine.dead = false));
        self.after(now + 2 * SECOND, Event::Change(self.changes.len() - 1));
    }

    fn end(&mut self, now: Duration, live: &Live, fate: Fate) {
        let request = &self.trace[live.request];
        let since = |at: Duration| at - request.at;
        self.lines.push(Line {
            class: request.class,
            team: request.team,
            at: request.at,
            first: live.first.map(since),
            end: since(now),
            fate,
            timely: fate == Fate::Complete && since(now) <= request.within,
        });
    }

    fn check(&self) {
        for engine in &self.engines {
            assert!(engine.held <= engine.slots);
        }
    }

    /// Returns a quantile of the time to first token of a class.
    pub fn first(&self, class: u16, share: f64) -> Duration {
        let lines = self.lines.iter().filter(|line| line.class == class);
        let mut times: Vec<_> = lines.filter_map(|line| line.first).collect();
        times.sort_unstable();
        let index = (times.len() as f64 * share) as usize;
        times
            .get(index.min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the share of a class's requests that ended in this way.
    pub fn share(&self, class: u16, wanted: impl Fn(&Line) -> bool) -> f64 {
        let all = self.lines.iter().filter(|line| line.class == class);
        let met = all.clone().filter(|line| wanted(line)).count();
        met as f64 / all.count().max(1) as f64
    }
}

/// Returns options with one class per tier: targets of 1 s, 2 s, 4 s and so on.
pub fn options(tiers: u8) -> Options {
    let classes = (0..tiers).map(|tier| Class {
        tier,
        target_first: SECOND * (1 << tier),
        target_gap: Some(40 * MILLISECOND),
        floor: 0.05,
        starvation_window: 2 * SECOND,
    });
    Options {
        classes: classes.collect(),
        weights: collections::HashMap::new(),
        queue_max: 2_000,
        long_tokens: 1_000,
        long_share: 0.5,
        seed: 11,
    }
}

/// Returns exponential arrivals of this rate per second until `end`.
pub fn arrivals(rng: &mut impl rand::Rng, rate: f64, end: Duration) -> Vec<Duration> {
    let mut at = 0.0;
    let mut times = Vec::new();
    while at < end.as_secs_f64() {
        at -= rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        times.push(Duration::from_secs_f64(at));
    }
    times
}
