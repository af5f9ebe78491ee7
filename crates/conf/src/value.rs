use core::time;
use std::net;

/// A parsed value; its variant follows from [`crate::schema::Kind`].
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    /// A name, a path or a choice.
    Text(String),
    /// List of names or secrets.
    Texts(Vec<String>),
    /// Address to connect to or to listen on.
    Address(net::SocketAddr),
    /// List of addresses.
    Addresses(Vec<net::SocketAddr>),
    Duration(time::Duration),
    /// Count or size in bytes.
    Integer(u64),
    /// Decimal number.
    Number(f64),
    Flag(bool),
    /// List of SHA-256 hashes.
    Hashes(Vec<[u8; 32]>),
}
