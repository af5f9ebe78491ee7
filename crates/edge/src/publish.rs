use std::net;

use base::mutex;
use rand::seq::IteratorRandom;

use crate::extension;
use crate::gossip;
use crate::host;
use crate::mesh;

/// Number of random hosts of other data centres that get the loads per period.
const FAR_TARGETS: usize = 2;

/// Most brittle services in a periodic message.
const BRITTLE_MAX: usize = 8;

/// Most learned speeds of endpoints in a periodic message, at 6 bytes each.
const RATES_MAX: usize = 4;

impl mesh::Mesh {
    /// Sends this host's state to its data centre and to some random hosts of
    /// others, or to all hosts. Returns the number of hosts in this data
    /// centre, without this one.
    pub(crate) async fn publish(&self, to_all: bool) -> usize {
        let (near, far) = self.targets();
        let now = self.host.clock.now();
        let (loads, sum, rates) = {
            let mut balancer = mutex::lock(&self.host.balancer);
            let rates = balancer.rate_summaries(now, RATES_MAX);
            (balancer.loads(now), balancer.sum(now), rates)
        };
        let mut parts = gossip::parts(&self.host.options.data_centre, sum);
        let far = match to_all {
            true => {
                // Every part carries the change, so one is enough.
                parts.truncate(1);
                far
            }
            false => {
                let mut rng = mutex::lock(&self.host.rng);
                far.into_iter().sample(&mut *rng, FAR_TARGETS)
            }
        };
        let message = gossip::Message {
            rates: rates.clone(),
            ..self.host.message(gossip::Work::Host(loads))
        };
        self.send(message, &near).await;
        if !far.is_empty() {
            for (index, part) in parts.into_iter().enumerate() {
                let mut message = self.host.message(part);
                if index == 0 {
                    message.rates.clone_from(&rates);
                }
                self.send(message, &far).await;
            }
        }
        near.len()
    }

    /// Sends reports of crashes to all hosts.
    pub(crate) async fn publish_crash_reports(&self, crashes: Vec<gossip::Crash>) {
        let (near, far) = self.targets();
        let message = gossip::Message {
            crashes,
            ..self.host.message(gossip::Work::None)
        };
        self.send(message, &[near, far].concat()).await;
    }

    /// Sends reports of prompt parts to all hosts, in as many messages as they need.
    pub(crate) async fn publish_blame(&self, blame: gossip::Blame) {
        let (near, far) = self.targets();
        let targets = [near, far].concat();
        let mut pieces = gossip::pieces(blame.crashes);
        if pieces.is_empty() {
            pieces.push(Default::default());
        }
        let mut completions = blame.completions;
        for (crashes, rests) in pieces {
            let blame = gossip::Blame {
                crashes,
                completions: core::mem::take(&mut completions),
            };
            let message = gossip::Message {
                blame,
                rests,
                ..self.host.message(gossip::Work::None)
            };
            self.send(message, &targets).await;
        }
    }

    /// Sends the limits of endpoints with these tags, what those of services with these
    /// hashes have said of themselves, and which of these are cold to all hosts.
    pub(crate) async fn publish_states(&self, limited: &[u32], brittle: &[u32], cold: &[u32]) {
        let (near, far) = self.targets();
        let now = self.host.clock.now();
        let (limits, brittle, cold) = {
            let balancer = mutex::lock(&self.host.balancer);
            let limits = limited.iter().filter_map(|&tag| balancer.limit(now, tag));
            let news = balancer.brittle_news(now).into_iter();
            let news = news.filter(|news| brittle.contains(&news.service));
            let mut states = balancer.cold_summaries(now);
            states.retain(|state| cold.contains(&state.tag));
            (limits.collect(), news.collect(), states)
        };
        let mut message = self.host.message(gossip::Work::None);
        message.limits = limits;
        message.brittle = brittle;
        message.cold = cold;
        self.send(message, &[near, far].concat()).await;
    }

