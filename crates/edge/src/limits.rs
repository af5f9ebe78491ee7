use core::time;

use base::mutex;
use rand::seq::IteratorRandom;

use crate::answered;
use crate::gateway;
use crate::gossip;
use crate::headers;
use crate::host;
use crate::stated;

/// Most limits of endpoints in a periodic message.
const LIMITS_MAX: usize = 8;

impl host::Host {
    /// Records the limit that an answer of an endpoint states, or that it states none.
    pub(crate) fn record_limit(&self, now: time::Duration, head: &stated::Head<'_>) {
        use answered::Answered;
        let text = headers::text(head.headers, &self.options.headers.limit);
        let per_s = match text.map(parse) {
            Some(None) => {
                self.metrics.count("limits_malformed", &[]);
                return;
            }
            Some(per_s) => per_s,
            // Only a whole answer of its own shows that the endpoint states none.
            None if head.answered == Answered::Own => None,
            None => return,
        };
        let changed = mutex::lock(&self.balancer).record_limit(now, head.key, head.sent, per_s);
        if let Some(tag) = changed {
            self.share_limits(now);
            mutex::lock(&self.reports).limits.add(now, tag);
            self.crashed.notify_one();
        }
    }

    /// Applies limits that another host published.
    pub(crate) fn apply_limits(&self, now: time::Duration, limits: &[steer::Limit]) {
        if !limits.is_empty() && mutex::lock(&self.balancer).apply_limits(now, limits) {
            self.share_limits(now);
        }
    }

    /// Returns some of the known limits, for hosts that have missed a change.
    pub(crate) fn sample_limits(&self, now: time::Duration) -> Vec<steer::Limit> {
        let limits = mutex::lock(&self.balancer).limits(now);
        limits
            .into_iter()
            .sample(&mut *mutex::lock(&self.rng), LIMITS_MAX)
    }

    /// Divides the limits of endpoints among the hosts. A few hosts take an endpoint,
    /// so that even a low limit is used without an agreement for each request: those
    /// of its own data centre first, in an order that all hosts derive from the names.
    pub(crate) fn share_limits(&self, now: time::Duration) {
        let mut balancer = mutex::lock(&self.balancer);
        let membership = mutex::lock(&self.membership);
        let live = membership.live();
        // Hosts that are marked dead count, because they may only be partitioned.
        balancer.set_hosts(membership.entries().count());
        if balancer.limited(now).is_empty() && !balancer.has_cold(now) {
            return;
        }
        let position = |endpoint: &plan::Endpoint| {
            let id = gossip::name_hash(&endpoint.id);
            let place = |host: &fleet::Entry| gateway::place(host, id, &endpoint.data_centre);
            let own = membership.own();
            let own_place = place(own);
            let before = live.iter().filter(|entry| place(entry) < own_place);
            let is_live = live.iter().any(|entry| entry.name == own.name);
            is_live.then(|| before.count())
        };
        balancer.share_limits(now, live.len(), position);
        balancer.share_cold(now, self.view(now, &membership), position);
    }
}

/// Parses a limit: a finite decimal number that is not negative.
fn parse(text: &str) -> Option<f64> {
    let limit: f64 = text.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}
