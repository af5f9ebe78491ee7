//! What a host may send to an endpoint that falls over if it has to refuse requests.
//!
//! All hosts send to such an endpoint through one of them, its gateway, which counts what
//! is in flight there. No other way keeps hundreds of hosts below a few refusals in a
//! second and uses the slots as well: what hosts hear of each other's load is older than a
//! request lasts.

use core::time;
use std::collections;

use crate::balancer;
use crate::endpoint;
use crate::key;
use crate::report;

/// Part of the refusals that an endpoint bears which one gateway may cause. Hosts that
/// know different hosts may have different gateways.
const GATEWAY_SHARE: u32 = 3;

/// Period in which the refusals that an endpoint bears are counted.
const REFUSAL_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time after which one more request than at the last refusal may be in flight, if the
/// endpoint reports its load. Faster growth fills it beside hosts that send directly, and
/// what it then refuses to them makes it fall over.
const GROWTH_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Most doublings of the growth at an endpoint that reports no load.
const DOUBLINGS_MAX: u32 = 16;

/// Time before the last refusal in which others slow the growth down.
const PRESSURE_TIME: time::Duration = time::Duration::from_secs(4);

/// How often all hosts together ask for a place, as a multiple of how often one is free.
const ASKS_PER_PLACE: f64 = 4.0;

/// Bounds of the time for which a host leaves an endpoint alone that had no place for it.
const DECLINED_PAUSE_RANGE: (time::Duration, time::Duration) = (
    time::Duration::from_millis(20),
    time::Duration::from_secs(2),
);

/// Time without a question after which another host may have been the gateway.
const TAKEOVER_GAP: time::Duration = time::Duration::from_secs(1);

/// Most refusals whose times are kept.
const REFUSALS_KEPT: usize = 64;

/// How a host sends to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Other hosts send to the endpoint through this one.
    Gateway,
    /// Any number of other hosts may do the same.
    Alone,
}

/// What one host knows of an endpoint beyond its own requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gateway {
    /// Requests of other hosts that this host has sent.
    forwarded: u32,
    /// Requests of other hosts at the endpoint, by its last report.
    others: u32,
    others_at: Option<time::Duration>,
    /// Requests in flight beyond which the endpoint has refused one.
    limit: Option<(u32, time::Duration)>,
    /// When this host was first and last asked as the gateway, without a pause of
    /// [`TAKEOVER_GAP`] between.
    asked: Option<(time::Duration, time::Duration)>,
    /// When the endpoint refused a request of this host.
    refusals: collections::VecDeque<time::Duration>,
}

impl Gateway {
    /// Records the load that the endpoint reported while `own` requests of this host were
    /// in flight there.
    pub(crate) fn record_report(&mut self, now: time::Duration, own: u32, report: report::Report) {
        let reported = report.running.saturating_add(report.waiting);
        self.others = reported.saturating_sub(own.saturating_add(self.forwarded));
        self.others_at = Some(now);
    }

    /// Records that this host is asked for a place as the gateway.
    fn record_question(&mut self, now: time::Duration) {
        let asked = self.asked;
        let asked = asked.filter(|(_, last)| now.saturating_sub(*last) < TAKEOVER_GAP);
        self.asked = Some((asked.map_or(now, |(first, _)| first), now));
    }

    /// Returns the requests that may still be in flight from before this host became the
    /// gateway, at an endpoint that reports no load. They end in about the time of a
    /// request, `work`. One slot counts as free, so that an idle endpoint is used.
    fn inherited(&self, now: time::Duration, slots: u32, work: time::Duration) -> u32 {
        let Some((first, _)) = self.asked.filter(|_| self.others_at.is_none()) else {
            return 0;
        };
        let passed = now.saturating_sub(first).as_secs_f64() / work.as_secs_f64();
        // CAST: The value is between 0 and the number of slots.
        (f64::from(slots.saturating_sub(1)) * (1.0 - passed).max(0.0)).ceil() as u32
    }

    /// Returns the number of requests that may be in flight; `share` is the number of
    /// refusals that this host may cause in a second.
    ///
    /// The requests of other hosts that caused a refusal cannot be seen where the endpoint
    /// reports no load, and end in about the time of a request. So the growth doubles
    /// there, and a limit that is too high costs one refusal in each period. Refusals that
    /// go on are due to hosts that send directly, and slow the growth down.
    fn limit(&self, now: time::Duration, slots: u32, share: u32) -> u32 {
        let Some((limit, at)) = self.limit else {
            return slots;
        };
        let since = now.saturating_sub(at).as_secs_f64();
        // CAST: The values saturate at the range.
        let growth = if self.others_at.is_some() {
            (since / GROWTH_PERIOD.as_secs_f64()) as u32
        } else {
            // CAST: Few refusals are kept.
            let recent = self.refusals_since(at.saturating_sub(PRESSURE_TIME)) as i32;
            let period = REFUSAL_PERIOD.as_secs_f64() / f64::from(share);
            let period = period * 2_f64.powi(recent - 1);
            let periods = since / period.min(GROWTH_PERIOD.as_secs_f64());
            (1 << (periods as u32).min(DOUBLINGS_MAX)) - 1
        };
        limit.saturating_add(growth).min(slots)
    }

