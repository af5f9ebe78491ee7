use std::net;

/// State of a host according to the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host accepts new requests.
    #[serde(alias = "up")]
    Live,
    /// The host only finishes the requests that it already has.
    Leaving,
}

/// Entry in the platform's list of hosts, which may be out of date.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize)]
pub struct Host {
    /// Host name, unique in the fleet.
    pub name: String,
    /// Address at which the host accepts callers.
    pub caller: net::SocketAddr,
    /// Address at which the host accepts links (TCP) and datagrams (UDP) from other
    /// hosts.
    pub peer: net::SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the region.
    pub region: String,
    /// State according to the platform.
    pub state: State,
}

/// Answer of the platform to a read of the list of hosts.
#[derive(serde::Deserialize)]
pub struct List<'a> {
    /// The text of each entry. Parsed one by one, an entry of another writer that is no
    /// host does not hide the others.
    #[serde(borrow)]
    hosts: Vec<&'a serde_json::value::RawValue>,
}

impl List<'_> {
    /// Returns the entries that are hosts.
    pub fn into_hosts(self) -> Vec<Host> {
        let hosts = self.hosts.into_iter();
        hosts.filter_map(|entry| parse(entry.get())).collect()
    }
}

fn parse(entry: &str) -> Option<Host> {
    let host = serde_json::from_str(entry);
    if let Err(cause) = &host {
        log::warn!(target: "peer", "entry in the platform's list of hosts skipped: {cause}");
    }
    host.ok()
}
