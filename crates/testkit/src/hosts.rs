//! Many hosts that send to the same endpoints, without a network or a clock.
//!
//! The hosts are real balancers that hear of each other as hosts do: loads of hosts of
//! the own data centre in full, of the others as sums, each after a period that grows
//! with the number of near hosts, and some of it lost. The endpoints are scripted.

use core::time;
use std::collections;

use rand::{RngExt, SeedableRng};

use crate::exchange;

/// Name of the service of all endpoints.
const SERVICE: &str = "s";

/// Time after the first answer that says so from which falls count, in milliseconds.
const NOTICE_MS: u64 = 3_000;

/// Time after which an endpoint that fell over is back, in milliseconds.
const FALLEN_MS: u64 = 3_000;

/// Time from a refusal or a failed connection to its end at the host, in milliseconds.
const REFUSED_MS: u64 = 2;

/// Hosts that are asked one after the other to send to a brittle endpoint.
const GATEWAYS: usize = 3;

/// Endpoints that are tried for one request.
const TRIES: usize = 4;

/// Delay of a message between two hosts in milliseconds.
const NEWS_MS: u64 = 50;

/// Delays of the publications of a change in milliseconds.
const CHANGE_DELAYS_MS: [u64; 3] = [NEWS_MS, NEWS_MS + 400, NEWS_MS + 2_000];

/// How the requests arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// At random, at the same rate all the time.
    Even,
    /// The rate swings by half of it within 5 s.
    Wave,
    /// Three times the rate for 2 s of every 6 s.
    Burst,
}

impl Shape {
    fn factor(self, now: u64) -> f64 {
        match self {
            Self::Even => 1.0,
            Self::Wave => 1.0 + 0.5 * (now as f64 / 5_000.0 * core::f64::consts::TAU).sin(),
            Self::Burst if now % 6_000 >= 4_000 => 3.0,
            Self::Burst => 1.0,
        }
    }
}

/// A play.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of data centres, over which hosts and endpoints are spread evenly.
    pub data_centres: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Requests that an endpoint runs at once. It lets none wait.
    pub slots: u32,
    /// Time of a request at an endpoint, in milliseconds.
    pub work_ms: u64,
    /// Refusals in a second that an endpoint bears.
    pub refusals: u32,
    /// Whether the endpoints say so.
    pub is_stated: bool,
    /// Whether the endpoints report their load.
    pub is_reported: bool,
    /// Requests per second at all hosts, as a share of what the endpoints run.
    pub load: f64,
    /// How they arrive.
    pub shape: Shape,
    /// Share of the messages between hosts that are lost.
    pub loss: f64,
    /// Hosts that start again, without state, 2 s after falls begin to count.
    pub restarted: usize,
    /// Hosts that no other host reaches, although they reach the endpoints.
    pub isolated: usize,
    /// Hosts of a build that knows of no gateways. Each leaves an endpoint that has
    /// refused it alone for a second or two.
    pub earlier: usize,
    /// Length of the play in milliseconds.
    pub played_ms: u64,
    /// Seed of all that happens at random.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hosts: 9,
            data_centres: 4,
            endpoints: 6,
            slots: 6,
            work_ms: 60,
            refusals: 10,
            is_stated: true,
            is_reported: true,
            load: 1.0,
            shape: Shape::Even,
            loss: 0.01,
            restarted: 0,
            isolated: 0,
            earlier: 0,
            played_ms: 12_000,
            seed: 1,
        }
    }
}

/// What happened in a play from the time on at which falls count.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// How often an endpoint fell over.
    pub falls: usize,
    /// Requests that an endpoint refused.
    pub refused: usize,
    /// Requests that a gateway did not send, because the endpoint had no place.
    pub declined: usize,
    /// Requests that an endpoint ran.
    pub served: usize,
    /// Requests that the endpoints could have run of those that arrived.
    pub possible: f64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Taken {
    Run,
    Refused,
    Unreachable,
}

/// An endpoint that falls over after too many refusals within a second.
#[derive(Default)]
struct Endpoint {
    ends: Vec<u64>,
    refusals: Vec<u64>,
    back_at: u64,
    falls: usize,
    refused: usize,
    served: usize,
}

