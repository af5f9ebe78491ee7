use core::time;
use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use rand::RngExt;
use std::net;
use std::sync;
use std::sync::atomic;

use super::config;
use super::error;
use super::host;
use super::options;

type Body = http_body_util::Empty<bytes::Bytes>;

/// Reads the configuration and the list of hosts. Clones share connections.
///
/// All reads use the same address until it fails, then the next one in the list.
#[derive(Clone)]
pub struct Client {
    options: sync::Arc<options::Options>,
    http: legacy::Client<connect::HttpConnector, Body>,
    /// Counter whose value modulo the number of addresses selects the address in use.
    cursor: sync::Arc<atomic::AtomicUsize>,
}

impl Client {
    /// Creates a client whose first address is chosen at random.
    pub fn new(options: options::Options) -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect_timeout));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS_MAX)
            .build(connector);
        let cursor = rand::rng().random_range(0..options.addresses.len().max(1));
        Self {
            options: sync::Arc::new(options),
            http,
            cursor: sync::Arc::new(atomic::AtomicUsize::new(cursor)),
        }
    }

    /// Waits up to `wait`, truncated to whole seconds, for a configuration revision
    /// above `after`. Returns `None` if there is none. The platform may be stale:
    /// the revision of an answer can be below `after`.
    ///
    /// # Errors
    ///
    /// Fails if all addresses fail, with the error of the last one, or if the answer
    /// is malformed or too large.
    pub async fn config(
        &self,
        after: u64,
        wait: time::Duration,
    ) -> Result<Option<config::Config>, error::Error> {
        let query = back::Query::new("after", after).with("wait", wait.as_secs());
        let path = format!("/v1/config?{query}");
        let Some(body) = self.read(&path, wait).await? else {
            return Ok(None);
        };
        let config: config::Config = parse(&body)?;
        if !config.is_bounded() {
            return Err(error::Error::TooLarge);
        }
        Ok(Some(config))
    }

    /// Reads the list of live and leaving hosts. Entries that are no hosts are left out.
    ///
    /// # Errors
    ///
    /// Fails if all addresses fail, with the error of the last one, or if the answer
    /// is malformed.
    pub async fn hosts(&self) -> Result<Vec<host::Host>, error::Error> {
        let body = self.read("/v1/hosts", time::Duration::ZERO).await?;
        let body = body.ok_or(error::Error::Malformed)?;
        let list: host::List<'_> = parse(&body)?;
        Ok(list.into_hosts())
    }

    /// Reads a path from the first address that answers; each address is tried at
    /// most once. Returns `None` for an answer without content.
    async fn read(
        &self,
        path: &str,
        wait: time::Duration,
    ) -> Result<Option<bytes::Bytes>, error::Error> {
        let addresses = &self.options.addresses;
        let mut failure = error::Error::NoAddress;
        for attempt in 0..addresses.len() {
            if attempt > 0 {
                self.delay_retry().await;
            }
            let cursor = self.cursor.load(atomic::Ordering::Relaxed);
            let address = addresses[cursor % addresses.len()];
            let timeout = wait + self.options.timeout;
            let read = tokio::time::timeout(timeout, self.get(address, path)).await;
            match read.unwrap_or(Err(error::Error::Timeout)) {
                Ok(body) => return Ok(body),
                Err(error) => failure = error,
            }
            log::debug!(target: "peer", "platform: read of {path} at {address} failed: {failure}");
            // Concurrent reads that fail at the same address advance the cursor only
            // once.
            let next = cursor.wrapping_add(1);
            let order = atomic::Ordering::Relaxed;
            let _ = self.cursor.compare_exchange(cursor, next, order, order);
        }
        Err(failure)
    }

    async fn get(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> Result<Option<bytes::Bytes>, error::Error> {
        let request = http::Request::get(format!("http://{address}{path}"))
            .header(http::header::ACCEPT, "application/json")
            .body(Body::new())
            .map_err(|_| error::Error::Malformed)?;
        let sent = self.http.request(request).await;
        let answer = sent.map_err(|error| {
            if error.is_connect() {
                return error::Error::Connect;
            }
            error::Error::Broken
        })?;
        match answer.status() {
            http::StatusCode::OK => {}
            http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED => return Ok(None),
            status => return Err(error::Error::Status(status.as_u16())),
        }
        let body = http_body_util::Limited::new(answer.into_body(), BODY_BYTES_MAX);
        let read = body.collect().await.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                return error::Error::TooLarge;
            }
            error::Error::Broken
        })?;
        Ok(Some(read.to_bytes()))
    }

    async fn delay_retry(&self) {
        let share = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(self.options.retry_delay_max.mul_f64(share)).await;
    }
}

fn parse<'a, T: serde::Deserialize<'a>>(body: &'a [u8]) -> Result<T, error::Error> {
    serde_json::from_slice(body).map_err(|_| error::Error::Malformed)
}

/// Maximum length of an answer. JSON escapes each newline of a file, so an answer is
/// longer than the files in it, which have at most 1 MiB.
const BODY_BYTES_MAX: usize = 2 * wire::limit::CONFIGURATION_BYTES;

/// Idle connections per address: one for the read that waits for a new revision and
/// one for other reads.
const IDLE_CONNECTIONS_MAX: usize = 2;
