//! Discovery: the answer to callers that ask which hosts to use.

use core::time;
use std::cmp;
use std::collections;
use std::net;

use xxhash_rust::xxh3;

use crate::entry;

/// Weight of a host in the data centre of the answering host.
const OWN_DATA_CENTRE: u32 = 100;

/// Weight of a host in another data centre of the same region.
const OWN_REGION: u32 = 10;

/// Weight of a host in another region.
const OTHER_REGION: u32 = 1;

/// Settings of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long a caller keeps the answer; sent in whole seconds.
    pub ttl: time::Duration,
    /// Maximum number of hosts in the answer.
    pub hosts_max: usize,
    /// Minted idempotency keys to return, each for one request.
    pub keys: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ttl: time::Duration::from_secs(15),
            hosts_max: 32,
            keys: Vec::new(),
        }
    }
}

/// A host that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Host {
    /// Host name.
    pub name: String,
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of its region.
    pub region: String,
    /// Share of new connections, relative to the weights of the other hosts.
    pub weight: u32,
}

/// The answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Answer {
    /// Hosts to use, nearest first.
    pub hosts: Vec<Host>,
    /// How long the caller keeps this answer, in seconds.
    pub ttl_s: u64,
    /// Minted idempotency keys, each for one request.
    pub keys: Vec<String>,
}

/// Returns the hosts that a caller should use.
///
/// `hosts` are the hosts that are not dead, such as those of
/// [`crate::Membership::live`]; leaving ones are left out. Nearer hosts come
/// first. Within the same distance the order depends only on the caller's IP
/// address, so that callers are spread and each keeps its hosts. A suspected
/// host comes after the others of its distance, with the lowest weight. At most
/// half of the answer is from `data_centre` as long as hosts elsewhere fill the
/// rest, so that a caller can still reach a host when the data centre is lost.
pub fn answer<'a>(
    hosts: impl IntoIterator<Item = &'a entry::Entry>,
    data_centre: &str,
    caller: net::IpAddr,
    options: &Options,
) -> Answer {
    let up: Vec<&entry::Entry> = hosts
        .into_iter()
        .filter(|host| host.phase == entry::Phase::Up)
        .collect();
    let regions: collections::BTreeSet<&str> = up
        .iter()
        .filter(|host| host.data_centre == data_centre)
        .map(|host| host.region.as_str())
        .collect();
    let mut near = Vec::new();
    let mut far = Vec::new();
    for host in up {
        let weight = weight(host, data_centre, &regions);
        let list = if weight == OWN_DATA_CENTRE {
            &mut near
        } else {
            &mut far
        };
        list.push((weight, host));
    }
    let near_max = options.hosts_max.div_ceil(2);
    let unfilled = options.hosts_max.saturating_sub(far.len());
    sort(&mut near, caller);
    sort(&mut far, caller);
    near.truncate(near_max.max(unfilled));
    near.extend(far);
    near.truncate(options.hosts_max);
    Answer {
        hosts: near
            .into_iter()
            .map(|(weight, host)| to_host(weight, host))
            .collect(),
        ttl_s: options.ttl.as_secs(),
        keys: options.keys.clone(),
    }
}

fn weight(host: &entry::Entry, data_centre: &str, regions: &collections::BTreeSet<&str>) -> u32 {
    if host.data_centre == data_centre {
        return OWN_DATA_CENTRE;
    }
    if regions.contains(host.region.as_str()) {
        return OWN_REGION;
    }
    OTHER_REGION
}

/// Sorts by distance, then suspected hosts last, then by a hash of the caller and
/// the host.
fn sort(hosts: &mut [(u32, &entry::Entry)], caller: net::IpAddr) {
    let seed = xxh3::xxh3_64(caller.to_canonical().to_string().as_bytes());
    hosts.sort_by_cached_key(|&(weight, host)| {
        let score = xxh3::xxh3_64_with_seed(host.name.as_bytes(), seed);
        (cmp::Reverse(weight), host.suspected, score)
    });
}

fn to_host(weight: u32, host: &entry::Entry) -> Host {
    Host {
        name: host.name.clone(),
        address: host.caller,
        data_centre: host.data_centre.clone(),
        region: host.region.clone(),
        weight: if host.suspected { OTHER_REGION } else { weight },
    }
}
