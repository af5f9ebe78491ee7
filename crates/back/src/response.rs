//! What counts as the response to a request.
//!
//! The HTTP library refuses malformed and unfinished heads, unfinished bodies of a declared
//! length, and connections that fail. Two rules remain, which it leaves to its users:
//!
//! - A response has a final status; see [`check`].
//! - A response without a declared length ends with its connection. It is whole only if the
//!   request has arrived before; see [`Stream`].

use core::fmt;
use core::pin;
use core::task;
use std::io;
use std::sync;
use std::sync::atomic;

use http::header;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net;

use crate::delivery;

/// The status of a response is not a final one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error(http::StatusCode);

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} is not a final status", self.0.as_u16())
    }
}

impl std::error::Error for Error {}

/// Checks that a response has a final status, which is from 200 to 599 (RFC 9110,
/// section 15). An interim one answers nothing, also 101, because the router never asks for
/// another protocol.
///
/// # Errors
///
/// Fails for any other status; whether the request ran is not known.
pub fn check<B>(response: &http::Response<B>) -> Result<(), Error> {
    match response.status().as_u16() {
        200..=599 => Ok(()),
        _ => Err(Error(response.status())),
    }
}

/// Returns whether a response with this head declares the end of its body. Otherwise the body
/// ends with its connection (RFC 9112, section 6.3), as it does if the process at the other
/// end is killed.
pub fn is_framed(version: http::Version, headers: &http::HeaderMap) -> bool {
    version >= http::Version::HTTP_2
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the media type of a response without its parameters; `None` if the response
/// states none, or one that is not text.
pub fn media_type(headers: &http::HeaderMap) -> Option<&str> {
    let kind = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    kind.split(';').next().map(str::trim)
}

/// What the user of a [`Stream`] knows of its end. Clones share the state.
#[derive(Clone, Debug)]
pub struct End(sync::Arc<atomic::AtomicBool>);

impl End {
    /// Sets whether the end of the connection may be that of a response. It may, until the
    /// head of a response declares its length.
    pub fn set_possible(&self, is_possible: bool) {
        self.0.store(is_possible, atomic::Ordering::Relaxed);
    }

    fn is_possible(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// Connection that fails if the receiver of a request ends it before the request has
/// arrived. A library that reads a response without a declared length would take that for
/// the end of the response, although a reset may follow.
///
/// What the system of the receiver has taken counts as arrived, read or not.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    /// Whether the last write is pending or has failed.
    is_sending: bool,
    /// Whether its end may be that of a response, for which the request must have arrived.
    end: End,
    /// Returns whether all that was written has arrived.
    is_delivered: fn(&S) -> bool,
}

impl Stream<net::TcpStream> {
    /// Returns a connection on which nothing waits to be sent. At its end, it asks the
    /// system what the receiver has acknowledged.
    pub fn tcp(inner: net::TcpStream) -> Self {
        Self {
            is_delivered: delivery::is_complete,
            ..Self::new(inner)
        }
    }
}

impl<S> Stream<S> {
    /// Returns a connection on which nothing waits to be sent, and of which the system
    /// does not tell what has arrived.
    pub fn new(inner: S) -> Self {
        Self {
            inner,
            is_sending: false,
            end: End(sync::Arc::new(atomic::AtomicBool::new(true))),
            is_delivered: |_| true,
        }
    }

    /// Returns what is known of the end of the connection; it may be that of a response.
    pub fn end(&self) -> End {
        self.end.clone()
    }

    /// Returns the connection beneath.
    pub const fn get_ref(&self) -> &S {
        &self.inner
    }

    /// Returns whether the end of the connection came before the request had arrived.
    fn is_early(&self) -> bool {
        self.is_sending || (self.end.is_possible() && !(self.is_delivered)(&self.inner))
    }

    fn record_write(
        &mut self,
        result: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        self.is_sending = !matches!(result, task::Poll::Ready(Ok(_)));
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        task::ready!(pin::Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let is_end = has_room && buffer.filled().len() == before;
        if is_end && self.is_early() {
            let text = "the connection ended before the request had arrived";
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, text)));
        }
        task::Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = pin::Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_write(result)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let result = pin::Pin::new(&mut self.inner).poll_write_vectored(context, bytes);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
