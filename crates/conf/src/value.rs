use core::time;
use std::net;

/// A parsed value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    /// Text, a name, a path or a choice.
    Text(String),
    /// List of names or secrets.
    Texts(Vec<String>),
    /// Address.
    Address(net::SocketAddr),
    /// List of addresses.
    Addresses(Vec<net::SocketAddr>),
    /// Duration.
    Duration(time::Duration),
    /// Count or size in bytes.
    Integer(u64),
    /// Number.
    Number(f64),
    /// Truth value.
    Flag(bool),
    /// List of SHA-256 hashes.
    Hashes(Vec<[u8; 32]>),
}
