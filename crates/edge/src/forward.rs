use core::time;
use std::net;

use base::mutex;
use bytes::Bytes;

use crate::attempt;
use crate::connection;
use crate::gateway;
use crate::gossip;
use crate::headers;
use crate::host;

/// Path under which a host forwards requests of others; the path of the request
/// follows it.
pub(crate) const PATH: &str = "/peer/v1/forward";

/// Path under which the gateway of a brittle endpoint sends requests of other hosts.
/// Hosts of builds without gateways do not know it.
pub(crate) const GATEWAY_PATH: &str = "/peer/v1/gateway";

/// When the process of the endpoint started, in Unix milliseconds.
pub(crate) const START: &str = "carobbay-forward-start";

/// Fingerprint of the request, for reports of crashes.
pub(crate) const FINGERPRINT: &str = "carobbay-forward-fingerprint";

/// `1` if the request may be sent on a connection that was idle.
pub(crate) const MAY_REUSE: &str = "carobbay-forward-reuse";

/// Name of the service of the endpoint.
pub(crate) const SERVICE: &str = "carobbay-forward-service";

/// [`Outcome`] of a forwarded request; the only mark by which an answer of an endpoint
/// is told from one of the forwarding host.
const OUTCOME: &str = "carobbay-forward-outcome";

/// Why the request was not answered.
const CAUSE: &str = "carobbay-forward-cause";

/// Present if the end of the endpoint's connection is the end of the answer.
pub(crate) const UNFRAMED: &str = "carobbay-forward-unframed";

/// Longest wait for a link to another host.
const LINK_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// What became of a request that another host was asked to forward.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint answered on a connection that had carried another request.
    AnsweredReused,
    /// The host forwards as many requests as it can; nothing was sent.
    Busy,
    /// The host does not reach the service either; nothing was sent.
    CutOff,
    /// The host is shutting down; nothing was sent.
    Leaving,
    /// The host does not list the endpoint; nothing was sent.
    Unknown,
    /// The host could not connect to the endpoint; nothing was sent.
    Unreachable,
    /// The endpoint takes no requests of the host; nothing was sent.
    Shut,
    /// The endpoint must not refuse the request and has no place for it; nothing was sent.
    Full,
    /// The deadline has passed; nothing was sent.
    Expired,
    /// The request may have reached the endpoint.
    Broken,
    /// The request may have reached the endpoint, which sent a head beyond the bound.
    Oversized,
}

const OUTCOMES: [(Outcome, &str); 12] = [
    (Outcome::Answered, "answered"),
    (Outcome::AnsweredReused, "answered-reused"),
    (Outcome::Busy, "busy"),
    (Outcome::CutOff, "cut-off"),
    (Outcome::Leaving, "leaving"),
    (Outcome::Unknown, "unknown"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::Shut, "shut"),
    (Outcome::Full, "full"),
    (Outcome::Expired, "expired"),
    (Outcome::Broken, "broken"),
    (Outcome::Oversized, "oversized"),
];

impl Outcome {
    /// Returns the name in headers, logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        let entry = OUTCOMES.iter().find(|(outcome, _)| *outcome == self);
        entry.map_or("unknown", |(_, name)| name)
    }

    /// Writes the outcome into the head of an answer.
    pub(crate) fn mark(self, headers: &mut http::HeaderMap, cause: &str) {
        headers.insert(OUTCOME, http::HeaderValue::from_static(self.name()));
        if let Ok(cause) = http::HeaderValue::from_str(cause) {
            headers.insert(CAUSE, cause);
        }
    }

    /// Takes the outcome and the cause from the head of an answer.
    fn take(headers: &mut http::HeaderMap) -> Option<(Self, String)> {
        let name = headers.remove(OUTCOME)?;
        let cause = headers.remove(CAUSE);
        let cause = cause.and_then(|cause| cause.to_str().ok().map(str::to_owned));
        let mut outcomes = OUTCOMES.iter();
        let outcome = outcomes.find(|(_, known)| name.as_bytes() == known.as_bytes())?;
        Some((outcome.0, cause.unwrap_or_default()))
    }
}

/// The way of an answer that another host has forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way {
    /// Address of the other host.
    pub(crate) host: net::SocketAddr,
    /// Whether the endpoint declared the end of its answer.
    pub(crate) is_framed: bool,
}

/// Data of a request for the host that forwards it.
#[derive(Clone, Debug)]
pub(crate) struct Forwarding {
    pub(crate) service: String,
    pub(crate) fingerprint: u64,
    pub(crate) may_reuse: bool,
}

/// Why another host did not take a request. Nothing was sent to an endpoint.
struct Declined(fleet::Verdict);