impl Endpoint {
    fn take(&mut self, now: u64, options: &Options) -> Taken {
        self.ends.retain(|end| *end > now);
        if now < self.back_at {
            return Taken::Unreachable;
        }
        let counts = usize::from(now >= NOTICE_MS);
        if self.ends.len() < options.slots as usize {
            self.ends.push(now + options.work_ms);
            self.served += counts;
            return Taken::Run;
        }
        self.refused += counts;
        self.refusals.retain(|at| *at + 1_000 > now);
        self.refusals.push(now);
        if self.refusals.len() > options.refusals as usize {
            self.refusals.clear();
            self.ends.clear();
            self.back_at = now + FALLEN_MS;
            self.falls += counts;
        }
        Taken::Refused
    }
}

struct Host {
    balancer: steer::Balancer,
    data_centre: usize,
    is_isolated: bool,
    /// Until when a host of an earlier build leaves each endpoint alone.
    paused: Option<Vec<u64>>,
}

/// How a request gets from a host to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Direct(steer::Role),
    Through(usize),
}

/// The end of a request at the host that sent it.
struct End {
    host: usize,
    /// The other host that sent it, with its key of the endpoint.
    through: Option<(usize, steer::Key)>,
    reason: steer::End,
    run: steer::Run,
}

/// What hosts have heard of brittle services, on its way to all other hosts.
struct News {
    from: usize,
    list: Vec<steer::Brittle>,
}

struct Play<'a> {
    options: &'a Options,
    exchange: exchange::Exchange,
    rng: rand_pcg::Pcg64Mcg,
    hosts: Vec<Host>,
    endpoints: Vec<Endpoint>,
    ends: collections::BTreeMap<u64, Vec<End>>,
    news: collections::BTreeMap<u64, Vec<News>>,
    /// The hosts that are asked to send to each endpoint.
    orders: Vec<Vec<usize>>,
    declined: usize,
}

/// Plays the hosts before the endpoints.
pub fn play(options: &Options) -> Outcome {
    let mut play = Play {
        options,
        exchange: exchange::Exchange {
            hosts: options.hosts,
            data_centres: options.data_centres,
            loss: options.loss,
        },
        rng: rand_pcg::Pcg64Mcg::seed_from_u64(options.seed),
        hosts: (0..options.hosts)
            .map(|index| host(options, index))
            .collect(),
        endpoints: (0..options.endpoints)
            .map(|_| Endpoint::default())
            .collect(),
        ends: collections::BTreeMap::new(),
        news: collections::BTreeMap::new(),
        orders: (0..options.endpoints)
            .map(|endpoint| order(options, endpoint))
            .collect(),
        declined: 0,
    };
    let taken_per_ms = options.endpoints as f64 * f64::from(options.slots) / options.work_ms as f64;
    let mut possible = 0.0;
    for now in 0..options.played_ms {
        if now == NOTICE_MS + 2_000 {
            for index in 0..options.restarted {
                play.hosts[index] = host(options, index);
            }
        }
        play.finish(now);
        play.tell(now);
        play.publish(now);
        let rate = taken_per_ms * options.load * options.shape.factor(now);
        if now >= NOTICE_MS {
            possible += rate.min(taken_per_ms);
        }
        // CAST: The rate is small and not negative.
        let count = rate as usize + usize::from(play.rng.random_bool(rate.fract()));
        for _ in 0..count {
            play.request(now);
        }
    }
    let mut outcome = Outcome {
        possible,
        declined: play.declined,
        ..Outcome::default()
    };
    for endpoint in &play.endpoints {
        outcome.falls += endpoint.falls;
        outcome.refused += endpoint.refused;
        outcome.served += endpoint.served;
    }
    outcome
}

