use std::net;

use xxhash_rust::xxh3;

/// Bytes of an IPv4 prefix (/24).
const PREFIX_V4: usize = 3;

/// Bytes of an IPv6 prefix (/64).
const PREFIX_V6: usize = 8;

/// Returns the hash of a caller with this SHA-256 of its bearer key.
pub(crate) fn known(digest: &[u8; 32]) -> u64 {
    xxh3::xxh3_64(digest)
}

/// Returns the hash of an anonymous caller: all addresses of a prefix (/24 for
/// IPv4, /64 for IPv6) are one caller. An IPv4 address counts as IPv4 when it
/// is mapped into IPv6, too.
pub(crate) fn anonymous(address: net::IpAddr) -> u64 {
    match address.to_canonical() {
        net::IpAddr::V4(address) => xxh3::xxh3_64(&address.octets()[..PREFIX_V4]),
        net::IpAddr::V6(address) => xxh3::xxh3_64(&address.octets()[..PREFIX_V6]),
    }
}
