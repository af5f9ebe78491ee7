use core::time;
use std::io;
use std::net;
use std::sync;

use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::service;
use tokio::io::{AsyncRead, AsyncWrite};

/// Maximum number of open connections; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 64;
/// Longest time for the head of a request to arrive.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

type Router = service::TowerToHyperService<axum::Router>;

/// The listener of the administration API.
pub(crate) struct Listener {
    listener: tokio::net::TcpListener,
    address: net::SocketAddr,
    tls: Option<sync::Arc<front::tls::Acceptor>>,
}

impl Listener {
    /// Binds the address; with a certificate the listener accepts TLS only.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the certificate cannot be used.
    pub(crate) async fn bind(
        address: net::SocketAddr,
        tls: Option<front::tls::Options>,
    ) -> io::Result<Self> {
        let tls = match tls {
            None => None,
            Some(options) => {
                let invalid = |cause| io::Error::new(io::ErrorKind::InvalidInput, cause);
                let acceptor = front::tls::Acceptor::new(options).map_err(invalid)?;
                Some(sync::Arc::new(acceptor))
            }
        };
        let listener = tokio::net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            tls,
        })
    }

    /// Returns the bound address.
    pub(crate) const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Serves connections until the task is aborted.
    pub(crate) async fn serve(self, source: sync::Arc<dyn admin::Source>) {
        let router = service::TowerToHyperService::new(admin::router(source));
        let slots = sync::Arc::new(tokio::sync::Semaphore::new(CONNECTIONS_MAX));
        let mut connections = tokio::task::JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok(slot) = slots.clone().acquire_owned().await else {
                return;
            };
            match self.listener.accept().await {
                Ok((stream, remote)) => {
                    let (router, tls) = (router.clone(), self.tls.clone());
                    connections.spawn(async move {
                        if let Err(cause) = connection(stream, tls, router).await {
                            log::debug!(
                                target: "admin",
                                "administration connection from {remote} failed: {cause}"
                            );
                        }
                        drop(slot);
                    });
                }
                Err(cause) => {
                    log::warn!(
                        target: "admin",
                        "cannot accept an administration connection: {cause}"
                    );
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

type Ended = Result<(), Box<dyn std::error::Error + Send + Sync>>;

async fn connection(
    stream: tokio::net::TcpStream,
    tls: Option<sync::Arc<front::tls::Acceptor>>,
    router: Router,
) -> Ended {
    match tls {
        None => exchange(stream, router).await,
        Some(tls) => exchange(tls.accept(stream).await?, router).await,
    }
}

async fn exchange<I>(stream: I, router: Router) -> Ended
where
    I: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    builder
        .serve_connection(rt::TokioIo::new(stream), router)
        .await
}
