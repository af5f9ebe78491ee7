use core::time;
use std::net;
use std::sync;

use base::mutex;

use crate::bulk;
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
                STATE_PATH => {
                    let known = snapshot::Known::parse(query);
                    return state(&host, known, remote.ip()).await;
                }
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
                Ok(bytes) => *response.body_mut() = axum::body::Body::from(bytes),
                Err(cause) => {
                    log::error!(target: "edge", "answer to a host not encoded: {cause}");
                    *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
                }
            }
            response
        })
    }
}

/// Answers another host that has `known` with the state of this one.
async fn state(
    host: &sync::Arc<host::Host>,
    known: snapshot::Known,
    asks: net::IpAddr,
) -> http::Response<axum::body::Body> {
    let mut response = http::Response::new(axum::body::Body::empty());
    let transfer = match host.is_bulk(known) {
        true => host.begin_bulk().await.map(Some),
        false => Ok(None),
    };
    let (encoded, transfer) = match transfer {
        Ok(transfer) => (host.snapshot(known).encode(), transfer),
        Err(busy) => {
            host.metrics.count("state_refused", &[]);
            *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
            (postcard::to_allocvec(&busy), None)
        }
    };
    let bytes = match encoded {
        Ok(bytes) => bytes,
        Err(cause) => {
            log::error!(target: "edge", "state not encoded: {cause}");
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            return response;
        }
    };
    host.metrics
        .add("state_bytes_served", &[], bytes.len() as u64);
    *response.body_mut() = match transfer {
        Some(transfer) => {
            let (host, plan) = (host.clone(), host.plan_version());
            transfer.body(bytes, move || {
                let (now, peer) = (host.clock.now(), host.peer_at(asks));
                mutex::lock(&host.sources).record_holder(now, peer, plan);
            })
        }
        None => axum::body::Body::from(bytes),
    };
    response
}

/// State of another host, or why it has none to give now.
#[derive(Debug)]
pub(crate) enum Fetched {
    /// The state, with the bytes of the answer.
    State(Box<snapshot::Snapshot>, usize),
    Busy(bulk::Busy),
}

/// Fetches the state of another host. `known` is the state that this host has.
///
/// # Errors
///
/// Fails if the host cannot be reached or does not answer in time, if its answer stalls,
/// or if the state is malformed. An answer that arrives slowly is no failure.
pub(crate) async fn fetch(
    client: &back::Client,
    from: net::SocketAddr,
    known: snapshot::Known,
) -> Result<Fetched, String> {
    let url = format!("http://{from}{STATE_PATH}?{}", known.query());
    let (status, body) = get(client, url, back::Reuse::Fresh, STATE_BYTES_MAX).await?;
    if status == http::StatusCode::SERVICE_UNAVAILABLE {
        let busy = postcard::from_bytes(&body).map_err(|cause| cause.to_string())?;
        return Ok(Fetched::Busy(busy));
    }
    check(status)?;
    let snapshot = snapshot::Snapshot::decode(&body).map_err(|cause| cause.to_string())?;
    Ok(Fetched::State(Box::new(snapshot), body.len()))
}

fn check(status: http::StatusCode) -> Result<(), String> {
    match status.is_success() {
        true => Ok(()),
        false => Err(format!("status {}", status.as_u16())),
    }
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
    let (status, body) = get(client, url, back::Reuse::Pooled, WITNESS_BYTES_MAX).await?;
    check(status)?;
    witness::Witness::decode(&body).map_err(|cause| cause.to_string())
}

async fn get(
    client: &back::Client,
    url: String,
    reuse: back::Reuse,
    bytes_max: usize,
) -> Result<(http::StatusCode, bytes::Bytes), String> {
    let request = http::Request::get(url)
        .body(http_body_util::Full::default())
        .map_err(|cause| cause.to_string())?;
    let response = tokio::time::timeout(PAUSE_MAX, client.send(request, reuse))
        .await
        .map_err(|_| "no answer in time".to_owned())?
        .map_err(|cause| cause.to_string())?;
    let status = response.status();
    let options = back::transfer::Options {
        bytes_max,
        pause_max: PAUSE_MAX,
    };
    let body = back::transfer::collect(response.into_body(), options).await;
    Ok((status, body.map_err(|cause| cause.to_string())?))
}
