use core::pin;
use core::task;
use std::io;
use std::sync;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::task::coop;

use crate::account;
use crate::activity;
use crate::buffers;
use crate::memory;

/// Bytes of the read buffer that are not reserved, because nearly every connection has
/// them.
const READ_FREE_BYTES: usize = 16 * 1024;

/// Bytes that are read at once while memory is scarce. The read buffer of the HTTP library
/// grows only when a read has filled it.
const SCARCE_READ_BYTES: usize = 8 * 1024 - 1;

/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// Units of the budget of a task, which is 128, that a read takes, so that other
/// connections get a turn after two reads. Without this bound, 200 callers that send 1 MB
/// each delayed ordinary requests beyond their time-out of 1.5 s in a build without
/// optimization.
const READ_UNITS: usize = 60;

/// Received bytes that HTTP/2 holds for requests that do not read: the window of the
/// connection.
pub(crate) const HTTP2_WINDOW_BYTES: u32 = 128 * 1024;

/// Byte stream that records when bytes are received and when writes block, and reserves
/// the memory of the buffers between the stream and the requests.
#[derive(Debug)]
pub(crate) struct Stream<I> {
    inner: I,
    activity: watch::Sender<activity::Activity>,
    buffers: sync::Arc<buffers::Buffers>,
    is_blocked: bool,
    /// Received bytes of a head that is incomplete or whose request is being served.
    /// Over HTTP/2, of all requests since the connection was idle.
    unparsed: usize,
    /// Number of heads that had been received when `unparsed` was last changed.
    heads: u64,
    head: memory::Reservation,
    pipelined: memory::Reservation,
}

impl<I> Stream<I> {
    /// Wraps a stream whose events are recorded in `activity`.
    pub(crate) fn new(
        inner: I,
        activity: watch::Sender<activity::Activity>,
        buffers: sync::Arc<buffers::Buffers>,
    ) -> Self {
        Self {
            inner,
            activity,
            is_blocked: false,
            unparsed: 0,
            heads: 0,
            head: buffers.holder().reserve(account::Kind::Head),
            pipelined: buffers.holder().reserve(account::Kind::Pipelined),
            buffers,
        }
    }

    /// Reserves the memory of the read buffer, of which `offered` bytes are free. The HTTP
    /// library has allocated them, but the system provides them only when they are
    /// filled.
    fn reserve(&mut self, offered: usize) -> Result<(), account::Full> {
        let state = *self.activity.borrow();
        if state.heads() != self.heads && !state.is_serving() {
            self.unparsed = 0;
            self.heads = state.heads();
        }
        let head = match state.is_http2() {
            true => self.unparsed.min(HTTP2_WINDOW_BYTES as usize),
            false => self.unparsed,
        };
        let (head, pipelined) = match state.is_serving() {
            true => (head, offered.saturating_sub(READ_FREE_BYTES)),
            false => ((head + offered).saturating_sub(READ_FREE_BYTES), 0),
        };
        if head != self.head.bytes() {
            self.head.resize(head)?;
        }
        if pipelined != self.pipelined.bytes() {
            self.pipelined.resize(pipelined)?;
        }
        Ok(())
    }

    fn record_received(&mut self, bytes: usize) {
        activity::record_received(&self.activity);
        let state = *self.activity.borrow();
        if state.is_http2() || !state.is_serving() {
            self.unparsed = self.unparsed.saturating_add(bytes);
        }
    }

    /// Records the result of a write and returns it.
    fn record_write(
        &mut self,
        written: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        match &written {
            task::Poll::Pending => self.block(),
            task::Poll::Ready(Ok(bytes)) => {
                self.buffers.record_written(*bytes);
                if self.is_blocked {
                    let holder = self.buffers.holder();
                    holder.record(*bytes);
                    activity::record_accepted(&self.activity, holder.time_of(*bytes));
                }
            }
            task::Poll::Ready(Err(_)) => {}
        }
        written
    }

    fn block(&mut self) {
        if !self.is_blocked {
            self.is_blocked = true;
            activity::record_blocked(&self.activity, true);
            self.buffers.holder().set_waiting(true);
        }
    }

    /// Records that everything was written.
    fn record_flushed(&mut self) {
        let state = *self.activity.borrow();
        if !state.is_http2() || !state.is_serving() {
            self.buffers.record_empty();
        }
        if self.is_blocked {
            self.is_blocked = false;
            activity::record_blocked(&self.activity, false);
            self.buffers.holder().set_waiting(!state.is_serving());
        }
    }
}

/// Takes the units of a read from the budget of the task. The read after the last unit
/// waits until other tasks have run.
fn take_turn(context: &mut task::Context<'_>) {
    for _ in 0..READ_UNITS {
        match coop::poll_proceed(context) {
            task::Poll::Ready(unit) => unit.made_progress(),
            task::Poll::Pending => return,
        }
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for Stream<I> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if let Err(full) = self.reserve(buffer.remaining()) {
            self.buffers.record_refusal(full);
            return task::Poll::Ready(Err(io::Error::other("no memory for the request")));
        }
        let before = buffer.filled().len();
        let most = match self.buffers.holder().is_memory_scarce() {
            true => SCARCE_READ_BYTES,
            false => READ_BYTES,
        };
        let read = if buffer.remaining() > most {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
            let read = pin::Pin::new(&mut self.inner).poll_read(context, &mut part);
            let bytes = part.filled().len();
            buffer.advance(bytes);
            read
        } else {
            pin::Pin::new(&mut self.inner).poll_read(context, buffer)
        };
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            take_turn(context);
            self.record_received(bytes);
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
        match &flushed {
            task::Poll::Pending => self.block(),
            task::Poll::Ready(_) => self.record_flushed(),
        }
        flushed
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
