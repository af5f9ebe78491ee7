use core::time;

use crate::balancer;
use crate::cold;
use crate::endpoint;
use crate::key;

/// Time for which a connection after a failed one means that the endpoint came back.
const RETURN_TIME: time::Duration = time::Duration::from_secs(60);

/// Failed connections in a row after which an endpoint counts as lost, if none was
/// refused. A slow host may run into a time-out while the endpoint is sound.
const TIMEOUTS_MIN: u32 = 3;

/// Least time by which a statement of another host is newer than the one known here. The
/// time on the way adds to the age of what hosts pass on to each other.
const NEWER_MIN: time::Duration = time::Duration::from_millis(50);

impl balancer::Balancer {
    /// Replaces the settings of the services.
    pub(crate) fn set_cold_settings(&mut self, services: &[plan::Service]) {
        let is_valid = |cold: &plan::Cold| cold.per_s > 0.0 && !cold.start.is_zero();
        let colds = services.iter().filter_map(|service| {
            let cold = service.cold.filter(is_valid)?;
            Some((service.name.clone(), cold))
        });
        self.colds = colds.collect();
    }

    /// Returns whether endpoints of any service may be cold.
    pub fn has_cold_settings(&self) -> bool {
        !self.colds.is_empty()
    }

    fn cold_settings(&self, key: key::Key) -> Option<plan::Cold> {
        let service = &self.endpoints.get(key)?.listed.service;
        self.colds.get(service).copied()
    }

    /// Records that an endpoint is cold for this time, or for the usual one of its service.
    /// Returns its tag if that is new to other hosts.
    ///
    /// Without a time, a state that is in force stays, unless the endpoint has been lost
    /// since it was found.
    pub fn mark_cold(
        &mut self,
        now: time::Duration,
        key: key::Key,
        left: Option<time::Duration>,
        source: cold::Source,
    ) -> Option<u32> {
        let settings = self.cold_settings(key)?;
        let endpoint = self.endpoints.get_mut(key)?;
        let cold = &mut endpoint.cold;
        let is_lost_since = cold.lost_at.is_some_and(|at| Some(at) > cold.stated_at);
        if left.is_none() && !cold.left(now).is_zero() && !is_lost_since {
            return None;
        }
        let until = now + left.unwrap_or(settings.start);
        let is_news = cold.state(now, until, source) || is_lost_since;
        is_news.then_some(endpoint.tag)
    }

    /// Records what an answer to a request that was sent at `sent` says. That the endpoint
    /// is not cold counts if it was sent after the state was found. Returns the tag if that
    /// is new to other hosts.
    pub fn record_cold(
        &mut self,
        now: time::Duration,
        key: key::Key,
        sent: time::Duration,
        left: time::Duration,
    ) -> Option<u32> {
        let cold = &self.endpoints.get(key)?.cold;
        let is_late = cold.stated_at.is_some_and(|at| sent < at);
        if left.is_zero() && (cold.left(now).is_zero() || is_late) {
            return None;
        }
        self.mark_cold(now, key, Some(left), cold::Source::Answer)
    }

    /// Applies what the entry of an endpoint says, unless something newer is known. That
    /// it is not cold does not end a state from elsewhere.
    pub fn state_cold(&mut self, now: time::Duration, id: &str, stated: cold::Stated) {
        let Some(&key) = self.tags.get(&endpoint::tag(id)) else {
            return;
        };
        if self.cold_settings(key).is_none() {
            return;
        }
        let cold = &mut self.endpoints[key].cold;
        if stated.until > cold.until.unwrap_or_default().max(now) {
            cold.state(stated.at, stated.until, cold::Source::Entry);
        }
    }

    /// Decides whether an endpoint that a list names for the first time is cold.
    ///
    /// In the first list of a host, one is cold only by its entry, or by its age if its
    /// entry does not say: the host may have been restarted among warm endpoints. In a
    /// later list, only an old one whose entry says so is not cold.
    pub fn mark_listed(&mut self, now: time::Duration, id: &str, listed: cold::Listed) {
        let key = self.tags.get(&endpoint::tag(id)).copied();
        let found = key.and_then(|key| Some((key, self.cold_settings(key)?)));
        let Some((key, settings)) = found else {
            return;
        };
        if let Some(stated) = listed.stated.filter(|stated| stated.until > now) {
            self.state_cold(now, id, stated);
            return;
        }
        let says_warm = listed.stated.is_some();
        let is_old = listed.uptime.is_some_and(|uptime| uptime >= settings.start);
        match listed.is_first {
            true if says_warm || is_old => {}
            true => {
                let left = settings
                    .start
                    .saturating_sub(listed.uptime.unwrap_or_default());
                self.mark_cold(now, key, Some(left), cold::Source::Started);
            }
            false if says_warm && is_old => {}
            false => {
                self.mark_cold(now, key, None, cold::Source::Appeared);
            }
        }
    }

