//! Sends requests of other hosts that do not reach an endpoint.

use core::pin;
use core::task;
use core::time;
use std::net;
use std::sync;
use std::sync::atomic;

use base::mutex;
use bytes::Bytes;
use http_body::Body;

use crate::admit;
use crate::answered;
use crate::attempt;
use crate::connection;
use crate::crash;
use crate::exchange;
use crate::forward;
use crate::headers;
use crate::host;
use crate::incoming;
use crate::ingress;
use crate::job;
use crate::send;
use crate::stated;

/// Most requests of other hosts that are in flight at once. Each has buffers of some
/// 10 KB besides its body.
const FORWARDED_MAX: usize = 256;

/// Head of an answer, why there is none, and the cause.
type Forwarded = Result<exchange::Response, (forward::Outcome, String)>;

/// Sends a request of another host to the endpoint that it names. The other host
/// decides on repeats and accounts for the load; what the endpoint says of itself holds
/// for this host, which the endpoint sees.
pub(crate) async fn serve(
    host: &sync::Arc<host::Host>,
    request: http::Request<hyper::body::Incoming>,
    from: net::SocketAddr,
) -> exchange::Response {
    let id = request.headers().get(&host.options.headers.request_id);
    let id = job::printable(id);
    let (name, response) = match forward(host, request, &id, from.ip()).await {
        Ok(response) => ("answered", response),
        Err((outcome, cause)) => {
            let mut response = http::Response::new(axum::body::Body::empty());
            *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
            outcome.mark(response.headers_mut(), &cause);
            (outcome.name(), response)
        }
    };
    host.metrics.count("forwarded", &[("result", name)]);
    let is_answered = name == "answered";
    if host.log_budget.take(host.clock.now(), 1, is_answered) {
        log::info!(
            target: "request",
            request = id.as_str(), step = "forwarded", outcome = name,
            peer = from.ip().to_string().as_str();
            "status={}", response.status().as_u16()
        );
    }
    response
}

async fn forward(
    host: &sync::Arc<host::Host>,
    request: http::Request<hyper::body::Incoming>,
    id: &str,
    from: net::IpAddr,
) -> Forwarded {
    use forward::Outcome;
    let nothing = |outcome| (outcome, String::new());
    let arrived = host.clock.now();
    let (mut head, body) = request.into_parts();
    let ask = match Ask::parse(host, &head, arrived) {
        Some(ask) if !host.is_leaving() => ask,
        ask => {
            ingress::discard(host, body).await;
            return Err(nothing(match ask {
                Some(_) => Outcome::Leaving,
                None => Outcome::Unknown,
            }));
        }
    };
    // The body is read even if the request is declined, because closing a connection
    // with unread bytes resets it and loses the answer.
    let body = ingress::read(host, body, from).await;
    let body = body.map_err(|refusal| (Outcome::Busy, refusal.message))?;
    if host.is_leaving() {
        return Err(nothing(Outcome::Leaving));
    }
    let is_gateway = head.uri.path().starts_with(forward::GATEWAY_PATH);
    let place = Place::take(host).ok_or_else(|| nothing(Outcome::Busy))?;
    let (pick, gate) = {
        let balancer = mutex::lock(&host.balancer);
        if balancer.is_cut_off(&ask.service) {
            return Err(nothing(Outcome::CutOff));
        }
        let pick = balancer.locate(&ask.endpoint, ask.started_ms);
        let pick = pick.ok_or_else(|| nothing(Outcome::Unknown))?;
        let gate = balancer.forward_gate(host.clock.now(), pick.key);
        (pick, gate)
    };
    if gate != steer::Gate::Open {
        return Err((Outcome::Shut, format!("it is {}", gate.name())));
    }
    head.uri = forward::target(&head.uri).ok_or_else(|| nothing(Outcome::Unknown))?;
    let names = &host.options.headers;
    let work = admit::work(names, &head.headers);
    let raw_id = head.headers.get(&names.request_id).cloned();
    forward::strip(&mut head.headers);
    let idle = ask.may_reuse.then(|| host.connections.take(pick.address));
    let sent = host.clock.now();
    let sending = Sending::start(host, sent, pick.key);
    let dispatch = attempt::Dispatch {
        host: host.clone(),
        due: ask.due,
        work: work.clone(),
        fingerprint: ask.fingerprint,
        connection: idle.flatten(),
        request: forward::request(head, body),
        // One hop: this host does not forward the request again.
        forwarding: None,
        role: match is_gateway {
            true => host.gateway_role(),
            false => steer::Role::Alone,
        },
        pick: pick.clone(),
    };
    let flight = crash::Flight::forwarded(id, ask.fingerprint, &work);
    let (response, connection) = match dispatch.exchange().await {
        Ok(answer) => answer,
        Err(failure) => {
            if matches!(failure, attempt::Failure::Broken(_)) {
                host.check_for_crash(&pick, flight, crash::Sign::Broken);
            }
            return Err(failure.into_outcome());
        }
    };
    host.record_answer(
        &pick,
        sent,
        &response,
        raw_id.as_ref(),
        connection.is_reused,
    );
    let watch = Watch {
        host: host.clone(),
        pick,
        flight,
        begun: None,
        _place: place,
        _sending: sending,
    };
    Ok(relay(response, connection, watch))
}

