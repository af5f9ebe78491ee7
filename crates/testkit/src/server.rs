//! HTTP server on loopback whose listener and connections can be closed abruptly.

use core::time;
use std::io;
use std::net;
use std::sync;

use hyper::service::Service as _;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::service;
use tokio::net as tokio_net;
use tokio::sync::watch;

use crate::sync::lock;

/// Upper bound of connections in the accept queue.
const BACKLOG: u32 = 1024;
/// Delay between attempts to bind a port whose previous listener is still closing, and
/// after a failed accept.
const REBIND_DELAY: time::Duration = time::Duration::from_millis(5);
/// Maximum number of attempts to rebind the port.
const REBIND_ATTEMPTS: u32 = 400;

/// Closes the connection of a request. Handlers extract it from the request extensions.
#[derive(Clone)]
pub struct Cut(sync::Arc<tokio::sync::Notify>);

impl Cut {
    /// Closes the connection without a response.
    pub fn cut(&self) {
        self.0.notify_one();
    }
}

/// HTTP/1.1 and HTTP/2 server on an ephemeral port of 127.0.0.1.
pub struct Server {
    address: net::SocketAddr,
    router: axum::Router,
    generation: watch::Sender<u64>,
    listener: sync::Mutex<Option<tokio::task::JoinHandle<()>>>,
    // Prevents the system from assigning the port to another process while the listener
    // is closed.
    _reserved: tokio_net::TcpSocket,
}

impl Server {
    /// Binds an ephemeral port and serves the router on it.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start(router: axum::Router) -> io::Result<Self> {
        let reserved = reserve()?;
        let server = Self {
            address: reserved.local_addr()?,
            router,
            generation: watch::Sender::new(0),
            listener: sync::Mutex::new(None),
            _reserved: reserved,
        };
        let listener = socket(server.address)?.listen(BACKLOG)?;
        server.serve(listener);
        Ok(server)
    }

    /// Returns the listen address, which [`Server::close`] and [`Server::open`] do not
    /// change.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, without completing open requests.
    pub fn close(&self) {
        if let Some(task) = lock(&self.listener).take() {
            task.abort();
        }
        self.generation.send_modify(|number| *number += 1);
    }

    /// Reopens the listener on the same port.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound within two seconds.
    pub async fn open(&self) -> io::Result<()> {
        for _ in 0..REBIND_ATTEMPTS {
            if let Ok(listener) = socket(self.address)?.listen(BACKLOG) {
                self.serve(listener);
                return Ok(());
            }
            tokio::time::sleep(REBIND_DELAY).await;
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn serve(&self, listener: tokio_net::TcpListener) {
        let router = self.router.clone();
        let generation = self.generation.subscribe();
        let task = tokio::spawn(accept(listener, router, generation));
        if let Some(previous) = lock(&self.listener).replace(task) {
            previous.abort();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

/// Returns a socket that reserves a free port of 127.0.0.1 for a later listener.
pub(crate) fn reserve() -> io::Result<tokio_net::TcpSocket> {
    socket((net::Ipv4Addr::LOCALHOST, 0).into())
}

fn socket(address: net::SocketAddr) -> io::Result<tokio_net::TcpSocket> {
    let socket = tokio_net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn accept(
    listener: tokio_net::TcpListener,
    router: axum::Router,
    generation: watch::Receiver<u64>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Descriptor exhaustion is temporary; retrying without a delay would busy-loop.
            tokio::time::sleep(REBIND_DELAY).await;
            continue;
        };
        tokio::spawn(connection(stream, router.clone(), generation.clone()));
    }
}

async fn connection(
    stream: tokio_net::TcpStream,
    router: axum::Router,
    mut generation: watch::Receiver<u64>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("testkit: cannot disable Nagle's algorithm: {error}");
    }
    let cut = Cut(sync::Arc::default());
    let inner = service::TowerToHyperService::new(router);
    let request_cut = cut.clone();
    let service = hyper::service::service_fn(move |mut request: http::Request<_>| {
        request.extensions_mut().insert(request_cut.clone());
        inner.call(request)
    });
    let builder = auto::Builder::new(rt::TokioExecutor::new());
    tokio::select! {
        _ = builder.serve_connection(rt::TokioIo::new(stream), service) => {}
        () = cut.0.notified() => {}
        _ = generation.changed() => {}
    }
}
