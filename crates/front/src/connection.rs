use core::convert;
use core::time;
use std::net;
use std::sync;

use hyper::service::Service as _;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::service;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::activity;
use crate::buffers;
use crate::counters;
use crate::encode;
use crate::handler;
use crate::memory;
use crate::options;
use crate::parse;
use crate::response_body;
use crate::routes;
use crate::stream;
use crate::tls;

/// Header fields by which the limit of the HTTP library exceeds that of a request, so
/// that the router can refuse the request itself.
const HEAD_MARGIN_FIELDS: usize = 156;
/// Bytes that HTTP/2 adds to the size of each header field.
const FIELD_OVERHEAD_BYTES: usize = 32;
/// Bytes of one answer that HTTP/2 holds for a caller that reads slowly.
const HTTP2_SEND_BYTES_MAX: usize = 64 * 1024;
/// Smallest read buffer that the HTTP library accepts.
const BUFFER_BYTES_MIN: usize = 8 * 1024;

type Router = service::TowerToHyperService<axum::Router>;

/// Destination of the requests of a listener.
enum Dispatch {
    /// The routes of this crate, which parse requests.
    Router(Router),
    /// A handler of whole HTTP requests in another crate.
    Handler(sync::Arc<dyn handler::Handler>),
}

type Response = http::Response<response_body::Body>;

/// State that all connections of a listener share.
pub(crate) struct Shared {
    /// Limits of the HTTP library for connections that are accepted from now on.
    builder: arc_swap::ArcSwap<auto::Builder<rt::TokioExecutor>>,
    options: arc_swap::ArcSwap<options::Options>,
    dispatch: Dispatch,
    tls: Option<tls::Acceptor>,
    /// Connection counts of the listener.
    pub(crate) counters: counters::Atomics,
}

impl Shared {
    /// Returns the shared state of a listener that parses requests.
    pub(crate) fn new(state: routes::State, tls: Option<tls::Acceptor>) -> Self {
        Self {
            builder: arc_swap::ArcSwap::from_pointee(builder(&state.options)),
            options: arc_swap::ArcSwap::new(state.options.clone()),
            dispatch: Dispatch::Router(service::TowerToHyperService::new(routes::build(state))),
            tls,
            counters: counters::Atomics::default(),
        }
    }

    /// Returns the shared state of a listener that passes whole requests to
    /// `handler`.
    pub(crate) fn with_handler(
        options: options::Options,
        handler: sync::Arc<dyn handler::Handler>,
        tls: Option<tls::Acceptor>,
    ) -> Self {
        Self {
            builder: arc_swap::ArcSwap::from_pointee(builder(&options)),
            options: arc_swap::ArcSwap::from_pointee(options),
            dispatch: Dispatch::Handler(handler),
            tls,
            counters: counters::Atomics::default(),
        }
    }

    /// Replaces the limits that are applied to requests and connections. The
    /// limits of the HTTP library apply to new connections.
    pub(crate) fn set_options(&self, options: options::Options) {
        self.builder.store(sync::Arc::new(builder(&options)));
        self.options.store(sync::Arc::new(options));
    }

    /// Returns the account of the memory that callers fill.
    pub(crate) fn memory(&self) -> memory::Memory {
        self.options.load().memory.clone()
    }

    /// Returns the longest time for which new connections wait for a place.
    pub(crate) fn slot_wait(&self) -> time::Duration {
        self.options.load().slot_wait
    }

    /// Returns the maximum time for which a caller may accept no byte of a response.
    pub(crate) fn write_timeout(&self) -> time::Duration {
        self.options.load().write_timeout
    }

    /// Counts and logs the abort of a connection.
    fn record_abort(&self, remote: net::SocketAddr, reason: activity::Reason) {
        let cause = match reason {
            activity::Reason::SlowHead => {
                counters::increment(&self.counters.slow_heads);
                "no request head was received in time"
            }
            activity::Reason::Stalled => {
                counters::increment(&self.counters.stalled);
                "the caller did not read the response in time"
            }
            activity::Reason::Idle => "the graceful shutdown timed out",
        };
        log::debug!(target: "front", "connection of {remote} aborted: {cause}");
    }

    async fn respond(
        self: sync::Arc<Self>,
        mut request: http::Request<hyper::body::Incoming>,
        remote: net::SocketAddr,
        guard: activity::Guard,
    ) -> Result<Response, convert::Infallible> {
        let is_http2 = request.version() == http::Version::HTTP_2;
        let bounds = parse::bounds(request.uri(), request.headers(), &self.options.load());
        let response = match (bounds, &self.dispatch) {
            (Ok(()), Dispatch::Router(router)) => {
                request.extensions_mut().insert(routes::Remote(remote));
                router.call(request).await?
            }
            (Ok(()), Dispatch::Handler(handler)) => handler.handle(request, remote).await,
            (Err(refusal), _) => encode::refusal_with_new_id(&refusal),
        };
        Ok(response.map(|inner| {
            let body = response_body::Body::new(inner, guard);
            if is_http2 {
                body.with_write_timeout(self)
            } else {
                body
            }
        }))
    }
}

