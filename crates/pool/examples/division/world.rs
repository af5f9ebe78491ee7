use core::time::Duration;
use std::collections;

use pool::{Action, Current, EndpointId, Finish, Load, Policy, RequestId};
use rand::{RngExt, SeedableRng};

use super::grant::Grant;
use super::lease;
use super::message::Message;
use super::request::{Request, TIMEOUT};
use super::setup::{self, Division, Setup};
use super::tally::Tally;
use crate::sim::{self, Engine, MILLISECOND};

/// Period of [`Policy::tick`].
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Time before a refusal within which service of a lower tier elsewhere counts as
/// an inversion.
const INVERSION_WINDOW: Duration = Duration::from_millis(100);

enum Event {
    Arrive(usize),
    Deliver(usize, usize, Message),
    /// The link to the home of a submission times out.
    LinkTimeout(RequestId),
    First(RequestId),
    Done(RequestId),
    Report(usize, usize, Load),
    Rebalance,
    Divide,
    Tick,
    LinksDown,
    /// Hosts that are unreachable are marked dead by the others.
    FailureDetected,
    PowerLoss,
}

/// Simulation of several hosts.
pub struct World {
    pub setup: Setup,
    pub requests: Vec<Request>,
    pub tally: Tally,
    policies: Vec<Current>,
    engines: Vec<Engine>,
    grants: collections::HashMap<RequestId, Grant>,
    /// Grants at each endpoint that may still affect a report.
    recent: Vec<Vec<RequestId>>,
    /// Time of measurement of the last report that each home received, per endpoint.
    report_times: Vec<Vec<Duration>>,
    /// The same for the report that the home used for its last grant there.
    grant_reports: Vec<Vec<Duration>>,
    demands: Vec<lease::Demand>,
    /// Whether the demand of each host arrived in this round.
    has_new_demand: Vec<bool>,
    leases: Vec<Vec<u32>>,
    arrived: Vec<[u32; 3]>,
    served: Vec<[Option<Duration>; 3]>,
    events: collections::BTreeMap<(Duration, u64), Event>,
    serial: u64,
    rng: rand_pcg::Pcg64Mcg,
}

/// Returns the index of the caller's request that a submission is for.
const fn request_of(id: RequestId) -> usize {
    (id.0 >> 8) as usize
}

