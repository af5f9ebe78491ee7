use std::net;

use xxhash_rust::xxh3;

/// Length of an IPv4 prefix (/24).
const PREFIX_V4_BYTES: usize = 3;

/// Length of an IPv6 prefix (/64).
const PREFIX_V6_BYTES: usize = 8;

/// Returns the hash of an authenticated caller from the SHA-256 of its bearer key.
pub(crate) fn authenticated(digest: &[u8; 32]) -> u64 {
    xxh3::xxh3_64(digest)
}

/// Returns the hash of an anonymous caller.
///
/// All addresses of a prefix (/24 for IPv4, /64 for IPv6) are one caller. An
/// IPv4-mapped IPv6 address counts as the IPv4 address.
pub(crate) fn anonymous(address: net::IpAddr) -> u64 {
    match address.to_canonical() {
        net::IpAddr::V4(address) => xxh3::xxh3_64(&address.octets()[..PREFIX_V4_BYTES]),
        net::IpAddr::V6(address) => xxh3::xxh3_64(&address.octets()[..PREFIX_V6_BYTES]),
    }
}
