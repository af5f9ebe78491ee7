use core::time;
use std::net;

use bytes::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt;

/// Largest read buffer, in bytes. It also bounds the head of an answer.
const BUFFER_MAX_BYTES: usize = 64 * 1024;

pub(crate) type Request = http::Request<http_body_util::Full<Bytes>>;
pub(crate) type Response = http::Response<hyper::body::Incoming>;

/// Why a request failed on a connection.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of the request was sent; it is returned for another attempt.
    NotSent(Box<Request>),
    /// The request may have reached the endpoint.
    Broken(String),
}

/// A connection to an endpoint that carries one request at a time. Dropping it
/// closes the connection, which makes the endpoint cancel the request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<http_body_util::Full<Bytes>>,
    task: tokio::task::AbortHandle,
    /// Address of the endpoint.
    pub(crate) address: net::SocketAddr,
    /// Whether the connection has carried a request before.
    pub(crate) is_reused: bool,
}

impl Connection {
    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns why the connection could not be opened; nothing was sent.
    pub(crate) async fn open(
        address: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Self, String> {
        let connecting = tokio::net::TcpStream::connect(address);
        let stream = tokio::time::timeout(timeout, connecting)
            .await
            .map_err(|_| format!("no connection within {} ms", timeout.as_millis()))?
            .map_err(|cause| cause.to_string())?;
        stream
            .set_nodelay(true)
            .map_err(|cause| cause.to_string())?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|cause| cause.to_string())?;
        let task = tokio::spawn(async move {
            if let Err(cause) = connection.await {
                log::debug!(target: "edge", "connection to {address} ended: {cause}");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            address,
            is_reused: false,
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The failure distinguishes whether the request may have reached the
    /// endpoint.
    pub(crate) async fn send(&mut self, request: Request) -> Result<Response, Failure> {
        let sending = self.sender.try_send_request(request);
        sending
            .await
            .map_err(|mut failure| match failure.take_message() {
                Some(request) => Failure::NotSent(Box::new(request)),
                None => Failure::Broken(back::error_chain(failure.error())),
            })
    }

    /// Returns whether the connection can carry another request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
