//! Access to single fields with a check of their length.
//!
//! `field` is the name of the field in errors.

use std::net;

use crate::error;

/// Returns `length` as the type that Cap'n Proto uses, if it is at most `bound`.
pub fn count(length: usize, bound: usize, field: &'static str) -> Result<u32, error::Error> {
    if length > bound {
        return Err(error::Error::TooLong(field));
    }
    u32::try_from(length).map_err(|_| error::Error::TooLong(field))
}

/// Checks that a field has at most `bound` bytes, and returns its value.
pub fn check<'a, T: AsRef<[u8]> + ?Sized>(
    value: &'a T,
    bound: usize,
    field: &'static str,
) -> Result<&'a T, error::Error> {
    count(value.as_ref().len(), bound, field)?;
    Ok(value)
}

/// Reads a UTF-8 text of at most `bound` bytes.
pub fn text(
    reader: capnp::Result<capnp::text::Reader<'_>>,
    bound: usize,
    field: &'static str,
) -> Result<String, error::Error> {
    let reader = reader?;
    count(reader.len(), bound, field)?;
    let text = reader.to_str().map_err(|_| error::Error::Invalid(field))?;
    Ok(text.to_owned())
}

/// Reads a byte string of at most `bound` bytes.
pub fn data(
    reader: capnp::Result<capnp::data::Reader<'_>>,
    bound: usize,
    field: &'static str,
) -> Result<Vec<u8>, error::Error> {
    let reader = reader?;
    count(reader.len(), bound, field)?;
    Ok(reader.to_vec())
}

/// Reads a byte string of exactly `N` bytes.
pub fn array<const N: usize>(
    reader: capnp::Result<capnp::data::Reader<'_>>,
    field: &'static str,
) -> Result<[u8; N], error::Error> {
    <[u8; N]>::try_from(reader?).map_err(|_| error::Error::Invalid(field))
}

/// Returns the 4 or 16 bytes of an IP address.
pub fn octets(ip: net::IpAddr) -> Vec<u8> {
    match ip {
        net::IpAddr::V4(ip) => ip.octets().to_vec(),
        net::IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

/// Reads an IP address from 4 or 16 bytes.
pub fn ip(bytes: &[u8], field: &'static str) -> Result<net::IpAddr, error::Error> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        return Ok(octets.into());
    }
    if let Ok(octets) = <[u8; 16]>::try_from(bytes) {
        return Ok(octets.into());
    }
    Err(error::Error::Invalid(field))
}
