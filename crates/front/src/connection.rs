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
use crate::counters;
use crate::encode;
use crate::handler;
use crate::options;
use crate::parse;
use crate::response_body;
use crate::routes;
use crate::stream;
use crate::tls;

/// Bytes of a request head that are read above its limits, so that the
/// refusal is the router's own. The HTTP library refuses without a body.
const HEAD_ROOM_BYTES: usize = 64 * 1024;
/// Header fields that are read above their limit, for the same reason.
const HEAD_ROOM_FIELDS: usize = 156;
/// Bytes that HTTP/2 counts for each header field besides its text.
const FIELD_BYTES: usize = 32;
/// Smallest read buffer that the HTTP library accepts.
const BUFFER_BYTES_MIN: usize = 8 * 1024;

type Router = service::TowerToHyperService<axum::Router>;

/// What answers the requests of a listener.
enum Dispatch {
    /// The caller interface.
    Router(Router),
    /// Another crate, which takes whole HTTP requests.
    Handler(sync::Arc<dyn handler::Handler>),
}

type Response = http::Response<response_body::Body>;

/// What all connections of a listener share.
pub(crate) struct Shared {
    builder: auto::Builder<rt::TokioExecutor>,
    options: arc_swap::ArcSwap<options::Options>,
    dispatch: Dispatch,
    tls: Option<tls::Acceptor>,
    /// Counts of the listener.
    pub(crate) cells: counters::Cells,
}

impl Shared {
    /// Returns the shared part of a listener's connections.
    pub(crate) fn new(state: routes::State, tls: Option<tls::Acceptor>) -> Self {
        Self {
            builder: builder(&state.options),
            options: arc_swap::ArcSwap::new(state.options.clone()),
            dispatch: Dispatch::Router(service::TowerToHyperService::new(routes::build(state))),
            tls,
            cells: counters::Cells::default(),
        }
    }

    /// Returns the shared part of the connections of a listener that hands
    /// whole requests on.
    pub(crate) fn with_handler(
        options: options::Options,
        handler: sync::Arc<dyn handler::Handler>,
    ) -> Self {
        Self {
            builder: builder(&options),
            options: arc_swap::ArcSwap::from_pointee(options),
            dispatch: Dispatch::Handler(handler),
            tls: None,
            cells: counters::Cells::default(),
        }
    }

    /// Replaces the limits of requests and connections.
    pub(crate) fn set_options(&self, options: options::Options) {
        self.options.store(sync::Arc::new(options));
    }

    /// Returns how long a caller may take no byte of an answer.
    pub(crate) fn write_timeout(&self) -> time::Duration {
        self.options.load().write_timeout
    }

    /// Counts and logs the end of a connection that is closed at once.
    fn cut(&self, remote: net::SocketAddr, reason: activity::Reason) {
        let cause = match reason {
            activity::Reason::Slow => {
                counters::count(&self.cells.slow_heads);
                "no request head in time"
            }
            activity::Reason::Stalled => {
                counters::count(&self.cells.stalled);
                "the caller does not read its answer"
            }
            activity::Reason::Idle => "it did not close in time",
        };
        log::debug!(target: "front", "connection of {remote} cut: {cause}");
    }

    async fn answer(
        self: sync::Arc<Self>,
        mut request: http::Request<hyper::body::Incoming>,
        remote: net::SocketAddr,
        running: activity::Running,
    ) -> Result<Response, convert::Infallible> {
        let is_http2 = request.version() == http::Version::HTTP_2;
        let bounds = parse::bounds(request.uri(), request.headers(), &self.options.load());
        let response = match (bounds, &self.dispatch) {
            (Ok(()), Dispatch::Router(router)) => {
                request.extensions_mut().insert(routes::Remote(remote));
                router.call(request).await?
            }
            (Ok(()), Dispatch::Handler(handler)) => handler.handle(request, remote).await,
            (Err(refusal), _) => encode::refused(&refusal),
        };
        Ok(response.map(|inner| {
            let body = response_body::Body::new(inner, running);
            if is_http2 { body.watched(self) } else { body }
        }))
    }
}

