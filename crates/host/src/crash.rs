use core::time;
use std::io;
use std::net;

use tokio::task;

use crate::broker;

/// Endpoints that may have crashed under a request that has had no output.
///
/// They are reported when this is dropped, unless an answer has shown that the prompt of
/// the request is harmless.
pub(crate) struct Crashes<'a> {
    broker: &'a broker::Broker,
    request: &'a front::Request,
    /// Endpoints with the results of their probes.
    probed: Vec<(String, task::JoinHandle<bool>)>,
}

impl<'a> Crashes<'a> {
    pub(crate) const fn new(broker: &'a broker::Broker, request: &'a front::Request) -> Self {
        Self {
            broker,
            request,
            probed: Vec::new(),
        }
    }

    /// Probes an endpoint whose connection broke.
    pub(crate) fn add(&mut self, endpoint: &str) {
        let address = endpoint.rsplit('@').next().unwrap_or_default().parse();
        if let (Ok(address), true) = (address, self.request.prefix_hash != 0) {
            let probe = tokio::spawn(has_ended(address));
            self.probed.push((endpoint.to_owned(), probe));
        }
    }

    /// Discards the crashes.
    pub(crate) fn clear(&mut self) {
        self.probed.clear();
    }
}

impl Drop for Crashes<'_> {
    fn drop(&mut self) {
        let probed = core::mem::take(&mut self.probed);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        if probed.is_empty() {
            return;
        }
        let (broker, request) = (self.broker.clone(), self.request.clone());
        runtime.spawn(async move {
            for (endpoint, probe) in probed {
                if matches!(probe.await, Ok(true)) {
                    broker.report_part_crash(&request, &endpoint);
                }
            }
        });
    }
}

/// Returns whether the process of an endpoint has ended. Only a refused connection shows
/// that: a time-out may be due to the links of this host.
async fn has_ended(address: net::SocketAddr) -> bool {
    tokio::time::sleep(PROBE_DELAY).await;
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Err(cause)) => cause.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Delay before the probe. A process that crashes closes its listener at the same time
/// as its connections.
const PROBE_DELAY: time::Duration = time::Duration::from_millis(40);

/// Time-out of the probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);
