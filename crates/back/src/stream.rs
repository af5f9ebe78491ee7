use core::pin;
use core::task;
use std::io;

use hyper::rt;
use hyper_util::client::legacy::connect;

use crate::response;
use crate::slots;
use crate::uses;

type Inner = hyper_util::rt::TokioIo<response::Stream<tokio::net::TcpStream>>;

/// TCP connection that holds its slot until it is dropped.
pub(crate) struct Stream {
    pub(crate) inner: Inner,
    pub(crate) _slot: slots::Slot,
}

impl connect::Connection for Stream {
    fn connected(&self) -> connect::Connected {
        let stream = self.inner.inner().get_ref();
        stream.connected().extra(uses::Uses::default())
    }
}

impl rt::Read for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl rt::Write for Stream {
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
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
