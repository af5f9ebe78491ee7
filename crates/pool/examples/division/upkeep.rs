use core::time::Duration;

use pool::{Endpoint, EndpointId, Finish, Load, Phase, Policy, RequestId};

use super::{Event, Message, World, lease, request_of, setup};

/// Mean time at an engine with a full batch, in seconds.
const SERVICE_TIME_S: f64 = 1.2;

/// Time for which the home waits for the demands of the hosts.
const DEMAND_WAIT: Duration = Duration::from_millis(5);

impl World {
    /// Releases a slot at its home.
    pub(super) fn release(&mut self, now: Duration, home: usize, id: RequestId, finish: Finish) {
        if let Some(grant) = self.grants.get_mut(&id) {
            grant.released.get_or_insert(now);
        }
        self.apply(home, now, |policy, out| policy.finish(now, id, finish, out));
    }

    /// Cancels a request that is queued or granted.
    pub(super) fn withdraw(&mut self, now: Duration, home: usize, id: RequestId) {
        self.apply(home, now, |policy, out| policy.cancel(now, id, out));
        let finish = Finish {
            outcome: pool::Outcome::Unused,
            tokens: 0,
        };
        self.release(now, home, id, finish);
    }

    pub(super) fn report(&mut self, now: Duration, host: usize, endpoint: usize, load: Load) {
        if self.setup.has_lost_power(now, host) {
            return;
        }
        self.report_times[host][endpoint] = load.at;
        if !self.setup.has_reports {
            return;
        }
        let id = EndpointId(endpoint as u32);
        self.apply(host, now, |policy, out| {
            policy.record_load(now, id, load, out)
        });
    }

    pub(super) fn tick(&mut self, now: Duration) {
        let is_partitioned = self.is_partitioned(now);
        for endpoint in 0..self.setup.engines {
            let excess = self.engines[endpoint]
                .in_flight
                .saturating_sub(setup::BATCH);
            if now < self.setup.length {
                self.tally.sample(excess, is_partitioned);
            }
        }
        for host in 0..setup::HOSTS {
            if !self.setup.has_lost_power(now, host) {
                self.apply(host, now, |policy, out| policy.tick(now, out));
            }
        }
        self.poll(now);
        self.schedule(now + super::TICK_PERIOD, Event::Tick);
    }

    /// Fetches load reports for the hosts that grant slots.
    fn poll(&mut self, now: Duration) {
        use setup::Division::{Alone, Home, Lease};
        for host in 0..setup::HOSTS {
            let wanted = match self.setup.division {
                Alone => true,
                Home => self.setup.home(now, host, 0) == host || self.is_busy(now, host),
                // Leases replace the reports.
                Lease => false,
            };
            // The hosts are two ticks apart, which fits all of them into the period.
            let phase = 2 * super::TICK_PERIOD * host as u32;
            let elapsed = (now + setup::REPORT_PERIOD - phase).as_millis();
            let due = elapsed.is_multiple_of(setup::REPORT_PERIOD.as_millis());
            if !due || !wanted || self.setup.has_lost_power(now, host) {
                continue;
            }
            self.tally.polls += self.setup.engines as u64;
            for endpoint in 0..self.setup.engines {
                let load = self.engines[endpoint].load(now);
                self.schedule(
                    now + self.setup.report_lag,
                    Event::Report(host, endpoint, load),
                );
            }
        }
    }

