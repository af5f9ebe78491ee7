use core::future;
use core::pin;
use std::net;

/// Future of one exchange.
pub type HandlerFuture =
    pin::Pin<Box<dyn future::Future<Output = http::Response<axum::body::Body>> + Send>>;

/// What answers whole HTTP requests whose meaning this crate does not know.
///
/// The head has passed the limits; the body is still to be read.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropping the future cancels it.
    fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
        remote: net::SocketAddr,
    ) -> HandlerFuture;
}
