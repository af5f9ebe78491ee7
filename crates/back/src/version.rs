/// HTTP version of the connections to an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Version {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/2 with prior knowledge, that is, without an upgrade from HTTP/1.1.
    Http2,
}
