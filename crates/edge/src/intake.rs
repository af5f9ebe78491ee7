use core::fmt;
use core::pin;
use core::task;
use std::io;
use std::sync;
use std::sync::atomic;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// More bytes were received than the connection allows.
#[derive(Debug)]
pub(crate) struct Exceeded;

impl fmt::Display for Exceeded {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the endpoint sent more bytes than the head of an answer may have")
    }
}

impl std::error::Error for Exceeded {}

/// Returns whether an error was caused by [`Exceeded`].
pub(crate) fn is_exceeded(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let inner = error
            .downcast_ref::<io::Error>()
            .and_then(io::Error::get_ref);
        if inner.is_some_and(|inner| inner.is::<Exceeded>()) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Number of bytes that a connection may still receive.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(sync::Arc<atomic::AtomicUsize>);

impl Allowance {
    /// Returns an allowance without a bound.
    pub(crate) fn unbounded() -> Self {
        Self(sync::Arc::new(atomic::AtomicUsize::new(usize::MAX)))
    }

    /// Replaces the number of bytes.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, atomic::Ordering::Release);
    }

    /// Takes bytes from the allowance and returns whether there were enough.
    fn spend(&self, bytes: usize) -> bool {
        let left = self.0.load(atomic::Ordering::Acquire);
        if left == usize::MAX {
            return true;
        }
        self.0
            .fetch_update(
                atomic::Ordering::AcqRel,
                atomic::Ordering::Acquire,
                |left| match left {
                    usize::MAX => Some(left),
                    left => left.checked_sub(bytes),
                },
            )
            .is_ok()
    }
}

/// A stream of bytes that fails once it has received more than its allowance.
/// Interim answers are read without end otherwise, because each one is complete.
#[derive(Debug)]
pub(crate) struct Stream<S> {
    inner: S,
    allowance: Allowance,
}

impl<S> Stream<S> {
    /// Returns a stream with this allowance.
    pub(crate) const fn new(inner: S, allowance: Allowance) -> Self {
        Self { inner, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        task::ready!(pin::Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        let result = match self.allowance.spend(count) {
            true => Ok(()),
            false => Err(io::Error::other(Exceeded)),
        };
        task::Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(context, bytes)
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
        pin::Pin::new(&mut self.inner).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