/// What another host asks for.
struct Ask {
    endpoint: String,
    started_ms: u64,
    service: String,
    fingerprint: u64,
    may_reuse: bool,
    /// Deadline, since the start of the process.
    due: time::Duration,
}

impl Ask {
    fn parse(
        host: &host::Host,
        head: &http::request::Parts,
        arrived: time::Duration,
    ) -> Option<Self> {
        let names = &host.options.headers;
        let number = |name: &'static str| {
            let name = http::HeaderName::from_static(name);
            headers::number(&head.headers, &name)
        };
        let service = http::HeaderName::from_static(forward::SERVICE);
        let left = headers::number(&head.headers, &names.deadline_ms)?;
        Some(Self {
            endpoint: headers::text(&head.headers, &names.endpoint)?.to_owned(),
            started_ms: number(forward::START)?,
            service: headers::text(&head.headers, &service)?.to_owned(),
            fingerprint: number(forward::FINGERPRINT)?,
            may_reuse: number(forward::MAY_REUSE)? == 1,
            due: arrived + time::Duration::from_millis(left),
        })
    }
}

/// Returns the answer of an endpoint for the host that asked.
fn relay(
    response: connection::Response,
    connection: connection::Connection,
    watch: Watch,
) -> exchange::Response {
    let (mut parts, body) = response.into_parts();
    let outcome = match connection.is_reused {
        true => forward::Outcome::AnsweredReused,
        false => forward::Outcome::Answered,
    };
    let idle_time = incoming::idle_time(&parts.headers);
    let is_framed = back::response::is_framed(parts.version, &parts.headers);
    headers::strip_connection(&mut parts.headers);
    parts.headers.remove(http::header::CONTENT_LENGTH);
    outcome.mark(&mut parts.headers, "");
    if !is_framed {
        let one = http::HeaderValue::from_static("1");
        parts.headers.insert(forward::UNFRAMED, one);
    }
    let carried = Carried {
        body,
        connection: Some((connection, idle_time)),
        watch,
    };
    http::Response::from_parts(parts, axum::body::Body::new(carried))
}

/// A place among the requests that are forwarded at once.
struct Place(sync::Arc<host::Host>);

impl Place {
    fn take(host: &sync::Arc<host::Host>) -> Option<Self> {
        let before = host.forwarding.fetch_add(1, atomic::Ordering::AcqRel);
        let place = Self(host.clone());
        (before < FORWARDED_MAX).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.forwarding.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// A request of another host that counts as load of the endpoint until it ends.
struct Sending {
    host: sync::Arc<host::Host>,
    key: steer::Key,
}

impl Sending {
    fn start(host: &sync::Arc<host::Host>, now: time::Duration, key: steer::Key) -> Self {
        mutex::lock(&host.balancer).start_forward(now, key);
        Self {
            host: host.clone(),
            key,
        }
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        mutex::lock(&self.host.balancer).finish_forward(self.key);
    }
}

/// What is needed to tell whether the endpoint crashes while it answers.
struct Watch {
    host: sync::Arc<host::Host>,
    pick: steer::Pick,
    flight: crash::Flight,
    /// When the first bytes of the answer arrived, since the start of the process.
    begun: Option<time::Duration>,
    _place: Place,
    _sending: Sending,
}

impl Watch {
    fn record_broken(&self) {
        let now = self.host.clock.now();
        let answering = self.begun.map(|begun| now.saturating_sub(begun));
        let flight = self.flight.clone().answering_for(answering);
        let sign = crash::Sign::Broken;
        self.host.check_for_crash(&self.pick, flight, sign);
    }
}

/// The body of an answer on its way to another host.
struct Carried {
    body: hyper::body::Incoming,
    /// The connection to the endpoint, with the time for which it may be idle.
    connection: Option<(connection::Connection, Option<time::Duration>)>,
    watch: Watch,
}

impl Body for Carried {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, hyper::Error>>> {
        let frame = task::ready!(pin::Pin::new(&mut self.body).poll_frame(context));
        let host = self.watch.host.clone();
        match &frame {
            Some(Ok(_)) => {
                self.watch.begun.get_or_insert_with(|| host.clock.now());
            }
            Some(Err(_)) => self.watch.record_broken(),
            None => {
                if let Some((connection, idle_time)) = self.connection.take() {
                    host.connections.keep(connection, idle_time);
                }
            }
        }
        task::Poll::Ready(frame)
    }
}

impl host::Host {
    /// Records what the head of an answer to a forwarded request says of the endpoint.
    fn record_answer(
        &self,
        pick: &steer::Pick,
        sent: time::Duration,
        response: &connection::Response,
        id: Option<&http::HeaderValue>,
        is_reused: bool,
    ) {
        let now = self.clock.now();
        let names = &self.options.headers;
        if let Some(report) = send::report(names, response.headers()) {
            mutex::lock(&self.balancer).record_report(now, pick.key, report);
        }
        let answered = answered::classify(names, response, id, is_reused);
        // The other host sees the refusal as an answer that was forwarded.
        if answered == answered::Answered::NotRun {
            mutex::lock(&self.balancer).record_refusal(now, pick.key);
        }
        let head = stated::Head {
            key: pick.key,
            sent,
            answered,
            status: response.status(),
            headers: response.headers(),
        };
        self.record_stated(now, &head);
    }

    /// Returns the number of requests of other hosts in flight.
    pub(crate) fn forwarding_count(&self) -> usize {
        self.forwarding.load(atomic::Ordering::Acquire)
    }
}
