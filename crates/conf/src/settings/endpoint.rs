use std::net;

use crate::settings::fencing;

/// An `[endpoint NAME]` section: an engine or an instance of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the pool that the endpoint belongs to.
    pub pool: String,
    /// Address, unique within the pool.
    pub address: net::SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint checks fencing numbers.
    pub fencing: fencing::Fencing,
    /// Whether the endpoint is draining and accepts no new requests.
    pub leaving: bool,
}
