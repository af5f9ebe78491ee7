use core::pin;
use core::task;
use std::io;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;

use crate::activity;

/// Byte stream that records when bytes are received and when writes block.
#[derive(Debug)]
pub(crate) struct Stream<I> {
    inner: I,
    activity: watch::Sender<activity::Activity>,
    is_blocked: bool,
}

impl<I> Stream<I> {
    /// Wraps a stream whose events are recorded in `activity`.
    pub(crate) fn new(inner: I, activity: watch::Sender<activity::Activity>) -> Self {
        Self {
            inner,
            activity,
            is_blocked: false,
        }
    }

    /// Records whether a write or flush is pending and returns its result.
    fn record_write<T>(&mut self, written: task::Poll<T>) -> task::Poll<T> {
        if self.is_blocked != written.is_pending() {
            self.is_blocked = written.is_pending();
            activity::record_blocked(&self.activity, self.is_blocked);
        }
        written
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for Stream<I> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            activity::record_received(&self.activity);
        }
        read
    }
}

impl<I: AsyncWrite + Unpin> AsyncWrite for Stream<I> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let flushed = pin::Pin::new(&mut self.inner).poll_flush(context);
        self.record_write(flushed)
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
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