impl attempt::Dispatch {
    /// Lets another host that reaches the service send the request. Returns `None` if
    /// there is none; nothing was sent then.
    pub(crate) async fn forward(&self) -> Option<attempt::Head> {
        let forwarding = self.forwarding.as_ref()?;
        let service = gossip::name_hash(&forwarding.service);
        for address in self.host.forwarders_of(service) {
            if let Some(head) = self.try_host(address, forwarding, PATH).await {
                return Some(head);
            }
        }
        None
    }

    /// Lets the gateway of an endpoint that must not refuse requests send this one.
    /// Returns `None` if this host is the gateway or reaches none; nothing was sent then.
    pub(crate) async fn through_gateway(&mut self) -> Option<attempt::Head> {
        let forwarding = self.forwarding.clone()?;
        let now = self.host.clock.now();
        let (is_brittle, is_cut_off) = {
            let balancer = mutex::lock(&self.host.balancer);
            let service = &forwarding.service;
            (
                balancer.is_brittle(now, service),
                balancer.is_cut_off(service),
            )
        };
        if !is_brittle {
            return None;
        }
        let service = gossip::name_hash(&forwarding.service);
        for gateway in self.host.gateways(&self.pick) {
            match gateway {
                gateway::Gateway::Own if is_cut_off => {}
                gateway::Gateway::Own => {
                    self.role = self.host.gateway_role();
                    return None;
                }
                gateway::Gateway::Other(address) => {
                    let is_known = mutex::lock(&self.host.forwarders).may_forward(
                        self.host.clock.now(),
                        address,
                        service,
                    );
                    if !is_known {
                        continue;
                    }
                    let head = self.try_host(address, &forwarding, GATEWAY_PATH).await;
                    if head.is_some() {
                        return head;
                    }
                }
            }
        }
        None
    }

    /// Lets another host send the request. Returns `None` if it does not; nothing was
    /// sent then.
    async fn try_host(
        &self,
        address: net::SocketAddr,
        forwarding: &Forwarding,
        path: &str,
    ) -> Option<attempt::Head> {
        if let Err(failure) = self.check_state() {
            return Some(Err(failure));
        }
        let head = self.ask(address, forwarding, path).await;
        let (verdict, name) = match &head {
            Ok(Ok(_)) => (fleet::Verdict::Reaches, "answered"),
            Ok(Err(failure)) => (fleet::Verdict::Reaches, failure.name()),
            Err(Declined(verdict)) => (*verdict, "declined"),
        };
        let now = self.host.clock.now();
        let service = gossip::name_hash(&forwarding.service);
        mutex::lock(&self.host.forwarders).record(now, address, service, verdict);
        let tags = [("service", forwarding.service.as_str()), ("result", name)];
        self.host.metrics.count("forwards", &tags);
        head.ok()
    }

    /// Asks another host to send the request.
    async fn ask(
        &self,
        address: net::SocketAddr,
        forwarding: &Forwarding,
        path: &str,
    ) -> Result<attempt::Head, Declined> {
        let mut request = self.request.clone();
        let Some(uri) = prefixed(path, request.uri()) else {
            return Err(Declined(fleet::Verdict::Incapable));
        };
        *request.uri_mut() = uri;
        let headers = request.headers_mut();
        headers.insert(START, self.pick.started_ms.into());
        headers.insert(FINGERPRINT, forwarding.fingerprint.into());
        headers.insert(MAY_REUSE, u64::from(forwarding.may_reuse).into());
        if let Ok(service) = http::HeaderValue::from_str(&forwarding.service) {
            headers.insert(SERVICE, service);
        }
        let idle = forwarding
            .may_reuse
            .then(|| self.host.connections.take(address));
        let mut link = match idle.flatten() {
            Some(link) => link,
            None => open_link(address).await?,
        };
        loop {
            let left = self.left();
            if left.is_zero() {
                return Ok(Err(attempt::Failure::Expired));
            }
            // The endpoint may have been shut while the link was opened.
            if let Err(failure) = self.check_state() {
                return Ok(Err(failure));
            }
            let name = self.host.options.headers.deadline_ms.clone();
            // CAST: A deadline is far below the range.
            request
                .headers_mut()
                .insert(name, (left.as_millis() as u64).into());
            let is_reused = link.is_reused;
            match link.send(request).await {
                Ok(response) => return self.heard(address, response, link),
                Err(connection::Failure::NotSent(unsent)) if is_reused => request = *unsent,
                Err(connection::Failure::NotSent(_)) => {
                    return Err(Declined(fleet::Verdict::Silent));
                }
                Err(connection::Failure::Broken(cause) | connection::Failure::Oversized(cause)) => {
                    let cause = format!("the link to {address} broke: {cause}");
                    return Ok(Err(attempt::Failure::Broken(cause)));
                }
            }
            link = open_link(address).await?;
        }
    }

