use core::pin;
use core::task;
use core::time;
use std::sync;

use bytes::Bytes;
use tokio::time::Instant;

use crate::activity;
use crate::connection;
use crate::counters;

/// Response body whose request counts as in flight until it is dropped.
pub(crate) struct Body {
    state: sync::Arc<sync::Mutex<State>>,
    watchdog: Option<tokio::task::AbortHandle>,
}

struct State {
    /// The unsent part of the body; `None` after it was abandoned.
    rest: Option<(axum::body::Body, activity::Guard)>,
    /// Time at which the last frame was returned; `None` from the next poll until
    /// that returns a frame.
    frame_returned_at: Option<Instant>,
}

impl Body {
    /// Wraps a body and the guard of its request.
    pub(crate) fn new(inner: axum::body::Body, guard: activity::Guard) -> Self {
        let state = State {
            rest: Some((inner, guard)),
            frame_returned_at: None,
        };
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            watchdog: None,
        }
    }

    /// Abandons the response if its next frame is not polled for within the write
    /// time-out.
    ///
    /// An HTTP/2 caller can stop reading one response while its connection stays
    /// active, which would block the endpoint that sends the response.
    pub(crate) fn with_write_timeout(mut self, shared: sync::Arc<connection::Shared>) -> Self {
        if !http_body::Body::is_end_stream(&self) {
            let watchdog = watch(self.state.clone(), shared);
            self.watchdog = Some(tokio::spawn(watchdog).abort_handle());
        }
        self
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if let Some(watchdog) = &self.watchdog {
            watchdog.abort();
        }
    }
}

async fn watch(state: sync::Arc<sync::Mutex<State>>, shared: sync::Arc<connection::Shared>) {
    let timeout = shared.write_timeout();
    loop {
        let remaining = match lock(&state).remaining(timeout) {
            Some(remaining) => remaining,
            None => break,
        };
        tokio::time::sleep(remaining).await;
    }
    let abandoned = lock(&state).rest.take();
    drop(abandoned);
    counters::increment(&shared.counters.stalled);
}

impl State {
    /// Returns the time until the next check, or `None` if the next frame was not
    /// polled for in time.
    fn remaining(&self, timeout: time::Duration) -> Option<time::Duration> {
        let Some(frame_returned_at) = self.frame_returned_at else {
            return Some(timeout);
        };
        let remaining = timeout.saturating_sub(frame_returned_at.elapsed());
        (!remaining.is_zero()).then_some(remaining)
    }
}

fn lock(state: &sync::Mutex<State>) -> sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, axum::Error>>> {
        let mut state = lock(&self.state);
        state.frame_returned_at = None;
        let Some((inner, guard)) = &mut state.rest else {
            let cause = axum::Error::new("the caller did not read the response in time");
            return task::Poll::Ready(Some(Err(cause)));
        };
        let frame = pin::Pin::new(inner).poll_frame(context);
        if let task::Poll::Ready(Some(Ok(frame))) = &frame {
            let size = frame.data_ref().map_or(0, Bytes::len);
            if let Err(full) = guard.buffers().queue(size) {
                guard.buffers().record_refusal(full);
                let cause = axum::Error::new("no memory for the answer");
                return task::Poll::Ready(Some(Err(cause)));
            }
            state.frame_returned_at = Some(Instant::now());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        let state = lock(&self.state);
        state
            .rest
            .as_ref()
            .is_some_and(|(inner, _)| inner.is_end_stream())
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let state = lock(&self.state);
        state
            .rest
            .as_ref()
            .map_or_else(http_body::SizeHint::default, |(inner, _)| inner.size_hint())
    }
}
