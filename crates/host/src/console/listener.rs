use core::time;
use std::io;
use std::net;
use std::sync;

use axum::response::IntoResponse;
use futures_util::stream;
use tower_service::Service;

/// Maximum number of open connections.
const CONNECTIONS_MAX: usize = 64;
/// Longest time for the head of a request to arrive, and without data of its body.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Longest time for a body to arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Idle time from which a connection is closed for another one when all are taken.
const IDLE_MIN: time::Duration = time::Duration::from_millis(50);
/// Longest time for which a connection waits to be accepted while all are taken.
const SLOT_WAIT: time::Duration = time::Duration::from_secs(1);

/// Starts the listener of the administration API. What its users send is reserved from
/// `memory`. With a certificate it accepts TLS only.
///
/// # Errors
///
/// Fails if the address cannot be bound or the certificate cannot be used.
pub(crate) async fn listen(
    address: net::SocketAddr,
    tls: Option<front::tls::Options>,
    memory: front::Memory,
    source: sync::Arc<dyn admin::Source>,
) -> io::Result<front::Server> {
    let options = front::Options {
        tls,
        memory: memory.clone(),
        body_bytes_max: admin::BODY_MAX_BYTES as u64,
        idle_timeout: IDLE_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
        connections_max: CONNECTIONS_MAX,
        address_connections_max: CONNECTIONS_MAX,
        idle_min: IDLE_MIN,
        slot_wait: SLOT_WAIT,
        ..front::Options::default()
    };
    let router = admin::router(source);
    let api = sync::Arc::new(Api { router, memory });
    front::Server::start_with_handler(address, options, api).await
}

/// Handler of the requests of the administration API.
struct Api {
    router: axum::Router,
    memory: front::Memory,
}

impl front::Handler for Api {
    fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
        remote: net::SocketAddr,
    ) -> front::HandlerFuture {
        let (mut router, memory) = (self.router.clone(), self.memory.clone());
        Box::pin(async move {
            let failed = sync::Arc::new(sync::OnceLock::new());
            // Bodies are read only by routes that use them, after the check of the key.
            let request = request.map(|body| {
                let failed = failed.clone();
                axum::body::Body::from_stream(stream::once(async move {
                    let read = read(body, &memory, remote.ip()).await;
                    read.map_err(|failure| {
                        let text = failure.0.message.clone();
                        drop(failed.set(failure));
                        io::Error::other(text)
                    })
                }))
            });
            let response = router.call(request).await.into_response();
            match failed.get() {
                Some(failure) => failure.clone().into_response(),
                None => response,
            }
        })
    }
}

async fn read(
    body: hyper::body::Incoming,
    memory: &front::Memory,
    address: net::IpAddr,
) -> Result<bytes::Bytes, admin::Failure> {
    let limits = front::body::Limits {
        bytes_max: admin::BODY_MAX_BYTES as u64,
        pause_max: IDLE_TIMEOUT,
        time_max: BODY_TIMEOUT,
    };
    let read = front::body::collect(body, &limits, memory, address).await;
    read.map_err(|failure| {
        use front::body::Failure;
        let refusal = |kind, text: &str| answer::Refusal::new(kind, text);
        admin::Failure(match failure {
            Failure::TooLarge => admin::body_too_large(),
            Failure::Paused | Failure::Slow => refusal(
                answer::Kind::CallerTimeout,
                "the body did not arrive in time",
            ),
            Failure::Malformed(cause) => refusal(answer::Kind::BadRequest, &cause),
            Failure::Full => Failure::full(),
        })
    })
}
