use core::time;
use std::collections;
use std::net;

use answer::{Kind, Refusal};
use base::mutex;
use futures_util::StreamExt;
use futures_util::stream;

use crate::builds;
use crate::flow;
use crate::gossip;
use crate::host;
use crate::peers;
use crate::resend;
use crate::witness;

/// Number of other hosts to which the build of a stream is published.
const RECORDERS: usize = 3;

/// Number of other hosts that are asked for the build of a stream. It exceeds
/// [`RECORDERS`], because hosts may differ on which others are live.
const ASKED: usize = 6;

/// Most builds of streams in a datagram.
const DATAGRAM_ORIGINS_MAX: usize = 50;

/// When the builds of streams are published again.
pub(crate) const SCHEDULE: resend::Schedule = resend::Schedule {
    delays: &[
        time::Duration::from_millis(100),
        time::Duration::from_millis(300),
    ],
    batch_max: 200,
    waiting_max: 4_096,
};

/// Longest wait for the answers of other hosts.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Multiple of the time-out of a route that bounds the time since a stream of the
/// route began, over all requests of its caller.
const LIFE_TIMEOUTS: u32 = 2;

/// Least time since a stream may have begun. The time-out of its route may have been
/// longer then, which a host that started since cannot know.
const LIFE_MIN: time::Duration = time::Duration::from_secs(15);

/// Retry delay sent to callers whose stream cannot go on here now.
const UNKNOWN_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// Endpoints at which the stream of a request may go on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Continuation {
    /// The caller has no event yet.
    #[default]
    Any,
    /// The outputs of other builds do not fit.
    At(plan::Build),
    /// The build that began the stream is not known.
    Nowhere,
}

impl Continuation {
    /// Returns the only build that fits.
    pub(crate) const fn build(self) -> Option<plan::Build> {
        match self {
            Self::At(build) => Some(build),
            Self::Any | Self::Nowhere => None,
        }
    }
}

impl flow::Flow {
    /// Finds the build at which the stream goes on if the caller resumes it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the build is not known.
    pub(crate) async fn find_build(&mut self) -> Result<(), Refusal> {
        let is_resumed = self.job.last_event.is_some() || self.job.origin.is_some();
        if !is_resumed || !self.job.route.kind.is_retryable() {
            return Ok(());
        }
        let origin = self.job.origin.as_ref();
        let stream = witness::Stream {
            origin: origin.map_or(0, |id| gossip::stream_hash(id.as_bytes())),
            service: gossip::name_hash(&self.job.service),
            life: life(&self.job.route),
        };
        let witnesses = self.host.witnesses(stream).await;
        let has_record = witnesses.iter().any(|witness| witness.record.is_some());
        let build = witness::build(&witnesses);
        let source = match (build, has_record) {
            (None, _) => "unknown",
            (Some(_), true) => "record",
            (Some(_), false) => "list",
        };
        let now = self.host.clock.now();
        let inputs = format_args!("source={source} witnesses={}", witnesses.len());
        self.job.log_step(now, "build", inputs);
        let metrics = &self.host.metrics;
        metrics.count("streams_resumed", &[("build", source)]);
        let Some(build) = build else {
            let text = "the build that began the stream is not known";
            return Err(Refusal::new(Kind::NoEndpoint, text).with_retry_after(UNKNOWN_RETRY_AFTER));
        };
        self.continuation = Continuation::At(build);
        Ok(())
    }

    /// Binds the stream to the build of the endpoint whose first event is passed on,
    /// and makes the build known to other hosts.
    pub(crate) fn bind_build(&mut self, pick: &steer::Pick) {
        if !self.job.route.kind.is_retryable() {
            return;
        }
        let Some(build) = pick.build.as_deref().map(plan::Build::new) else {
            self.continuation = Continuation::Nowhere;
            return;
        };
        self.continuation = Continuation::At(build);
        let origin = self.job.origin.as_ref().or(self.job.raw_id.as_ref());
        if let Some(origin) = origin {
            let origin = gossip::Origin {
                stream: gossip::stream_hash(origin.as_bytes()),
                build,
            };
            let service = self.job.service.as_str();
            self.host
                .record_origin(origin, service, life(&self.job.route));
        }
    }
}

/// Returns the longest time since a stream of the route that is taken up may have begun.
fn life(route: &plan::Route) -> time::Duration {
    LIFE_MIN.max(route.timeout * LIFE_TIMEOUTS)
}

impl host::Host {
    /// Keeps the build of a stream that begins here. Publishes it unless it follows
    /// from the list of endpoints.
    fn record_origin(&self, origin: gossip::Origin, service: &str, life: time::Duration) {
        let now = self.clock.now();
        let service = gossip::name_hash(service);
        self.keep_origin(origin, Some(service), now + life);
        let listed = self.recent_builds(service, life);
        if listed.is_none_or(|builds| builds.len() != 1) {
            self.publish_origins(&[origin]);
        }
    }

    /// Lets the builds of the streams of these services be published.
    pub(crate) fn publish_builds(&self, services: &[u64]) {
        if !services.is_empty() {
            mutex::lock(&self.mixed).extend(services);
            self.became_mixed.notify_one();
        }
    }

    /// Lets the builds of all streams that began here be published, because this host
    /// can no longer tell them from its list of endpoints.
    pub(crate) fn publish_all_builds(&self) {
        let services = mutex::lock(&self.origins).services();
        self.publish_builds(&Vec::from_iter(services));
    }

