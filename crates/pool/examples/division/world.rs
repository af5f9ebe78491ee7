use core::time::Duration;
use std::collections;

use pool::{Action, Current, EndpointId, Finish, Load, Policy, RequestId};
use rand::{RngExt, SeedableRng};

use super::lease;
use super::message::Message;
use super::place::Place;
use super::request::{Request, WITHIN};
use super::setup::{self, Division, Setup};
use super::tally::Tally;
use crate::sim::{self, Engine, MILLISECOND};

/// Interval of [`Policy::tick`].
const TICK: Duration = Duration::from_millis(20);

/// Time around a refusal in which service of a lower tier elsewhere counts.
const NEAR: Duration = Duration::from_millis(100);

enum Event {
    Arrive(usize),
    Deliver(usize, usize, Message),
    /// The link to the home that was asked is given up.
    GiveUp(RequestId),
    First(RequestId),
    Done(RequestId),
    Report(usize, usize, Load),
    Rebalance,
    Divide,
    Tick,
    Cut,
    /// Hosts that cannot be reached are dead for the others.
    Detect,
    Die,
}

/// One run.
pub struct World {
    pub setup: Setup,
    pub requests: Vec<Request>,
    pub tally: Tally,
    policies: Vec<Current>,
    engines: Vec<Engine>,
    places: collections::HashMap<RequestId, Place>,
    /// Places of each endpoint that still matter.
    recent: Vec<Vec<RequestId>>,
    /// When the last report that a home got was true.
    reported: Vec<Vec<Duration>>,
    /// Same, at the home's last grant of a place there.
    basis: Vec<Vec<Duration>>,
    demands: Vec<lease::Demand>,
    /// Hosts whose demand arrived in this round.
    fresh: Vec<bool>,
    leases: Vec<Vec<u32>>,
    arrived: Vec<[u32; 3]>,
    served: Vec<[Option<Duration>; 3]>,
    events: collections::BTreeMap<(Duration, u64), Event>,
    serial: u64,
    rng: rand_pcg::Pcg64Mcg,
}

/// Returns the request that an ask is for.
const fn request_of(id: RequestId) -> usize {
    (id.0 >> 8) as usize
}