impl Play<'_> {
    /// Ends the requests that are due.
    fn finish(&mut self, now: u64) {
        for end in self.ends.remove(&now).unwrap_or_default() {
            if let Some((gateway, key)) = end.through {
                self.hosts[gateway].balancer.finish_forward(key);
            }
            let balancer = &mut self.hosts[end.host].balancer;
            let mut run = end.run;
            if end.reason == steer::End::Served {
                balancer.record_first_event(ms(now), &mut run);
            }
            balancer.finish(ms(now), run, end.reason);
        }
    }

    /// Delivers what hosts have heard of brittle services.
    fn tell(&mut self, now: u64) {
        for news in self.news.remove(&now).unwrap_or_default() {
            if self.hosts[news.from].is_isolated {
                continue;
            }
            let mut hosts = self.hosts.iter_mut();
            while let Some(host) = hosts.find(|host| !host.is_isolated && host.paused.is_none()) {
                if !self.rng.random_bool(self.options.loss) {
                    host.balancer.apply_brittle(ms(now), &news.list);
                }
            }
        }
    }

    /// Lets the hosts publish whose period ends.
    fn publish(&mut self, now: u64) {
        for from in 0..self.hosts.len() {
            if self.exchange.is_due(now, from) {
                self.publish_from(now, from);
            }
        }
    }

    fn publish_from(&mut self, now: u64, from: usize) {
        if self.hosts[from].is_isolated {
            return;
        }
        let data_centre = self.hosts[from].data_centre;
        let brittle = self.hosts[from].balancer.brittle_news(ms(now));
        let loads = self.hosts[from].balancer.loads(ms(now));
        let sum = self.hosts[from].balancer.sum(ms(now));
        let is_reached = |to: usize| !self.hosts[to].is_isolated;
        let recipients = self.exchange.recipients(from, is_reached, &mut self.rng);
        for (to, form) in recipients {
            let host = &mut self.hosts[to];
            match form {
                exchange::Form::Full => host.balancer.apply_loads(ms(now), from as u64, &loads),
                exchange::Form::Sum => host.balancer.apply_sum(ms(now), data_centre as u64, &sum),
            }
            if host.paused.is_none() {
                host.balancer.apply_brittle(ms(now), &brittle);
            }
        }
    }

    /// Lets a random host accept a request.
    fn request(&mut self, now: u64) {
        let accepted_by = self.rng.random_range(0..self.hosts.len());
        let objective = steer::Objective {
            urgency: 0.5,
            remaining: ms(800),
            target_first: ms(300),
        };
        let work = steer::Work::default();
        let accepting = &self.hosts[accepted_by];
        let paused = accepting.paused.iter().flatten().enumerate();
        let paused = paused.filter(|(_, until)| **until > now);
        let mut tried: Vec<steer::Key> = paused
            .filter_map(|(index, _)| accepting.balancer.locate(&format!("e{index}"), 1))
            .map(|pick| pick.key)
            .collect();
        for _ in 0..TRIES {
            let balancer = &mut self.hosts[accepted_by].balancer;
            let scope = tried.as_slice();
            let picked = balancer.pick(ms(now), SERVICE, &work, objective, scope, &mut self.rng);
            let steer::Decision::Selected(pick) = picked else {
                return;
            };
            let run = balancer.start(ms(now), &pick, &work);
            tried.push(pick.key);
            if self.send(now, accepted_by, &pick, run) {
                return;
            }
        }
    }

    /// Sends a request to an endpoint; returns whether it may have got there.
    fn send(&mut self, now: u64, host: usize, pick: &steer::Pick, run: steer::Run) -> bool {
        // PANIC: The ids are made of these numbers.
        let index: usize = pick.id[1..].parse().expect("the number of an endpoint");
        let way = self.way(now, host, index);
        let (sender, role) = match way {
            Way::Direct(role) => (host, role),
            Way::Through(gateway) => (gateway, steer::Role::Gateway),
        };
        let balancer = &mut self.hosts[sender].balancer;
        let located = balancer.locate(&pick.id, pick.started_ms);
        // PANIC: All hosts list the same endpoints.
        let key = located.expect("an endpoint that all hosts list").key;
        let through = matches!(way, Way::Through(_)).then_some((sender, key));
        if through.is_some() {
            balancer.start_forward(ms(now), key);
        }
        if !balancer.has_place(ms(now), key, role) {
            if through.is_some() {
                balancer.finish_forward(key);
            }
            self.declined += usize::from(now >= NOTICE_MS);
            let accepting = &mut self.hosts[host].balancer;
            accepting.finish(ms(now), run, steer::End::Declined);
            return false;
        }
        let taken = self.endpoints[index].take(now, self.options);
        let (took, reason) = match taken {
            Taken::Run => (self.options.work_ms, steer::End::Served),
            Taken::Refused => (REFUSED_MS, steer::End::Full),
            Taken::Unreachable => (REFUSED_MS, steer::End::Unreachable),
        };
        if taken != Taken::Unreachable {
            self.answer(now, sender, key, index);
            if through.is_some() {
                self.answer(now, host, pick.key, index);
            }
        }
        if taken == Taken::Refused
            && let Some(paused) = &mut self.hosts[sender].paused
        {
            paused[index] = now + 1_000 + self.rng.random_range(0..1_000);
        } else if taken == Taken::Refused {
            let sender = &mut self.hosts[sender].balancer;
            sender.record_refusal(ms(now), key);
        }
        let end = End {
            host,
            through,
            reason,
            run,
        };
        self.ends.entry(now + took).or_default().push(end);
        true
    }

    /// Returns how a host sends to an endpoint.
    fn way(&self, now: u64, host: usize, endpoint: usize) -> Way {
        let own = &self.hosts[host];
        if !own.balancer.is_brittle(ms(now), SERVICE) {
            return Way::Direct(steer::Role::Alone);
        }
        for &gateway in &self.orders[endpoint] {
            if gateway == host {
                return Way::Direct(steer::Role::Gateway);
            }
            let other = &self.hosts[gateway];
            if !own.is_isolated && !other.is_isolated && other.paused.is_none() {
                return Way::Through(gateway);
            }
        }
        Way::Direct(steer::Role::Alone)
    }

    /// Lets a host read what an answer says of its endpoint.
    fn answer(&mut self, now: u64, host: usize, key: steer::Key, index: usize) {
        let balancer = &mut self.hosts[host].balancer;
        let report = steer::Report {
            // CAST: An endpoint runs few requests.
            running: self.endpoints[index].ends.len() as u32,
            waiting: 0,
            slowness_percent: 100,
        };
        if self.options.is_reported {
            balancer.record_report(ms(now), key, report);
        }
        if !self.options.is_stated || self.hosts[host].paused.is_some() {
            return;
        }
        let balancer = &mut self.hosts[host].balancer;
        let refusals = Some(self.options.refusals);
        let changed = balancer.record_brittle(ms(now), key, ms(now), refusals);
        if changed.is_some() {
            for delay in CHANGE_DELAYS_MS {
                let list = balancer.brittle_news(ms(now));
                let news = News { from: host, list };
                self.news.entry(now + delay).or_default().push(news);
            }
        }
    }
}