    /// Returns what the other host did with the request.
    fn heard(
        &self,
        address: net::SocketAddr,
        mut response: connection::Response,
        mut link: connection::Connection,
    ) -> Result<attempt::Head, Declined> {
        use attempt::Failure;
        let headers = response.headers_mut();
        let is_framed = headers.remove(UNFRAMED).is_none();
        let Some((outcome, cause)) = Outcome::take(headers) else {
            return match response.status().is_client_error() {
                true => Err(Declined(fleet::Verdict::Incapable)),
                false => {
                    let cause = format!("the answer of {address} has no outcome");
                    Ok(Err(Failure::Broken(cause)))
                }
            };
        };
        let cause = match cause.is_empty() {
            true => format!("{} at {address}", outcome.name()),
            false => format!("{cause}, at {address}"),
        };
        let failure = match outcome {
            Outcome::Answered | Outcome::AnsweredReused => {
                // A late copy may arrive on a connection of the other host to the
                // endpoint, not on the link.
                link.is_reused = outcome == Outcome::AnsweredReused;
                let way = Way {
                    host: address,
                    is_framed,
                };
                response.extensions_mut().insert(way);
                return Ok(Ok((response, link)));
            }
            Outcome::Busy => return Err(Declined(fleet::Verdict::Busy)),
            Outcome::CutOff | Outcome::Leaving | Outcome::Unknown => {
                return Err(Declined(fleet::Verdict::CutOff));
            }
            Outcome::Unreachable => Failure::Unreachable(cause),
            Outcome::Shut => Failure::Shut(cause),
            Outcome::Full => Failure::Declined(cause),
            Outcome::Expired => Failure::Expired,
            Outcome::Broken => Failure::Broken(cause),
            Outcome::Oversized => Failure::Oversized(cause),
        };
        Ok(Err(failure))
    }
}

impl host::Host {
    /// Returns the peer addresses of hosts to ask for a service, in this order.
    fn forwarders_of(&self, service: u64) -> Vec<net::SocketAddr> {
        let (near, far): (Vec<_>, Vec<_>) = {
            let membership = mutex::lock(&self.membership);
            let own = membership.own();
            let others = membership.live().into_iter();
            let others = others.filter(|entry| entry.name != own.name);
            let others = others.map(|entry| (entry.data_centre == own.data_centre, entry.peer));
            others.partition(|(is_near, _)| *is_near)
        };
        let addresses = |hosts: Vec<(bool, net::SocketAddr)>| -> Vec<net::SocketAddr> {
            hosts.into_iter().map(|(_, peer)| peer).collect()
        };
        let now = self.clock.now();
        let mut rng = mutex::lock(&self.rng);
        let forwarders = mutex::lock(&self.forwarders);
        forwarders.candidates(now, service, &addresses(near), &addresses(far), &mut *rng)
    }
}

async fn open_link(address: net::SocketAddr) -> Result<connection::Connection, Declined> {
    let opening = connection::Connection::open(address, LINK_TIMEOUT);
    opening.await.map_err(|connection::Unopened { cause, .. }| {
        log::debug!(target: "edge", "no link to {address}: {cause}");
        Declined(fleet::Verdict::Silent)
    })
}

/// Returns the target of a request under a path for other hosts.
fn prefixed(path: &str, uri: &http::Uri) -> Option<http::Uri> {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    format!("{path}{target}").parse().ok()
}

/// Returns the original target of a request under [`PATH`] or [`GATEWAY_PATH`].
pub(crate) fn target(uri: &http::Uri) -> Option<http::Uri> {
    let path = uri.path_and_query()?.as_str();
    let path = path
        .strip_prefix(PATH)
        .or_else(|| path.strip_prefix(GATEWAY_PATH))?;
    path.starts_with('/').then(|| path.parse().ok()).flatten()
}

/// Removes the headers for the host that forwards a request.
pub(crate) fn strip(headers: &mut http::HeaderMap) {
    for name in [START, FINGERPRINT, MAY_REUSE, SERVICE] {
        headers.remove(name);
    }
    headers::strip_connection(headers);
    headers.remove(http::header::CONTENT_LENGTH);
}

/// Returns a request with this head and body.
pub(crate) fn request(mut head: http::request::Parts, body: Bytes) -> connection::Request {
    if !body.is_empty() {
        let length = http::HeaderValue::from(body.len());
        head.headers.insert(http::header::CONTENT_LENGTH, length);
    }
    http::Request::from_parts(head, http_body_util::Full::new(body))
}
