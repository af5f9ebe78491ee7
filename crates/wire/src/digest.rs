use std::net;

use crate::columns;
use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::digest;

impl message::Message for fleet::Digest {
    type Owned = digest::Owned;

    fn write(&self, builder: digest::Builder<'_>) -> Result<(), error::Error> {
        write(self, self.entries.len(), builder)
    }

    fn read(reader: digest::Reader<'_>) -> Result<Self, error::Error> {
        Ok(Self {
            entries: read_entries(reader)?,
            revision: reader.get_revision(),
            content: field::array(reader.get_content(), "content")?,
        })
    }
}

/// Writes a digest with only its first `kept` entries.
pub fn write(
    digest: &fleet::Digest,
    kept: usize,
    mut builder: digest::Builder<'_>,
) -> Result<(), error::Error> {
    field::count(kept, limit::ENTRIES, "entries")?;
    let mut columns = columns::Columns::default();
    for entry in &digest.entries[..kept] {
        columns.push(entry)?;
    }
    builder.set_revision(digest.revision);
    builder.set_content(&digest.content);
    builder.set_names(columns.names.as_str());
    builder.set_places(columns.places.join("\n").as_str());
    builder.set_incarnations(columns.incarnations.as_slice())?;
    builder.set_counters(columns.counters.as_slice())?;
    builder.set_flags(columns.flags.as_slice())?;
    builder.set_data_centres(columns.data_centres.as_slice())?;
    builder.set_regions(columns.regions.as_slice())?;
    builder.set_ports(columns.ports.as_slice())?;
    builder.set_addresses(&columns.addresses);
    Ok(())
}

fn read_entries(reader: digest::Reader<'_>) -> Result<Vec<fleet::Entry>, error::Error> {
    let incarnations = reader.get_incarnations()?;
    let counters = reader.get_counters()?;
    let flags = reader.get_flags()?;
    let data_centres = reader.get_data_centres()?;
    let regions = reader.get_regions()?;
    let count = incarnations.len();
    field::count(count as usize, limit::ENTRIES, "entries")?;
    let lengths = [
        counters.len(),
        flags.len(),
        data_centres.len(),
        regions.len(),
    ];
    if lengths.iter().any(|&length| length != count) {
        return Err(error::Error::Invalid("columns"));
    }

    let names = field::text(reader.get_names(), TEXT_BYTES_MAX, "names")?;
    let mut names = names.split('\n');
    let places = field::text(reader.get_places(), TEXT_BYTES_MAX, "places")?;
    let places: Vec<&str> = places.split('\n').collect();
    let mut ports = reader.get_ports()?.iter();
    let mut addresses = reader.get_addresses()?;

    let mut entries: Vec<fleet::Entry> = Vec::with_capacity(count as usize);
    for index in 0..count {
        let bits = flags.get(index);
        let (peer, caller) = columns::take_ips(&mut addresses, bits)?;
        let (peer_port, caller_port) = take_ports(&mut ports, bits, entries.first())?;
        let incarnation = incarnations.get(index);
        entries.push(fleet::Entry {
            name: name(names.next())?,
            incarnation: entries.first().map_or(incarnation, |first| {
                columns::sum(first.incarnation, incarnation)
            }),
            counter: counters.get(index),
            phase: phase(bits),
            suspected: bits & columns::SUSPECTED != 0,
            data_centre: name(places.get(usize::from(data_centres.get(index))).copied())?,
            region: name(places.get(usize::from(regions.get(index))).copied())?,
            peer: net::SocketAddr::new(peer, peer_port),
            caller: net::SocketAddr::new(caller, caller_port),
        });
    }
    Ok(entries)
}

fn take_ports(
    ports: &mut impl Iterator<Item = u16>,
    bits: u8,
    first: Option<&fleet::Entry>,
) -> Result<(u16, u16), error::Error> {
    if bits & columns::SAME_PORTS != 0 {
        return first
            .map(|first| (first.peer.port(), first.caller.port()))
            .ok_or(error::Error::Invalid("ports"));
    }
    let peer = ports.next().ok_or(error::Error::Invalid("ports"))?;
    let caller = ports.next().ok_or(error::Error::Invalid("ports"))?;
    Ok((peer, caller))
}

fn name(name: Option<&str>) -> Result<String, error::Error> {
    let name = name.unwrap_or_default();
    if name.is_empty() || name.len() > limit::NAME_BYTES {
        return Err(error::Error::Invalid("names"));
    }
    Ok(name.to_owned())
}

fn phase(bits: u8) -> fleet::Phase {
    if bits & columns::LEAVING != 0 {
        return fleet::Phase::Leaving;
    }
    fleet::Phase::Up
}

/// Maximum length of a text column: the names of all entries, or a data centre and a
/// region for each.
const TEXT_BYTES_MAX: usize = limit::ENTRIES * 2 * (limit::NAME_BYTES + 1);
