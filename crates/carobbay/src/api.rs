use core::time;
use std::fs;
use std::net;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper_util::client::legacy;
use hyper_util::rt;

use crate::cli;
use crate::progress;

/// Longest wait for one answer of a host.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Upper bound of an answer in bytes.
const ANSWER_MAX: usize = 64 * 1024 * 1024;

type Client = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;

/// Reads the administration APIs of hosts.
pub(crate) struct Api {
    client: Client,
    key: String,
}

impl Api {
    fn new(hosts: &cli::Hosts) -> anyhow::Result<Self> {
        Ok(Self {
            client: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
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
        let request = http::Request::get(format!("http://{address}/admin/v1/{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .body(http_body_util::Full::default())?;
        let exchange = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = http_body_util::Limited::new(response.into_body(), ANSWER_MAX);
            let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
            Ok::<_, anyhow::Error>((status, body.to_bytes()))
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