/// Serves one connection until it ends. After `stopped` changes to true it is
/// closed as soon as its requests in flight are complete.
pub(crate) async fn serve(
    shared: sync::Arc<Shared>,
    stream: tokio::net::TcpStream,
    remote: net::SocketAddr,
    buffers: sync::Arc<buffers::Buffers>,
    mut stopped: watch::Receiver<bool>,
) {
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!(
            target: "front",
            "TCP_NODELAY cannot be set on the connection of {remote}: {cause}"
        );
    }
    let Some(tls) = &shared.tls else {
        return serve_http(&shared, stream, remote, buffers, stopped).await;
    };
    let handshake = tokio::select! {
        handshake = tls.accept(stream) => handshake,
        () = wait_for_stop(&mut stopped) => return,
    };
    match handshake {
        Ok(stream) => serve_http(&shared, stream, remote, buffers, stopped).await,
        Err(cause) => {
            counters::increment(&shared.counters.handshakes_failed);
            log::debug!(target: "front", "TLS handshake with {remote} failed: {cause}");
        }
    }
}

async fn serve_http<I>(
    shared: &sync::Arc<Shared>,
    stream: I,
    remote: net::SocketAddr,
    buffers: sync::Arc<buffers::Buffers>,
    mut stopped: watch::Receiver<bool>,
) where
    I: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let activity = watch::Sender::new(activity::Activity::new(Instant::now()));
    let mut changes = activity.subscribe();
    let stream = stream::Stream::new(stream, activity.clone(), buffers.clone());
    let service = hyper::service::service_fn(|request: http::Request<_>| {
        let guard = activity::Guard::start(&activity, &buffers, request.version());
        shared.clone().respond(request, remote, guard)
    });
    let builder = shared.builder.load_full();
    let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = core::pin::pin!(connection);
    let mut closing_since = None;
    loop {
        let state = *changes.borrow_and_update();
        let (deadline, reason) = next_deadline(&state, closing_since, &shared.options.load());
        tokio::select! {
            // A request that has arrived is read before the deadline takes effect.
            biased;
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    log::debug!(target: "front", "connection of {remote} ended: {cause}");
                }
                return;
            }
            () = wait_for_stop(&mut stopped), if closing_since.is_none() => {
                closing_since = Some(Instant::now());
                connection.as_mut().graceful_shutdown();
            }
            _ = changes.changed() => {}
            () = sleep_until(deadline) => {
                // The limits may have changed since the deadline was computed.
                let current = next_deadline(&state, closing_since, &shared.options.load());
                if current.0.is_none_or(|at| at > Instant::now()) {
                    continue;
                }
                if reason == activity::Reason::Idle && closing_since.is_none() {
                    counters::increment(&shared.counters.idle_closed);
                    closing_since = Some(Instant::now());
                    connection.as_mut().graceful_shutdown();
                } else {
                    return shared.record_abort(remote, reason);
                }
            }
        }
    }
}

/// Returns when and why to close or abort a connection if nothing changes.
///
/// During a graceful shutdown, which began at `closing_since`, an idle connection
/// is aborted after `close_grace`.
fn next_deadline(
    state: &activity::Activity,
    closing_since: Option<Instant>,
    options: &options::Options,
) -> (Option<Instant>, activity::Reason) {
    let deadline = state.deadline(options);
    let Some(start) = closing_since else {
        return match deadline {
            Some((at, reason)) => (Some(at), reason),
            None => (None, activity::Reason::Idle),
        };
    };
    let abort_at = state
        .idle_since()
        .map(|idle| idle.max(start) + options.close_grace);
    match deadline {
        Some((at, reason))
            if reason != activity::Reason::Idle
                && abort_at.is_none_or(|abort_at| at < abort_at) =>
        {
            (Some(at), reason)
        }
        _ => (abort_at, activity::Reason::Idle),
    }
}

/// Waits until the deadline, or forever without one.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => core::future::pending().await,
    }
}

/// Waits until the listener stops and the runtime has polled for bytes and
/// connections that arrived before.
pub(crate) async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the listener was dropped.
    drop(stopped.wait_for(|&stop| stop).await);
    tokio::task::yield_now().await;
}

fn builder(options: &options::Options) -> auto::Builder<rt::TokioExecutor> {
    let header_bytes_max = usize::try_from(options.header_bytes_max).unwrap_or(usize::MAX);
    let head_bytes = header_bytes_max
        .saturating_add(options.uri_bytes_max)
        .saturating_add(options.head_margin_bytes);
    let fields = options.header_count_max.saturating_add(HEAD_MARGIN_FIELDS);
    let list_bytes = head_bytes.saturating_add(fields.saturating_mul(FIELD_OVERHEAD_BYTES));
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        // `activity` enforces the time-out of the head. This time-out would also
        // close idle connections that are kept alive.
        .header_read_timeout(None)
        .max_buf_size(head_bytes.max(BUFFER_BYTES_MIN))
        .max_headers(fields);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_concurrent_streams(options.streams_max)
        .initial_stream_window_size(stream::HTTP2_WINDOW_BYTES / 2)
        .initial_connection_window_size(stream::HTTP2_WINDOW_BYTES)
        .max_send_buf_size(HTTP2_SEND_BYTES_MAX)
        .max_header_list_size(u32::try_from(list_bytes).unwrap_or(u32::MAX));
    builder
}
