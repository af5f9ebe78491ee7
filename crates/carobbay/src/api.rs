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

/// Longest wait for one answer of a host.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Upper bound of an answer in bytes.
const ANSWER_MAX: usize = 64 * 1024 * 1024;

/// Reads the administration APIs of hosts.
pub(crate) struct Api {
    tls: Option<tokio_rustls::TlsConnector>,
    server_name: Option<String>,
    key: String,
}

impl Api {
    fn new(hosts: &cli::Hosts) -> anyhow::Result<Self> {
        Ok(Self {
            tls: hosts.ca_file.as_deref().map(tls::connector).transpose()?,
            server_name: hosts.server_name.clone(),
            key: key(hosts)?.unwrap_or_default(),
        })
    }

    /// Reads a path below `/admin/v1/`.
    ///
    /// # Errors
    ///
    /// Fails if the host does not answer in time or refuses.
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
        let (status, body) = tokio::time::timeout(TIMEOUT, exchange)
            .await
            .context("no answer in time")??;
        if !status.is_success() {
            let answer: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let message = answer["error"]["message"].as_str().unwrap_or("no reason");
            anyhow::bail!("refused with {status}: {message}");
        }
        serde_json::from_slice(&body).context("the answer cannot be read")
    }
}

/// Sends a request on a new connection and returns the whole answer.
async fn send<I>(
    stream: I,
    request: http::Request<http_body_util::Full<Bytes>>,
) -> anyhow::Result<(http::StatusCode, Bytes)>
where
    I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
    // A failure of the connection shows in the answer, too.
    tokio::spawn(connection);
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = http_body_util::Limited::new(response.into_body(), ANSWER_MAX);
    let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
    Ok((status, body.to_bytes()))
}

/// Returns the bearer key that the arguments give.
///
/// # Errors
///
/// Fails if its file cannot be read.
pub(crate) fn key(hosts: &cli::Hosts) -> anyhow::Result<Option<String>> {
    let Some(file) = &hosts.key_file else {
        return Ok(hosts.key.clone());
    };
    let text =
        fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    Ok(Some(text.trim().to_owned()))
}

/// Runs `read` for each host that the arguments name, one after the other.
///
/// # Errors
///
/// Fails if no host is named or the key cannot be read.
pub(crate) fn each<T>(
    hosts: &cli::Hosts,
    read: impl AsyncFn(&Api, net::SocketAddr) -> anyhow::Result<T>,
) -> anyhow::Result<Vec<(net::SocketAddr, anyhow::Result<T>)>> {
    anyhow::ensure!(!hosts.admin.is_empty(), "no host is named: set --admin");
    let api = Api::new(hosts)?;
    let runtime = tokio::runtime::Runtime::new().context("cannot start the runtime")?;
    runtime.block_on(async {
        let mut answers = Vec::new();
        for &address in &hosts.admin {
            let label = format!("waiting for {address}");
            let answer = progress::show(&label, read(&api, address)).await;
            answers.push((address, answer));
        }
        Ok(answers)
    })
}
