use core::time;
use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use base::clock;
use base::mutex;
use rand::SeedableRng;

use crate::announced;
use crate::builds;
use crate::confirmation;
use crate::connections;
use crate::eras;
use crate::expose;
use crate::extension;
use crate::gossip;
use crate::history;
use crate::ingress;
use crate::log_budget;
use crate::mesh;
use crate::metrics;
use crate::options;
use crate::origins;
use crate::peers;
use crate::reach;
use crate::refresh;
use crate::registry;
use crate::reports;
use crate::resend;
use crate::resume;
use crate::snapshot;
use crate::sources;

/// Share of the fleet's fixed retry allowance that the known hosts divide among
/// themselves. The rest is a reserve for hosts that do not know of each other.
const SLACK_SHARE: f64 = 0.6;

/// Share of the retries earned by requests that is used.
const RATIO_SHARE: f64 = 0.8;

/// One host that serves opaque traffic.
pub struct Host {
    pub(crate) options: options::Options,
    pub(crate) clock: clock::Clock,
    pub(crate) table: arc_swap::ArcSwapOption<plan::Table>,
    pub(crate) eras: sync::Mutex<eras::Eras>,
    pub(crate) announced: sync::Mutex<announced::Announced>,
    pub(crate) history: sync::Mutex<history::History>,
    pub(crate) sources: sync::Mutex<sources::Sources>,
    /// Large transfers of the state to other hosts.
    pub(crate) transfers: sync::Arc<tokio::sync::Semaphore>,
    /// Newest era of the platform that is known.
    pub(crate) era: atomic::AtomicU64,
    pub(crate) balancer: sync::Mutex<steer::Balancer>,
    pub(crate) registry: sync::Mutex<registry::Registry>,
    pub(crate) evacuations: sync::Mutex<steer::Evacuations>,
    pub(crate) budgets: sync::Mutex<collections::HashMap<String, steer::Budget>>,
    pub(crate) quarantine: sync::Mutex<route::Quarantine>,
    pub(crate) parts: sync::Mutex<route::parts::Quarantine>,
    /// Reports of this host that are still to be published.
    pub(crate) reports: sync::Mutex<reports::Reports>,
    /// Signals a report that is to be published.
    pub(crate) crashed: tokio::sync::Notify,
    pub(crate) rng: sync::Mutex<rand_pcg::Pcg64Mcg>,
    pub(crate) connections: connections::Pool,
    pub(crate) builds: sync::Mutex<builds::Builds>,
    pub(crate) origins: sync::Mutex<origins::Origins>,
    /// Builds of streams that are still to be published again.
    pub(crate) records: sync::Mutex<resend::Queue<gossip::Origin>>,
    /// Signals an entry in `records`.
    pub(crate) recorded: tokio::sync::Notify,
    /// Services whose builds no longer follow from the list of endpoints; the builds
    /// of their streams are to be published.
    pub(crate) mixed: sync::Mutex<Vec<u64>>,
    /// Signals an entry in `mixed`.
    pub(crate) became_mixed: tokio::sync::Notify,
    /// Client for the state of other hosts.
    pub(crate) client: back::Client,
    /// Socket for datagrams to the load ports of other hosts.
    pub(crate) loads: sync::OnceLock<sync::Arc<tokio::net::UdpSocket>>,
    pub(crate) log_budget: log_budget::Budget,
    /// Metrics of this host; the program may record its own.
    pub metrics: metrics::Recorder,
    pub(crate) watchers: sync::Mutex<fleet::Watchers>,
    /// Signals a change that is published to other hosts immediately.
    pub(crate) changed: tokio::sync::Notify,
    pub(crate) membership: sync::Mutex<fleet::Membership>,
    /// Which other hosts reach the endpoints of services.
    pub(crate) forwarders: sync::Mutex<fleet::Forwarders>,
    pub(crate) probe: sync::Mutex<reach::Probe>,
    /// Requests of other hosts in flight.
    pub(crate) forwarding: atomic::AtomicUsize,
    pub(crate) confirmation: confirmation::Confirmation,
    pub(crate) refresh: refresh::Refresh,
    pub(crate) is_leaving: atomic::AtomicBool,
    /// Signals that requests whose answer has not begun are to be refused, because
    /// the process is about to end.
    pub(crate) closing: tokio::sync::watch::Sender<bool>,
    has_endpoints: atomic::AtomicBool,
    pub(crate) server: sync::Mutex<Option<front::Server>>,
}

