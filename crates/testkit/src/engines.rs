//! Many hosts that send prompts to the same model engines, without a network or a clock.
//!
//! The hosts are real balancers that exchange their loads, placements and demands as
//! hosts do. Callers that are refused come back once after the retry time, and their
//! targets and deadlines count from their first arrival.

use core::time;
use std::collections;

use rand::{RngExt, SeedableRng};

pub use crate::batch::Spec;
pub use crate::shape::{Crest, Kind, Options, Outcome, Tally};
use crate::{batch, exchange, shape};

/// Time of a failed connection, in milliseconds.
const UNREACHABLE_MS: u64 = 2;

/// Endpoints that are tried for one request.
const TRIES: usize = 4;

/// Distinct first and second shared parts of long prompts, with their tokens.
const FIRST_PARTS: (u64, u32) = (4, 2_520);
const SECOND_PARTS: (u64, u32) = (433, 3_780);

/// Tokens of the shared and, on average, of the own part of a short prompt.
const SHORT_TOKENS: (u32, f64) = (198, 628.0);

/// Smallest and largest own part of a long prompt in tokens; the mean is 2,890.
const OWN_RANGE: (f64, f64) = (1_000.0, 39_600.0);

/// Teams, of which the first sends a fifth of the requests.
const TEAMS: usize = 24;

struct Caller {
    kind: usize,
    team: usize,
    work: steer::Work,
    arrived: u64,
    host: usize,
    engine: usize,
    run: Option<steer::Run>,
    tried: Vec<steer::Key>,
    attempts: u32,
    last_event: Option<f64>,
    is_late: bool,
    has_returned: bool,
    is_done: bool,
}

enum Due {
    Ask(usize),
    Unreachable(usize),
    Deadline(usize),
}

struct Play<'a> {
    options: &'a Options,
    exchange: exchange::Exchange,
    rng: rand_pcg::Pcg64Mcg,
    hosts: Vec<steer::Balancer>,
    engines: Vec<batch::Engine>,
    callers: Vec<Caller>,
    due: collections::BTreeMap<u64, Vec<Due>>,
    parts: collections::HashMap<u64, u32>,
    outcome: Outcome,
}

/// Plays the hosts before the engines.
pub fn play(options: &Options) -> Outcome {
    let mut play = Play {
        options,
        exchange: exchange::Exchange {
            hosts: options.hosts,
            data_centres: options.data_centres,
            loss: options.loss,
        },
        rng: rand_pcg::Pcg64Mcg::seed_from_u64(options.seed),
        hosts: (0..options.hosts).map(|at| options.host(at)).collect(),
        engines: (0..options.engines).map(|at| options.engine(at)).collect(),
        callers: Vec::new(),
        due: collections::BTreeMap::new(),
        parts: collections::HashMap::new(),
        outcome: Outcome::default(),
    };
    let end = options.from_ms + options.crest.length_ms();
    let mut now = 0;
    while now < end || !play.due.is_empty() {
        play.publish(now);
        if options.crest == Crest::Lost && now == options.from_ms + 1_000 {
            play.lose_engines(now);
        }
        for due in play.due.remove(&now).unwrap_or_default() {
            match due {
                Due::Ask(id) => play.ask(now, id),
                Due::Unreachable(id) => play.fail(now, id, steer::End::Unreachable),
                Due::Deadline(id) => play.expire(now, id),
            }
        }
        if now < end {
            play.arrive(now);
        }
        let mut events = Vec::new();
        for engine in &mut play.engines {
            engine.advance(now as f64, &mut events);
        }
        for event in events {
            play.receive(now, event);
        }
        now += 1;
    }
    play.sum_up()
}

