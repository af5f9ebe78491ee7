//! Reader and writer that unpack and pack the byte stream of a connection.
//!
//! RPC messages contain many zero bytes: packing reduces a call to about half of its
//! size.

use std::io;
use std::pin;
use std::sync;
use std::task;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::counters;

/// Reader that unpacks the stream of the inner reader.
pub struct Reader<R> {
    inner: R,
    counters: sync::Arc<counters::Counters>,
    unpacker: wire::pack::Unpacker,
    input: Box<[u8]>,
    /// Start and end of the part of the input that is not unpacked yet.
    start: usize,
    end: usize,
}

impl<R> Reader<R> {
    /// Creates a reader at the start of a packed stream. It counts the packed bytes
    /// as [`counters::Count::LinkBytesReceived`].
    pub fn new(inner: R, counters: sync::Arc<counters::Counters>) -> Self {
        Self {
            inner,
            counters,
            unpacker: wire::pack::Unpacker::default(),
            input: vec![0; INPUT_BYTES].into(),
            start: 0,
            end: 0,
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Reader<R> {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            let mut left = &this.input[this.start..this.end];
            let written = this
                .unpacker
                .unpack(&mut left, output.initialize_unfilled());
            this.start = this.end - left.len();
            if written > 0 || output.remaining() == 0 {
                output.advance(written);
                return task::Poll::Ready(Ok(()));
            }
            let mut input = ReadBuf::new(&mut this.input);
            task::ready!(pin::Pin::new(&mut this.inner).poll_read(context, &mut input))?;
            this.start = 0;
            this.end = input.filled().len();
            this.counters
                .add_many(counters::Count::LinkBytesReceived, this.end);
            if this.end == 0 {
                let ended = if this.unpacker.is_complete() {
                    Ok(())
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
                return task::Poll::Ready(ended);
            }
        }
    }
}

/// Writer that packs its input for the inner writer. It packs whole words, on flush
/// or when [`OUTPUT_BYTES`] are buffered.
pub struct Writer<W> {
    inner: W,
    counters: sync::Arc<counters::Counters>,
    plain: Vec<u8>,
    packed: Vec<u8>,
    /// Number of packed bytes that are already written.
    written: usize,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    /// Creates a writer at the start of a packed stream. It counts the packed bytes
    /// as [`counters::Count::LinkBytesSent`].
    pub fn new(inner: W, counters: sync::Arc<counters::Counters>) -> Self {
        Self {
            inner,
            counters,
            plain: Vec::new(),
            packed: Vec::new(),
            written: 0,
        }
    }

    /// Packs and writes all buffered bytes except an incomplete word at the end.
    fn poll_drain(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let taken = wire::pack::pack(&self.plain, &mut self.packed);
        self.plain.drain(..taken);
        while self.written < self.packed.len() {
            let rest = &self.packed[self.written..];
            let count = task::ready!(pin::Pin::new(&mut self.inner).poll_write(context, rest))?;
            if count == 0 {
                return task::Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.written += count;
            self.counters
                .add_many(counters::Count::LinkBytesSent, count);
        }
        self.written = 0;
        self.packed.clear();
        self.packed.shrink_to(RETAINED_BYTES);
        self.plain.shrink_to(RETAINED_BYTES);
        task::Poll::Ready(Ok(()))
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for Writer<W> {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.plain.len() >= OUTPUT_BYTES || this.written < this.packed.len() {
            task::ready!(this.poll_drain(context))?;
        }
        let taken = bytes.len().min(OUTPUT_BYTES);
        this.plain.extend_from_slice(&bytes[..taken]);
        task::Poll::Ready(Ok(taken))
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        task::ready!(this.poll_drain(context))?;
        pin::Pin::new(&mut this.inner).poll_flush(context)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        task::ready!(this.poll_drain(context))?;
        pin::Pin::new(&mut this.inner).poll_shutdown(context)
    }
}

/// Size of the read buffer. A call takes about 200 bytes, and an idle link keeps
/// its buffer.
const INPUT_BYTES: usize = 2 * 1024;

/// Length of unpacked output from which on it is written before a flush.
const OUTPUT_BYTES: usize = 16 * 1024;

/// Capacity that each output buffer of an idle link retains.
const RETAINED_BYTES: usize = 1024;
