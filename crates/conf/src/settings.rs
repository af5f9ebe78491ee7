//! Checked settings.

use core::time;
use std::collections;
use std::net;
use std::path;

/// Everything that the settings say, after the check.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This host.
    pub host: Host,
    /// Limits of the caller interface.
    pub limits: Limits,
    /// Classes by name.
    pub classes: collections::BTreeMap<String, Class>,
    /// Teams by name.
    pub teams: collections::BTreeMap<String, Team>,
    /// Callers without a key.
    pub anonymous: Anonymous,
    /// Pools by name.
    pub pools: collections::BTreeMap<String, Pool>,
    /// Endpoints by name.
    pub endpoints: collections::BTreeMap<String, Endpoint>,
    /// At-most-once execution.
    pub once: Once,
    /// The fleet.
    pub fleet: Fleet,
    /// Metrics.
    pub metrics: Metrics,
    /// Logs.
    pub log: Log,
    /// Certificates of the listeners; without them they are plain.
    pub tls: Option<Tls>,
    /// Keys of the administration API.
    pub admin: Admin,
}

/// The `[host]` section. The command line may override each value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: Option<String>,
    /// Data centre.
    pub data_centre: Option<String>,
    /// Region.
    pub region: Option<String>,
    /// Address of the caller interface.
    pub listen: Option<net::SocketAddr>,
    /// Address for other hosts.
    pub peer_listen: Option<net::SocketAddr>,
    /// Address of the administration API.
    pub admin_listen: Option<net::SocketAddr>,
}

/// The `[limits]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Upper bound of a request body in bytes.
    pub body_max: u64,
    /// Upper bound of all headers of a request in bytes.
    pub header_max: u64,
    /// Upper bound of queued requests per shard.
    pub queue_max: usize,
    /// Longest silence of a caller while it sends its request.
    pub idle_timeout: time::Duration,
    /// Longest graceful shutdown.
    pub shutdown_max: time::Duration,
}

/// A `[class NAME]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Tier; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token or, for services, to the answer.
    pub target_first: time::Duration,
    /// Target for the time between tokens.
    pub target_gap: Option<time::Duration>,
    /// Time after which an answer is no longer wanted, unless the request says.
    pub deadline: time::Duration,
    /// Share of service that the class gets when it starves, 0 to 1.
    pub floor: f64,
    /// Longest wait before the floor applies.
    pub starvation_window: time::Duration,
    /// Share of requests that must meet the targets, 0 to 1.
    pub attainment: f64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

/// A `[team NAME]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// SHA-256 of each accepted bearer key; several allow rotation.
    pub key_hashes: Vec<[u8; 32]>,
    /// Weight against other teams.
    pub weight: f64,
    /// Class of the team's requests, unless a pool gives another.
    pub class: String,
}

/// The `[anonymous]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Anonymous {
    /// Class of requests without a key.
    pub class: String,
    /// Weight of all anonymous callers together.
    pub weight: f64,
}

/// What the endpoints of a pool are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Engines of one model.
    Model,
    /// A plain HTTP service.
    Service,
}

/// A `[pool NAME]` section; the name is the model or the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// What the endpoints are.
    pub kind: Kind,
    /// Upper bound of endpoints per shard.
    pub shard_endpoints: usize,
    /// Class of every request of this pool, before the team's.
    pub class: Option<String>,
    /// Output length in tokens above which a request counts as long.
    pub long_tokens: u32,
    /// Share of an endpoint's places that long requests may hold, 0 to 1.
    pub long_share: f64,
    /// Whether a request may run more than once; `None` leaves it to the class.
    pub idempotent: Option<bool>,
}

/// Whether an endpoint checks fencing numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// It refuses an older number.
    Checked,
    /// It ignores the number.
    Ignored,
}

/// An `[endpoint NAME]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Pool that it serves.
    pub pool: String,
    /// Address.
    pub address: net::SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Upper bound of concurrent requests.
    pub slots: u32,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

/// The `[once]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Once {
    /// Names of the hosts that own callers' own keys.
    pub owners: Vec<String>,
    /// Owners before the change in progress.
    pub previous_owners: Vec<String>,
    /// Number of the owner set; grows with each change.
    pub epoch: u64,
    /// How long an acknowledgement holds.
    pub lease: time::Duration,
    /// Largest difference between two clocks.
    pub clock_skew: time::Duration,
    /// Longest time after the first attempt at which a caller sends again.
    pub resend_max_age: time::Duration,
    /// Upper bound of kept results.
    pub kept_max: usize,
}

/// The `[fleet]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Peer addresses of hosts to contact first.
    pub seeds: Vec<net::SocketAddr>,
    /// Shared keys; the first signs, all are accepted.
    pub peer_keys: Vec<String>,
    /// Addresses of the platform's services.
    pub platform: Vec<net::SocketAddr>,
}

/// The `[metrics]` section.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// StatsD address.
    pub statsd: Option<net::SocketAddr>,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One sentence per line.
    Text,
    /// One JSON object per line.
    Json,
}

/// The `[log]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// Format.
    pub format: Format,
    /// Level.
    pub level: String,
}

/// The `[tls]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    /// PEM file with the certificate chain.
    pub certificate: path::PathBuf,
    /// PEM file with the private key.
    pub key: path::PathBuf,
}

/// The `[admin]` section.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admin {
    /// SHA-256 of keys that may read.
    pub read_key_hashes: Vec<[u8; 32]>,
    /// SHA-256 of keys that may also operate.
    pub operate_key_hashes: Vec<[u8; 32]>,
}
