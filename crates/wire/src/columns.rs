//! Columns of a digest while it is written.

use std::net;

use crate::error;
use crate::field;

/// The host finishes what it has.
pub const LEAVING: u8 = 1;
/// The sender of the digest suspects the host.
pub const SUSPECTED: u8 = 1 << 1;
/// The peer address is IPv6.
pub const PEER_V6: u8 = 1 << 2;
/// The caller address is IPv6.
pub const CALLER_V6: u8 = 1 << 3;
/// The caller address has the IP of the peer address.
pub const SAME_IP: u8 = 1 << 4;
/// Both ports are those of the first entry.
pub const SAME_PORTS: u8 = 1 << 5;

/// Entries of a digest, stored by column.
#[derive(Default)]
pub struct Columns {
    /// Names, separated by newlines.
    pub names: String,
    /// Distinct names of data centres and regions.
    pub places: Vec<String>,
    /// The first as it is, the others as differences from the first.
    pub incarnations: Vec<u64>,
    /// Heartbeat counters.
    pub counters: Vec<u64>,
    /// Bits of this module.
    pub flags: Vec<u8>,
    /// Indices into the places.
    pub data_centres: Vec<u8>,
    /// Indices into the places.
    pub regions: Vec<u8>,
    /// Ports, unless they are those of the first entry.
    pub ports: Vec<u16>,
    /// IP addresses.
    pub addresses: Vec<u8>,
    first: Option<(u64, (u16, u16))>,
}

impl Columns {
    /// Adds an entry.
    pub fn push(&mut self, entry: &fleet::Entry) -> Result<(), error::Error> {
        plain(&entry.name, "name")?;
        if !self.names.is_empty() {
            self.names.push('\n');
        }
        self.names.push_str(&entry.name);
        let data_centre = self.place(&entry.data_centre, "data centre")?;
        self.data_centres.push(data_centre);
        let region = self.place(&entry.region, "region")?;
        self.regions.push(region);
        self.counters.push(entry.counter);
        let flags = self.numbers(entry) | self.ips(entry);
        self.flags.push(flags);
        Ok(())
    }

    /// Returns the index of a place and adds it if it is new.
    fn place(&mut self, place: &str, field: &'static str) -> Result<u8, error::Error> {
        plain(place, field)?;
        let known = self.places.iter().position(|known| known == place);
        let index = known.unwrap_or(self.places.len());
        if known.is_none() {
            self.places.push(place.to_owned());
        }
        u8::try_from(index).map_err(|_| error::Error::TooLong("places"))
    }

    /// Adds incarnation and ports and returns the flags for them.
    fn numbers(&mut self, entry: &fleet::Entry) -> u8 {
        let ports = (entry.peer.port(), entry.caller.port());
        let Some((incarnation, known)) = self.first else {
            self.first = Some((entry.incarnation, ports));
            self.incarnations.push(entry.incarnation);
            self.ports.extend([ports.0, ports.1]);
            return 0;
        };
        self.incarnations
            .push(difference(incarnation, entry.incarnation));
        if ports == known {
            return SAME_PORTS;
        }
        self.ports.extend([ports.0, ports.1]);
        0
    }

    /// Adds the IP addresses and returns the flags for them and the state.
    fn ips(&mut self, entry: &fleet::Entry) -> u8 {
        let mut flags = 0;
        flags |= flag(entry.phase == fleet::Phase::Leaving, LEAVING);
        flags |= flag(entry.suspected, SUSPECTED);
        flags |= flag(entry.peer.is_ipv6(), PEER_V6);
        flags |= flag(entry.caller.is_ipv6(), CALLER_V6);
        self.addresses.extend(field::octets(entry.peer.ip()));
        if entry.peer.ip() == entry.caller.ip() {
            return flags | SAME_IP;
        }
        self.addresses.extend(field::octets(entry.caller.ip()));
        flags
    }
}

/// Takes the peer IP and the caller IP of an entry from the front of the column.
pub fn take_ips(column: &mut &[u8], flags: u8) -> Result<(net::IpAddr, net::IpAddr), error::Error> {
    let peer = take_ip(column, flags & PEER_V6 != 0)?;
    if flags & SAME_IP != 0 {
        return Ok((peer, peer));
    }
    let caller = take_ip(column, flags & CALLER_V6 != 0)?;
    Ok((peer, caller))
}

fn take_ip(column: &mut &[u8], v6: bool) -> Result<net::IpAddr, error::Error> {
    let length = if v6 { 16 } else { 4 };
    let (bytes, rest) = column
        .split_at_checked(length)
        .ok_or(error::Error::Invalid("addresses"))?;
    *column = rest;
    field::ip(bytes, "addresses")
}

/// Returns `value - base` in zigzag form, which keeps small differences of
/// either sign short.
pub fn difference(base: u64, value: u64) -> u64 {
    let delta = value.wrapping_sub(base).cast_signed();
    ((delta << 1) ^ (delta >> 63)).cast_unsigned()
}

/// Returns the value whose [`difference`] from `base` this is.
pub fn sum(base: u64, difference: u64) -> u64 {
    let sign = (difference & 1).wrapping_neg();
    base.wrapping_add((difference >> 1) ^ sign)
}

fn flag(set: bool, bit: u8) -> u8 {
    if set { bit } else { 0 }
}

/// Refuses what the separators of the columns cannot carry.
fn plain(text: &str, field: &'static str) -> Result<(), error::Error> {
    if text.is_empty() || text.chars().any(char::is_control) {
        return Err(error::Error::Invalid(field));
    }
    field::fits(text, crate::limit::NAME_BYTES, field)?;
    Ok(())
}