    /// Records that a connection to the endpoint failed. Returns its tag if it counts as
    /// lost from now on.
    pub fn record_lost(
        &mut self,
        now: time::Duration,
        key: key::Key,
        is_refused: bool,
    ) -> Option<u32> {
        self.cold_settings(key)?;
        // The failures of a host that reaches nothing are its own.
        if self.is_cut_off_from(key) {
            return None;
        }
        let endpoint = self.endpoints.get_mut(key)?;
        if !is_refused && endpoint.fault.connect_failures() < TIMEOUTS_MIN {
            return None;
        }
        let was_lost = endpoint.cold.is_lost(now);
        endpoint.cold.lost_at = Some(now);
        (!was_lost).then_some(endpoint.tag)
    }

    /// Records that a connection to the endpoint was established. Returns its tag if it
    /// came back and is cold.
    pub fn record_connected(&mut self, now: time::Duration, key: key::Key) -> Option<u32> {
        let cold = &mut self.endpoints.get_mut(key)?.cold;
        let lost_at = cold.lost_at?;
        let tag = match now < lost_at + RETURN_TIME {
            true => self.mark_cold(now, key, None, cold::Source::Returned),
            false => None,
        };
        self.endpoints.get_mut(key)?.cold.lost_at = None;
        tag
    }

    /// Takes the right to send a request that is about to be sent. Every way to an endpoint
    /// asks this last.
    pub fn admit(&mut self, now: time::Duration, key: key::Key) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return true;
        };
        let cold = &mut endpoint.cold;
        let is_admitted = cold.send_wait(now) == Some(time::Duration::ZERO);
        if is_admitted {
            cold.send(now);
        }
        is_admitted
    }

    /// Takes back an admitted request of which nothing was sent.
    pub fn withdraw(&mut self, key: key::Key) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.cold.withdraw();
        }
    }

    /// Applies what another host knows; returns whether that changes who may send.
    pub fn apply_cold(&mut self, now: time::Duration, summaries: &[cold::Summary]) -> bool {
        let ms = |ms: u32| time::Duration::from_millis(ms.into());
        let mut has_changed = false;
        for summary in summaries {
            let Some(&key) = self.tags.get(&summary.tag) else {
                continue;
            };
            if self.cold_settings(key).is_none() {
                continue;
            }
            let endpoint = &mut self.endpoints[key];
            if endpoint.listed.started_ms != summary.started_ms {
                continue;
            }
            let cold = &mut endpoint.cold;
            let at = now.saturating_sub(ms(summary.age_ms));
            let known = cold.stated_at.max(cold.lost_at);
            if known.is_some_and(|known| at < known + NEWER_MIN) {
                continue;
            }
            has_changed |= match summary.left_ms {
                Some(left) => cold.state(at, now + ms(left), cold::Source::Peer),
                None => cold.lost_at.replace(at).is_none(),
            };
        }
        has_changed
    }

    /// Returns what other hosts have to know.
    pub fn cold_summaries(&self, now: time::Duration) -> Vec<cold::Summary> {
        let endpoints = self.endpoints.values();
        let summaries = endpoints.filter_map(|endpoint| {
            let cold = &endpoint.cold;
            cold.summary(now, endpoint.tag, endpoint.listed.started_ms)
        });
        summaries.collect()
    }

    /// Returns whether the state of any endpoint matters for requests.
    pub fn has_cold(&self, now: time::Duration) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| endpoint.cold.is_relevant(now))
    }

    /// Returns the cold endpoints.
    pub fn cold_endpoints(&self, now: time::Duration) -> Vec<cold::Known> {
        let cold = self.endpoints.values().filter_map(|endpoint| {
            let left = endpoint.cold.left(now);
            (!left.is_zero()).then(|| cold::Known {
                id: endpoint.listed.id.clone(),
                source: endpoint.cold.source,
                age: now.saturating_sub(endpoint.cold.stated_at.unwrap_or(now)),
                left,
            })
        });
        cold.collect()
    }

    /// Returns the number of endpoints of a service to which requests are bounded.
    pub fn bounded_count(&self, now: time::Duration, service: &str) -> usize {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter(|key| self.endpoints[**key].cold.is_bounded(now))
            .count()
    }
}
