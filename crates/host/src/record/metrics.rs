use core::time;
use std::net;

use cadence::Counted;
use cadence::Gauged;
use cadence::Timed;

use crate::record::end;
use crate::record::entry;

/// Prefix of every metric name.
const PREFIX: &str = "carobbay";
/// Maximum number of metrics that wait for the socket; further ones are dropped.
const QUEUE_MAX: usize = 4_096;

/// Sends metrics to StatsD over UDP; without an address it discards them.
pub(super) struct Metrics {
    client: cadence::StatsdClient,
    statsd: Option<net::SocketAddr>,
}

impl Metrics {
    /// Creates a sender of metrics to the address `statsd`.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub(super) fn new(statsd: Option<net::SocketAddr>) -> anyhow::Result<Self> {
        let builder = match statsd {
            None => cadence::StatsdClient::builder(PREFIX, cadence::NopMetricSink),
            Some(address) => {
                let any: net::IpAddr = match address {
                    net::SocketAddr::V4(_) => net::Ipv4Addr::UNSPECIFIED.into(),
                    net::SocketAddr::V6(_) => net::Ipv6Addr::UNSPECIFIED.into(),
                };
                let socket = net::UdpSocket::bind((any, 0))?;
                socket.set_nonblocking(true)?;
                let sink = cadence::UdpMetricSink::from(address, socket)?;
                let sink = cadence::QueuingMetricSink::with_capacity(sink, QUEUE_MAX);
                cadence::StatsdClient::builder(PREFIX, sink)
            }
        };
        let client = builder
            .with_error_handler(
                |cause| log::debug!(target: "host", "cannot send a metric: {cause}"),
            )
            .build();
        Ok(Self { client, statsd })
    }

    /// Returns the address to which the metrics are sent.
    pub(super) const fn statsd(&self) -> Option<net::SocketAddr> {
        self.statsd
    }

    /// Sends the counts and times of a request that ended.
    pub(super) fn count_ended(&self, entry: &entry::Entry) {
        let class = &*entry.class;
        match entry.end {
            Some(end::End::Done) => self.count("requests.answered", class, 1),
            Some(end::End::Refused(kind)) => self.count_refused(class, kind),
            Some(end::End::Cut) => self.count("requests.cut", class, 1),
            _ => self.count("requests.cancelled", class, 1),
        }
        if entry.attempt > 0 {
            self.count("requests.retried", class, entry.attempt.into());
        }
        if entry.endpoint.is_some() {
            self.time("requests.queued", class, entry.queued);
        }
        if let Some(first) = entry.first {
            self.time("requests.first", class, first);
        }
        if entry.tokens > 0 {
            self.count("tokens", class, entry.tokens.into());
        }
    }

    /// Counts a refused request.
    pub(super) fn count_refused(&self, class: &str, kind: answer::Kind) {
        self.client
            .count_with_tags("requests.refused", 1)
            .with_tag("class", class)
            .with_tag("kind", kind.entry().name)
            .send();
    }

    /// Sends the metrics about the host itself; `asks` is the increase since the
    /// last call.
    pub(super) fn send_host_metrics(&self, asks: u64, peers: u64, revision: u64) {
        self.client.count_with_tags("home.asks", asks as i64).send();
        // Errors are reported to the error handler.
        drop(self.client.gauge("peers.live", peers));
        drop(self.client.gauge("config.revision", revision));
    }

    fn count(&self, name: &str, class: &str, number: i64) {
        self.client
            .count_with_tags(name, number)
            .with_tag("class", class)
            .send();
    }

    fn time(&self, name: &str, class: &str, time: time::Duration) {
        self.client
            .time_with_tags(name, time)
            .with_tag("class", class)
            .send();
    }
}
