use std::net;
use std::sync;

use hyper_util::rt;
use hyper_util::server::conn::auto;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;

use crate::options;
use crate::routes;
use crate::tls;

/// What all connections of a listener share.
pub(crate) struct Shared {
    builder: auto::Builder<rt::TokioExecutor>,
    router: axum::Router,
    tls: Option<tls::Acceptor>,
}

impl Shared {
    /// Returns the shared part of a listener's connections.
    pub(crate) fn new(state: routes::State, tls: Option<tls::Acceptor>) -> Self {
        Self {
            builder: builder(&state.options),
            router: routes::build(state),
            tls,
        }
    }
}

/// Serves one connection to its end.
pub(crate) async fn serve(
    shared: sync::Arc<Shared>,
    stream: tokio::net::TcpStream,
    remote: net::SocketAddr,
    mut stopped: watch::Receiver<bool>,
) {
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!(target: "front", "no-delay not set for {remote}: {cause}");
    }
    let Some(tls) = &shared.tls else {
        return exchange(&shared, stream, remote, stopped).await;
    };
    let handshake = tokio::select! {
        handshake = tls.accept(stream) => handshake,
        () = until(&mut stopped) => return,
    };
    match handshake {
        Ok(stream) => exchange(&shared, stream, remote, stopped).await,
        Err(cause) => log::debug!(target: "front", "TLS handshake of {remote} failed: {cause}"),
    }
}

async fn exchange<I>(
    shared: &Shared,
    stream: I,
    remote: net::SocketAddr,
    mut stopped: watch::Receiver<bool>,
) where
    I: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let router = shared
        .router
        .clone()
        .layer(axum::Extension(routes::Remote(remote)));
    let service = hyper_util::service::TowerToHyperService::new(router);
    let connection = shared
        .builder
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = core::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = until(&mut stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(cause) = ended {
        log::debug!(target: "front", "connection of {remote} ended: {cause}");
    }
}

/// Waits until the listener stops.
async fn until(stopped: &mut watch::Receiver<bool>) {
    // An error means that the listener is gone.
    drop(stopped.wait_for(|&stop| stop).await);
}

fn builder(options: &options::Options) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(options.idle_timeout);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_header_list_size(u32::try_from(options.header_max).unwrap_or(u32::MAX));
    builder
}
