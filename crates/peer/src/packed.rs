//! Packs what is written to a connection and unpacks what is read from it.
//!
//! RPC messages are mostly zeros: a call takes about half of its bytes.

use std::io;
use std::pin;
use std::sync;
use std::task;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::counters;

/// Unpacking reader.
pub struct Reader<R> {
    inner: R,
    counters: sync::Arc<counters::Counters>,
    unpacker: wire::pack::Unpacker,
    input: Box<[u8]>,
    /// Part of the input that is not unpacked yet.
    start: usize,
    end: usize,
}

impl<R> Reader<R> {
    /// Returns a reader at the start of a packed stream that counts its bytes.
    pub fn new(inner: R, counters: sync::Arc<counters::Counters>) -> Self {
        Self {
            inner,
            counters,
            unpacker: wire::pack::Unpacker::default(),
            input: vec![0; INPUT].into(),
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

/// Packing writer. It packs whole words on flush or when much is written.
pub struct Writer<W> {
    inner: W,
    counters: sync::Arc<counters::Counters>,
    plain: Vec<u8>,
    packed: Vec<u8>,
    /// Part of the packed bytes that is written.
    written: usize,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    /// Returns a writer at the start of a packed stream that counts its bytes.
    pub fn new(inner: W, counters: sync::Arc<counters::Counters>) -> Self {
        Self {
            inner,
            counters,
            plain: Vec::new(),
            packed: Vec::new(),
            written: 0,
        }
    }

    /// Packs and writes everything but the part of a word.
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
        self.packed.shrink_to(KEPT);
        self.plain.shrink_to(KEPT);
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
        if this.plain.len() >= OUTPUT || this.written < this.packed.len() {
            task::ready!(this.poll_drain(context))?;
        }
        let taken = bytes.len().min(OUTPUT);
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

/// Size of the read buffer in bytes. A call takes about 200 bytes, and idle
/// links hold the buffer.
const INPUT: usize = 2 * 1024;

/// Length of unpacked output in bytes above which it is written before a flush.
const OUTPUT: usize = 16 * 1024;

/// Capacity in bytes that the output buffers of an idle link keep.
const KEPT: usize = 1024;