impl std::fmt::Debug for Host {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Host")
            .field("name", &self.options.name)
            .finish_non_exhaustive()
    }
}

impl Host {
    /// Starts a host without configuration. It refuses requests until it gets
    /// a configuration and endpoints, from the program or from another host.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the peer key is empty.
    pub async fn start(options: options::Options) -> io::Result<sync::Arc<Self>> {
        let clock = clock::Clock::start();
        let incarnation = clock::Clock::wall_ms();
        let seed = incarnation ^ gossip::name_hash(&options.name);
        let membership = mesh::membership(&options, incarnation, seed);
        let host = sync::Arc::new(Self {
            clock,
            table: arc_swap::ArcSwapOption::empty(),
            eras: sync::Mutex::default(),
            announced: sync::Mutex::default(),
            history: sync::Mutex::default(),
            sources: sync::Mutex::default(),
            transfers: sync::Arc::new(tokio::sync::Semaphore::new(options.transfers_max.max(1))),
            era: atomic::AtomicU64::new(0),
            balancer: sync::Mutex::new(steer::Balancer::new(options.steer.clone())),
            registry: sync::Mutex::new(registry::Registry::new(options.removal_grace)),
            evacuations: sync::Mutex::default(),
            budgets: sync::Mutex::default(),
            quarantine: sync::Mutex::new(route::Quarantine::new()),
            parts: sync::Mutex::new(route::parts::Quarantine::new()),
            reports: sync::Mutex::default(),
            crashed: tokio::sync::Notify::new(),
            rng: sync::Mutex::new(rand_pcg::Pcg64Mcg::seed_from_u64(seed)),
            connections: connections::Pool::default(),
            builds: sync::Mutex::default(),
            origins: sync::Mutex::default(),
            records: sync::Mutex::new(resend::Queue::new(resume::SCHEDULE)),
            recorded: tokio::sync::Notify::new(),
            mixed: sync::Mutex::default(),
            became_mixed: tokio::sync::Notify::new(),
            client: back::Client::new(back::Options::default()),
            loads: sync::OnceLock::new(),
            log_budget: log_budget::Budget::default(),
            metrics: metrics::Recorder::default(),
            watchers: sync::Mutex::default(),
            changed: tokio::sync::Notify::new(),
            membership: sync::Mutex::new(membership),
            forwarders: sync::Mutex::default(),
            probe: sync::Mutex::default(),
            forwarding: atomic::AtomicUsize::new(0),
            confirmation: confirmation::Confirmation::default(),
            refresh: refresh::Refresh::default(),
            is_leaving: atomic::AtomicBool::new(false),
            closing: tokio::sync::watch::Sender::new(false),
            has_endpoints: atomic::AtomicBool::new(false),
            server: sync::Mutex::new(None),
            options,
        });
        let ingress = sync::Arc::new(ingress::Ingress(host.clone()));
        let limits = host.front_options(&plan::Limits::default());
        let listen = host.options.listen;
        let server = front::Server::start_with_handler(listen, limits, ingress).await?;
        *mutex::lock(&host.server) = Some(server);
        let exchange = sync::Arc::new(peers::Peers(host.clone()));
        let limits = host.peer_front_options();
        let listen = host.options.peer_listen;
        let state = front::Server::start_with_handler(listen, limits, exchange).await?;
        mesh::start(&host, state).await?;
        host.report_broken_bounds();
        log::info!(
            target: "edge",
            name = host.options.name.as_str(), data_centre = host.options.data_centre.as_str();
            "started, callers at {}", host.options.listen
        );
        Ok(host)
    }

