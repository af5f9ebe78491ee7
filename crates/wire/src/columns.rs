//! Column layout of the entries of a digest.

use std::net;

use crate::error;
use crate::field;

/// The host is leaving: it only finishes the requests that it has.
pub const LEAVING: u8 = 1;
/// The sender of the digest suspects the host.
pub const SUSPECTED: u8 = 1 << 1;
/// The peer address is IPv6.
pub const PEER_V6: u8 = 1 << 2;
/// The caller address is IPv6.
pub const CALLER_V6: u8 = 1 << 3;
/// The caller address has the same IP as the peer address.
pub const SAME_IP: u8 = 1 << 4;
/// Both ports equal those of the first entry.
pub const SAME_PORTS: u8 = 1 << 5;

/// Entries of a digest by column, for the encoder.
#[derive(Default)]
pub struct Columns {
    /// Host names, separated by newlines.
    pub names: String,
    /// Distinct names of data centres and regions.
    pub places: Vec<String>,
    /// First incarnation, then the [`difference`] of each other one from it.
    pub incarnations: Vec<u64>,
    /// Heartbeat counters.
    pub counters: Vec<u64>,
    /// Flags of each entry, such as [`LEAVING`].
    pub flags: Vec<u8>,
    /// Index of each data centre in `places`.
    pub data_centres: Vec<u8>,
    /// Index of each region in `places`.
    pub regions: Vec<u8>,
    /// Peer port and caller port of each entry without [`SAME_PORTS`].
    pub ports: Vec<u16>,
    /// Peer IP of each entry, followed by the caller IP without [`SAME_IP`].
    pub addresses: Vec<u8>,
    /// Incarnation and ports of the first entry.
    first: Option<(u64, (u16, u16))>,
}

impl Columns {
    /// Appends an entry. Fails if a name is empty, too long or contains control
    /// characters, or if there are more than 256 places.
    pub fn push(&mut self, entry: &fleet::Entry) -> Result<(), error::Error> {
        check_name(&entry.name, "name")?;
        if !self.names.is_empty() {
            self.names.push('\n');
        }
        self.names.push_str(&entry.name);
        let data_centre = self.place_index(&entry.data_centre, "data centre")?;
        self.data_centres.push(data_centre);
        let region = self.place_index(&entry.region, "region")?;
        self.regions.push(region);
        self.counters.push(entry.counter);
        let flags = self.push_numbers(entry) | self.push_ips(entry);
        self.flags.push(flags);
        Ok(())
    }

    /// Returns the index of a place, which is added if it is new.
    fn place_index(&mut self, place: &str, field: &'static str) -> Result<u8, error::Error> {
        check_name(place, field)?;
        let known = self.places.iter().position(|known| known == place);
        let index = known.unwrap_or(self.places.len());
        if known.is_none() {
            self.places.push(place.to_owned());
        }
        u8::try_from(index).map_err(|_| error::Error::TooLong("places"))
    }

    /// Appends incarnation and ports and returns the flags for the ports.
    fn push_numbers(&mut self, entry: &fleet::Entry) -> u8 {
        let ports = (entry.peer.port(), entry.caller.port());
        let Some((first_incarnation, first_ports)) = self.first else {
            self.first = Some((entry.incarnation, ports));
            self.incarnations.push(entry.incarnation);
            self.ports.extend([ports.0, ports.1]);
            return 0;
        };
        self.incarnations
            .push(difference(first_incarnation, entry.incarnation));
        if ports == first_ports {
            return SAME_PORTS;
        }
        self.ports.extend([ports.0, ports.1]);
        0
    }

    /// Appends the IP addresses and returns the flags for them and for the state.
    fn push_ips(&mut self, entry: &fleet::Entry) -> u8 {
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

/// Removes the peer IP and the caller IP of an entry from the front of the column
/// and returns them.
pub fn take_ips(column: &mut &[u8], flags: u8) -> Result<(net::IpAddr, net::IpAddr), error::Error> {
    let peer = take_ip(column, flags & PEER_V6 != 0)?;
    if flags & SAME_IP != 0 {
        return Ok((peer, peer));
    }
    let caller = take_ip(column, flags & CALLER_V6 != 0)?;
    Ok((peer, caller))
}

fn take_ip(column: &mut &[u8], is_v6: bool) -> Result<net::IpAddr, error::Error> {
    let length = if is_v6 { 16 } else { 4 };
    let (bytes, rest) = column
        .split_at_checked(length)
        .ok_or(error::Error::Invalid("addresses"))?;
    *column = rest;
    field::ip(bytes, "addresses")
}

/// Returns `value - base` in zigzag encoding, which keeps small differences of either
/// sign short.
pub fn difference(base: u64, value: u64) -> u64 {
    let delta = value.wrapping_sub(base).cast_signed();
    ((delta << 1) ^ (delta >> 63)).cast_unsigned()
}

/// Returns the value whose [`difference`] from `base` is `difference`.
pub fn sum(base: u64, difference: u64) -> u64 {
    let sign = (difference & 1).wrapping_neg();
    base.wrapping_add((difference >> 1) ^ sign)
}

fn flag(is_set: bool, bit: u8) -> u8 {
    if is_set { bit } else { 0 }
}

/// Checks a name. Control characters are not allowed because newlines separate the
/// names in a column.
fn check_name(text: &str, field: &'static str) -> Result<(), error::Error> {
    if text.is_empty() || text.chars().any(char::is_control) {
        return Err(error::Error::Invalid(field));
    }
    field::check(text, crate::limit::NAME_BYTES, field)?;
    Ok(())
}
