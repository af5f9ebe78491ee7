use core::future;
use core::pin;
use core::task;
use core::time;
use std::sync;

use hyper_util::client::legacy::connect;
use tower_service::Service;

use crate::slots;
use crate::stream;

type Fault = Box<dyn std::error::Error + Send + Sync>;

/// Opens connections below the bounds.
#[derive(Clone)]
pub(crate) struct Connector {
    inner: connect::HttpConnector,
    slots: sync::Arc<slots::Slots>,
    timeout: time::Duration,
}

impl Connector {
    /// Returns a connector that waits at most `timeout` for a place, and as
    /// long again for the connection.
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

    async fn connect(mut self, uri: http::Uri) -> Result<stream::Stream, Fault> {
        let endpoint = uri.authority().map_or("", |authority| authority.as_str());
        let place = tokio::time::timeout(self.timeout, self.slots.take(endpoint));
        let slot = place
            .await
            .map_err(|_| format!("too many connections to {endpoint} are open"))??;
        let inner = self.inner.call(uri).await?;
        Ok(stream::Stream { inner, _slot: slot })
    }
}

impl Service<http::Uri> for Connector {
    type Response = stream::Stream;
    type Error = Fault;
    type Future = pin::Pin<Box<dyn future::Future<Output = Result<stream::Stream, Fault>> + Send>>;

    fn poll_ready(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), Fault>> {
        self.inner.poll_ready(context).map_err(Fault::from)
    }

    fn call(&mut self, uri: http::Uri) -> Self::Future {
        Box::pin(self.clone().connect(uri))
    }
}
