//! HTTP client with its own connection pool.

use std::net;

use http_body_util::Full;
use hyper::body;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;

/// HTTP version that a client uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Version {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// Client of one caller; its clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Client(legacy::Client<connect::HttpConnector, Full<bytes::Bytes>>);

impl Client {
    /// Returns a client that binds its connections to `source`, or to any local
    /// address if `None`.
    pub fn new(version: Version, source: Option<net::Ipv4Addr>) -> Self {
        let mut connector = connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(source.map(net::IpAddr::V4));
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .http2_only(version == Version::Http2)
            .build(connector);
        Self(client)
    }

    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails before the response head arrives.
    pub async fn send(
        &self,
        request: http::Request<Full<bytes::Bytes>>,
    ) -> Result<http::Response<body::Incoming>, legacy::Error> {
        self.0.request(request).await
    }
}
