use core::future;
use std::net;
use std::pin;

use crate::request;
use crate::response;

/// Future of one answer.
pub type ServiceFuture<'a> = pin::Pin<
    Box<dyn future::Future<Output = Result<response::Response, answer::Refusal>> + Send + 'a>,
>;

/// What the caller interface needs from the router.
pub trait Service: Send + Sync + 'static {
    /// Serves one request. Dropping the future cancels it.
    fn serve(&self, request: request::Request) -> ServiceFuture<'_>;

    /// Returns the answer of `GET /v1/hosts` as JSON.
    fn hosts(&self, address: net::IpAddr) -> serde_json::Value;

    /// Returns the answer of `GET /v1/models` as JSON.
    fn models(&self) -> serde_json::Value;
}
