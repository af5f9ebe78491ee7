use core::time::Duration;

use pool::{Endpoint, EndpointId, Finish, Load, Phase, Policy, RequestId};

use super::{Event, Message, World, lease, request_of, setup};

/// Mean time at an engine with a full batch, in seconds.
const SERVICE: f64 = 1.2;

/// Time that the home gives the demands to arrive.
const COLLECT: Duration = Duration::from_millis(5);

impl World {
    /// Releases a place at its home.
    pub(super) fn release(&mut self, now: Duration, home: usize, id: RequestId, finish: Finish) {
        if let Some(place) = self.places.get_mut(&id) {
            place.released.get_or_insert(now);
        }
        self.with(home, now, |policy, out| policy.finish(now, id, finish, out));
    }

    /// Withdraws an ask that is queued or granted.
    pub(super) fn withdraw(&mut self, now: Duration, home: usize, id: RequestId) {
        self.with(home, now, |policy, out| policy.cancel(now, id, out));
        let finish = Finish {
            outcome: pool::Outcome::Unused,
            tokens: 0,
        };
        self.release(now, home, id, finish);
    }

    pub(super) fn report(&mut self, now: Duration, host: usize, endpoint: usize, load: Load) {
        if self.setup.is_dead(now, host) {
            return;
        }
        self.reported[host][endpoint] = load.at;
        if !self.setup.reports {
            return;
        }
        let id = EndpointId(endpoint as u32);
        self.with(host, now, |policy, out| {
            policy.record_load(now, id, load, out)
        });
    }

    pub(super) fn tick(&mut self, now: Duration) {
        let split = self.is_split(now);
        for endpoint in 0..self.setup.engines {
            let excess = self.engines[endpoint]
                .in_flight
                .saturating_sub(setup::BATCH);
            if now < self.setup.length {
                self.tally.sample(excess, split);
            }
        }
        for host in 0..setup::HOSTS {
            if !self.setup.is_dead(now, host) {
                self.with(host, now, |policy, out| policy.tick(now, out));
            }
        }
        self.poll(now);
        self.after(now + super::TICK, Event::Tick);
    }

    /// Fetches the load at the hosts that place work.
    fn poll(&mut self, now: Duration) {
        use setup::Division::{Alone, Home, Lease};
        for host in 0..setup::HOSTS {
            let wanted = match self.setup.division {
                Alone => true,
                Home => self.setup.home(now, host, 0) == host || self.is_busy(now, host),
                // A lease takes the place of the reports.
                Lease => false,
            };
            // Two ticks between the hosts fit the interval.
            let phase = 2 * super::TICK * host as u32;
            let elapsed = (now + setup::REPORT - phase).as_millis();
            let due = elapsed.is_multiple_of(setup::REPORT.as_millis());
            if !due || !wanted || self.setup.is_dead(now, host) {
                continue;
            }
            self.tally.polls += self.setup.engines as u64;
            for endpoint in 0..self.setup.engines {
                let load = self.engines[endpoint].load(now);
                self.after(now + self.setup.lag, Event::Report(host, endpoint, load));
            }
        }
    }

    /// Returns whether a host has queued or granted asks.
    pub fn is_busy(&self, now: Duration, host: usize) -> bool {
        let stats = self.policies[host].stats(now);
        let queued: usize = stats.queued.iter().sum();
        queued > 0 || stats.in_flight.iter().any(|&(_, held)| held > 0)
    }

    /// Sends the demand of each host to the home.
    pub(super) fn rebalance(&mut self, now: Duration) {
        for host in 0..setup::HOSTS {
            let home = self.lease_home(now);
            let stats = self.policies[host].stats(now);
            let mut held = vec![0; self.setup.engines];
            for (endpoint, count) in stats.in_flight {
                held[endpoint as usize] = count;
            }
            let arrived = core::mem::take(&mut self.arrived[host]);
            let mut wanted = [0.0; 3];
            for (tier, want) in wanted.iter_mut().enumerate() {
                *want = stats.queued[tier] as f64 + f64::from(arrived[tier]) * SERVICE;
            }
            if !self.setup.is_dead(now, host) {
                self.send(now, host, home, Message::Demand(host, wanted, held));
            }
        }
        self.after(now + COLLECT, Event::Divide);
        self.after(now + setup::REBALANCE, Event::Rebalance);
    }

