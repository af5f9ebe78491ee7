use core::time;

use crate::balancer;
use crate::cold;

/// Most hosts that share a cold endpoint.
const SHARING_MAX: usize = 16;

/// Longest gap between two requests of one host.
const GAP_MAX: time::Duration = time::Duration::from_secs(3_600);

/// What a host knows of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Number of live hosts, this one included.
    pub live: usize,
    /// Number of known hosts, also of those that may be cut off.
    pub known: usize,
    /// How far the host has heard of the others since it started, from 0 to 1.
    pub settled: f64,
}

/// How many hosts share a cold endpoint and how often each may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Division {
    pub(crate) hosts: usize,
    pub(crate) gap: time::Duration,
}

impl Division {
    /// Divides a rate so that the most further hosts that also take themselves for one of
    /// those that share the endpoint fit into the bound on the requests in a second.
    pub(crate) fn new(per_s: f64, bound: f64) -> Self {
        let fits = |hosts: usize| {
            let gap = gap(per_s, hosts);
            // CAST: The value saturates at the range.
            let fit = (bound / most_in_a_second(gap)) as usize;
            Some((fit.checked_sub(hosts)?, hosts))
        };
        let best = (1..=SHARING_MAX).filter_map(fits).max();
        if let Some((_, hosts)) = best {
            let gap = gap(per_s, hosts);
            return Self { hosts, gap };
        }
        // The bound is below the rate: one host keeps it by itself.
        let whole = bound.floor();
        let gap = match whole >= 1.0 {
            true => time::Duration::from_secs_f64(1.0 / whole) + time::Duration::from_millis(1),
            false => GAP_MAX,
        };
        Self { hosts: 1, gap }
    }

    /// Divides among fewer hosts if there are no more.
    fn among(self, hosts: usize, per_s: f64, bound: f64) -> Self {
        let fewer = hosts.clamp(1, self.hosts);
        let gap = gap(per_s, fewer).max(self.gap / 64);
        let all = most_in_a_second(gap) * fewer as f64;
        match all <= bound && fewer < self.hosts {
            true => Self { hosts: fewer, gap },
            false => self,
        }
    }
}

/// Returns the gap at which this number of hosts sends at a rate together.
fn gap(per_s: f64, hosts: usize) -> time::Duration {
    let gap = hosts as f64 / per_s;
    time::Duration::try_from_secs_f64(gap).map_or(GAP_MAX, |gap| gap.min(GAP_MAX))
}

/// Returns the most requests of one host in any second, both ends included.
fn most_in_a_second(gap: time::Duration) -> f64 {
    let gap = gap.as_secs_f64().max(1e-6);
    (1.0 / gap + 1e-9).floor() + 1.0
}

impl balancer::Balancer {
    /// Sets the share of this host in cold endpoints. `position` returns its place among
    /// the live hosts, in the order in which they take an endpoint, which must be the same
    /// at all hosts. A host that may be cut off from the others has no share, nor has one
    /// that sees so few of them that the hosts it does not see, sending alike, would exceed
    /// the bound. One that has just started only takes endpoints for which it is among the
    /// first.
    pub fn share_cold(
        &mut self,
        now: time::Duration,
        view: View,
        position: impl Fn(&plan::Endpoint) -> Option<usize>,
    ) {
        let is_cut_off = view.live * 2 < view.known;
        let is_settled = view.settled >= 1.0;
        for endpoint in self.endpoints.values_mut() {
            if !endpoint.cold.is_relevant(now) {
                continue;
            }
            let Some(settings) = self.colds.get(&endpoint.listed.service) else {
                continue;
            };
            let per_s = settings.per_s;
            let bound = per_s * self.options.cold_over + self.options.cold_slack;
            let division = Division::new(per_s, bound);
            let division = match is_settled {
                true => division.among(view.known, per_s, bound),
                false => division,
            };
            // CAST: The share is between 0 and the number of hosts.
            let first = (division.hosts as f64 * view.settled.min(1.0)) as usize;
            let sharing = view.live.min(division.hosts) as f64;
            // The two halves of 22 hosts that are cut in two would send 22 requests in a second.
            let of_all = sharing * view.known as f64 / view.live.max(1) as f64;
            let has_share = !is_cut_off && most_in_a_second(division.gap) * of_all <= bound;
            let position = position(&endpoint.listed).filter(|_| has_share);
            let share = position.map(|position| cold::Share {
                position,
                hosts: view.live,
                sharing: first.clamp(1, division.hosts),
                gap: division.gap,
            });
            endpoint.cold.set_share(share);
        }
    }
}
