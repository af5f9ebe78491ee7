use core::future;
use core::pin;
use std::net;

/// Future that resolves to the response of a [`Handler`].
pub type HandlerFuture =
    pin::Pin<Box<dyn future::Future<Output = http::Response<axum::body::Body>> + Send>>;

/// Handler of whole HTTP requests, which this crate does not interpret.
///
/// The head of the request is within the limits. The body has not been read, and
/// the handler must enforce the body limits itself.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request of the caller at `remote`. Dropping the future cancels
    /// the request.
    fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
        remote: net::SocketAddr,
    ) -> HandlerFuture;
}
