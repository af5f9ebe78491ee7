use core::future;
use std::net;
use std::pin;

use crate::request;
use crate::response;

/// Future that resolves to the response or refusal of a [`Service`].
pub type ServiceFuture<'a> = pin::Pin<
    Box<dyn future::Future<Output = Result<response::Response, answer::Refusal>> + Send + 'a>,
>;

/// The router behind a [`Server`](crate::Server) that parses requests.
pub trait Service: Send + Sync + 'static {
    /// Serves one request. Dropping the future cancels the request.
    fn serve(&self, request: request::Request) -> ServiceFuture<'_>;

    /// Returns the JSON body of `GET /v1/hosts` for the caller at `address`.
    fn hosts(&self, address: net::IpAddr) -> serde_json::Value;

    /// Returns the JSON body of `GET /v1/models`.
    fn models(&self) -> serde_json::Value;
}