/// Returns the hosts that are asked to send to an endpoint: those of its data centre
/// first, in an order that all hosts derive from the names.
fn order(options: &Options, endpoint: usize) -> Vec<usize> {
    let data_centre = endpoint % options.data_centres;
    let place = |index: &usize| {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64((index * 1_000 + endpoint) as u64);
        (
            index % options.data_centres != data_centre,
            rng.random::<u64>(),
        )
    };
    let mut order: Vec<usize> = (0..options.hosts).collect();
    order.sort_unstable_by_key(place);
    order.truncate(GATEWAYS);
    order
}

fn host(options: &Options, index: usize) -> Host {
    let data_centre = index % options.data_centres;
    let mut balancer = steer::Balancer::new(steer::Options {
        data_centre: format!("dc{data_centre}"),
        ..steer::Options::default()
    });
    let list: Vec<plan::Endpoint> = (0..options.endpoints)
        .map(|index| plan::Endpoint {
            id: format!("e{index}"),
            service: SERVICE.into(),
            // CAST: There are fewer endpoints than ports.
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            data_centre: format!("dc{}", index % options.data_centres),
            slots: options.slots,
            phase: plan::Phase::Up,
            started_ms: 1,
            build: None,
        })
        .collect();
    balancer.replace(&list);
    let is_isolated = index >= options.hosts - options.isolated;
    balancer.set_hosts(options.hosts);
    // Hosts of all data centres are of the earlier build.
    let is_earlier = index < options.earlier;
    Host {
        balancer,
        data_centre,
        is_isolated,
        paused: is_earlier.then(|| vec![0; options.endpoints]),
    }
}

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}
