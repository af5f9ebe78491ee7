use base::mutex;

use crate::host;

impl host::Host {
    /// Returns the learned rates of the endpoint with this id, or `None` if it is not
    /// listed.
    pub fn rates(&self, id: &str) -> Option<steer::rate::Rates> {
        mutex::lock(&self.balancer).rates_of(self.clock.now(), id)
    }
}
