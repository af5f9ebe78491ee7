use core::time;
use std::net;
use std::sync;

use answer::{Kind, Refusal};
use base::mutex;
use bytes::Bytes;
use front::body;
use http::header;

use crate::admit;
use crate::exchange;
use crate::flow;
use crate::host;
use crate::job;
use crate::plain;
use crate::relay;
use crate::reply;
use crate::request_log;

/// Longest wait for the next frame of a request body.
const BODY_PAUSE_MAX: time::Duration = time::Duration::from_secs(5);

/// Longest time in which a request body arrives.
const BODY_TIME_MAX: time::Duration = time::Duration::from_secs(60);

/// Serves the requests of callers.
pub(crate) struct Ingress(pub(crate) sync::Arc<host::Host>);

impl front::Handler for Ingress {
    fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
        remote: net::SocketAddr,
    ) -> front::HandlerFuture {
        let host = self.0.clone();
        Box::pin(async move {
            let mut response = serve(&host, request, remote.ip()).await;
            if host.is_leaving() {
                let close = http::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    }
}

async fn serve(
    host: &sync::Arc<host::Host>,
    request: http::Request<hyper::body::Incoming>,
    from: net::IpAddr,
) -> exchange::Response {
    let (head, body) = request.into_parts();
    let id = job::printable(head.headers.get(&host.options.headers.request_id));
    let mut job = match admit::admit(host, head) {
        Ok(job) => job,
        Err(refusal) => {
            discard(host, body).await;
            return refuse(host, &id, &refusal);
        }
    };
    match read(host, body, from).await {
        Ok(bytes) => job.body = bytes,
        Err(refusal) => return refuse(host, &id, &refusal),
    }
    job.fingerprint = admit::fingerprint(job.fingerprint, &job.uri, &job.body);
    run(host, job).await
}

async fn run(host: &sync::Arc<host::Host>, mut job: job::Job) -> exchange::Response {
    let now = host.clock.now();
    host.earn_retry(now, &job.service);
    let inputs = format!(
        "route={} service={} team={} rank={} left_ms={} plan={}",
        job.route.name,
        job.service,
        job.team.as_deref().unwrap_or("-"),
        job.rank.level(),
        job.left(now).as_millis(),
        job.plan,
    );
    job.log_step(now, "routed", format_args!("{inputs}"));
    if let Some(last) = job.last_event {
        let origin = job::printable(job.origin.as_ref());
        let inputs = format_args!("origin={origin} last={last}");
        job.log_step(now, "resumes", inputs);
    }
    let is_stream = job.route.kind.is_stream();
    let flow = flow::Flow::new(host.clone(), job);
    let serving = async {
        if is_stream {
            relay::serve(flow).await
        } else {
            plain::serve(flow).await
        }
    };
    tokio::select! {
        biased;
        response = serving => response,
        () = host.wait_for_closing() => {
            let text = "the host stops before the endpoint has answered";
            reply::refusal(&Refusal::new(Kind::EndpointFailed, text))
        }
    }
}

fn refuse(host: &host::Host, id: &str, refusal: &Refusal) -> exchange::Response {
    request_log::refused(host, id, refusal);
    reply::refusal(refusal)
}

/// Reads the body of a request of the caller at `from`.
///
/// # Errors
///
/// Refuses a body that is too large, malformed or too slow, or for which there is no
/// memory.
pub(crate) async fn read(
    host: &host::Host,
    body: hyper::body::Incoming,
    from: net::IpAddr,
) -> Result<Bytes, Refusal> {
    let limits = limits(host);
    let read = body::collect(body, &limits, &host.options.memory, from).await;
    read.map_err(|failure| match failure {
        body::Failure::TooLarge => {
            let max = limits.bytes_max;
            let text = format!("the body is above the limit of {max} bytes");
            Refusal::new(Kind::BodyTooLarge, text)
        }
        body::Failure::Paused | body::Failure::Slow => {
            Refusal::new(Kind::CallerTimeout, "the body did not arrive in time")
        }
        body::Failure::Malformed(cause) => {
            Refusal::new(Kind::BadRequest, format!("the body is malformed: {cause}"))
        }
        body::Failure::Full => body::Failure::full(),
    })
}

/// Reads and drops the body of a request that is refused, so that the caller gets the
/// answer; see [`body::discard`].
pub(crate) async fn discard(host: &host::Host, body: hyper::body::Incoming) {
    body::discard(body, &limits(host), &host.options.memory).await;
}

fn limits(host: &host::Host) -> body::Limits {
    let table = host.table.load();
    let bytes_max = table
        .as_ref()
        .map_or(plan::Limits::default().body_bytes, |table| {
            table.plan().limits.body_bytes
        });
    body::Limits {
        bytes_max,
        pause_max: BODY_PAUSE_MAX,
        time_max: BODY_TIME_MAX,
    }
}

impl host::Host {
    /// Counts a request of a service, which earns a fraction of a retry.
    pub(crate) fn earn_retry(&self, now: time::Duration, service: &str) {
        let mut budgets = mutex::lock(&self.budgets);
        match budgets.get_mut(service) {
            Some(budget) => budget.deposit(now),
            None => budgets.entry(service.to_owned()).or_default().deposit(now),
        }
    }

    /// Returns whether the budget of the service has a retry left.
    pub(crate) fn has_retry(&self, now: time::Duration, service: &str) -> bool {
        let share = self.retry_share();
        mutex::lock(&self.budgets)
            .get(service)
            .is_some_and(|budget| budget.balance(now, share) >= 1.0)
    }

    /// Takes a retry from the budget of the service; returns whether one was
    /// left.
    pub(crate) fn spend_retry(&self, now: time::Duration, service: &str) -> bool {
        let share = self.retry_share();
        mutex::lock(&self.budgets)
            .get_mut(service)
            .is_some_and(|budget| budget.try_withdraw(now, share))
    }
}
