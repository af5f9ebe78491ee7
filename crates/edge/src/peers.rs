use core::time;
use std::net;
use std::sync;

use crate::forward;
use crate::forwarder;
use crate::host;
use crate::snapshot;
use crate::witness;

/// Path under which a host serves its state to others.
const STATE_PATH: &str = "/peer/v1/state";

/// Path under which a host tells what it knows of the build of a stream.
const STREAM_PATH: &str = "/peer/v1/stream";

/// Largest answer about a stream that is read.
const WITNESS_BYTES_MAX: usize = 64 * 1024;

/// Longest time until the answer of another host begins, and longest pause within it.
const PAUSE_MAX: time::Duration = time::Duration::from_millis(700);

/// Largest state that is read: a configuration and some thousand endpoints.
const STATE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Serves the state of this host to other hosts.
pub(crate) struct Peers(pub(crate) sync::Arc<host::Host>);

impl front::Handler for Peers {
    fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
        remote: net::SocketAddr,
    ) -> front::HandlerFuture {
        let host = self.0.clone();
        Box::pin(async move {
            let path = request.uri().path();
            if path.starts_with(forward::PATH) || path.starts_with(forward::GATEWAY_PATH) {
                return forwarder::serve(&host, request, remote).await;
            }
            let mut response = http::Response::new(axum::body::Body::empty());
            let query = request.uri().query().unwrap_or_default();
            let encoded = match request.uri().path() {
                STATE_PATH => host.snapshot(snapshot::Known::parse(query)).encode(),
                STREAM_PATH => match witness::Stream::parse(query) {
                    Some(stream) => host.witness(stream).encode(),
                    None => {
                        *response.status_mut() = http::StatusCode::BAD_REQUEST;
                        return response;
                    }
                },
                _ => {
                    *response.status_mut() = http::StatusCode::NOT_FOUND;
                    return response;
                }
            };
            match encoded {
                Ok(bytes) => {
                    host.metrics
                        .add("state_bytes_served", &[], bytes.len() as u64);
                    *response.body_mut() = axum::body::Body::from(bytes);
                }
                Err(cause) => {
                    log::error!(target: "edge", "state not encoded: {cause}");
                    *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
                }
            }
            response
        })
    }
}

/// Fetches the state of another host. `known` is the state that this host has. Returns
/// it with its bytes.
///
/// # Errors
///
/// Fails if the host cannot be reached or does not answer in time, if its answer stalls,
/// or if the state is malformed. An answer that arrives slowly is no failure.
pub(crate) async fn fetch(
    client: &back::Client,
    from: net::SocketAddr,
    known: snapshot::Known,
) -> Result<(snapshot::Snapshot, usize), String> {
    let url = format!("http://{from}{STATE_PATH}?{}", known.query());
    let body = get(client, url, back::Reuse::Fresh, STATE_BYTES_MAX).await?;
    let snapshot = snapshot::Snapshot::decode(&body).map_err(|cause| cause.to_string())?;
    Ok((snapshot, body.len()))
}

/// Asks another host what it knows of the build of a stream.
///
/// # Errors
///
/// Fails if the host cannot be reached, does not know the question or sends a
/// malformed answer.
pub(crate) async fn ask(
    client: &back::Client,
    from: net::SocketAddr,
    stream: witness::Stream,
) -> Result<witness::Witness, String> {
    let url = format!("http://{from}{STREAM_PATH}?{}", stream.query());
    let body = get(client, url, back::Reuse::Pooled, WITNESS_BYTES_MAX).await?;
    witness::Witness::decode(&body).map_err(|cause| cause.to_string())
}

async fn get(
    client: &back::Client,
    url: String,
    reuse: back::Reuse,
    bytes_max: usize,
) -> Result<bytes::Bytes, String> {
    let request = http::Request::get(url)
        .body(http_body_util::Full::default())
        .map_err(|cause| cause.to_string())?;
    let response = tokio::time::timeout(PAUSE_MAX, client.send(request, reuse))
        .await
        .map_err(|_| "no answer in time".to_owned())?
        .map_err(|cause| cause.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status().as_u16()));
    }
    let options = back::transfer::Options {
        bytes_max,
        pause_max: PAUSE_MAX,
    };
    back::transfer::collect(response.into_body(), options)
        .await
        .map_err(|cause| cause.to_string())
}
