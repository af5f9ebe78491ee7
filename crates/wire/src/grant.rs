use std::net;

use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::grant;

/// Permission to send a request to an endpoint, which reserves a slot there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Fencing number to pass to the endpoint.
    pub fence: u64,
    /// Time from the grant within which the request must be sent to the endpoint, in
    /// milliseconds.
    pub dispatch_by_ms: u32,
    /// Time that the ask was queued at the home host, in milliseconds.
    pub wait_ms: u32,
}

impl message::Message for Grant {
    type Owned = grant::Owned;

    fn write(&self, mut builder: grant::Builder<'_>) -> Result<(), error::Error> {
        let endpoint = field::check(self.endpoint.as_str(), limit::NAME_BYTES, "endpoint")?;
        builder.set_endpoint(endpoint);
        builder.set_ip(&field::octets(self.address.ip()));
        builder.set_port(self.address.port());
        builder.set_fence(self.fence);
        builder.set_dispatch_by_ms(self.dispatch_by_ms);
        builder.set_wait_ms(self.wait_ms);
        Ok(())
    }

    fn read(reader: grant::Reader<'_>) -> Result<Self, error::Error> {
        let ip = field::ip(reader.get_ip()?, "ip")?;
        Ok(Self {
            endpoint: field::text(reader.get_endpoint(), limit::NAME_BYTES, "endpoint")?,
            address: net::SocketAddr::new(ip, reader.get_port()),
            fence: reader.get_fence(),
            dispatch_by_ms: reader.get_dispatch_by_ms(),
            wait_ms: reader.get_wait_ms(),
        })
    }
}
