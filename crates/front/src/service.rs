use core::future;
use std::net;
use std::pin;

use crate::answer_body;
use crate::request;

/// Future of one answer.
pub type Serving<'a> = pin::Pin<
    Box<dyn future::Future<Output = Result<answer_body::Answer, answer::Refusal>> + Send + 'a>,
>;

/// What the caller interface needs from the router.
pub trait Service: Send + Sync + 'static {
    /// Serves one request. Dropping the future cancels it.
    fn serve(&self, request: request::Request) -> Serving<'_>;

    /// Returns the answer of `GET /v1/hosts` as JSON.
    fn hosts(&self, address: net::IpAddr) -> serde_json::Value;

    /// Returns the answer of `GET /v1/models` as JSON.
    fn models(&self) -> serde_json::Value;
}
