use core::pin;
use core::task;

use bytes::Bytes;

use crate::activity;

/// A body that counts as in flight until it is dropped.
pub(crate) struct Body {
    pub(crate) inner: axum::body::Body,
    pub(crate) _running: activity::Running,
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, axum::Error>>> {
        pin::Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}
