use core::time;
use std::net;
use std::sync;

use http_body_util::BodyExt;

use crate::host;
use crate::snapshot;

/// Path under which a host serves its state to others.
const STATE_PATH: &str = "/peer/v1/state";

/// Time-out for fetching another host's state.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Largest state that is read: a configuration and some thousand endpoints.
const STATE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Serves the state of this host to other hosts.
pub(crate) struct Peers(pub(crate) sync::Arc<host::Host>);

impl front::Handler for Peers {
    fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
        _remote: net::SocketAddr,
    ) -> front::HandlerFuture {
        let host = self.0.clone();
        Box::pin(async move {
            let mut response = http::Response::new(axum::body::Body::empty());
            if request.uri().path() != STATE_PATH {
                *response.status_mut() = http::StatusCode::NOT_FOUND;
                return response;
            }
            let known = snapshot::Known::parse(request.uri().query().unwrap_or_default());
            match host.snapshot(known).encode() {
                Ok(bytes) => *response.body_mut() = axum::body::Body::from(bytes),
                Err(cause) => {
                    log::error!(target: "edge", "state not encoded: {cause}");
                    *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
                }
            }
            response
        })
    }
}

/// Fetches the state of another host. `known` is the configuration that this host
/// has.
///
/// # Errors
///
/// Fails if the host cannot be reached or does not answer in time, or if the
/// state is malformed.
pub(crate) async fn fetch(
    client: &back::Client,
    from: net::SocketAddr,
    known: snapshot::Known,
) -> Result<snapshot::Snapshot, String> {
    let request = http::Request::get(format!("http://{from}{STATE_PATH}?{}", known.query()))
        .body(http_body_util::Full::default())
        .map_err(|cause| cause.to_string())?;
    let reading = async {
        let response = client
            .send(request, back::Reuse::Fresh)
            .await
            .map_err(|cause| cause.to_string())?;
        http_body_util::Limited::new(response.into_body(), STATE_BYTES_MAX)
            .collect()
            .await
            .map_err(|cause| cause.to_string())
    };
    let body = tokio::time::timeout(FETCH_TIMEOUT, reading)
        .await
        .map_err(|_| "no answer in time".to_owned())??;
    snapshot::Snapshot::decode(&body.to_bytes()).map_err(|cause| cause.to_string())
}
