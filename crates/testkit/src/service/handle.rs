use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use futures_util::stream;
use futures_util::stream::StreamExt as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use serde_json::json;
use tokio::time;

use crate::engine;
use crate::server;
use crate::service::execution::Execution;
use crate::service::options::Options;
use crate::service::reply::{Fault, Reply};
use crate::sync::lock;
use crate::text;

struct Shared {
    options: Options,
    started: time::Instant,
    slots: tokio::sync::Semaphore,
    waiting: atomic::AtomicUsize,
    draining: atomic::AtomicBool,
    rng: sync::Mutex<rand_pcg::Pcg64Mcg>,
    script: sync::Mutex<collections::VecDeque<Reply>>,
    executions: sync::Mutex<Vec<Execution>>,
}

/// Running service, which stops when the value is dropped.
///
/// It executes requests for every path except `/load`, which returns a load report. A
/// request takes effect even if its caller disconnects. The response body is token 0 of the
/// answer to the field `tag` of the JSON request; see [`crate::text`].
pub struct Service {
    shared: sync::Arc<Shared>,
    server: server::Server,
}

impl Service {
    /// Starts a service on an ephemeral port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let shared = sync::Arc::new(Shared {
            started: time::Instant::now(),
            slots: tokio::sync::Semaphore::new(options.slots),
            waiting: atomic::AtomicUsize::new(0),
            draining: atomic::AtomicBool::new(false),
            rng: sync::Mutex::new(rand_pcg::Pcg64Mcg::seed_from_u64(options.seed)),
            script: sync::Mutex::default(),
            executions: sync::Mutex::default(),
            options,
        });
        let router = axum::Router::new()
            .route("/load", routing::get(load))
            .fallback(run)
            .with_state(sync::Arc::clone(&shared));
        let server = server::Server::start(router)?;
        Ok(Self { shared, server })
    }

    /// Returns the listen address, which stays the same after a crash.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns all executions in the order in which they took effect.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.shared.executions).clone()
    }

    /// Returns the number of executions per idempotency key or, without one, per body.
    pub fn counts(&self) -> collections::BTreeMap<String, usize> {
        let mut counts = collections::BTreeMap::new();
        for execution in lock(&self.shared.executions).iter() {
            let name = execution.key.as_ref().unwrap_or(&execution.body);
            *counts.entry(name.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.shared.running()
    }

    /// Sets the replies to the next requests, one each, and discards earlier ones. Further
    /// requests succeed.
    pub fn script(&self, replies: impl IntoIterator<Item = Reply>) {
        *lock(&self.shared.script) = replies.into_iter().collect();
    }

    /// Sets whether `GET /load` reports that the service is draining.
    pub fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Relaxed);
    }

    /// Closes all connections and the listener until [`Service::restart`].
    pub fn crash(&self) {
        self.server.close();
    }

    /// Reopens the listener on the same port after a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound again within two seconds.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.open().await
    }
}

impl Shared {
    fn running(&self) -> usize {
        self.options.slots - self.slots.available_permits()
    }

    fn delay(&self) -> core::time::Duration {
        let deviation = lock(&self.rng).random_range(-1.0..=1.0) * self.options.jitter;
        let factor = engine::Slowdown::factor(&self.options.slow, self.started.elapsed());
        self.options
            .delay
            .mul_f64((1.0 + deviation).max(0.0) * factor)
    }

    /// Waits for a slot and executes the request. Returns whether it took effect.
    async fn execute(&self, reply: Reply, execution: Execution) -> bool {
        self.waiting.fetch_add(1, Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Relaxed);
        time::sleep(self.delay() + reply.before).await;
        let has_effect = !matches!(reply.fault, Some(Fault::Refuse(_) | Fault::CutBefore));
        if has_effect {
            let at = self.started.elapsed();
            lock(&self.executions).push(Execution { at, ..execution });
        }
        time::sleep(reply.after).await;
        drop(slot);
        has_effect
    }
}

async fn load(extract::State(shared): extract::State<sync::Arc<Shared>>) -> response::Response {
    axum::Json(json!({
        "running": shared.running(),
        "waiting": shared.waiting.load(Relaxed),
        "slots": shared.options.slots,
        "draining": shared.draining.load(Relaxed),
        "at_ms": engine::unix_ms(),
    }))
    .into_response()
}

async fn run(
    extract::State(shared): extract::State<sync::Arc<Shared>>,
    extract::Extension(cut): extract::Extension<server::Cut>,
    uri: http::Uri,
    headers: http::HeaderMap,
    body: String,
) -> response::Response {
    let reply = lock(&shared.script).pop_front().unwrap_or_default();
    let answer = answer(&body);
    let key = headers.get("idempotency-key");
    let execution = Execution {
        key: key.and_then(|value| value.to_str().ok()).map(str::to_owned),
        path: uri.path().to_owned(),
        body,
        at: core::time::Duration::ZERO,
    };
    let work = tokio::spawn(async move { shared.execute(reply, execution).await });
    let status = match (work.await, reply.fault) {
        (Err(_), _) | (_, Some(Fault::CutBefore | Fault::CutAfter)) => {
            cut.cut();
            return core::future::pending().await;
        }
        (_, Some(Fault::Refuse(status) | Fault::Status(status))) => status,
        _ => 200,
    };
    let status = http::StatusCode::from_u16(status).unwrap_or_default();
    (status, reply_body(answer, reply)).into_response()
}

fn answer(body: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    text::token(
        &text::sanitize_tag(value["tag"].as_str().unwrap_or_default()),
        0,
    )
}

fn reply_body(answer: String, reply: Reply) -> axum::body::Body {
    if reply.within.is_zero() && reply.fault != Some(Fault::CutWithin) {
        return answer.into();
    }
    let (head, tail) = answer.split_at(answer.len() / 2);
    let tail = match reply.fault {
        Some(Fault::CutWithin) => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
        _ => Ok(tail.to_owned()),
    };
    let delayed_tail = stream::once(async move {
        time::sleep(reply.within).await;
        tail
    });
    axum::body::Body::from_stream(stream::iter([Ok(head.to_owned())]).chain(delayed_tail))
}
