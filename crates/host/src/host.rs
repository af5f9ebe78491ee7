use core::pin;
use core::time;
use std::io;
use std::net;
use std::sync;

use anyhow::Context;

use crate::broker;
use crate::closing;
use crate::config;
use crate::console;
use crate::flow;
use crate::gossip;
use crate::inbound;
use crate::keyed;
use crate::options;
use crate::platform;
use crate::poll;
use crate::record;
use crate::service;
use crate::state;
use crate::view;
use base::clock;

/// Maximum number of further attempts to find a port that is free for both TCP
/// and UDP.
const BIND_ATTEMPTS: u32 = 16;
/// Length of the shortest shared key that the transport accepts.
const KEY_BYTES: usize = 32;
/// Time during which a leaving host still accepts callers. It covers the time to
/// live of the lists that callers cache, and one second until the other hosts
/// have stopped listing this one. A listed address, and a key that came with it,
/// therefore stays usable.
const LEAVE_PAUSE: time::Duration = view::LIST_TTL.saturating_add(time::Duration::from_secs(1));

/// Time for the refusals of open requests to be sent.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(200);

/// A running router host.
///
/// [`Host::shutdown`] stops it gracefully; dropping it aborts its tasks.
pub struct Host {
    front: front::Server,
    server: peer::Server,
    address: net::SocketAddr,
    admin: Option<front::Server>,
    memory: front::Memory,
    parts: Parts,
    socket: peer::Socket,
    tasks: tokio::task::JoinSet<()>,
    shutdown_max: time::Duration,
}

/// State that the tasks of a host share.
#[derive(Clone)]
struct Parts {
    clock: clock::Clock,
    state: sync::Arc<state::State>,
    view: sync::Arc<view::View>,
    keyed: sync::Arc<keyed::Runner>,
    config: sync::Arc<config::Store>,
    peers: peer::Client,
    flow: flow::Flow,
    closing: closing::Closing,
}

impl Host {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub async fn start(options: options::Options) -> anyhow::Result<Self> {
        let settings = options.settings.clone();
        let keys = keys(&settings.fleet)?;
        let (listener, socket) = bind(options.peer_listen, &keys)
            .await
            .with_context(|| format!("cannot bind {} for other hosts", options.peer_listen))?;
        let address = listener.local_addr()?;
        let identity = peer::Identity {
            name: options.name.clone(),
            incarnation: clock::Clock::wall_ms(),
        };
        let advertised = options.peer_advertise.unwrap_or(address);
        let parts = parts(&options, &identity, advertised, keys.clone())?;
        let inbound = inbound::Inbound::new(
            &parts.state,
            &parts.view,
            &parts.keyed,
            &parts.config,
            parts.clock,
        );
        let inbound = sync::Arc::new(inbound);
        let runtime = tokio::runtime::Handle::current();
        let memory = memory(&settings.limits);
        let mut server = peer::server::Options::new(address, identity, keys, runtime);
        server.memory = memory.clone();
        let server = peer::Server::start_on(listener, server, inbound.clone())
            .with_context(|| format!("cannot listen on {address} for other hosts"))?;
        let front = start_front(&options, &parts, memory.clone()).await?;
        parts
            .view
            .with(|membership| membership.set_caller(front.address()));
        let admin = start_admin(&options, &parts, memory.clone()).await?;
        let tasks = start_tasks(&parts, inbound, socket.clone(), &settings.fleet);
        log::info!(
            target: "host",
            "host {} serves callers on {} and hosts on {address}",
            options.name,
            front.address()
        );
        Ok(Self {
            front,
            server,
            address,
            admin,
            memory,
            parts,
            socket,
            tasks,
            shutdown_max: settings.limits.shutdown_max,
        })
    }

    /// Returns the bound address of the caller interface.
    pub const fn caller_addr(&self) -> net::SocketAddr {
        self.front.address()
    }

