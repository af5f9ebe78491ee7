use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;
use tokio::sync::Semaphore;

use crate::connector;
use crate::error;
use crate::error_chain;
use crate::load;
use crate::options;
use crate::response;
use crate::reuse;
use crate::slots;
use crate::uses;
use crate::version;

/// Maximum size of a load report.
const LOAD_BYTES_MAX: usize = 4 * 1024;

/// HTTP/2 flow-control window of one stream: bytes of a response that the
/// endpoint may send before they are read.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// HTTP/2 flow-control window of a connection. It holds 256 full stream windows,
/// so that responses that are read slowly do not block the other responses of
/// the connection.
const CONNECTION_WINDOW_BYTES: u32 = 256 * STREAM_WINDOW_BYTES;

type Inner = legacy::Client<connector::Connector, http_body_util::Full<Bytes>>;

/// Sends requests to endpoints. Clones share the connections and their limits.
#[derive(Clone)]
pub struct Client {
    http1: Pair,
    http2: Pair,
}

/// Clients of one HTTP version, by [`reuse::Reuse`].
#[derive(Clone)]
struct Pair {
    pooled: Inner,
    fresh: Inner,
}

impl Client {
    /// Creates a client without open connections.
    pub fn new(options: options::Options) -> Self {
        let connections_max = options.connections_max.min(Semaphore::MAX_PERMITS);
        let all = sync::Arc::new(Semaphore::new(connections_max));
        let pair = |version| Pair {
            pooled: build(&options, &all, version, options.endpoint_idle_max),
            // With at most 0 idle connections pooling is disabled, so that every
            // request opens a connection.
            fresh: build(&options, &all, version, 0),
        };
        Self {
            http1: pair(version::Version::Http1),
            http2: pair(version::Version::Http2),
        }
    }

    /// Sends a request over HTTP/1.1 and returns as soon as the head of the
    /// response has arrived; the body is still to be read.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::NotSent`] only if no byte of the request was
    /// sent, and [`error::Error::MayHaveRun`] for every other failure.
    pub async fn send(
        &self,
        request: http::Request<http_body_util::Full<Bytes>>,
        reuse: reuse::Reuse,
    ) -> Result<http::Response<hyper::body::Incoming>, error::Error> {
        self.send_with_version(request, reuse, version::Version::Http1)
            .await
    }

    /// Sends a request over the given HTTP version. Dropping the future or the
    /// body of the response cancels the request: over HTTP/1.1 the connection
    /// is closed, over HTTP/2 the stream is reset.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::send`] does.
    pub async fn send_with_version(
        &self,
        request: http::Request<http_body_util::Full<Bytes>>,
        reuse: reuse::Reuse,
        version: version::Version,
    ) -> Result<http::Response<hyper::body::Incoming>, error::Error> {
        let pair = match version {
            version::Version::Http1 => &self.http1,
            version::Version::Http2 => &self.http2,
        };
        let client = match reuse {
            reuse::Reuse::Pooled => &pair.pooled,
            reuse::Reuse::Fresh => &pair.fresh,
        };
        let mut response = client.request(request).await.map_err(classify)?;
        response::check(&response).map_err(|cause| error::Error::MayHaveRun(cause.to_string()))?;
        let uses = response.extensions().get::<uses::Uses>();
        let is_reused = uses.is_some_and(uses::Uses::count);
        if is_reused && version == version::Version::Http1 {
            response.extensions_mut().insert(uses::Reused);
        }
        Ok(response)
    }

    /// Requests `GET /load` from an endpoint and parses its load report.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Invalid`] if the status is not a success or the
    /// report is malformed. Otherwise fails as [`Client::send`] does, also if the
    /// report is larger than 4 KiB.
    pub async fn load(&self, address: net::SocketAddr) -> Result<load::Load, error::Error> {
        let request = http::Request::get(format!("http://{address}/load"))
            .body(http_body_util::Full::default())
            .map_err(|cause| error::Error::NotSent(cause.to_string()))?;
        let response = self.send(request, reuse::Reuse::Pooled).await?;
        if !response.status().is_success() {
            return Err(error::Error::Invalid(response.status().to_string()));
        }
        let body = http_body_util::Limited::new(response.into_body(), LOAD_BYTES_MAX)
            .collect()
            .await
            .map_err(|cause| error::Error::MayHaveRun(cause.to_string()))?
            .to_bytes();
        serde_json::from_slice(&body).map_err(|cause| error::Error::Invalid(cause.to_string()))
    }
}

fn build(
    options: &options::Options,
    all: &sync::Arc<Semaphore>,
    version: version::Version,
    idle_max: usize,
) -> Inner {
    let slots = slots::Slots::new(all.clone(), options.endpoint_connections_max);
    legacy::Client::builder(rt::TokioExecutor::new())
        .timer(rt::TokioTimer::new())
        .pool_timer(rt::TokioTimer::new())
        .pool_idle_timeout(options.idle_timeout)
        .pool_max_idle_per_host(idle_max)
        .http2_only(version == version::Version::Http2)
        .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
        .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .http2_keep_alive_interval(options.ping_interval)
        .http2_keep_alive_timeout(options.ping_interval)
        // The library resends only a request that it had queued on a pooled
        // connection and returned unsent because the endpoint had closed the
        // connection; no byte of it was sent. Every other retry is the router's
        // decision.
        .retry_canceled_requests(idle_max > 0)
        .build(connector::Connector::new(slots, options.connect_timeout))
}

fn classify(error: legacy::Error) -> error::Error {
    let text = error_chain::error_chain(&error);
    if error.is_connect() {
        error::Error::NotSent(text)
    } else {
        error::Error::MayHaveRun(text)
    }
}