    async fn send(&self, mut message: gossip::Message, targets: &[net::SocketAddr]) {
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(cause) => {
                log::error!(target: "edge", "load datagram not encoded: {cause}");
                return;
            }
        };
        for address in targets {
            if let Err(cause) = self.loads.send_to(&bytes, address).await {
                log::debug!(target: "edge", "load datagram to {address} not sent: {cause}");
            }
        }
    }

    fn targets(&self) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
        let membership = mutex::lock(&self.host.membership);
        let own = membership.own();
        let port = self.host.options.load_listen.port();
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (entry, state) in membership.entries() {
            if entry.name == own.name || state == fleet::State::Dead {
                continue;
            }
            let address = net::SocketAddr::new(entry.peer.ip(), port);
            let is_near = entry.data_centre == own.data_centre;
            if is_near {
                near.push(address)
            } else {
                far.push(address)
            }
        }
        (near, far)
    }
}

impl host::Host {
    /// Sends the builds of streams to another host, without waiting.
    pub(crate) fn send_origins(&self, origins: &[gossip::Origin], address: net::SocketAddr) {
        let mut message = self.message(gossip::Work::None);
        message.origins.extend_from_slice(origins);
        if !self.send_now(message, address) {
            self.metrics.count("origins_dropped", &[]);
        }
    }

    /// Sends complete answers on prompt parts to another host, without waiting.
    pub(crate) fn send_completions(
        &self,
        completions: Vec<gossip::Completion>,
        address: net::SocketAddr,
    ) {
        let mut message = self.message(gossip::Work::None);
        message.blame.completions = completions;
        self.send_now(message, address);
    }

    /// Sends a message without waiting; returns whether it was sent.
    fn send_now(&self, mut message: gossip::Message, address: net::SocketAddr) -> bool {
        let Some(socket) = self.loads.get() else {
            return false;
        };
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(cause) => {
                log::error!(target: "edge", "datagram not encoded: {cause}");
                return false;
            }
        };
        let sent = socket.try_send_to(&bytes, address);
        if let Err(cause) = &sent {
            log::debug!(target: "edge", "datagram to {address} not sent: {cause}");
        }
        sent.is_ok()
    }

    fn message(&self, work: gossip::Work) -> gossip::Message {
        let host = self;
        let now = host.clock.now();
        let (demands, placements) = {
            let balancer = mutex::lock(&host.balancer);
            match work {
                gossip::Work::Host(_) => (balancer.demands(now), balancer.placements(now)),
                gossip::Work::DataCentre { .. } => {
                    let mut rng = mutex::lock(&host.rng);
                    let placements = balancer.sample_placements(now, &mut *rng);
                    (balancer.demands_sum(now), placements)
                }
                gossip::Work::None => Default::default(),
            }
        };
        let (endpoints, is_platform_unreachable) = {
            let registry = mutex::lock(&host.registry);
            (registry.version(), registry.is_unreachable())
        };
        let blame = match work {
            gossip::Work::None => gossip::Blame::default(),
            _ => host.sample_blame(),
        };
        let (crashes, cold) = match work {
            gossip::Work::None => Default::default(),
            _ => (host.poison_crashes(now), host.sample_cold(now)),
        };
        let (limits, brittle) = match work {
            gossip::Work::None => Default::default(),
            _ => {
                let brittle = mutex::lock(&host.balancer).brittle_news(now);
                let brittle = brittle.into_iter().take(BRITTLE_MAX).collect();
                (host.sample_limits(now), brittle)
            }
        };
        let plan = host.plan_version();
        gossip::Message {
            sender: gossip::name_hash(&host.options.name),
            incarnation: mutex::lock(&host.membership).own().incarnation,
            // CAST: A process does not run long enough to exceed the range.
            sent_ms: now.as_millis() as u64,
            is_leaving: host.is_leaving(),
            cpu_millicores: host.options.cpu_millicores,
            is_platform_unreachable,
            plan_revision: plan.revision,
            endpoint_revision: endpoints.revision,
            age_ms: u32::try_from(host.plan_age(now).as_millis()).unwrap_or(u32::MAX),
            crashes,
            demands,
            placements,
            work,
            extension: extension::Extension::new(plan, endpoints),
            origins: Vec::new(),
            blame,
            limits,
            brittle,
            evacuated: host.evacuation_summary(now),
            cold,
            rates: Vec::new(),
            rests: Vec::new(),
        }
    }
}
