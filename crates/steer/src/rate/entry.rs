use core::time;

use super::service;
use super::shrink;
use super::summary;
use super::window;

/// Most hosts whose summaries of an endpoint are kept, at 32 bytes each. Hosts that have
/// learned more of it replace those that have learned less.
const PEERS_MAX: usize = 16;

/// Time after which a host publishes a summary again that has changed.
const PUBLISH_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time after which a host publishes a summary again that has not changed.
const REPEAT_PERIOD: time::Duration = time::Duration::from_secs(15);

/// The summary of another host.
#[derive(Clone, Copy, Debug)]
struct Peer {
    host: u64,
    log: f32,
    weight: f32,
    at: time::Duration,
}

impl Peer {
    fn weight(&self, now: time::Duration) -> f32 {
        self.weight * window::remaining(now, self.at)
    }
}

/// What is known of the speed of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Hash of the process.
    pub(super) tag: u32,
    /// Name of the service.
    pub(super) service: String,
    pub(super) phase: plan::Phase,
    pub(super) window: window::Window,
    peers: Vec<Peer>,
    /// Logarithm of the speed in proportion to the usual one of the service.
    pub(super) log: f32,
    /// When this host last published what it has learned.
    published: Option<time::Duration>,
}

impl Entry {
    pub(super) fn new(listed: &plan::Endpoint, log: f32) -> Self {
        Self {
            tag: summary::tag(listed),
            service: listed.service.clone(),
            phase: listed.phase,
            window: window::Window::default(),
            peers: Vec::new(),
            log,
            published: None,
        }
    }

    /// Stores the summary of another host.
    pub(super) fn apply(&mut self, now: time::Duration, host: u64, summary: &summary::Summary) {
        let peer = Peer {
            host,
            log: summary.log(),
            weight: summary.weight(),
            at: now,
        };
        self.peers.retain(|known| known.host != host);
        if self.peers.len() >= PEERS_MAX {
            let weights = self.peers.iter().map(|known| known.weight(now));
            let least = weights.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
            match least {
                Some((place, weight)) if weight < peer.weight => self.peers.swap_remove(place),
                _ => return,
            };
        }
        self.peers.push(peer);
    }

    /// Returns the speed that this host has observed, with its weight.
    fn own(&self, now: time::Duration, usual: &service::Usual) -> Option<window::Weighted> {
        window::median(&mut self.observed(now, usual).collect::<Vec<_>>())
    }

    /// Returns what all hosts have observed.
    pub(super) fn sample(
        &self,
        now: time::Duration,
        usual: &service::Usual,
    ) -> Option<shrink::Sample> {
        let peers = self.peers.iter().map(|peer| (peer.log, peer.weight(now)));
        let mut list: Vec<_> = self.observed(now, usual).chain(peers).collect();
        shrink::Sample::new(&mut list)
    }

    fn observed<'a>(
        &'a self,
        now: time::Duration,
        usual: &'a service::Usual,
    ) -> impl Iterator<Item = window::Weighted> + 'a {
        self.window.iter().filter_map(move |observation| {
            let usual = usual.log(observation.kind)?;
            Some((observation.log - usual, observation.weight(now)))
        })
    }

    /// Returns when the summary was last published if it is due, where `None` is never.
    pub(super) fn due(&self, now: time::Duration) -> Option<Option<time::Duration>> {
        let observed = self.window.last_at()?;
        let is_due = self.published.is_none_or(|published| {
            let period = match observed > published {
                true => PUBLISH_PERIOD,
                false => REPEAT_PERIOD,
            };
            now >= published + period
        });
        is_due.then_some(self.published)
    }

    /// Returns the summary to publish now.
    pub(super) fn publish(
        &mut self,
        now: time::Duration,
        usual: &service::Usual,
    ) -> Option<summary::Summary> {
        self.published = Some(now);
        let (log, weight) = self.own(now, usual)?;
        summary::Summary::new(self.tag, log, weight)
    }
}