    /// Changes the list of endpoints and puts the result in force. The closure
    /// gets the time since the start of the process.
    pub fn update_endpoints(&self, change: impl FnOnce(time::Duration, &mut registry::Registry)) {
        let mut registry = mutex::lock(&self.registry);
        change(self.clock.now(), &mut registry);
        self.use_endpoints(&registry);
    }

    /// Records that the platform has answered a request for the endpoints.
    pub fn mark_platform_reachable(&self) {
        let now = self.clock.now();
        let mut registry = mutex::lock(&self.registry);
        if registry.is_unreachable() {
            log::info!(target: "edge", dependency = "platform"; "the platform answers again");
        }
        registry.mark_reachable(now);
    }

    /// Records that the platform does not answer. The first call of an outage
    /// logs `cause`. See [`Registry`](registry::Registry) for the effect on
    /// removals.
    pub fn mark_platform_unreachable(&self, cause: &str) {
        let mut registry = mutex::lock(&self.registry);
        if !registry.is_unreachable() {
            log::warn!(target: "edge", dependency = "platform"; "the platform is lost: {cause}");
        }
        registry.mark_unreachable(self.clock.now());
    }

    /// Replaces the peer addresses of hosts to contact first.
    pub fn set_seeds(&self, seeds: Vec<net::SocketAddr>) {
        let own = self.options.peer_listen;
        let seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        mutex::lock(&self.membership).set_seeds(seeds);
    }

