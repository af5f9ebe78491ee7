use core::time;
use std::io;
use std::net;

use bytes::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt;

use crate::intake;

/// Largest read buffer, in bytes. It also bounds the head of an answer.
const BUFFER_MAX_BYTES: usize = 32 * 1024;

/// Most bytes that an endpoint may send before the head of its answer is
/// complete, interim answers included.
const HEAD_MAX_BYTES: usize = 8 * BUFFER_MAX_BYTES;

pub(crate) type Request = http::Request<http_body_util::Full<Bytes>>;
pub(crate) type Response = http::Response<hyper::body::Incoming>;

/// Why a request failed on a connection.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of the request was sent; it is returned for another attempt.
    NotSent(Box<Request>),
    /// The request may have reached the endpoint.
    Broken(String),
    /// The request may have reached the endpoint, which sent a head beyond the
    /// bound.
    Oversized(String),
}

/// Why a connection was not opened.
#[derive(Debug)]
pub(crate) struct Unopened {
    pub(crate) cause: String,
    /// Whether nothing listens at the address.
    pub(crate) is_refused: bool,
}

impl From<io::Error> for Unopened {
    fn from(error: io::Error) -> Self {
        Self {
            cause: error.to_string(),
            is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
        }
    }
}

/// A connection to an endpoint that carries one request at a time. Dropping it
/// closes the connection, which makes the endpoint cancel the request.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<http_body_util::Full<Bytes>>,
    task: tokio::task::AbortHandle,
    /// Bytes that the endpoint may send.
    allowance: intake::Allowance,
    end: back::response::End,
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
    ) -> Result<Self, Unopened> {
        let connecting = tokio::net::TcpStream::connect(address);
        let stream = tokio::time::timeout(timeout, connecting)
            .await
            .map_err(|_| Unopened {
                cause: format!("no connection within {} ms", timeout.as_millis()),
                is_refused: false,
            })??;
        stream.set_nodelay(true)?;
        let allowance = intake::Allowance::unbounded();
        let stream = back::response::Stream::tcp(stream);
        let end = stream.end();
        end.set_possible(false);
        let stream = intake::Stream::new(stream, allowance.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(cause) = connection.await {
                log::debug!(target: "edge", "connection to {address} ended: {cause}");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            allowance,
            end,
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
        self.allowance.set(HEAD_MAX_BYTES);
        self.end.set_possible(true);
        let sent = self.sender.try_send_request(request).await;
        self.allowance.set(usize::MAX);
        let response = sent.map_err(|mut failure| {
            if let Some(request) = failure.take_message() {
                return Failure::NotSent(Box::new(request));
            }
            let error = failure.error();
            let cause = back::error_chain(error);
            match error.is_parse_too_large() || intake::is_exceeded(error) {
                true => Failure::Oversized(cause),
                false => Failure::Broken(cause),
            }
        })?;
        let is_framed = back::response::is_framed(response.version(), response.headers());
        self.end.set_possible(!is_framed);
        match back::response::check(&response) {
            Ok(()) => Ok(response),
            Err(cause) => Err(Failure::Broken(cause.to_string())),
        }
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
