use core::time;
use std::io;
use std::net;
use std::sync;

use hyper_util::rt;
use hyper_util::server;
use tokio::sync::watch;

use crate::routes;
use crate::service;

/// Time to wait after the listener failed to accept, such as when the process
/// is out of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Limits of the caller interface.
#[derive(Clone, Debug)]
pub struct Options {
    /// Upper bound of a request body in bytes.
    pub body_max: u64,
    /// Upper bound of all headers of a request in bytes.
    pub header_max: u64,
    /// Longest silence of a caller while it sends its request.
    pub idle_timeout: time::Duration,
}

/// A listener for callers.
pub struct Server {
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts to accept callers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        listen: net::SocketAddr,
        options: Options,
        service: sync::Arc<dyn service::Service>,
    ) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let state = routes::State {
            service,
            options: sync::Arc::new(options),
        };
        let task = tokio::spawn(accept(listener, state, stopped));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address that was bound.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops accepting and waits until every request in flight has its answer.
    pub async fn shutdown(self) {
        self.stop.send_replace(true);
        if self.task.await.is_err() {
            log::error!(target: "front", "accept loop panicked");
        }
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    state: routes::State,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = server::graceful::GracefulShutdown::new();
    let builder = builder(&state.options);
    let router = routes::build(state);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|&stop| stop) => break,
        };
        let (stream, remote) = match accepted {
            Ok(pair) => pair,
            Err(cause) => {
                log::warn!(target: "front", "accept failed: {cause}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(cause) = stream.set_nodelay(true) {
            log::debug!(target: "front", "no-delay not set for {remote}: {cause}");
        }
        let router = router
            .clone()
            .layer(axum::Extension(routes::Remote(remote)));
        let service = hyper_util::service::TowerToHyperService::new(router);
        let connection = builder
            .serve_connection_with_upgrades(rt::TokioIo::new(stream), service)
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(cause) = watched.await {
                log::debug!(target: "front", "connection of {remote} ended: {cause}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn builder(options: &Options) -> server::conn::auto::Builder<rt::TokioExecutor> {
    let mut builder = server::conn::auto::Builder::new(rt::TokioExecutor::new());
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