    /// Publishes the builds of the streams of these services that began here, because
    /// they no longer follow from the list of endpoints.
    pub(crate) fn publish_own_origins(&self, services: &[u64]) {
        let own = mutex::lock(&self.origins).own(services);
        self.publish_origins(&own);
    }

    /// Sends the builds of streams to other hosts, and lets them be sent again.
    fn publish_origins(&self, origins: &[gossip::Origin]) {
        if origins.is_empty() {
            return;
        }
        self.send_to_recorders(origins);
        let now = self.clock.now();
        {
            let mut records = mutex::lock(&self.records);
            for origin in origins {
                if !records.add(now, *origin) {
                    self.metrics.count("origins_dropped", &[]);
                }
            }
        }
        self.recorded.notify_one();
    }

    /// Sends the builds of streams once, each to the hosts that keep it now.
    pub(crate) fn send_to_recorders(&self, origins: &[gossip::Origin]) {
        let port = self.options.load_listen.port();
        let mut targets: collections::HashMap<net::SocketAddr, Vec<gossip::Origin>> =
            collections::HashMap::new();
        for origin in origins {
            let is_live = |state| state == fleet::State::Live;
            for peer in self.recorders(origin.stream, RECORDERS, is_live) {
                let address = net::SocketAddr::new(peer.ip(), port);
                targets.entry(address).or_default().push(*origin);
            }
        }
        for (address, origins) in targets {
            for part in origins.chunks(DATAGRAM_ORIGINS_MAX) {
                self.send_origins(part, address);
            }
        }
    }

    /// Keeps the build of a stream until a time. `service` is absent if the stream
    /// began at another host.
    pub(crate) fn keep_origin(
        &self,
        origin: gossip::Origin,
        service: Option<u64>,
        until: time::Duration,
    ) {
        let mut origins = mutex::lock(&self.origins);
        if !origins.insert(origin, service, until) {
            self.metrics.count("origins_dropped", &[]);
        }
    }

    /// Returns the builds of a service that were listed in the last `life`, or `None`
    /// if this host may have missed one.
    fn recent_builds(&self, service: u64, life: time::Duration) -> Option<builds::Set> {
        let now = self.clock.now();
        let is_complete = self.confirmation.is_complete(now, life);
        is_complete.then(|| mutex::lock(&self.builds).recent(now, service, life))
    }

    /// Returns what this host knows of the build of a stream.
    pub(crate) fn witness(&self, stream: witness::Stream) -> witness::Witness {
        witness::Witness {
            record: mutex::lock(&self.origins).find(stream.origin),
            builds: self.recent_builds(stream.service, stream.life),
        }
    }

    /// Returns what this host and others know of the build of a stream.
    ///
    /// The own list counts only with the newest changes, or if another host answers: a
    /// host that is cut off may not know a build at which others let streams begin, nor
    /// have the records of these.
    async fn witnesses(&self, stream: witness::Stream) -> Vec<witness::Witness> {
        let asked = self.recorders(stream.origin, ASKED, |state| state != fleet::State::Dead);
        let is_alone = asked.is_empty();
        let known = mutex::lock(&self.origins).find(stream.origin);
        let asking = async {
            match known {
                Some(_) => Vec::new(),
                None => self.ask(asked, stream).await,
            }
        };
        let (mut witnesses, is_fresh) = tokio::join!(asking, self.refresh_endpoints());
        let mut own = self.witness(stream);
        if !is_fresh && witnesses.is_empty() && !is_alone {
            own.builds = None;
        }
        witnesses.push(own);
        witnesses
    }

    /// Asks other hosts for the build of a stream, until one has a record of it.
    async fn ask(
        &self,
        asked: Vec<net::SocketAddr>,
        stream: witness::Stream,
    ) -> Vec<witness::Witness> {
        let mut answers = stream::iter(asked)
            .map(|peer| peers::ask(&self.client, peer, stream))
            .buffer_unordered(ASKED);
        let deadline = tokio::time::Instant::now() + ASK_TIMEOUT;
        let mut witnesses: Vec<witness::Witness> = Vec::new();
        while witnesses.iter().all(|witness| witness.record.is_none()) {
            match tokio::time::timeout_at(deadline, answers.next()).await {
                Ok(Some(Ok(witness))) => witnesses.push(witness),
                Ok(Some(Err(cause))) => {
                    log::debug!(target: "edge", "the build of a stream was not told: {cause}");
                }
                Ok(None) | Err(_) => break,
            }
        }
        witnesses
    }

    /// Returns the peer addresses of the first other hosts in the order in which
    /// they keep the build of a stream.
    fn recorders(
        &self,
        stream: u64,
        count: usize,
        is_allowed: impl Fn(fleet::State) -> bool,
    ) -> Vec<net::SocketAddr> {
        let membership = mutex::lock(&self.membership);
        let own = membership.own().name.as_str();
        let mut scored: Vec<(u64, net::SocketAddr)> = membership
            .entries()
            .filter(|(entry, state)| entry.name != own && is_allowed(*state))
            .map(|(entry, _)| (gossip::score(&entry.name, stream), entry.peer))
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.truncate(count);
        scored.into_iter().map(|(_, peer)| peer).collect()
    }
}
