use core::future;
use core::pin;
use core::task;
use core::time;
use std::sync;

use hyper_util::client::legacy::connect;
use hyper_util::rt;
use tower_service::Service;

use crate::response;
use crate::slots;
use crate::stream;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Opens connections within the limits of [`slots::Slots`].
#[derive(Clone)]
pub(crate) struct Connector {
    inner: connect::HttpConnector,
    slots: sync::Arc<slots::Slots>,
    timeout: time::Duration,
}

impl Connector {
    /// Creates a connector that waits up to `timeout` for a slot and then up to
    /// `timeout` for the connection.
    pub(crate) fn new(slots: slots::Slots, timeout: time::Duration) -> Self {
        let mut inner = connect::HttpConnector::new();
        inner.set_connect_timeout(Some(timeout));
        inner.set_nodelay(true);
        Self {
            inner,
            slots: sync::Arc::new(slots),
            timeout,
        }
    }

    async fn connect(mut self, uri: http::Uri) -> Result<stream::Stream, BoxError> {
        let endpoint = uri.authority().map_or("", |authority| authority.as_str());
        let waiting = tokio::time::timeout(self.timeout, self.slots.acquire(endpoint));
        let slot = waiting.await.map_err(|_| {
            format!(
                "the connection limit is reached: \
                 no connection to {endpoint} became available within {} ms",
                self.timeout.as_millis()
            )
        })??;
        let inner = self.inner.call(uri).await?.into_inner();
        Ok(stream::Stream {
            inner: rt::TokioIo::new(response::Stream::tcp(inner)),
            _slot: slot,
        })
    }
}

impl Service<http::Uri> for Connector {
    type Response = stream::Stream;
    type Error = BoxError;
    type Future =
        pin::Pin<Box<dyn future::Future<Output = Result<stream::Stream, BoxError>> + Send>>;

    fn poll_ready(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), BoxError>> {
        self.inner.poll_ready(context).map_err(BoxError::from)
    }

    fn call(&mut self, uri: http::Uri) -> Self::Future {
        Box::pin(self.clone().connect(uri))
    }
}
