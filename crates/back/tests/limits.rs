//! Tests of HTTP/2 connections, cancellation and connection limits.

use core::net;
use core::time;
use std::sync;
use std::sync::atomic;

use back::{Error, Reuse, Version};
use bytes::Bytes;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use rstest::rstest;

/// Endpoint that counts connections and running requests, and that can delay
/// its responses.
#[derive(Default)]
struct Endpoint {
    connections: atomic::AtomicUsize,
    running: atomic::AtomicUsize,
    is_paused: tokio::sync::watch::Sender<bool>,
}

/// A running request; it ends on drop.
struct Running(sync::Arc<Endpoint>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

type Full = http_body_util::Full<Bytes>;

impl Endpoint {
    async fn start() -> (net::SocketAddr, sync::Arc<Self>) {
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("bound");
        let endpoint = sync::Arc::<Self>::default();
        let state = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                state.connections.fetch_add(1, atomic::Ordering::SeqCst);
                tokio::spawn(state.clone().serve(stream));
            }
        });
        (address, endpoint)
    }

    async fn serve(self: sync::Arc<Self>, stream: tokio::net::TcpStream) {
        let service = hyper::service::service_fn(move |request| self.clone().respond(request));
        let builder = auto::Builder::new(rt::TokioExecutor::new());
        drop(
            builder
                .serve_connection(rt::TokioIo::new(stream), service)
                .await,
        );
    }

    async fn respond(
        self: sync::Arc<Self>,
        request: http::Request<hyper::body::Incoming>,
    ) -> Result<http::Response<Full>, core::convert::Infallible> {
        self.running.fetch_add(1, atomic::Ordering::SeqCst);
        let running = Running(self);
        let mut is_paused = running.0.is_paused.subscribe();
        drop(is_paused.wait_for(|&is_paused| !is_paused).await);
        let version = format!("{:?}", request.version());
        Ok(http::Response::new(Full::from(version)))
    }

    async fn wait_for(&self, running: usize) {
        while self.running.load(atomic::Ordering::SeqCst) != running {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(atomic::Ordering::SeqCst)
    }
}

fn request(address: net::SocketAddr) -> http::Request<Full> {
    http::Request::get(format!("http://{address}/x"))
        .body(Full::default())
        .expect("valid")
}

async fn text(outcome: Result<http::Response<back::Body>, Error>) -> String {
    let body = outcome.expect("a response").into_body();
    let body = http_body_util::BodyExt::collect(body).await;
    String::from_utf8_lossy(&body.expect("whole").to_bytes()).into_owned()
}

/// Guards against HTTP/2 requests that each open a connection, and against
/// fresh ones that share a connection.
#[tokio::test]
async fn http2_shares_a_connection_unless_fresh() {
    let (address, endpoint) = Endpoint::start().await;
    let client = back::Client::new(back::Options::default());
    let send = |reuse| client.send_with_version(request(address), reuse, Version::Http2);
    assert_eq!(text(send(Reuse::Pooled).await).await, "HTTP/2.0");
    let many = (0..20).map(|_| tokio::spawn(text_of(client.clone(), address)));
    for task in many.collect::<Vec<_>>() {
        assert_eq!(task.await.expect("no panic"), "HTTP/2.0");
    }
    assert_eq!(endpoint.connections(), 1);
    assert_eq!(text(send(Reuse::Fresh).await).await, "HTTP/2.0");
    assert_eq!(text(send(Reuse::Fresh).await).await, "HTTP/2.0");
    assert_eq!(endpoint.connections(), 3);
    let outcome = client.send(request(address), Reuse::Pooled).await;
    assert_eq!(text(outcome).await, "HTTP/1.1");
}

async fn text_of(client: back::Client, address: net::SocketAddr) -> String {
    text(
        client
            .send_with_version(request(address), Reuse::Pooled, Version::Http2)
            .await,
    )
    .await
}

/// Guards against work that continues at the endpoint after its caller has
/// disconnected, and against a cancelled request that closes a shared HTTP/2
/// connection.
#[rstest]
#[case::http1(Version::Http1, 2)]
#[case::http2(Version::Http2, 1)]
#[tokio::test]
async fn a_dropped_request_is_cancelled(#[case] version: Version, #[case] connections: usize) {
    let (address, endpoint) = Endpoint::start().await;
    let client = back::Client::new(back::Options::default());
    let send = || client.send_with_version(request(address), Reuse::Pooled, version);
    drop(text(send().await).await);
    endpoint.is_paused.send_replace(true);
    tokio::select! {
        _ = send() => panic!("the endpoint is paused"),
        () = endpoint.wait_for(1) => {}
    }
    endpoint.wait_for(0).await;
    endpoint.is_paused.send_replace(false);
    drop(text(send().await).await);
    assert_eq!(endpoint.connections(), connections);
}

/// Guards against more connections than the limits allow, against slots that are
/// never released, and against pooled connections that prevent a fresh one.
#[rstest]
#[case::of_one_endpoint(1, 16)]
#[case::of_all_endpoints(16, 2)]
#[tokio::test]
async fn connections_are_limited(#[case] endpoint_max: usize, #[case] max: usize) {
    let (address, endpoint) = Endpoint::start().await;
    let client = back::Client::new(back::Options {
        connect_timeout: time::Duration::from_millis(100),
        endpoint_connections_max: endpoint_max,
        connections_max: max,
        ..back::Options::default()
    });
    drop(text(client.send(request(address), Reuse::Pooled).await).await);
    endpoint.is_paused.send_replace(true);
    let first = {
        let client = client.clone();
        tokio::spawn(async move { client.send(request(address), Reuse::Fresh).await })
    };
    endpoint.wait_for(1).await;
    let refused = client.send(request(address), Reuse::Fresh).await;
    assert!(matches!(refused, Err(Error::NotSent(_))), "{refused:?}");
    first.abort();
    endpoint.wait_for(0).await;
    endpoint.is_paused.send_replace(false);
    drop(text(client.send(request(address), Reuse::Fresh).await).await);
    assert_eq!(endpoint.connections(), 3);
}
