use core::time;
use std::io;
use std::net;
use std::sync;

use tokio::sync::watch;
use tokio_util::task;

use crate::connection;
use crate::options;
use crate::routes;
use crate::service;
use crate::tls;

/// Time to wait after the listener failed to accept, such as when the process
/// is out of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

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
    /// Fails if the address cannot be bound or the certificate cannot be used.
    pub async fn start(
        listen: net::SocketAddr,
        options: options::Options,
        service: sync::Arc<dyn service::Service>,
    ) -> io::Result<Self> {
        let tls = match options.tls.clone() {
            None => None,
            Some(options) => Some(tls::Acceptor::new(options).map_err(invalid)?),
        };
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let state = routes::State {
            service,
            options: sync::Arc::new(options),
        };
        let shared = connection::Shared::new(state, tls);
        let task = tokio::spawn(accept(listener, sync::Arc::new(shared), stopped));
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

fn invalid(cause: tls::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, cause)
}

async fn accept(
    listener: tokio::net::TcpListener,
    shared: sync::Arc<connection::Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let connections = task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|&stop| stop) => break,
        };
        match accepted {
            Ok((stream, remote)) => {
                let serving = connection::serve(shared.clone(), stream, remote, stopped.clone());
                connections.spawn(serving);
            }
            Err(cause) => {
                log::warn!(target: "front", "accept failed: {cause}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}
