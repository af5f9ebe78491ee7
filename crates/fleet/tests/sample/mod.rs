//! Sample entries for tests.

use std::net::SocketAddr;

use fleet::{Entry, Phase};

/// Returns the entry of host `number` in a fleet that is spread evenly over data
/// centres and regions.
pub fn entry(number: usize, centres: usize, regions: usize) -> Entry {
    let centre = number % centres;
    let ip = [10, 0, (number / 250) as u8, (number % 250) as u8 + 1];
    Entry {
        name: format!("host-{number:03}"),
        incarnation: 1_764_000_000_000 + number as u64 * 977,
        counter: 0,
        phase: Phase::Up,
        suspected: false,
        data_centre: format!("dc-{centre}"),
        region: format!("region-{}", centre % regions),
        peer: SocketAddr::from((ip, 7000)),
        caller: SocketAddr::from((ip, 8000)),
    }
}