    fn refusals_since(&self, from: time::Duration) -> usize {
        self.refusals.iter().filter(|at| **at >= from).count()
    }
}

impl balancer::Balancer {
    /// Sets the number of hosts, also of those that may be cut off.
    pub const fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// Returns whether an endpoint has a place for a request of this host, or of another
    /// one that it forwards, which counts as sent already. Only endpoints of brittle
    /// services have none.
    pub fn has_place(&mut self, now: time::Duration, key: key::Key, role: Role) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return true;
        };
        if role == Role::Gateway {
            endpoint.gateway.record_question(now);
        }
        let endpoint = &self.endpoints[key];
        let Some(share) = self.gateway_share(now, &endpoint.listed.service) else {
            return true;
        };
        let gateway = &endpoint.gateway;
        let (most, period) = match role {
            Role::Gateway => (share as usize, REFUSAL_PERIOD),
            // CAST: There are fewer hosts than the range holds.
            Role::Alone => (1, REFUSAL_PERIOD * (self.hosts as u32 / share).max(1)),
        };
        let refusals = gateway.refusals_since(now.saturating_sub(period));
        let in_flight = self.in_flight(now, endpoint);
        let limit = gateway.limit(now, endpoint.listed.slots.max(1), share);
        if refusals < most {
            return in_flight <= limit;
        }
        // What the endpoint accepted beside the last refused request is likely to fit.
        let accepted = gateway.limit.map_or(0, |(accepted, _)| accepted);
        role == Role::Gateway
            && gateway.others_at.is_none()
            && refusals == most
            && in_flight <= accepted.min(limit)
    }

    /// Returns the refusals in a second that a gateway of an endpoint of a brittle service
    /// may cause.
    fn gateway_share(&self, now: time::Duration, service: &str) -> Option<u32> {
        let borne = self.refusals_borne(now, service)?;
        Some((borne / GATEWAY_SHARE).max(1))
    }

    /// Records that a request of another host is about to be sent to the endpoint.
    pub fn start_forward(&mut self, now: time::Duration, key: key::Key) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.pause.take(now);
            endpoint.gateway.forwarded += 1;
        }
    }

    /// Records the end of a request of another host.
    pub fn finish_forward(&mut self, key: key::Key) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.gateway.forwarded = endpoint.gateway.forwarded.saturating_sub(1);
        }
    }

    /// Returns the number of requests at an endpoint: those of this host, those that it
    /// forwards, and others that the endpoint has recently reported or that a gateway
    /// inherits.
    fn in_flight(&self, now: time::Duration, endpoint: &endpoint::Endpoint) -> u32 {
        let gateway = &endpoint.gateway;
        let is_recent = |at: time::Duration| now.saturating_sub(at) < self.options.report_age;
        let others = match gateway.others_at {
            Some(at) if is_recent(at) => gateway.others,
            Some(_) | None => 0,
        };
        let speed = self.service_speed(&endpoint.listed.service);
        let work = time::Duration::from_secs_f64(speed.plain_ms.max(1.0) / 1_000.0);
        let inherited = gateway.inherited(now, endpoint.listed.slots.max(1), work);
        let own = endpoint.running.saturating_add(gateway.forwarded);
        own.saturating_add(others).saturating_add(inherited)
    }

    /// Records that the endpoint has refused a request that this host sent, for lack of
    /// room. What it reported with the refusal is recorded before.
    pub fn record_refusal(&mut self, now: time::Duration, key: key::Key) {
        let Some(endpoint) = self.endpoints.get(key) else {
            return;
        };
        let accepted = self.in_flight(now, endpoint).saturating_sub(1);
        let slots = endpoint.listed.slots.max(1);
        let share = self.gateway_share(now, &endpoint.listed.service);
        let gateway = &mut self.endpoints[key].gateway;
        let limit = gateway.limit(now, slots, share.unwrap_or(1));
        let limit = accepted.min(limit).max(1);
        gateway.limit = Some((limit, now));
        if gateway.refusals.len() >= REFUSALS_KEPT {
            gateway.refusals.pop_front();
        }
        gateway.refusals.push_back(now);
    }

    /// Returns the time for which this host leaves an endpoint alone that had no place for
    /// it. It grows with the number of hosts that ask for the same places.
    pub(crate) fn declined_pause(&self, endpoint: &endpoint::Endpoint) -> time::Duration {
        let speed = self.speeds.get(&endpoint.listed.service).copied();
        let places = f64::from(endpoint.listed.slots.max(1)) * ASKS_PER_PLACE;
        let pause_ms = speed.unwrap_or_default().plain_ms * self.hosts as f64 / places;
        let (least, most) = DECLINED_PAUSE_RANGE;
        time::Duration::from_secs_f64(pause_ms / 1_000.0).clamp(least, most)
    }
}