    /// Returns whether a host has queued or granted requests.
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
                *want = stats.queued[tier] as f64 + f64::from(arrived[tier]) * SERVICE_TIME_S;
            }
            if !self.setup.has_lost_power(now, host) {
                self.send(now, host, home, Message::Demand(host, wanted, held));
            }
        }
        self.schedule(now + DEMAND_WAIT, Event::Divide);
        self.schedule(now + setup::REBALANCE_PERIOD, Event::Rebalance);
    }

    /// Returns the host that divides the slots. No other host takes over during a
    /// partition, because it could not know which leases are still in use.
    fn lease_home(&self, now: Duration) -> usize {
        let last = setup::HOSTS - 1;
        let gone = self.setup.is_marked_dead(now, last, setup::FIRST_HOME);
        if gone && self.setup.power_loss.is_some() {
            setup::HOSTS / 2
        } else {
            setup::FIRST_HOME
        }
    }

    /// Divides the slots by the last demands and sends the leases to the hosts.
    pub(super) fn divide(&mut self, now: Duration) {
        let home = self.lease_home(now);
        for host in 0..setup::HOSTS {
            if core::mem::take(&mut self.has_new_demand[host]) {
                continue;
            }
            // A host that could not be reached may still use its last lease.
            let gone =
                self.setup.has_lost_power(now, host) && self.setup.is_marked_dead(now, home, host);
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

    /// Sets the slots that a host may use at each endpoint.
    pub(super) fn set_slots(&mut self, now: Duration, host: usize, slots: &[u32]) {
        let set = slots.iter().enumerate().map(|(index, &slots)| Endpoint {
            id: EndpointId(index as u32),
            phase: if slots > 0 {
                Phase::Up
            } else {
                Phase::Draining
            },
            slots,
        });
        let set: Vec<_> = set.collect();
        self.apply(host, now, |policy, out| {
            policy.set_endpoints(now, &set, out)
        });
    }

    /// With `links`, retries the requests whose home is unreachable at the next home.
    /// Otherwise each home releases the slots of the hosts that it has marked dead.
    pub(super) fn release_unreachable(&mut self, now: Duration, links: bool) {
        let mut ids: Vec<_> = (0..self.requests.len())
            .filter(|&index| self.requests[index].submissions > 0)
            .filter(|&index| {
                let request = &self.requests[index];
                self.setup.is_separated(now, request.host, request.home)
                    || self.setup.has_lost_power(now, request.home)
                    || self.setup.has_lost_power(now, request.host)
            })
            .map(|index| RequestId((index as u64) << 8 | self.requests[index].submissions))
            .collect();
        if links {
            // Requests submitted since the partition have a link timeout of their own.
            ids.retain(|&id| self.requests[request_of(id)].is_waiting(now));
            for id in ids {
                let home = self.requests[request_of(id)].home;
                self.apply(home, now, |policy, out| policy.cancel(now, id, out));
                self.retry_at_next_home(now, id);
            }
            return;
        }
        let mut held: Vec<_> = (self.grants.iter())
            .filter(|(_, grant)| grant.released.is_none())
            .filter(|(id, grant)| {
                let host = self.requests[request_of(**id)].host;
                self.setup.is_marked_dead(now, grant.home, host)
            })
            .map(|(&id, grant)| (id, grant.home))
            .collect();
        held.sort_unstable();
        let finish = Finish {
            outcome: pool::Outcome::Cancelled,
            tokens: 0,
        };
        if self.setup.is_careful {
            for home in 0..setup::HOSTS {
                let freed = held.iter().filter(|(_, at)| *at == home);
                let freed: Vec<_> = freed.map(|(id, _)| self.grants[id].endpoint).collect();
                if !freed.is_empty() {
                    self.read_loads(now, home, &freed);
                }
            }
        }
        for (id, home) in held {
            self.release(now, home, id, finish);
        }
    }

    /// Reports the present load to a home. At each endpoint in `freed`, the home is
    /// about to release a slot; this must not hide load of other homes.
    pub(super) fn read_loads(&mut self, now: Duration, home: usize, freed: &[usize]) {
        for endpoint in 0..self.setup.engines {
            let mut load = self.engines[endpoint].load(now);
            load.waiting += freed.iter().filter(|&&other| other == endpoint).count() as u32;
            self.report(now, home, endpoint, load);
        }
    }

    /// Takes the first home down with the requests that entered there.
    pub(super) fn lose_power(&mut self, now: Duration) {
        self.schedule(now + setup::LINK_TIMEOUT, Event::LinksDown);
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            let is_open = request.submissions > 0 && request.outcomes == 0;
            if !is_open || request.host != setup::FIRST_HOME {
                continue;
            }
            request.is_lost = true;
            let id = RequestId((index as u64) << 8 | request.submissions);
            let runs = request.endpoint.is_some();
            if runs {
                self.leave_engine(now, id);
            }
            self.add_outcome(index);
        }
    }
}
