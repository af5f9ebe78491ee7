use core::time;
use std::fs;
use std::net;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::rustls::pki_types;

use crate::cli;
use crate::progress;
use crate::tls;

/// Maximum time for one request to a host, including the connection set-up.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Maximum size of a response body.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Client of the administration APIs of hosts.
pub(crate) struct Client {
    tls: Option<tokio_rustls::TlsConnector>,
    server_name: Option<String>,
    key: String,
}

impl Client {
    fn new(hosts: &cli::Hosts) -> anyhow::Result<Self> {
        Ok(Self {
            tls: hosts.ca_file.as_deref().map(tls::connector).transpose()?,
            server_name: hosts.server_name.clone(),
            key: key(hosts)?.unwrap_or_default(),
        })
    }

    /// Sends a `GET` request for a path below `/admin/v1/` and decodes the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, the host does not respond within 10 s,
    /// it returns an error status, or the response cannot be decoded.
    pub(crate) async fn get<T: serde::de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let request = http::Request::get(format!("/admin/v1/{path}"))
            .header("host", address.to_string())
            .header("authorization", format!("Bearer {}", self.key))
            .body(http_body_util::Full::default())?;
        let exchange = async {
            let stream = tokio::net::TcpStream::connect(address).await?;
            let Some(tls) = &self.tls else {
                return send(stream, request).await;
            };
            let name = self.server_name.clone();
            let name = name.unwrap_or_else(|| address.ip().to_string());
            let name = pki_types::ServerName::try_from(name)?;
            send(tls.connect(name, stream).await?, request).await
        };
        let answer = tokio::time::timeout(TIMEOUT, exchange).await;
        decode(answer.with_context(|| format!("no response within {} s", TIMEOUT.as_secs()))??)
    }
}

/// Sends a `POST` request with a JSON body, without a key or TLS, and returns the body of
/// the response.
///
/// # Errors
///
/// Returns an error if the connection fails, the host does not respond within 10 s, or it
/// returns an error status.
pub(crate) async fn post(
    address: net::SocketAddr,
    path: &str,
    body: &serde_json::Value,
) -> anyhow::Result<Bytes> {
    let request = http::Request::post(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(http_body_util::Full::from(body.to_string()))?;
    let exchange = async {
        let stream = tokio::net::TcpStream::connect(address).await?;
        send(stream, request).await
    };
    let answer = tokio::time::timeout(TIMEOUT, exchange).await;
    success(answer.with_context(|| format!("no response within {} s", TIMEOUT.as_secs()))??)
}

/// Decodes a response.
fn decode<T: serde::de::DeserializeOwned>(
    response: (http::StatusCode, Bytes),
) -> anyhow::Result<T> {
    serde_json::from_slice(&success(response)?).context("cannot decode the response")
}

/// Returns the body of a response unless its status is an error.
fn success((status, body): (http::StatusCode, Bytes)) -> anyhow::Result<Bytes> {
    if !status.is_success() {
        let error: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let message = error["error"]["message"].as_str();
        let message = message.unwrap_or("the response has no error message");
        anyhow::bail!("the host returned {status}: {message}");
    }
    Ok(body)
}

/// Sends a request on a new connection and reads the whole response.
async fn send<I>(
    stream: I,
    request: http::Request<http_body_util::Full<Bytes>>,
) -> anyhow::Result<(http::StatusCode, Bytes)>
where
    I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
    // A connection failure also fails the request, so the result is not needed.
    tokio::spawn(connection);
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = http_body_util::Limited::new(response.into_body(), BODY_MAX_BYTES);
    let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
    Ok((status, body.to_bytes()))
}

/// Returns the bearer key from `--key-file` or `--key`; `None` if neither is set.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub(crate) fn key(hosts: &cli::Hosts) -> anyhow::Result<Option<String>> {
    let Some(file) = &hosts.key_file else {
        return Ok(hosts.key.clone());
    };
    let text =
        fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    Ok(Some(text.trim().to_owned()))
}

/// Runs `query` for each host given by `--admin`, one after the other, and returns the
/// results by address.
///
/// # Errors
///
/// Returns an error if no host is given, or if the key file or the certificate file
/// cannot be read. A host whose query fails does not stop the others.
pub(crate) fn query_each<T>(
    hosts: &cli::Hosts,
    query: impl AsyncFn(&Client, net::SocketAddr) -> anyhow::Result<T>,
) -> anyhow::Result<Vec<(net::SocketAddr, anyhow::Result<T>)>> {
    anyhow::ensure!(!hosts.admin.is_empty(), "no host is given: set --admin");
    let client = Client::new(hosts)?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    runtime.block_on(async {
        let mut results = Vec::new();
        for &address in &hosts.admin {
            let label = format!("waiting for {address}");
            let result = progress::show(&label, query(&client, address)).await;
            results.push((address, result));
        }
        Ok(results)
    })
}
