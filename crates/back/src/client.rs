use core::time;
use std::net;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;

use crate::error;
use crate::load;

/// Upper bound of a load report in bytes.
const LOAD_BYTES_MAX: usize = 4 * 1024;

type Inner = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;

/// What the caller of the library chooses.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest time to make a connection.
    pub connect_timeout: time::Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(30),
        }
    }
}

/// Whether a request may use a kept connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Takes an idle connection where there is one.
    Kept,
    /// Opens a connection for this request. An idle connection that the
    /// endpoint closes at the same moment leaves the outcome unknown, which a
    /// non-idempotent request must avoid.
    Fresh,
}

/// Sends requests to endpoints.
#[derive(Clone)]
pub struct Client {
    kept: Inner,
    fresh: Inner,
}

impl Client {
    /// Returns a client without connections.
    pub fn new(options: Options) -> Self {
        Self {
            kept: build(options, usize::MAX),
            fresh: build(options, 0),
        }
    }

    /// Sends a request and returns the answer's head with its body still to read.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::NotSent`] only if no byte of the request left
    /// this host, and [`error::Error::MayHaveRun`] for every other failure.
    pub async fn send(
        &self,
        request: http::Request<http_body_util::Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<http::Response<hyper::body::Incoming>, error::Error> {
        let client = match reuse {
            Reuse::Kept => &self.kept,
            Reuse::Fresh => &self.fresh,
        };
        client.request(request).await.map_err(classify)
    }

    /// Reads an endpoint's load report.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint cannot be reached or the report is not valid.
    pub async fn load(&self, address: net::SocketAddr) -> Result<load::Load, error::Error> {
        let request = http::Request::get(format!("http://{address}/load"))
            .body(http_body_util::Full::default())
            .map_err(|cause| error::Error::NotSent(cause.to_string()))?;
        let response = self.send(request, Reuse::Kept).await?;
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

fn build(options: Options, idle_max: usize) -> Inner {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_connect_timeout(Some(options.connect_timeout));
    connector.set_nodelay(true);
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .pool_idle_timeout(options.idle_timeout)
        .pool_max_idle_per_host(idle_max)
        // A repeat is the router's decision, never the client's.
        .retry_canceled_requests(false)
        .build(connector)
}

fn classify(cause: legacy::Error) -> error::Error {
    let text = chain(&cause);
    if cause.is_connect() {
        error::Error::NotSent(text)
    } else {
        error::Error::MayHaveRun(text)
    }
}

fn chain(cause: &dyn std::error::Error) -> String {
    let mut text = cause.to_string();
    let mut next = cause.source();
    while let Some(source) = next {
        text.push_str(": ");
        text.push_str(&source.to_string());
        next = source.source();
    }
    text
}