    /// Returns the bound address for other hosts.
    pub const fn peer_addr(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the bound address of the administration API, if it is enabled.
    pub fn admin_addr(&self) -> Option<net::SocketAddr> {
        self.admin.as_ref().map(front::Server::address)
    }

    /// Returns the account of the memory that callers, users of the administration API
    /// and other hosts fill.
    pub const fn memory(&self) -> &front::Memory {
        &self.memory
    }

    /// Returns the service level counts of the requests that this host received
    /// from callers.
    pub fn burn(&self) -> burn::Snapshot {
        self.parts.state.records().snapshot()
    }

    /// Stores the files and lines from which the settings in force come, for the
    /// administration API.
    pub fn set_sources(&self, configuration: &conf::Configuration) {
        self.parts.state.set_sources(configuration);
    }

    /// Returns the configuration revision in force; 0 while local settings are in
    /// force.
    pub fn revision(&self) -> u64 {
        self.parts.config.revision()
    }

    /// Returns the names of the hosts that are live according to this host's
    /// membership view, itself included.
    pub fn live_hosts(&self) -> Vec<String> {
        self.parts.view.with(|membership| {
            membership
                .live()
                .iter()
                .map(|entry| entry.name.clone())
                .collect()
        })
    }

    /// Returns whether this host holds the lease that lets it dispatch the callers'
    /// own idempotency keys that it owns.
    pub fn holds_lease(&self) -> bool {
        self.parts.keyed.holds_lease()
    }

    /// Returns a counter of the transport between hosts, summed over datagrams and
    /// the links of both directions.
    pub fn transport_count(&self, count: peer::Count) -> u64 {
        let datagrams = self.socket.counters().get(count);
        let out = self.parts.peers.counters().get(count);
        datagrams + out + self.server.counters().get(count)
    }

    /// Puts local settings in force.
    ///
    /// Addresses and limits of the listeners stay as at the start.
    pub fn replace_settings(&self, settings: sync::Arc<conf::Settings>) {
        self.parts.state.replace(settings.clone());
        self.parts.keyed.replace(settings);
    }

    /// Leaves the fleet, waits until the requests in flight are answered, and stops.
    ///
    /// Requests that are still running after `shutdown_max` are refused, or cut if
    /// their answer has begun.
    pub async fn shutdown(mut self) {
        self.parts.view.leave();
        self.parts.peers.leave();
        if self.parts.view.has_peers() {
            tokio::time::sleep(LEAVE_PAUSE.min(self.shutdown_max)).await;
        }
        let mut served = pin::pin!(self.front.shutdown());
        if tokio::time::timeout(self.shutdown_max, served.as_mut())
            .await
            .is_err()
        {
            log::warn!(
                target: "host",
                "shutdown ends the requests that are running after {} s",
                self.shutdown_max.as_secs()
            );
            self.parts.closing.set();
            drop(tokio::time::timeout(REFUSAL_TIME, served).await);
        }
        self.parts.keyed.wait_until_idle(self.shutdown_max).await;
        self.tasks.shutdown().await;
        drop(self.admin);
        drop(self.server);
    }
}

impl Parts {
    fn console(&self) -> console::Console {
        console::Console {
            clock: self.clock,
            state: self.state.clone(),
            view: self.view.clone(),
            keyed: self.keyed.clone(),
            config: self.config.clone(),
            peers: self.peers.clone(),
        }
    }
}

async fn start_admin(
    options: &options::Options,
    parts: &Parts,
    memory: front::Memory,
) -> anyhow::Result<Option<front::Server>> {
    let Some(address) = options.admin_listen else {
        return Ok(None);
    };
    let source = sync::Arc::new(parts.console());
    let server = console::listen(address, tls(&options.settings), memory, source)
        .await
        .with_context(|| format!("cannot bind {address} for administration"))?;
    Ok(Some(server))
}

/// Returns the account that all listeners of the host share.
fn memory(limits: &conf::settings::Limits) -> front::Memory {
    let Some(bytes) = limits.memory_max else {
        return front::Memory::default();
    };
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    front::Memory::new(front::account::Limits::of_budget(bytes))
}

fn tls(settings: &conf::Settings) -> Option<front::tls::Options> {
    let tls = settings.tls.as_ref()?;
    Some(front::tls::Options::new(&tls.certificate, &tls.key))
}

fn parts(
    options: &options::Options,
    identity: &peer::Identity,
    address: net::SocketAddr,
    keys: peer::Keys,
) -> anyhow::Result<Parts> {
    let clock = clock::Clock::start();
    let settings = options.settings.clone();
    let own = fleet::Entry {
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        counter: 0,
        phase: fleet::Phase::Up,
        suspected: false,
        data_centre: options.data_centre.clone(),
        region: options.region.clone(),
        peer: address,
        caller: options.listen,
    };
    let membership = fleet::Options {
        seeds: settings.fleet.seeds.clone(),
        ..fleet::Options::default()
    };
    let membership = fleet::Membership::new(own, membership, rand::random());
    let view = sync::Arc::new(view::View::new(clock, membership));
    let state = state::State::new(settings.clone(), options.policy, clock);
    let state = sync::Arc::new(state);
    let peers = peer::Client::start(peer::client::Options::new(identity.clone(), keys.clone()))?;
    let flow = flow::Flow {
        broker: broker::Broker {
            state: state.clone(),
            view: view.clone(),
            peers: peers.clone(),
            clock,
            waits: sync::Arc::default(),
        },
        client: back::Client::new(back::Options::default()),
        clock,
        stall_timeout: options.stall_timeout,
    };
    let keyed = keyed::Runner::new(
        flow.clone(),
        view.clone(),
        peers.clone(),
        keys,
        identity,
        settings.clone(),
    );
    let config = config::Store::new(
        state.clone(),
        view.clone(),
        clock,
        settings.host.clone(),
        rand::random(),
    );
    Ok(Parts {
        clock,
        state,
        view,
        keyed: sync::Arc::new(keyed),
        config: sync::Arc::new(config),
        peers,
        flow,
        closing: closing::Closing::new(),
    })
}

async fn start_front(
    options: &options::Options,
    parts: &Parts,
    memory: front::Memory,
) -> anyhow::Result<front::Server> {
    let service = service::Service {
        state: parts.state.clone(),
        view: parts.view.clone(),
        keyed: parts.keyed.clone(),
        flow: parts.flow.clone(),
        closing: parts.closing.clone(),
    };
    let limits = &options.settings.limits;
    let limits = front::Options {
        memory,
        body_bytes_max: limits.body_max,
        header_bytes_max: limits.header_max,
        idle_timeout: limits.idle_timeout,
        tls: tls(&options.settings),
        ..front::Options::default()
    };
    front::Server::start(options.listen, limits, sync::Arc::new(service))
        .await
        .with_context(|| format!("cannot bind {} for callers", options.listen))
}

fn start_tasks(
    parts: &Parts,
    inbound: sync::Arc<inbound::Inbound>,
    socket: peer::Socket,
    settings: &conf::settings::Fleet,
) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(poll::tick(parts.state.clone()));
    tasks.spawn(record::send_host_metrics(
        parts.state.clone(),
        parts.view.clone(),
        parts.config.clone(),
    ));
    tasks.spawn(poll::loads(
        parts.state.clone(),
        parts.view.clone(),
        parts.flow.client.clone(),
        parts.clock,
    ));
    tasks.spawn(poll::housekeeping(parts.keyed.clone(), inbound));
    let gossip = gossip::Gossip {
        view: parts.view.clone(),
        keyed: parts.keyed.clone(),
        config: parts.config.clone(),
        peers: parts.peers.clone(),
        socket,
        is_fetching: sync::Arc::default(),
    };
    tasks.spawn(gossip.clone().send_digests());
    tasks.spawn(gossip.clone().send_claims());
    tasks.spawn(gossip.receive());
    if !settings.platform.is_empty() {
        let options = peer::platform::Options::new(settings.platform.clone());
        let watcher = platform::Watcher {
            platform: peer::platform::Client::new(options),
            config: parts.config.clone(),
            keyed: parts.keyed.clone(),
            view: parts.view.clone(),
        };
        tasks.spawn(watcher.clone().watch_config());
        tasks.spawn(watcher.poll_hosts());
    }
    tasks
}

/// Binds the same port for TCP and UDP.
async fn bind(
    address: net::SocketAddr,
    keys: &peer::Keys,
) -> io::Result<(net::TcpListener, peer::Socket)> {
    let mut attempts = 0;
    loop {
        let listener = net::TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        match peer::Socket::bind(bound, keys.clone()).await {
            Ok(socket) => return Ok((listener, socket)),
            // A port that the system chose for TCP may be in use for UDP.
            Err(cause) if address.port() != 0 || attempts >= BIND_ATTEMPTS => return Err(cause),
            Err(_) => attempts += 1,
        }
    }
}

/// Returns the shared keys. A host without any gets a random one, so that no other
/// host can connect to it.
fn keys(settings: &conf::settings::Fleet) -> anyhow::Result<peer::Keys> {
    let own = [rand::random::<[u8; KEY_BYTES]>()];
    let keyring = if settings.peer_keys.is_empty() {
        wire::Keyring::new(&own)
    } else {
        wire::Keyring::new(&settings.peer_keys)
    };
    Ok(peer::Keys::new(
        keyring.context("the peer keys cannot be used")?,
    ))
}
