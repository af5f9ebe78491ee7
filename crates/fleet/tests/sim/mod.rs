//! A simulated fleet whose datagrams are delayed or lost.

use core::time::Duration;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fleet::{Digest, Membership, Options, Phase, State};
use rand::{RngExt, SeedableRng};

use crate::sample;

/// One step of simulated time.
const STEP: Duration = Duration::from_millis(100);

/// Time between two ticks of a host.
const PERIOD: Duration = Duration::from_secs(1);

/// Bounds of the delay of a datagram in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 1..150;

/// A simulated host.
pub struct Host {
    pub membership: Membership,
    pub is_up: bool,
    pub is_paused: bool,
    next_tick: Duration,
    /// Digests that arrived during a pause.
    inbox: Vec<Digest>,
}

/// The fleet, the network and the time.
pub struct Fleet {
    pub now: Duration,
    pub hosts: Vec<Host>,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Datagrams that arrived at the address of each host.
    pub arrived: Vec<usize>,
    /// Hosts on the other side of a partition.
    pub split: BTreeSet<usize>,
    queue: BTreeMap<(Duration, u64), (usize, SocketAddr, Digest)>,
    sent: u64,
    addresses: BTreeMap<SocketAddr, usize>,
    rng: rand_pcg::Pcg64Mcg,
}

/// Returns options with the first three hosts as seeds.
pub fn options() -> Options {
    Options {
        seeds: (0..3)
            .map(|number| sample::entry(number, 1, 1).peer)
            .collect(),
        ..Options::default()
    }
}

impl Fleet {
    /// Starts a fleet whose hosts know only the seeds.
    pub fn new(count: usize, centres: usize, regions: usize, seed: u64) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let hosts: Vec<Host> = (0..count)
            .map(|number| Host {
                membership: Membership::new(
                    sample::entry(number, centres, regions),
                    options(),
                    rng.random(),
                ),
                is_up: true,
                is_paused: false,
                next_tick: Duration::from_millis(rng.random_range(0..1_000)),
                inbox: Vec::new(),
            })
            .collect();
        Self {
            now: Duration::ZERO,
            addresses: (0..count)
                .map(|number| (sample::entry(number, centres, regions).peer, number))
                .collect(),
            hosts,
            loss: 0.0,
            arrived: vec![0; count],
            split: BTreeSet::new(),
            queue: BTreeMap::new(),
            sent: 0,
            rng,
        }
    }

    /// Starts a new lifetime of a host.
    pub fn restart(&mut self, number: usize) {
        let own = self.hosts[number].membership.own();
        self.restart_as(number, own.incarnation + 1 + self.now.as_millis() as u64);
    }

    /// Restarts a host with this incarnation.
    pub fn restart_as(&mut self, number: usize, incarnation: u64) {
        let mut own = self.hosts[number].membership.own().clone();
        own.incarnation = incarnation;
        own.counter = 0;
        own.phase = Phase::Up;
        let host = &mut self.hosts[number];
        host.membership = Membership::new(own, options(), self.rng.random());
        host.is_up = true;
        host.is_paused = false;
        host.next_tick = self.now;
        host.inbox.clear();
    }

    /// Runs for a duration.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds, at most for `limit`, and returns how long
    /// that took.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !condition(self) && self.now - start < limit {
            self.step();
        }
        self.now - start
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            if !host.is_up || host.is_paused || host.next_tick > self.now {
                continue;
            }
            host.next_tick = self.now + PERIOD;
            for digest in std::mem::take(&mut host.inbox) {
                host.membership.receive(self.now, &digest);
            }
            for (target, digest) in host.membership.tick(self.now) {
                self.send(number, target, digest);
            }
        }
    }

    /// Returns the state of one host as seen by another.
    pub fn state(&self, observer: usize, subject: usize) -> State {
        let name = &self.hosts[subject].membership.own().name;
        self.hosts[observer].membership.state(name)
    }

    /// Returns whether every other running host sees the subject in this state.
    pub fn all_see(&self, subject: usize, state: State) -> bool {
        self.running()
            .filter(|&observer| observer != subject)
            .all(|observer| self.state(observer, subject) == state)
    }

    /// Returns whether every running host sees every running host as live.
    pub fn is_complete(&self) -> bool {
        self.running()
            .all(|subject| self.all_see(subject, State::Live))
    }

    /// Counts the pairs of running hosts of which the first has declared the second
    /// dead.
    pub fn false_deaths(&self) -> usize {
        self.running()
            .map(|observer| {
                self.running()
                    .filter(|&subject| self.sees_dead(observer, subject))
                    .count()
            })
            .sum()
    }

    /// Returns whether the observer has declared this lifetime of the subject dead.
    pub fn sees_dead(&self, observer: usize, subject: usize) -> bool {
        let own = self.hosts[subject].membership.own();
        self.hosts[observer]
            .membership
            .has_ended(&own.name, own.incarnation)
    }

    /// Returns the numbers of the hosts that run and are not paused.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.hosts.len())
            .filter(|&number| self.hosts[number].is_up && !self.hosts[number].is_paused)
    }

    fn send(&mut self, from: usize, target: SocketAddr, digest: Digest) {
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        self.sent += 1;
        let delay = Duration::from_millis(self.rng.random_range(DELAY_MS));
        self.queue
            .insert((self.now + delay, self.sent), (from, target, digest));
    }

    fn deliver(&mut self) {
        let later = self.queue.split_off(&(self.now, u64::MAX));
        for (_, (from, target, digest)) in std::mem::replace(&mut self.queue, later) {
            let Some(&to) = self.addresses.get(&target) else {
                continue;
            };
            self.arrived[to] += 1;
            if self.split.contains(&from) != self.split.contains(&to) || !self.hosts[to].is_up {
                continue;
            }
            if self.hosts[to].is_paused {
                self.hosts[to].inbox.push(digest);
            } else {
                self.hosts[to].membership.receive(self.now, &digest);
            }
        }
    }
}
