use core::pin;
use core::task;

use bytes::{Bytes, BytesMut};
use hyper::body::Body;

use crate::incoming;

/// Bytes of an answer that are buffered before its head is passed on. A broken
/// answer of up to this size can still be replaced by a retry. Hundreds of answers
/// that never end must fit into the memory of a small host.
const BUFFER_MAX_BYTES: usize = 16 * 1024;

/// Result of reading an answer.
pub(crate) enum Read {
    Whole(Bytes),
    /// The answer exceeds the buffer; this is its beginning.
    Part(Bytes),
    Broken(String),
}

/// An answer with a single body, as far as it has arrived.
pub(crate) struct Answer {
    pub(crate) incoming: incoming::Answer,
    buffer: BytesMut,
}

impl Answer {
    /// Returns an answer whose head has arrived.
    pub(crate) fn new(incoming: incoming::Answer) -> Self {
        Self {
            incoming,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the answer until it is complete, exceeds the buffer or breaks.
    pub(crate) fn poll_read(&mut self, context: &mut task::Context<'_>) -> task::Poll<Read> {
        loop {
            let body = pin::Pin::new(&mut self.incoming.body);
            match task::ready!(body.poll_frame(context)) {
                None => return task::Poll::Ready(Read::Whole(self.take())),
                Some(Err(cause)) => return task::Poll::Ready(Read::Broken(cause.to_string())),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
            }
            if self.buffer.len() > BUFFER_MAX_BYTES {
                return task::Poll::Ready(Read::Part(self.take()));
            }
        }
    }

    fn take(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}