impl Play<'_> {
    fn publish(&mut self, now: u64) {
        for from in 0..self.hosts.len() {
            if !self.exchange.is_due(now, from) {
                continue;
            }
            let data_centre = (from % self.options.data_centres) as u64;
            let host = &self.hosts[from];
            let (loads, sum) = (host.loads(ms(now)), host.sum(ms(now)));
            let (demands, demand_sum) = (host.demands(ms(now)), host.demands_sum(ms(now)));
            let placements = host.placements(ms(now));
            let sample = host.sample_placements(ms(now), &mut self.rng);
            let recipients = self.exchange.recipients(from, |_| true, &mut self.rng);
            for (to, form) in recipients {
                let host = &mut self.hosts[to];
                match form {
                    exchange::Form::Full => {
                        host.apply_loads(ms(now), from as u64, &loads);
                        host.apply_demands(ms(now), from as u64, &demands);
                        host.relay_placements(ms(now), &placements);
                        host.apply_placements(ms(now), &placements);
                    }
                    exchange::Form::Sum => {
                        host.apply_sum(ms(now), data_centre, &sum);
                        host.apply_demands_sum(ms(now), data_centre, &demand_sum);
                        host.apply_placements(ms(now), &sample);
                    }
                }
            }
        }
    }

    fn lose_engines(&mut self, now: u64) {
        for index in (0..self.engines.len()).step_by(4) {
            for id in self.engines[index].lose(now + 2_000) {
                self.fail(now, id, steer::End::Lost);
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let is_crest = now >= self.options.from_ms;
        let factors = match is_crest {
            true => self.options.crest.factors(),
            false => [1.0; 2],
        };
        for (kind, factor) in factors.into_iter().enumerate() {
            let rate = self.options.kinds[kind].per_s / 1_000.0 * factor;
            // CAST: The rate is small and not negative.
            let count = rate as usize + usize::from(self.rng.random_bool(rate.fract()));
            for _ in 0..count {
                let work = self.work(now, kind);
                let team = self.team(is_crest);
                self.callers.push(Caller {
                    kind,
                    team,
                    work,
                    arrived: now,
                    host: 0,
                    engine: 0,
                    run: None,
                    tried: Vec::new(),
                    attempts: 0,
                    last_event: None,
                    is_late: false,
                    has_returned: false,
                    is_done: false,
                });
                let id = self.callers.len() - 1;
                let deadline = now + self.options.kinds[kind].deadline_ms;
                self.due
                    .entry(deadline)
                    .or_default()
                    .push(Due::Deadline(id));
                self.ask(now, id);
            }
        }
    }

    fn team(&mut self, is_crest: bool) -> usize {
        let surplus = 1.22 / 2.22;
        if is_crest && self.options.crest == Crest::Team && self.rng.random_bool(surplus) {
            return 0;
        }
        skewed(&mut self.rng, TEAMS)
    }

    fn work(&mut self, now: u64, kind: usize) -> steer::Work {
        let part = |id: u64, tokens: u32| steer::Part { id, tokens };
        let own = self.callers.len() as u64 + 1_000_000;
        let rng = &mut self.rng;
        let parts = if kind == 1 {
            // CAST: A prompt has few tokens.
            let tokens = (SHORT_TOKENS.1 * rng.random_range(0.2..1.8)) as u32;
            let shared = 100_000 + rng.random_range(0..TEAMS as u64);
            vec![part(shared, SHORT_TOKENS.0), part(own, tokens)]
        } else {
            let is_hot = now >= self.options.from_ms && self.options.crest == Crest::Part;
            let second = match is_hot && rng.random_bool(1.0 / 3.0) {
                true => 0,
                false => skewed(rng, SECOND_PARTS.0 as usize) as u64,
            };
            let drawn: f64 = rng.random_range(0.000_1..1.0);
            // CAST: A prompt has few tokens.
            let tokens = (OWN_RANGE.0 * drawn.powf(-0.69)).min(OWN_RANGE.1) as u32;
            let first = part(1_000 + second % FIRST_PARTS.0, FIRST_PARTS.1);
            vec![first, part(second, SECOND_PARTS.1), part(own, tokens)]
        };
        let (_, shared) = parts.split_last().expect("an own part");
        self.parts.extend(shared.iter().map(|p| (p.id, p.tokens)));
        steer::Work {
            prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
            parts,
            output_tokens_max: self.options.kinds[kind].events * self.options.spec.stride,
            expected_tokens: None,
        }
    }

    /// Lets a random host accept a request.
    fn ask(&mut self, now: u64, id: usize) {
        let host = self.rng.random_range(0..self.hosts.len());
        let caller = &mut self.callers[id];
        if !caller.is_done {
            caller.host = host;
            caller.tried.clear();
            self.send(now, id);
        }
    }

    fn send(&mut self, now: u64, id: usize) {
        let caller = &mut self.callers[id];
        let kind = &self.options.kinds[caller.kind];
        let objective = steer::Objective {
            urgency: caller.kind as f64,
            remaining: ms((caller.arrived + kind.deadline_ms).saturating_sub(now)),
            target_first: ms(kind.target_ms),
        };
        let host = &mut self.hosts[caller.host];
        let scope = steer::Scope {
            tried: &caller.tried,
            build: None,
            // CAST: There are few teams.
            team: Some(caller.team as u32),
        };
        let rng = &mut self.rng;
        match host.pick(ms(now), shape::SERVICE, &caller.work, objective, scope, rng) {
            steer::Decision::Selected(pick) => {
                caller.run = Some(host.start(ms(now), &pick, &caller.work));
                caller.tried.push(pick.key);
                // PANIC: The ids are made of these numbers.
                caller.engine = pick.id[1..].parse().expect("the number of an engine");
                let engine = &mut self.engines[caller.engine];
                if now < engine.lost_until {
                    let due = self.due.entry(now + UNREACHABLE_MS).or_default();
                    due.push(Due::Unreachable(id));
                    return;
                }
                engine.push(batch::Flight {
                    id,
                    priority: u8::from(caller.kind == 0),
                    parts: caller.work.parts.clone(),
                    events: kind.events,
                    unread: None,
                    made: 0,
                });
            }
            steer::Decision::Refused(refusal) if !caller.has_returned => {
                caller.has_returned = true;
                // CAST: The time is a few seconds.
                let back = now + refusal.retry_after.as_millis() as u64;
                self.due.entry(back).or_default().push(Due::Ask(id));
            }
            steer::Decision::Refused(_) | steer::Decision::NoEndpoint => {
                self.end(id, |tally| &mut tally.refused);
            }
        }
    }

    /// Ends an attempt; another one follows if it is allowed.
    fn fail(&mut self, now: u64, id: usize, reason: steer::End) {
        let caller = &mut self.callers[id];
        if let Some(run) = caller.run.take() {
            self.hosts[caller.host].finish(ms(now), run, reason);
        }
        caller.attempts += u32::from(reason == steer::End::Lost);
        let may_run = caller.attempts < self.options.kinds[caller.kind].attempts;
        match may_run && caller.tried.len() < TRIES {
            true => self.send(now, id),
            false => self.end(id, |tally| &mut tally.failed),
        }
    }

    fn expire(&mut self, now: u64, id: usize) {
        let caller = &mut self.callers[id];
        if caller.is_done {
            return;
        }
        self.engines[caller.engine].cancel(id);
        if let Some(run) = caller.run.take() {
            self.hosts[caller.host].finish(ms(now), run, steer::End::Lost);
        }
        self.end(id, |tally| &mut tally.failed);
    }

    fn receive(&mut self, now: u64, event: batch::Event) {
        let caller = &mut self.callers[event.id];
        let kind = &self.options.kinds[caller.kind];
        let (since, bound) = match caller.last_event {
            Some(last) => (last, kind.gap_ms),
            None => (caller.arrived as f64, kind.target_ms),
        };
        caller.is_late |= event.at - since > bound as f64;
        caller.last_event = Some(event.at);
        let balancer = &mut self.hosts[caller.host];
        if let Some(run) = &mut caller.run {
            balancer.record_first_event(ms(now), run);
        }
        if !event.is_last {
            return;
        }
        if let Some(run) = caller.run.take() {
            balancer.finish(ms(now), run, steer::End::Served);
        }
        match caller.is_late {
            true => self.end(event.id, |tally| &mut tally.late),
            false => self.end(event.id, |tally| &mut tally.in_target),
        }
    }

    fn end(&mut self, id: usize, count: impl Fn(&mut Tally) -> &mut usize) {
        let caller = &mut self.callers[id];
        caller.is_done = true;
        if caller.arrived < self.options.from_ms {
            return;
        }
        let mut tallies = vec![&mut self.outcome.kinds[caller.kind]];
        if caller.team > 0 {
            tallies.push(&mut self.outcome.others[caller.kind]);
        }
        for tally in tallies {
            tally.asked += 1;
            *count(tally) += 1;
        }
    }

    fn sum_up(mut self) -> Outcome {
        let read = self.engines.iter().map(|engine| engine.read);
        let (all, shared) = read.fold((0, 0), |sum, read| (sum.0 + read.0, sum.1 + read.1));
        let once: u64 = self.parts.values().map(|tokens| u64::from(*tokens)).sum();
        let busy = self.engines.iter().map(|engine| engine.busy_ms);
        let most = busy.clone().fold(0.0, f64::max);
        self.outcome.read_tokens = all;
        self.outcome.again_tokens = shared.saturating_sub(once);
        self.outcome.busiest = most * self.engines.len() as f64 / busy.sum::<f64>();
        self.outcome
    }
}

/// Returns a number below `count`; the share of the first ones is the largest.
fn skewed(rng: &mut impl rand::Rng, count: usize) -> usize {
    let drawn: f64 = rng.random();
    // CAST: The product is below the count.
    (drawn * drawn * count as f64) as usize
}

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}
