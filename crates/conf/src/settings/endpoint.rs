use std::net;

use crate::settings::fencing;

/// An `[endpoint NAME]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Pool that it serves.
    pub pool: String,
    /// Address.
    pub address: net::SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Upper bound of concurrent requests.
    pub slots: u32,
    /// Whether it checks fencing numbers.
    pub fencing: fencing::Fencing,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}
