use core::time;

use crate::balancer;
use crate::endpoint;
use crate::key;

/// Time after the last answer that says so for which a service counts as brittle. An
/// answer that does not say so ends it at once.
const LIFE: time::Duration = time::Duration::from_secs(30);

/// Least time by which a statement of another host is newer than the same one known
/// here. The time on the way adds to the age of what hosts pass on to each other.
const NEWER_MIN: time::Duration = time::Duration::from_millis(50);

/// Whether the endpoints of a service fall over if they have to refuse requests, in the
/// form that hosts publish.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Brittle {
    /// Hash of the service's name.
    pub service: u32,
    /// Refusals in a second that an endpoint bears; `None` if the endpoints no longer
    /// say that they fall over.
    pub refusals: Option<u32>,
    /// Time since the answer that said so, in milliseconds.
    pub age_ms: u32,
}

/// What the endpoints of a service last said of how many refusals they bear.
#[derive(Clone, Copy, Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Statement {
    refusals: Option<u32>,
    /// When the answer arrived at the host that got it.
    at: time::Duration,
}

impl balancer::Balancer {
    /// Records whether an answer of the endpoint says that it falls over after more than
    /// this number of refusals in a second. `sent` is when its request was sent: an answer
    /// to a request from before a statement does not end it. Returns the hash of the
    /// service if that has changed.
    pub fn record_brittle(
        &mut self,
        now: time::Duration,
        key: key::Key,
        sent: time::Duration,
        refusals: Option<u32>,
    ) -> Option<u32> {
        let service = self.endpoints.get(key)?.listed.service.clone();
        let known = self.brittle.get(&service);
        let before = known.and_then(|known| known.refusals);
        if refusals.is_none() && (before.is_none() || known.is_some_and(|known| sent <= known.at)) {
            return None;
        }
        let tag = endpoint::tag(&service);
        let statement = Statement { refusals, at: now };
        self.brittle.insert(service, statement);
        (before != refusals).then_some(tag)
    }

    /// Applies what other hosts have heard of the endpoints of services.
    pub fn apply_brittle(&mut self, now: time::Duration, list: &[Brittle]) {
        for brittle in list {
            let age = time::Duration::from_millis(brittle.age_ms.into());
            let at = now.saturating_sub(age);
            let mut services = self.services.keys();
            let Some(service) = services.find(|name| endpoint::tag(name) == brittle.service) else {
                continue;
            };
            let is_newer = self.brittle.get(service).is_none_or(|known| {
                let margin = match known.refusals == brittle.refusals {
                    true => NEWER_MIN,
                    false => time::Duration::ZERO,
                };
                at > known.at + margin
            });
            if is_newer {
                let refusals = brittle.refusals;
                let statement = Statement { refusals, at };
                self.brittle.insert(service.clone(), statement);
            }
        }
    }

    /// Returns what is to be published of brittle services, also of those that recently
    /// ceased to be.
    pub fn brittle_news(&self, now: time::Duration) -> Vec<Brittle> {
        let known = self.brittle.iter();
        let known = known.filter(|(_, statement)| now < statement.at + LIFE);
        known
            .map(|(service, statement)| Brittle {
                service: endpoint::tag(service),
                refusals: statement.refusals,
                // CAST: The age is below the life of a statement.
                age_ms: now.saturating_sub(statement.at).as_millis() as u32,
            })
            .collect()
    }

    /// Returns whether the endpoints of a service fall over if they have to refuse
    /// requests.
    pub fn is_brittle(&self, now: time::Duration, service: &str) -> bool {
        self.refusals_borne(now, service).is_some()
    }

    /// Returns the refusals in a second that an endpoint of a brittle service bears.
    pub(crate) fn refusals_borne(&self, now: time::Duration, service: &str) -> Option<u32> {
        let statement = self.brittle.get(service)?;
        statement.refusals.filter(|_| now < statement.at + LIFE)
    }

    /// Returns the brittle services with the number of refusals that an endpoint bears in
    /// a second.
    pub fn brittle(&self, now: time::Duration) -> Vec<(&str, u32)> {
        let services = self.brittle.keys();
        services
            .filter_map(|service| Some((service.as_str(), self.refusals_borne(now, service)?)))
            .collect()
    }
}