    /// Serves the metrics as text at an address until the returned server is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve_metrics(
        self: &sync::Arc<Self>,
        listen: net::SocketAddr,
    ) -> io::Result<front::Server> {
        let exchange = sync::Arc::new(expose::Metrics(self.clone()));
        let limits = self.metrics_front_options();
        front::Server::start_with_handler(listen, limits, exchange).await
    }

    /// Returns whether this host takes the endpoints from other hosts, because
    /// it is no watcher, has no list yet or gets no answer from the platform.
    pub(crate) fn uses_peer_endpoints(&self, now: time::Duration) -> bool {
        let (is_unreachable, is_empty) = {
            let registry = mutex::lock(&self.registry);
            (registry.is_unreachable(), !registry.version().is_some())
        };
        is_unreachable || is_empty || !self.is_watcher(now)
    }

    /// Returns the platform's version of the endpoints in use.
    pub fn endpoint_version(&self) -> plan::Version {
        mutex::lock(&self.registry).version()
    }

    /// Returns whether the host can serve callers: it has a configuration, has
    /// received endpoints and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.table.load().is_some()
            && self.has_endpoints.load(atomic::Ordering::Acquire)
    }

    /// Returns the addresses that a caller in this data centre should use: the
    /// live hosts of the data centre, or all live hosts if those are too few.
    pub fn caller_addresses(&self, data_centre: &str) -> Vec<net::SocketAddr> {
        let membership = mutex::lock(&self.membership);
        let live = membership.live();
        let near: Vec<net::SocketAddr> = live
            .iter()
            .filter(|entry| entry.data_centre == data_centre)
            .map(|entry| entry.caller)
            .collect();
        if near.len() >= NEAR_HOSTS_MIN {
            return near;
        }
        live.iter().map(|entry| entry.caller).collect()
    }

    /// Returns the account of the memory that callers fill.
    pub const fn memory(&self) -> &front::Memory {
        &self.options.memory
    }

    /// Returns the address at which the host accepts callers.
    pub const fn address(&self) -> net::SocketAddr {
        self.options.listen
    }

    /// Returns the address at which the host accepts other hosts.
    pub const fn peer_address(&self) -> net::SocketAddr {
        self.options.peer_listen
    }

    /// Returns whether the host is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(atomic::Ordering::Acquire)
    }

    pub(crate) fn use_endpoints(&self, registry: &registry::Registry) {
        let endpoints = registry.endpoints();
        mutex::lock(&self.history).record_list(registry.version(), &endpoints);
        let count = endpoints.len();
        let mixed = mutex::lock(&self.builds).update(self.clock.now(), &endpoints);
        self.publish_builds(&mixed);
        let changes = mutex::lock(&self.balancer).replace(&endpoints);
        if !changes.is_empty() {
            self.changed.notify_one();
        }
        let added: collections::HashSet<&str> = changes
            .iter()
            .filter_map(|change| match change {
                steer::Change::Added(id) => Some(id.as_str()),
                _ => None,
            })
            .collect();
        let is_first = !self.has_endpoints.load(atomic::Ordering::Acquire);
        self.mark_listed(registry, &added, is_first);
        let version = registry.version().to_string();
        let build = |id: &str| {
            let endpoint = endpoints.iter().find(|endpoint| endpoint.id == id);
            let build = endpoint.and_then(|endpoint| endpoint.build.as_deref());
            build.unwrap_or("-")
        };
        for change in changes {
            let (what, id) = match &change {
                steer::Change::Added(id) => ("added", id),
                steer::Change::Leaving(id) => ("leaving", id),
                steer::Change::Returned(id) => ("returned", id),
                steer::Change::Removed(id) => ("removed", id),
            };
            log::info!(
                target: "edge",
                endpoint = id.as_str(), build = build(id), change = what, version = version.as_str();
                "endpoint {what}, {count} listed"
            );
        }
        if count > 0 {
            self.has_endpoints.store(true, atomic::Ordering::Release);
        }
    }

    /// Returns the state for another host: what differs from the state that it has, as far
    /// as that is known here, and the whole otherwise.
    pub(crate) fn snapshot(&self, known: snapshot::Known) -> snapshot::Snapshot {
        let now = self.clock.now();
        let registry = mutex::lock(&self.registry);
        let table = self.table.load();
        let plan = table.as_ref().map(|table| table.plan());
        let plan_version = plan.map_or_else(plan::Version::default, plan::Plan::version);
        let plan = plan.filter(|plan| {
            plan_version > known.version && known.content != Some(snapshot::content(plan))
        });
        let endpoints = registry.endpoints();
        let update = known.endpoints.map(|known_list| {
            let history = &mut mutex::lock(&self.history);
            let mut update = history::Update::default();
            if let Some(plan) = plan {
                update.add_plan(history, known.version, plan);
            }
            update.add_list(history, known_list, (registry.version(), &endpoints));
            update
        });
        let has_changes = update.as_ref().is_some_and(history::Update::has_changes);
        let has_list = update.as_ref().is_some_and(history::Update::has_list);
        let endpoints = match has_list {
            true => Vec::new(),
            false => endpoints,
        };
        snapshot::Snapshot {
            plan: plan.filter(|_| !has_changes).cloned(),
            plan_revision: plan_version.revision,
            endpoint_revision: registry.version().revision,
            builds: endpoints
                .iter()
                .map(|endpoint| endpoint.build.clone())
                .collect(),
            endpoints,
            // CAST: A process does not run long enough to exceed the range.
            age_ms: self.plan_age(now).as_millis() as u64,
            extension: extension::Extension::new(plan_version, registry.version()),
            evacuated: self.evacuation_summary(now),
            cold: self.cold_state(now, &registry),
            held: registry.held(now),
            update,
        }
    }

    /// Returns this host's share of the fleet's retry budget. Hosts that are
    /// marked dead count, because they may only be partitioned and still use
    /// their share.
    pub(crate) fn retry_share(&self) -> steer::Allowance {
        let hosts = mutex::lock(&self.membership).entries().count().max(1);
        let all = self.options.retry_budget;
        steer::Allowance {
            ratio: all.ratio * RATIO_SHARE,
            slack: all.slack * SLACK_SHARE / hosts as f64,
            window_s: all.window_s,
        }
    }
}

/// Number of live hosts in a caller's data centre from which on the caller is
/// given no hosts of other data centres.
const NEAR_HOSTS_MIN: usize = 2;
