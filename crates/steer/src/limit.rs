use core::time;

use crate::balancer;
use crate::endpoint;
use crate::key;

/// Limit that an endpoint states on the requests of all hosts together, in the form
/// that hosts publish.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Limit {
    /// Hash of the endpoint's id.
    pub tag: u32,
    /// When its process started, in Unix milliseconds.
    pub started_ms: u64,
    /// Requests per second; `None` if it no longer states a limit.
    pub per_s: Option<f64>,
    /// Time since the answer that stated it, in milliseconds.
    pub age_ms: u32,
}

/// A limit in force at an endpoint, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct Limited {
    /// Id of the endpoint.
    pub id: String,
    /// Requests per second.
    pub per_s: f64,
    /// Time since the answer that stated it.
    pub age: time::Duration,
    /// Whether it was an answer to this host.
    pub is_own: bool,
}

/// Time for which the end of a limit is published.
const ENDED_TIME: time::Duration = time::Duration::from_secs(30);

/// Least time by which a statement of another host is newer than the same one known
/// here. The time on the way adds to the age of what hosts pass on to each other.
const NEWER_MIN: time::Duration = time::Duration::from_millis(50);

impl balancer::Balancer {
    /// Records the limit that an answer to this host states; `None` for an answer
    /// without one. `sent` is when its request was sent: an answer to a request from
    /// before the limit does not end it. Returns the endpoint's tag if the limit has
    /// changed.
    pub fn record_limit(
        &mut self,
        now: time::Duration,
        key: key::Key,
        sent: time::Duration,
        per_s: Option<f64>,
    ) -> Option<u32> {
        let endpoint = self.endpoints.get_mut(key)?;
        let quota = &mut endpoint.quota;
        if per_s.is_none() {
            let known = quota.stated_at().filter(|_| quota.per_s().is_some());
            if known.is_none_or(|known| sent <= known) {
                return None;
            }
        }
        quota.state(now, now, per_s, true).then_some(endpoint.tag)
    }

    /// Applies limits that another host published; returns whether one has changed.
    pub fn apply_limits(&mut self, now: time::Duration, limits: &[Limit]) -> bool {
        let mut has_changed = false;
        for limit in limits {
            let at = now.saturating_sub(time::Duration::from_millis(limit.age_ms.into()));
            let Some(endpoint) = self.tagged(limit.tag) else {
                continue;
            };
            if endpoint.listed.started_ms != limit.started_ms {
                continue;
            }
            let quota = &mut endpoint.quota;
            let is_same = quota.per_s() == limit.per_s;
            let known = quota.stated_at();
            if is_same && known.is_some_and(|known| at < known + NEWER_MIN) {
                continue;
            }
            has_changed |= quota.state(now, at, limit.per_s, false);
        }
        has_changed
    }

    /// Returns the limits to publish, also those that ended recently.
    pub fn limits(&self, now: time::Duration) -> Vec<Limit> {
        let limits = self.endpoints.values();
        limits.filter_map(|endpoint| limit(now, endpoint)).collect()
    }

    /// Returns the limit to publish of the endpoint with this tag.
    pub fn limit(&self, now: time::Duration, tag: u32) -> Option<Limit> {
        limit(now, self.endpoints.get(*self.tags.get(&tag)?)?)
    }

    /// Returns the limits in force.
    pub fn limited(&self, now: time::Duration) -> Vec<Limited> {
        let limited = self.endpoints.values().filter_map(|endpoint| {
            Some(Limited {
                id: endpoint.listed.id.clone(),
                per_s: endpoint.quota.per_s()?,
                age: now.saturating_sub(endpoint.quota.stated_at()?),
                is_own: endpoint.quota.is_own(),
            })
        });
        limited.collect()
    }

    /// Sets the share of this host in the limits of endpoints. `position` returns its
    /// place among the hosts, in the order in which they take an endpoint, which must
    /// be the same at all hosts.
    pub fn share_limits(
        &mut self,
        now: time::Duration,
        hosts: usize,
        position: impl Fn(&plan::Endpoint) -> Option<usize>,
    ) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.quota.per_s().is_some() {
                let position = position(&endpoint.listed);
                endpoint.quota.set_position(now, position, hosts);
            }
        }
    }
}

fn limit(now: time::Duration, endpoint: &endpoint::Endpoint) -> Option<Limit> {
    let quota = &endpoint.quota;
    let age = now.saturating_sub(quota.stated_at()?);
    if quota.per_s().is_none() && age > ENDED_TIME {
        return None;
    }
    Some(Limit {
        tag: endpoint.tag,
        started_ms: endpoint.listed.started_ms,
        per_s: quota.per_s(),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    })
}
