use core::time;
use std::io;
use std::net;
use std::sync;

use base::mutex;

use crate::gossip;
use crate::host;
use crate::options;
use crate::transition;

/// Period of membership digests.
const DIGEST_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Period of membership digests while a host starts and still knows few
/// others.
const START_PERIOD: time::Duration = time::Duration::from_millis(250);

/// Time since the start for which digests are sent at the shorter period.
const START_TIME: time::Duration = time::Duration::from_secs(4);

/// Shortest period at which a host sends its loads within its data centre.
const LOAD_PERIOD: time::Duration = time::Duration::from_millis(150);

/// Load datagrams per second that a host may receive from its own data centre;
/// the sending period grows with the number of hosts there.
const LOADS_PER_S: f64 = 80.0;

/// Period at which expired entries and connections are removed.
const UPKEEP_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Pause before a socket is read again after an error.
const SOCKET_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Shortest time between two publications that are triggered by a change.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Age of the platform's last answer to a host up to which its changes come from there.
const ANSWER_AGE_MAX: time::Duration = time::Duration::from_millis(500);

/// Time for which the builds of streams of other hosts are kept.
const ORIGIN_TIME: time::Duration = time::Duration::from_secs(120);

/// Largest datagram that is read, in bytes.
const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Returns the membership of a starting host.
pub(crate) fn membership(
    options: &options::Options,
    incarnation: u64,
    seed: u64,
) -> fleet::Membership {
    let own = fleet::Entry {
        name: options.name.clone(),
        incarnation,
        counter: 0,
        phase: fleet::Phase::Up,
        suspected: false,
        data_centre: options.data_centre.clone(),
        region: options.region.clone(),
        peer: options.peer_listen,
        caller: options.listen,
    };
    let settings = fleet::Options {
        seeds: options
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != options.peer_listen)
            .collect(),
        period: DIGEST_PERIOD,
        ..fleet::Options::default()
    };
    fleet::Membership::new(own, settings, seed)
}

/// State shared by the tasks that exchange messages with other hosts.
#[derive(Clone)]
pub(crate) struct Mesh {
    pub(crate) host: sync::Arc<host::Host>,
    digests: peer::Socket,
    pub(crate) loads: sync::Arc<tokio::net::UdpSocket>,
    pub(crate) fetch_lock: sync::Arc<tokio::sync::Mutex<()>>,
}

/// Starts the tasks that exchange messages with other hosts. `state` is the
/// server for the state of this host; it is kept until the process ends.
///
/// # Errors
///
/// Fails if an address cannot be bound or the key is empty.
pub(crate) async fn start(host: &sync::Arc<host::Host>, state: front::Server) -> io::Result<()> {
    let keyring = wire::Keyring::new(&[host.options.peer_key.as_bytes()])
        .map_err(|cause| io::Error::new(io::ErrorKind::InvalidInput, cause))?;
    let digests = peer::Socket::bind(host.options.peer_listen, peer::Keys::new(keyring)).await?;
    let loads = tokio::net::UdpSocket::bind(host.options.load_listen).await?;
    let loads = sync::Arc::new(loads);
    // The host starts its mesh once, so the value was not set before.
    let _ = host.loads.set(loads.clone());
    let mesh = Mesh {
        host: host.clone(),
        digests,
        loads,
        fetch_lock: sync::Arc::default(),
    };
    tokio::spawn(mesh.clone().send_digests(state));
    tokio::spawn(mesh.clone().receive_digests());
    tokio::spawn(mesh.clone().send_loads());
    tokio::spawn(mesh.clone().receive_loads());
    tokio::spawn(mesh.clone().publish_changes());
    tokio::spawn(mesh.clone().publish_crashes());
    tokio::spawn(publish_mixed(host.clone()));
    tokio::spawn(resend_origins(host.clone()));
    tokio::spawn(mesh.clone().fetch_from_seeds());
    tokio::spawn(upkeep(host.clone()));
    Ok(())
}

/// Publishes the builds of the streams that began here when they no longer follow
/// from the list of endpoints.
async fn publish_mixed(host: sync::Arc<host::Host>) {
    loop {
        host.became_mixed.notified().await;
        let services = core::mem::take(&mut *mutex::lock(&host.mixed));
        host.publish_own_origins(&services);
    }
}

