use core::pin;
use core::task;
use core::time;
use std::sync;

use bytes::Bytes;
use tokio::time::Instant;

use crate::activity;
use crate::connection;
use crate::counters;

/// A body that counts as in flight until it is dropped.
pub(crate) struct Body {
    answer: sync::Arc<sync::Mutex<Answer>>,
    watch: Option<tokio::task::AbortHandle>,
}

struct Answer {
    /// What is left of the answer; `None` once it was given up.
    rest: Option<(axum::body::Body, activity::Running)>,
    /// When the last part was handed over, until the next one is asked for.
    handed: Option<Instant>,
}

impl Body {
    /// Returns the body of an answer.
    pub(crate) fn new(inner: axum::body::Body, running: activity::Running) -> Self {
        let answer = Answer {
            rest: Some((inner, running)),
            handed: None,
        };
        Self {
            answer: sync::Arc::new(sync::Mutex::new(answer)),
            watch: None,
        }
    }

    /// Gives the answer up if its next part is not asked for in time.
    ///
    /// An HTTP/2 caller can stop one answer while its connection goes on; the
    /// endpoint must not wait for it.
    pub(crate) fn watched(mut self, shared: sync::Arc<connection::Shared>) -> Self {
        if !http_body::Body::is_end_stream(&self) {
            let watch = watch(self.answer.clone(), shared);
            self.watch = Some(tokio::spawn(watch).abort_handle());
        }
        self
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if let Some(watch) = &self.watch {
            watch.abort();
        }
    }
}

async fn watch(answer: sync::Arc<sync::Mutex<Answer>>, shared: sync::Arc<connection::Shared>) {
    let timeout = shared.write_timeout();
    loop {
        let left = match lock(&answer).left(timeout) {
            Some(left) => left,
            None => break,
        };
        tokio::time::sleep(left).await;
    }
    let given_up = lock(&answer).rest.take();
    drop(given_up);
    counters::count(&shared.cells.stalled);
}

impl Answer {
    /// Returns the time after which to look again, or nothing if the next part
    /// was not asked for in time.
    fn left(&self, timeout: time::Duration) -> Option<time::Duration> {
        let Some(handed) = self.handed else {
            return Some(timeout);
        };
        let left = timeout.saturating_sub(handed.elapsed());
        (!left.is_zero()).then_some(left)
    }
}

fn lock(answer: &sync::Mutex<Answer>) -> sync::MutexGuard<'_, Answer> {
    answer.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, axum::Error>>> {
        let mut answer = lock(&self.answer);
        answer.handed = None;
        let Some((inner, _)) = &mut answer.rest else {
            let cause = axum::Error::new("the caller did not read its answer");
            return task::Poll::Ready(Some(Err(cause)));
        };
        let frame = pin::Pin::new(inner).poll_frame(context);
        if let task::Poll::Ready(Some(Ok(_))) = &frame {
            answer.handed = Some(Instant::now());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        let answer = lock(&self.answer);
        answer
            .rest
            .as_ref()
            .is_some_and(|(inner, _)| inner.is_end_stream())
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let answer = lock(&self.answer);
        answer
            .rest
            .as_ref()
            .map_or_else(http_body::SizeHint::default, |(inner, _)| inner.size_hint())
    }
}