/// Returns the number of the submission, counted from 1.
const fn submission_of(id: RequestId) -> u64 {
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
            grants: collections::HashMap::new(),
            recent: vec![Vec::new(); setup.engines],
            report_times: vec![vec![Duration::ZERO; setup.engines]; setup::HOSTS],
            leases: lease::divide(&vec![demand.clone(); setup::HOSTS]),
            demands: vec![demand; setup::HOSTS],
            grant_reports: vec![vec![Duration::ZERO; setup.engines]; setup::HOSTS],
            has_new_demand: vec![false; setup::HOSTS],
            arrived: vec![[0; 3]; setup::HOSTS],
            served: vec![[None; 3]; setup::HOSTS],
            events: collections::BTreeMap::new(),
            serial: 0,
            rng,
            setup,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// Runs the simulation until every request has an outcome and all messages have
    /// arrived.
    pub fn run(mut self) -> Self {
        for index in 0..self.requests.len() {
            self.schedule(self.requests[index].at, Event::Arrive(index));
        }
        if let Some((start, _)) = self.setup.partition {
            self.schedule(start + setup::LINK_TIMEOUT, Event::LinksDown);
            self.schedule(start + setup::FAILURE_DETECTION, Event::FailureDetected);
        }
        if let Some(at) = self.setup.power_loss {
            self.schedule(at, Event::PowerLoss);
            self.schedule(at + setup::FAILURE_DETECTION, Event::FailureDetected);
        }
        for host in 0..setup::HOSTS {
            let slots = match self.setup.division {
                Division::Lease => self.leases[host].clone(),
                _ => vec![setup::BATCH; self.setup.engines],
            };
            self.set_slots(Duration::ZERO, host, &slots);
        }
        self.schedule(TICK_PERIOD, Event::Tick);
        if self.setup.division == Division::Lease {
            self.schedule(setup::REBALANCE_PERIOD, Event::Rebalance);
        }
        let end = self.setup.length + 2 * TIMEOUT;
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
            Event::LinkTimeout(id) => self.retry_at_next_home(now, id),
            Event::First(id) => self.first(now, id),
            Event::Done(id) => self.done(now, id),
            Event::Report(host, endpoint, load) => self.report(now, host, endpoint, load),
            Event::Rebalance => self.rebalance(now),
            Event::Divide => self.divide(now),
            Event::Tick => self.tick(now),
            Event::LinksDown => self.release_unreachable(now, true),
            Event::FailureDetected => self.release_unreachable(now, false),
            Event::PowerLoss => self.lose_power(now),
        }
    }

    fn arrive(&mut self, now: Duration, index: usize) {
        if self.setup.has_lost_power(now, self.requests[index].host) {
            // The caller uses the next host of its list.
            self.requests[index].host += 1;
        }
        let request = &self.requests[index];
        self.arrived[request.host][usize::from(request.class)] += 1;
        self.submit(now, index);
    }

    /// Submits a request to the next home.
    fn submit(&mut self, now: Duration, index: usize) {
        let request = &mut self.requests[index];
        // The list of homes is that of the arrival of the request.
        request.home = (self.setup).home(request.at, request.host, request.submissions as usize);
        request.submissions += 1;
        let id = RequestId((index as u64) << 8 | request.submissions);
        let (host, home) = (request.host, request.home);
        self.send(now, host, home, Message::Submit(id));
    }

    fn send(&mut self, now: Duration, from: usize, to: usize, message: Message) {
        if from == to {
            return self.schedule(now, Event::Deliver(from, to, message));
        }
        self.count(from, to, &message);
        let jitter = self.rng.random_range(0.5..1.5);
        let mut delay = MILLISECOND.mul_f64(jitter);
        if self.rng.random_bool(self.setup.loss) {
            delay += setup::RETRANSMISSION;
        }
        let cut = self.setup.is_separated(now, from, to);
        if !cut && !self.setup.has_lost_power(now, to) {
            return self.schedule(now + delay, Event::Deliver(from, to, message));
        }
        if let Message::Submit(id) = message {
            self.schedule(self.setup.failure(now), Event::LinkTimeout(id));
        } else if let Some((_, heal)) = self.setup.partition
            && message.is_kept()
        {
            self.schedule(heal + delay, Event::Deliver(from, to, message));
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
        if self.setup.has_lost_power(now, to) {
            return;
        }
        match message {
            Message::Submit(id) => self.receive_request(now, to, id),
            Message::Grant(id, endpoint) => self.receive_grant(now, from, to, id, endpoint),
            Message::Refuse(id) => self.receive_refusal(now, id),
            Message::First(id) => self.policies[to].record_first_output(now, id),
            Message::Done(id, finish) => self.release(now, to, id, finish),
            Message::Cancel(id) => self.withdraw(now, to, id),
            Message::Demand(host, wanted, held) => {
                self.demands[host] = lease::Demand { wanted, held };
                self.has_new_demand[host] = true;
            }
            Message::Lease(slots) => self.set_slots(now, to, &slots),
        }
    }

    /// Passes an input to the policy of a host and applies its decisions.
    fn apply(
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

    fn receive_request(&mut self, now: Duration, home: usize, id: RequestId) {
        if self.setup.is_careful && self.report_times[home].iter().all(Duration::is_zero) {
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
            deadline: request.at + TIMEOUT,
            attempt: 0,
            avoid: None,
        };
        self.apply(home, now, |policy, out| policy.submit(now, submitted, out));
    }

    fn grant(&mut self, now: Duration, home: usize, id: RequestId, endpoint: EndpointId) {
        let grant = Grant {
            home,
            endpoint: endpoint.0 as usize,
            granted: now,
            released: None,
            started: None,
            ended: None,
        };
        self.grants.insert(id, grant);
        self.recent[grant.endpoint].push(id);
        self.grant_reports[home][grant.endpoint] = self.report_times[home][grant.endpoint];
        self.tally.last_grant[home] = Some(now);
        if self.setup.power_loss.is_some_and(|at| now > at) {
            self.tally.next_grant.get_or_insert(now);
        }
        let entry = self.requests[request_of(id)].host;
        self.send(now, home, entry, Message::Grant(id, endpoint));
    }

    fn receive_grant(
        &mut self,
        now: Duration,
        home: usize,
        host: usize,
        id: RequestId,
        endpoint: EndpointId,
    ) {
        let index = request_of(id);
        let request = &mut self.requests[index];
        if !request.is_waiting(now) || request.submissions != submission_of(id) {
            let finish = Finish {
                outcome: pool::Outcome::Unused,
                tokens: 0,
            };
            return self.send(now, host, home, Message::Done(id, finish));
        }
        request.endpoint = Some(endpoint.0 as usize);
        let (class, output) = (request.class, request.output);
        self.served[host][usize::from(class)] = Some(now);
        self.mark_inversions(now, host, class);
        let noise = self.rng.random_range(0.9..1.1);
        let engine = &mut self.engines[endpoint.0 as usize];
        engine.in_flight += 1;
        let times = engine.start(now, id, output, noise);
        self.grants.get_mut(&id).expect("granted").started = Some(now);
        if let Some((first, end)) = times {
            self.schedule(first, Event::First(id));
            self.schedule(end, Event::Done(id));
        }
        self.check_batch(now, home, endpoint.0 as usize);
    }

    fn is_partitioned(&self, now: Duration) -> bool {
        let during = |(start, end)| now >= start && now < end;
        self.setup.partition.is_some_and(during)
    }

    fn receive_refusal(&mut self, now: Duration, id: RequestId) {
        let index = request_of(id);
        let request = &mut self.requests[index];
        if !request.is_waiting(now) || request.submissions != submission_of(id) {
            return;
        }
        request.is_refused = true;
        let lower = usize::from(request.class) + 1;
        let near = |at: &Option<Duration>| at.is_some_and(|at| now - at <= INVERSION_WINDOW);
        let others = (self.served.iter().enumerate()).filter(|(host, _)| *host != request.host);
        request.is_inverted |= others
            .into_iter()
            .any(|(_, served)| served[lower..].iter().any(near));
        self.add_outcome(index);
    }

    fn add_outcome(&mut self, index: usize) {
        self.requests[index].outcomes += 1;
    }

    fn retry_at_next_home(&mut self, now: Duration, id: RequestId) {
        let index = request_of(id);
        let request = &self.requests[index];
        if !request.is_waiting(now) || request.submissions != submission_of(id) {
            return;
        }
        let (host, home) = (request.host, request.home);
        self.send(now, host, home, Message::Cancel(id));
        self.submit(now, index);
    }
}

/// Returns the requests of all hosts in the order of their arrival.
fn trace(setup: &Setup, rng: &mut rand_pcg::Pcg64Mcg) -> Vec<Request> {
    let mut requests = Vec::new();
    for (class, rate) in setup.rates.into_iter().enumerate() {
        for at in sim::arrivals(rng, rate, setup.length) {
            let busy = setup.is_skewed && class == 0 && rng.random_bool(0.75);
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
