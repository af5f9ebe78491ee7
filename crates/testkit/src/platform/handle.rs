use std::collections;
use std::io;
use std::net;
use std::sync;

use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use serde_json::json;
use tokio::sync::watch;
use tokio::time;

use crate::platform::entry::Entry;
use crate::platform::options::Options;
use crate::platform::state::{Counters, State, View};
use crate::server;
use crate::sync::lock;

/// Maximum duration of a watch.
const WAIT_MAX: core::time::Duration = core::time::Duration::from_secs(60);

struct Shared {
    options: Options,
    state: sync::Mutex<State>,
    changed: watch::Sender<u64>,
}

/// Running platform, which stops when the value is dropped.
///
/// Each reader is assigned a separate address, so that the platform can be unreachable or
/// stale for a single reader.
pub struct Platform {
    shared: sync::Arc<Shared>,
    readers: sync::Mutex<collections::BTreeMap<String, server::Server>>,
}

impl Platform {
    /// Starts a platform without a configuration and without hosts.
    pub fn start(options: Options) -> Self {
        let shared = Shared {
            options,
            state: sync::Mutex::default(),
            changed: watch::Sender::new(0),
        };
        Self {
            shared: sync::Arc::new(shared),
            readers: sync::Mutex::default(),
        }
    }

    /// Returns the address for a reader and starts listening on it at the first call.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound for a new reader.
    pub fn address(&self, reader: &str) -> io::Result<net::SocketAddr> {
        let mut readers = lock(&self.readers);
        if let Some(server) = readers.get(reader) {
            return Ok(server.address());
        }
        let router = axum::Router::new()
            .route("/v1/config", routing::get(config))
            .route("/v1/hosts", routing::get(hosts))
            .with_state((sync::Arc::clone(&self.shared), reader.to_owned()));
        let server = server::Server::start(router)?;
        let address = server.address();
        readers.insert(reader.to_owned(), server);
        Ok(address)
    }

    /// Adds or replaces a configuration revision and notifies the watches.
    pub fn set_config(&self, revision: u64, files: collections::BTreeMap<String, String>) {
        let files = sync::Arc::new(files);
        lock(&self.shared.state).revisions.insert(revision, files);
        self.notify_watches();
    }

    /// Sets the host list. The first list is visible at once, later ones after
    /// [`Options::hosts_lag`].
    pub fn set_hosts(&self, hosts: Vec<Entry>) {
        let mut state = lock(&self.shared.state);
        let first = state.lists.is_empty();
        let since = (!first).then(time::Instant::now);
        state.lists.push((since, hosts));
    }

    /// Sets whether the platform is down for a reader. While it is down, the connections of
    /// the reader's requests are closed without a response.
    pub fn set_down(&self, reader: &str, down: bool) {
        self.update_view(reader, |view| view.down = down);
    }

    /// Hides revisions above `newest` from a reader; `None` makes all revisions visible.
    pub fn set_stale(&self, reader: &str, newest: Option<u64>) {
        self.update_view(reader, |view| view.newest = newest);
    }

    /// Sets whether a reader receives its newest visible revision even if it requests a
    /// later one, as from a cache that was rolled back.
    pub fn set_replaying(&self, reader: &str, replaying: bool) {
        self.update_view(reader, |view| view.replaying = replaying);
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> Counters {
        lock(&self.shared.state).counters
    }

    fn update_view(&self, reader: &str, change: impl FnOnce(&mut View)) {
        let mut state = lock(&self.shared.state);
        change(state.views.entry(reader.to_owned()).or_default());
        drop(state);
        self.notify_watches();
    }

    fn notify_watches(&self) {
        self.shared.changed.send_modify(|number| *number += 1);
    }
}

type Context = extract::State<(sync::Arc<Shared>, String)>;

#[derive(serde::Deserialize)]
struct Query {
    after: Option<u64>,
    #[serde(default)]
    wait: f64,
}

/// Counts a watch in [`Counters::waiting`] until it is dropped.
struct Watch<'a>(&'a Shared);

impl<'a> Watch<'a> {
    fn new(shared: &'a Shared) -> Self {
        lock(&shared.state).counters.waiting += 1;
        Self(shared)
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).counters.waiting -= 1;
    }
}

async fn config(
    extract::State((shared, reader)): Context,
    extract::Extension(cut): extract::Extension<server::Cut>,
    extract::Query(query): extract::Query<Query>,
) -> response::Response {
    let mut changed = shared.changed.subscribe();
    let wait = core::time::Duration::try_from_secs_f64(query.wait).unwrap_or_default();
    let until = time::Instant::now() + wait.min(WAIT_MAX);
    if let Err(refusal) = admit(&shared, &reader, &cut, |counters| counters.config += 1).await {
        return refusal;
    }
    let watch = Watch::new(&shared);
    loop {
        let (view, newest) = {
            let state = lock(&shared.state);
            (state.view(&reader), state.newest(&reader))
        };
        if view.down {
            drop(watch);
            cut.cut();
            return core::future::pending().await;
        }
        if let Some((revision, files)) = newest
            && (view.replaying || query.after.is_none_or(|after| revision > after))
        {
            return axum::Json(json!({"revision": revision, "files": *files})).into_response();
        }
        if !matches!(time::timeout_at(until, changed.changed()).await, Ok(Ok(()))) {
            return http::StatusCode::NOT_MODIFIED.into_response();
        }
    }
}

async fn hosts(
    extract::State((shared, reader)): Context,
    extract::Extension(cut): extract::Extension<server::Cut>,
) -> response::Response {
    if let Err(refusal) = admit(&shared, &reader, &cut, |counters| counters.hosts += 1).await {
        return refusal;
    }
    let lag = shared.options.hosts_lag;
    let state = lock(&shared.state);
    axum::Json(json!({"hosts": state.hosts(time::Instant::now(), lag)})).into_response()
}

/// Counts a read and refuses it if the budget is exceeded. Closes the connection if the
/// platform is down for the reader.
async fn admit(
    shared: &Shared,
    reader: &str,
    cut: &server::Cut,
    count: impl FnOnce(&mut Counters),
) -> Result<(), response::Response> {
    let (down, within) = {
        let mut state = lock(&shared.state);
        count(&mut state.counters);
        let within = state.read(time::Instant::now(), shared.options.budget);
        (state.view(reader).down, within)
    };
    if down {
        cut.cut();
        return core::future::pending().await;
    }
    if within {
        return Ok(());
    }
    Err(http::StatusCode::TOO_MANY_REQUESTS.into_response())
}