    /// Returns the host that divides the places; no other one takes over during
    /// a split, because it could not know which leases are still in use.
    fn lease_home(&self, now: Duration) -> usize {
        let last = setup::HOSTS - 1;
        let gone = self.setup.is_lost(now, last, setup::FIRST_HOME);
        if gone && self.setup.death.is_some() {
            setup::HOSTS / 2
        } else {
            setup::FIRST_HOME
        }
    }

    /// Divides the places by the last demands and tells the hosts.
    pub(super) fn divide(&mut self, now: Duration) {
        let home = self.lease_home(now);
        for host in 0..setup::HOSTS {
            if core::mem::take(&mut self.fresh[host]) {
                continue;
            }
            // A host that could not be reached may still use its last lease.
            let gone = self.setup.is_dead(now, host) && self.setup.is_lost(now, home, host);
            self.demands[host].wanted = [0.0; 3];
            self.demands[host].held = match gone {
                true => vec![0; self.setup.engines],
                false => self.leases[host].clone(),
            };
        }
        self.leases = lease::divide(&self.demands);
        for host in 0..setup::HOSTS {
            let lease = self.leases[host].clone();
            self.send(now, home, host, Message::Lease(lease));
        }
    }

    /// Sets the places that a host may hold at each endpoint.
    pub(super) fn set_places(&mut self, now: Duration, host: usize, places: &[u32]) {
        let set = places.iter().enumerate().map(|(index, &slots)| Endpoint {
            id: EndpointId(index as u32),
            phase: if slots > 0 {
                Phase::Up
            } else {
                Phase::Draining
            },
            slots,
        });
        let set: Vec<_> = set.collect();
        self.with(host, now, |policy, out| {
            policy.set_endpoints(now, &set, out)
        });
    }

    /// Gives up the asks over links that are down, or at the homes everything
    /// that belongs to hosts that are dead for them.
    pub(super) fn for_unreachable(&mut self, now: Duration, links: bool) {
        let mut asks: Vec<_> = (0..self.requests.len())
            .filter(|&index| self.requests[index].asks > 0)
            .filter(|&index| {
                let request = &self.requests[index];
                self.setup.is_cut(now, request.host, request.home)
                    || self.setup.is_dead(now, request.home)
                    || self.setup.is_dead(now, request.host)
            })
            .map(|index| RequestId((index as u64) << 8 | self.requests[index].asks))
            .collect();
        if links {
            // Asks made since the cut give up by themselves.
            asks.retain(|&id| self.requests[request_of(id)].is_waiting(now));
            for id in asks {
                let home = self.requests[request_of(id)].home;
                self.with(home, now, |policy, out| policy.cancel(now, id, out));
                self.give_up(now, id);
            }
            return;
        }
        let mut held: Vec<_> = (self.places.iter())
            .filter(|(_, place)| place.released.is_none())
            .filter(|(id, place)| {
                let host = self.requests[request_of(**id)].host;
                self.setup.is_lost(now, place.home, host)
            })
            .map(|(&id, place)| (id, place.home))
            .collect();
        held.sort_unstable();
        let finish = Finish {
            outcome: pool::Outcome::Cancelled,
            tokens: 0,
        };
        if self.setup.careful {
            for home in 0..setup::HOSTS {
                let freed = held.iter().filter(|(_, at)| *at == home);
                let freed: Vec<_> = freed.map(|(id, _)| self.places[id].endpoint).collect();
                if !freed.is_empty() {
                    self.read_loads(now, home, &freed);
                }
            }
        }
        for (id, home) in held {
            self.release(now, home, id, finish);
        }
    }

    /// Tells a home the load at this time. Each endpoint in `freed` is about to lose
    /// one place that the home holds, which must not hide foreign load.
    pub(super) fn read_loads(&mut self, now: Duration, home: usize, freed: &[usize]) {
        for endpoint in 0..self.setup.engines {
            let mut load = self.engines[endpoint].load(now);
            load.waiting += freed.iter().filter(|&&other| other == endpoint).count() as u32;
            self.report(now, home, endpoint, load);
        }
    }

    /// Ends the first home with the requests that entered there.
    pub(super) fn die(&mut self, now: Duration) {
        self.after(now + setup::SILENCE, Event::Cut);
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            let live = request.asks > 0 && request.outcomes == 0;
            if !live || request.host != setup::FIRST_HOME {
                continue;
            }
            request.lost = true;
            let id = RequestId((index as u64) << 8 | request.asks);
            let runs = request.endpoint.is_some();
            if runs {
                self.leave_engine(now, id);
            }
            self.end(index);
        }
    }
}