/// Publishes the builds of streams again after the delays of
/// [`crate::resume::SCHEDULE`].
async fn resend_origins(host: sync::Arc<host::Host>) {
    loop {
        if mutex::lock(&host.records).is_empty() {
            host.recorded.notified().await;
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
        let due = mutex::lock(&host.records).take_due(host.clock.now());
        host.send_to_recorders(&due);
    }
}

async fn upkeep(host: sync::Arc<host::Host>) {
    let mut transitions = transition::Log::default();
    let mut current_since = None;
    loop {
        tokio::time::sleep(UPKEEP_PERIOD).await;
        let now = host.clock.now();
        transitions.update(&host);
        host.connections.expire();
        mutex::lock(&host.quarantine).evict_expired(now);
        host.evict_parts(now);
        host.use_evacuation(now);
        host.share_limits(now);
        host.probe_cut_off(now);
        mutex::lock(&host.origins).evict_expired(now);
        let before = current_since;
        current_since = host.confirmation.current_since(now);
        if before.is_some() && current_since != before {
            host.publish_all_builds();
        }
        let mut registry = mutex::lock(&host.registry);
        if registry.expire(now) {
            host.use_endpoints(&registry);
        }
    }
}

/// Returns the period at which a host sends its loads to `near` other hosts of its data
/// centre.
pub(crate) fn load_period(near: usize) -> time::Duration {
    let period = time::Duration::from_secs_f64(near as f64 / LOADS_PER_S);
    period.max(LOAD_PERIOD)
}

/// Returns the content field of a digest, which states the era of the
/// configuration. Hosts of builds without eras send zeros.
pub(crate) fn digest_content(era: u64) -> [u8; 32] {
    let mut content = [0; 32];
    content[..8].copy_from_slice(&era.to_le_bytes());
    content
}

/// Returns the version of the configuration that a digest announces.
fn digest_version(digest: &fleet::Digest) -> plan::Version {
    let era = digest
        .content
        .first_chunk()
        .copied()
        .map(u64::from_le_bytes);
    plan::Version::new(era.unwrap_or(0), digest.revision)
}

impl Mesh {
    async fn send_digests(self, _state: front::Server) {
        let mut was_leaving = false;
        loop {
            let now = self.host.clock.now();
            let digests = mutex::lock(&self.host.membership).tick(now);
            for (address, digest) in digests {
                let packet = wire::Packet::Digest(digest);
                if let Err(cause) = self.digests.send(address, &packet).await {
                    log::debug!(target: "edge", "membership datagram to {address} not sent: {cause}");
                }
            }
            let is_leaving = self.host.is_leaving();
            if is_leaving && !was_leaving {
                self.publish(true).await;
            }
            was_leaving = is_leaving;
            let period = if now < START_TIME {
                START_PERIOD
            } else {
                DIGEST_PERIOD
            };
            tokio::time::sleep(period).await;
        }
    }

    async fn receive_digests(self) {
        loop {
            match self.digests.receive().await {
                Ok((from, wire::Packet::Digest(digest))) => {
                    let now = self.host.clock.now();
                    // The bare revisions that membership compares are not ordered
                    // across eras, so its result is not used.
                    let mut membership = mutex::lock(&self.host.membership);
                    let _ = membership.receive(now, &digest);
                    // The process holds the address of the host.
                    if membership.move_after_known_lifetimes() {
                        log::warn!(target: "edge", "the clock was set back since the last start of this host");
                    }
                    drop(membership);
                    let version = digest_version(&digest);
                    if version > self.host.plan_version() {
                        self.host.record_announced(version, &from.to_string());
                        mutex::lock(&self.host.sources).record_plan(now, from, version);
                        tokio::spawn(self.clone().catch_up());
                    }
                }
                Ok((from, wire::Packet::Claim(_))) => {
                    log::debug!(target: "edge", "claim from {from} ignored: no keys are owned here");
                }
                Err(cause) => {
                    log::warn!(target: "edge", "cannot receive membership datagrams: {cause}");
                    tokio::time::sleep(SOCKET_PAUSE).await;
                }
            }
        }
    }

    /// Publishes changes to all hosts immediately instead of at the next
    /// period. Only hosts that read them do, because the others got the change from them.
    async fn publish_changes(self) {
        loop {
            self.host.changed.notified().await;
            let now = self.host.clock.now();
            let has_read = self.host.confirmation.answer_age(now) < ANSWER_AGE_MAX;
            if has_read || self.host.is_watcher(now) {
                self.publish(true).await;
            }
            tokio::time::sleep(CHANGE_PAUSE).await;
        }
    }

    /// Publishes the crashes that this host detects, and complete answers on parts
    /// that are suspected of crashes, to all hosts immediately and again after delays.
    async fn publish_crashes(self) {
        loop {
            // The first report after a quiet time is not delayed: until it arrives, other
            // hosts send the request that crashes endpoints on.
            let is_quiet = mutex::lock(&self.host.reports).is_empty();
            match is_quiet {
                true => self.host.crashed.notified().await,
                false => tokio::time::sleep(CHANGE_PAUSE).await,
            }
            let due = mutex::lock(&self.host.reports).take_due(self.host.clock.now());
            if !due.crashes.is_empty() {
                self.publish_crash_reports(due.crashes).await;
            }
            if due.blame != gossip::Blame::default() {
                self.publish_blame(due.blame).await;
            }
            if !due.limits.is_empty() || !due.brittle.is_empty() || !due.colds.is_empty() {
                self.publish_states(&due.limits, &due.brittle, &due.colds)
                    .await;
            }
        }
    }

    async fn send_loads(self) {
        loop {
            let near = self.publish(false).await;
            tokio::time::sleep(load_period(near)).await;
        }
    }

    async fn receive_loads(self) {
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        loop {
            let (length, from) = match self.loads.recv_from(&mut buffer).await {
                Ok(received) => received,
                // Linux reports an ICMP error for an earlier datagram this way.
                Err(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(cause) => {
                    log::warn!(target: "edge", "cannot receive load datagrams: {cause}");
                    tokio::time::sleep(SOCKET_PAUSE).await;
                    continue;
                }
            };
            match gossip::Message::decode(&buffer[..length]) {
                Ok(message) => self.apply(from, &message),
                Err(cause) => {
                    self.host.metrics.count("news_malformed", &[]);
                    log::debug!(target: "edge", "load datagram from {from} ignored: {cause}");
                }
            }
        }
    }

    fn apply(&self, from: net::SocketAddr, message: &gossip::Message) {
        let host = &self.host;
        let now = host.clock.now();
        {
            let mut balancer = mutex::lock(&host.balancer);
            match &message.work {
                gossip::Work::Host(loads) => {
                    balancer.apply_loads(now, message.sender, loads);
                    balancer.relay_placements(now, &message.placements);
                    balancer.apply_demands(now, message.sender, &message.demands);
                }
                gossip::Work::DataCentre { name, sum } => {
                    balancer.apply_sum(now, *name, sum);
                    balancer.apply_demands_sum(now, *name, &message.demands);
                }
                gossip::Work::None => {}
            }
            balancer.apply_placements(now, &message.placements);
            balancer.apply_rates(now, message.sender, &message.rates);
        }
        if message.is_leaving {
            self.mark_leaving(now, message);
        }
        for origin in &message.origins {
            host.keep_origin(*origin, None, now + ORIGIN_TIME);
        }
        host.record_crashes(now, &message.crashes, "peer");
        host.apply_blame(now, from, message);
        host.apply_evacuation(now, &message.evacuated, &from.to_string());
        host.apply_cold(now, &message.cold);
        host.apply_limits(now, &message.limits);
        mutex::lock(&host.balancer).apply_brittle(now, &message.brittle);
        mutex::lock(&host.watchers).record_capacity(now, message.sender, message.cpu_millicores);
        let own_plan = host.plan_version();
        let (plan, endpoints) = (message.plan_version(), message.endpoint_version());
        if plan.era.max(endpoints.era) > 0 {
            host.record_era(plan.era.max(endpoints.era), &from.to_string());
        }
        let confirmed = now.saturating_sub(time::Duration::from_millis(message.age_ms.into()));
        let own_endpoints = {
            let mut registry = mutex::lock(&host.registry);
            registry.record_peer_contact(confirmed);
            registry.version()
        };
        let is_current = own_plan.is_some() && plan == own_plan && endpoints <= own_endpoints;
        if is_current && !message.is_platform_unreachable {
            host.confirm_plan_at(confirmed);
        }
        let peer = host.peer_at(from.ip());
        mutex::lock(&host.sources).record(now, peer, plan, endpoints);
        let lacks_endpoints = endpoints > own_endpoints && host.uses_peer_endpoints(now);
        if plan > own_plan {
            host.record_announced(plan, &from.to_string());
        }
        if plan > own_plan || lacks_endpoints {
            tokio::spawn(self.clone().catch_up());
        }
    }

    fn mark_leaving(&self, now: time::Duration, message: &gossip::Message) {
        let mut membership = mutex::lock(&self.host.membership);
        let name = membership
            .entries()
            .map(|(entry, _)| &entry.name)
            .find(|name| gossip::name_hash(name) == message.sender)
            .cloned();
        if let Some(name) = name {
            membership.mark_leaving(now, &name, message.incarnation);
        }
    }
}
