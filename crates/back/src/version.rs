/// HTTP version that an endpoint speaks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Version {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/2 with prior knowledge, without an upgrade.
    Http2,
}
