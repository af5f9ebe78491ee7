use std::net;

use crate::build;

/// Lifecycle phase that an endpoint publishes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Phase {
    /// The endpoint accepts requests.
    Up,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Leaving,
}

/// A process that serves requests of a service. A restarted process is another
/// endpoint, even at the same address.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Endpoint {
    /// Identifier that is sent along with a request, so that another process at
    /// the same address refuses it.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Address that accepts requests.
    pub address: net::SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Start of the process in Unix milliseconds; 0 if it is not published.
    pub started_ms: u64,
    /// Version of the endpoint's software; `None` if it is not known. Snapshots
    /// between hosts state it beside the endpoint, because hosts of earlier builds
    /// do not expect it here.
    #[serde(skip)]
    pub build: Option<String>,
}

impl Endpoint {
    /// Returns the build of the endpoint if its version is known.
    pub fn build(&self) -> Option<build::Build> {
        self.build.as_deref().map(build::Build::new)
    }
}