const fn ask_of(id: RequestId) -> u64 {
    id.0 & 0xff
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(setup.seed);
        let requests = trace(&setup, &mut rng);
        let policies = (0..setup::HOSTS).map(|host| {
            let mut options = sim::options(3);
            options.seed = setup.seed * 100 + host as u64;
            for class in &mut options.classes {
                class.floor = setup.floor;
            }
            Current::new(&options)
        });
        let demand = lease::Demand {
            wanted: [0.0; 3],
            held: vec![0; setup.engines],
        };
        Self {
            requests,
            tally: Tally {
                last_grant: vec![None; setup::HOSTS],
                ..Tally::default()
            },
            policies: policies.collect(),
            engines: vec![Engine::new(setup::BATCH, setup::BATCH); setup.engines],
            places: collections::HashMap::new(),
            recent: vec![Vec::new(); setup.engines],
            reported: vec![vec![Duration::ZERO; setup.engines]; setup::HOSTS],
            leases: lease::divide(&vec![demand.clone(); setup::HOSTS]),
            demands: vec![demand; setup::HOSTS],
            basis: vec![vec![Duration::ZERO; setup.engines]; setup::HOSTS],
            fresh: vec![false; setup::HOSTS],
            arrived: vec![[0; 3]; setup::HOSTS],
            served: vec![[None; 3]; setup::HOSTS],
            events: collections::BTreeMap::new(),
            serial: 0,
            rng,
            setup,
        }
    }

    fn after(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// Runs until every request has an outcome and the messages have arrived.
    pub fn run(mut self) -> Self {
        for index in 0..self.requests.len() {
            self.after(self.requests[index].at, Event::Arrive(index));
        }
        if let Some((start, _)) = self.setup.split {
            self.after(start + setup::SILENCE, Event::Cut);
            self.after(start + setup::DETECTION, Event::Detect);
        }
        if let Some(at) = self.setup.death {
            self.after(at, Event::Die);
            self.after(at + setup::DETECTION, Event::Detect);
        }
        for host in 0..setup::HOSTS {
            let places = match self.setup.division {
                Division::Lease => self.leases[host].clone(),
                _ => vec![setup::BATCH; self.setup.engines],
            };
            self.set_places(Duration::ZERO, host, &places);
        }
        self.after(TICK, Event::Tick);
        if self.setup.division == Division::Lease {
            self.after(setup::REBALANCE, Event::Rebalance);
        }
        let end = self.setup.length + 2 * WITHIN;
        while let Some(((now, _), event)) = self.events.pop_first()
            && now < end
        {
            self.step(now, event);
        }
        self
    }

    fn step(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(now, index),
            Event::Deliver(from, to, message) => self.deliver(now, from, to, message),
            Event::GiveUp(id) => self.give_up(now, id),
            Event::First(id) => self.first(now, id),
            Event::Done(id) => self.done(now, id),
            Event::Report(host, endpoint, load) => self.report(now, host, endpoint, load),
            Event::Rebalance => self.rebalance(now),
            Event::Divide => self.divide(now),
            Event::Tick => self.tick(now),
            Event::Cut => self.for_unreachable(now, true),
            Event::Detect => self.for_unreachable(now, false),
            Event::Die => self.die(now),
        }
    }

    fn arrive(&mut self, now: Duration, index: usize) {
        if self.setup.is_dead(now, self.requests[index].host) {
            // The caller sends it to the next host of its list.
            self.requests[index].host += 1;
        }
        let request = &self.requests[index];
        self.arrived[request.host][usize::from(request.class)] += 1;
        self.ask(now, index);
    }

    /// Asks the next home.
    fn ask(&mut self, now: Duration, index: usize) {
        let request = &mut self.requests[index];
        // The list of homes is taken when the request arrives.
        request.home = (self.setup).home(request.at, request.host, request.asks as usize);
        request.asks += 1;
        let id = RequestId((index as u64) << 8 | request.asks);
        let (host, home) = (request.host, request.home);
        self.send(now, host, home, Message::Ask(id));
    }

    fn send(&mut self, now: Duration, from: usize, to: usize, message: Message) {
        if from == to {
            return self.after(now, Event::Deliver(from, to, message));
        }
        self.count(from, to, &message);
        let jitter = self.rng.random_range(0.5..1.5);
        let mut delay = MILLISECOND.mul_f64(jitter);
        if self.rng.random_bool(self.setup.loss) {
            delay += setup::RESEND;
        }
        let cut = self.setup.is_cut(now, from, to);
        if !cut && !self.setup.is_dead(now, to) {
            return self.after(now + delay, Event::Deliver(from, to, message));
        }
        if let Message::Ask(id) = message {
            self.after(self.setup.failure(now), Event::GiveUp(id));
        } else if let Some((_, heal)) = self.setup.split
            && message.is_kept()
        {
            self.after(heal + delay, Event::Deliver(from, to, message));
        }
    }

    fn count(&mut self, from: usize, to: usize, message: &Message) {
        self.tally.messages += 1;
        self.tally.bytes += message.bytes();
        if from == setup::FIRST_HOME || to == setup::FIRST_HOME {
            self.tally.home_messages += 1;
            self.tally.home_bytes += message.bytes();
        }
    }

    fn deliver(&mut self, now: Duration, from: usize, to: usize, message: Message) {
        if self.setup.is_dead(now, to) {
            return;
        }
        match message {
            Message::Ask(id) => self.take_ask(now, to, id),
            Message::Grant(id, endpoint) => self.granted(now, from, to, id, endpoint),
            Message::Refuse(id) => self.refused(now, id),
            Message::First(id) => self.policies[to].record_first_output(now, id),
            Message::Done(id, finish) => self.release(now, to, id, finish),
            Message::Cancel(id) => self.withdraw(now, to, id),
            Message::Demand(host, wanted, held) => {
                self.demands[host] = lease::Demand { wanted, held };
                self.fresh[host] = true;
            }
            Message::Lease(places) => self.set_places(now, to, &places),
        }
    }

    /// Passes an input to the policy of a host and carries out its decisions.
    fn with(
        &mut self,
        host: usize,
        now: Duration,
        input: impl FnOnce(&mut Current, &mut Vec<Action>),
    ) {
        let mut out = Vec::new();
        input(&mut self.policies[host], &mut out);
        for action in out {
            match action {
                Action::Grant { request, endpoint } => self.grant(now, host, request, endpoint),
                Action::Refuse { request, .. } => {
                    let entry = self.requests[request_of(request)].host;
                    self.send(now, host, entry, Message::Refuse(request));
                }
            }
        }
    }

    fn take_ask(&mut self, now: Duration, home: usize, id: RequestId) {
        if self.setup.careful && self.reported[home].iter().all(Duration::is_zero) {
            self.read_loads(now, home, &[]);
        }
        let request = &self.requests[request_of(id)];
        let submitted = pool::Request {
            id,
            class: request.class,
            team: 1,
            caller: request.host as u64,
            prompt_tokens: 80,
            max_tokens: None,
            prefix_hash: 0,
            fingerprint: 0,
            deadline: request.at + WITHIN,
            attempt: 0,
            avoid: None,
        };
        self.with(home, now, |policy, out| policy.submit(now, submitted, out));
    }

    fn grant(&mut self, now: Duration, home: usize, id: RequestId, endpoint: EndpointId) {
        let place = Place {
            home,
            endpoint: endpoint.0 as usize,
            granted: now,
            released: None,
            started: None,
            ended: None,
        };
        self.places.insert(id, place);
        self.recent[place.endpoint].push(id);
        self.basis[home][place.endpoint] = self.reported[home][place.endpoint];
        self.tally.last_grant[home] = Some(now);
        if self.setup.death.is_some_and(|at| now > at) {
            self.tally.next_grant.get_or_insert(now);
        }
        let entry = self.requests[request_of(id)].host;
        self.send(now, home, entry, Message::Grant(id, endpoint));
    }

    fn granted(
        &mut self,
        now: Duration,
        home: usize,
        host: usize,
        id: RequestId,
        endpoint: EndpointId,
    ) {
        let index = request_of(id);
        let request = &mut self.requests[index];
        if !request.is_waiting(now) || request.asks != ask_of(id) {
            let finish = Finish {
                outcome: pool::Outcome::Unused,
                tokens: 0,
            };
            return self.send(now, host, home, Message::Done(id, finish));
        }
        request.endpoint = Some(endpoint.0 as usize);
        let (class, output) = (request.class, request.output);
        self.served[host][usize::from(class)] = Some(now);
        self.mark(now, host, class);
        let noise = self.rng.random_range(0.9..1.1);
        let engine = &mut self.engines[endpoint.0 as usize];
        engine.in_flight += 1;
        let times = engine.start(now, id, output, noise);
        self.places.get_mut(&id).expect("granted").started = Some(now);
        if let Some((first, end)) = times {
            self.after(first, Event::First(id));
            self.after(end, Event::Done(id));
        }
        self.check(now, home, endpoint.0 as usize);
    }

    fn is_split(&self, now: Duration) -> bool {
        let during = |(start, end)| now >= start && now < end;
        self.setup.split.is_some_and(during)
    }

    fn refused(&mut self, now: Duration, id: RequestId) {
        let index = request_of(id);
        let request = &mut self.requests[index];
        if !request.is_waiting(now) || request.asks != ask_of(id) {
            return;
        }
        request.refused = true;
        let lower = usize::from(request.class) + 1;
        let near = |at: &Option<Duration>| at.is_some_and(|at| now - at <= NEAR);
        let others = (self.served.iter().enumerate()).filter(|(host, _)| *host != request.host);
        request.inverted |= others
            .into_iter()
            .any(|(_, served)| served[lower..].iter().any(near));
        self.end(index);
    }

    fn end(&mut self, index: usize) {
        self.requests[index].outcomes += 1;
    }

    fn give_up(&mut self, now: Duration, id: RequestId) {
        let index = request_of(id);
        let request = &self.requests[index];
        if !request.is_waiting(now) || request.asks != ask_of(id) {
            return;
        }
        let (host, home) = (request.host, request.home);
        self.send(now, host, home, Message::Cancel(id));
        self.ask(now, index);
    }
}

/// Returns the requests of all hosts in the order of their arrival.
fn trace(setup: &Setup, rng: &mut rand_pcg::Pcg64Mcg) -> Vec<Request> {
    let mut requests = Vec::new();
    for (class, rate) in setup.rates.into_iter().enumerate() {
        for at in sim::arrivals(rng, rate, setup.length) {
            let busy = setup.skewed && class == 0 && rng.random_bool(0.75);
            let hosts = setup::HOSTS / if busy { 4 } else { 1 };
            let host = rng.random_range(0..hosts);
            let output = rng.random_range(10..90);
            requests.push(Request::new(at, class as u16, host, output));
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

#[path = "service.rs"]
mod service;
#[path = "upkeep.rs"]
mod upkeep;
