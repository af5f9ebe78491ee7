use std::net;
use std::sync;

use crate::host;

/// Serves the metrics of a host as text, whatever the path.
pub(crate) struct Metrics(pub(crate) sync::Arc<host::Host>);

impl front::Handler for Metrics {
    fn handle(
        &self,
        _request: http::Request<hyper::body::Incoming>,
        _remote: net::SocketAddr,
    ) -> front::HandlerFuture {
        self.0.update_gauges();
        let text = self.0.metrics.text();
        Box::pin(async move { http::Response::new(axum::body::Body::from(text)) })
    }
}