/// Serves one connection to its end.
pub(crate) async fn serve(
    shared: sync::Arc<Shared>,
    stream: tokio::net::TcpStream,
    remote: net::SocketAddr,
    mut stopped: watch::Receiver<bool>,
) {
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!(target: "front", "no-delay not set for {remote}: {cause}");
    }
    let Some(tls) = &shared.tls else {
        return exchange(&shared, stream, remote, stopped).await;
    };
    let handshake = tokio::select! {
        handshake = tls.accept(stream) => handshake,
        () = until(&mut stopped) => return,
    };
    match handshake {
        Ok(stream) => exchange(&shared, stream, remote, stopped).await,
        Err(cause) => {
            counters::count(&shared.cells.handshakes_failed);
            log::debug!(target: "front", "TLS handshake of {remote} failed: {cause}");
        }
    }
}

async fn exchange<I>(
    shared: &sync::Arc<Shared>,
    stream: I,
    remote: net::SocketAddr,
    mut stopped: watch::Receiver<bool>,
) where
    I: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let activity = watch::Sender::new(activity::Activity::new(Instant::now()));
    let mut changes = activity.subscribe();
    let stream = stream::Stream::new(stream, activity.clone());
    let service = hyper::service::service_fn(|request: http::Request<_>| {
        let running = activity::Running::start(&activity, request.version());
        shared.clone().answer(request, remote, running)
    });
    let connection = shared
        .builder
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = core::pin::pin!(connection);
    let mut closing = None;
    loop {
        let state = *changes.borrow_and_update();
        let (deadline, reason) = next(&state, closing, &shared.options.load());
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    log::debug!(target: "front", "connection of {remote} ended: {cause}");
                }
                return;
            }
            () = until(&mut stopped), if closing.is_none() => {
                closing = Some(Instant::now());
                connection.as_mut().graceful_shutdown();
            }
            _ = changes.changed() => {}
            () = sleep(deadline) => {
                if reason == activity::Reason::Idle && closing.is_none() {
                    counters::count(&shared.cells.idle_closed);
                    closing = Some(Instant::now());
                    connection.as_mut().graceful_shutdown();
                } else {
                    return shared.cut(remote, reason);
                }
            }
        }
    }
}

/// Returns when to act on a connection if nothing changes, and why.
fn next(
    state: &activity::Activity,
    closing: Option<Instant>,
    options: &options::Options,
) -> (Option<Instant>, activity::Reason) {
    let deadline = state.deadline(options);
    let Some(start) = closing else {
        return match deadline {
            Some((at, reason)) => (Some(at), reason),
            None => (None, activity::Reason::Idle),
        };
    };
    let cut = state
        .quiet_since()
        .map(|quiet| quiet.max(start) + options.close_grace);
    match deadline {
        Some((at, reason))
            if reason != activity::Reason::Idle && cut.is_none_or(|cut| at < cut) =>
        {
            (Some(at), reason)
        }
        _ => (cut, activity::Reason::Idle),
    }
}

/// Waits until the deadline, or for ever without one.
async fn sleep(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => core::future::pending().await,
    }
}

/// Waits until the listener stops.
async fn until(stopped: &mut watch::Receiver<bool>) {
    // An error means that the listener is gone.
    drop(stopped.wait_for(|&stop| stop).await);
}

fn builder(options: &options::Options) -> auto::Builder<rt::TokioExecutor> {
    let header_max = usize::try_from(options.header_bytes_max).unwrap_or(usize::MAX);
    let head = header_max
        .saturating_add(options.uri_bytes_max)
        .saturating_add(HEAD_ROOM_BYTES);
    let fields = options.header_count_max.saturating_add(HEAD_ROOM_FIELDS);
    let list = head.saturating_add(fields.saturating_mul(FIELD_BYTES));
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        // The activity of the connection bounds the head: this timeout would
        // close kept connections too.
        .header_read_timeout(None)
        .max_buf_size(head.max(BUFFER_BYTES_MIN))
        .max_headers(fields);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_concurrent_streams(options.streams_max)
        .max_header_list_size(u32::try_from(list).unwrap_or(u32::MAX));
    builder
}
