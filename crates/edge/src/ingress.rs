use core::time;
use std::net;
use std::sync;
use std::sync::atomic;

use answer::{Kind, Refusal};
use base::mutex;
use bytes::{Bytes, BytesMut};
use http::header;
use http_body_util::BodyExt;

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

/// Retry delay sent to callers when the memory for request bodies is full.
const MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// Serves the requests of callers.
pub(crate) struct Ingress(pub(crate) sync::Arc<host::Host>);

impl front::Handler for Ingress {
    fn handle(
        &self,
        request: http::Request<hyper::body::Incoming>,
        _remote: net::SocketAddr,
    ) -> front::HandlerFuture {
        let host = self.0.clone();
        Box::pin(async move {
            let mut response = serve(&host, request).await;
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
) -> exchange::Response {
    let (head, body) = request.into_parts();
    let id = job::printable(head.headers.get(&host.options.headers.request_id));
    let admitted = admit::admit(host, head);
    // The body is read even if the request is refused, because closing a
    // connection with unread bytes resets it and loses the answer.
    let buffered = match read(host, body).await {
        Ok(buffered) => buffered,
        Err(refusal) => return refuse(host, &id, &refusal),
    };
    match admitted {
        Ok(mut job) => {
            job.body = buffered.bytes.clone();
            job.fingerprint = admit::fingerprint(&job);
            let response = run(host, job).await;
            drop(buffered);
            response
        }
        Err(refusal) => refuse(host, &id, &refusal),
    }
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

/// A request body in memory. Its bytes count against the memory for request
/// bodies until it is dropped.
pub(crate) struct BufferedBody<'a> {
    host: &'a host::Host,
    pub(crate) bytes: Bytes,
    counted: usize,
}

impl Drop for BufferedBody<'_> {
    fn drop(&mut self) {
        let order = atomic::Ordering::Relaxed;
        self.host.buffered_bytes.fetch_sub(self.counted, order);
    }
}

/// Reads the body of a request.
///
/// # Errors
///
/// Refuses a body that is too large, malformed or too slow, or for which there is no
/// memory.
pub(crate) async fn read(
    host: &host::Host,
    mut body: hyper::body::Incoming,
) -> Result<BufferedBody<'_>, Refusal> {
    let max = host
        .table
        .load()
        .as_ref()
        .map_or(plan::Limits::default().body_bytes, |table| {
            table.plan().limits.body_bytes
        });
    let mut buffered = BufferedBody {
        host,
        bytes: Bytes::new(),
        counted: 0,
    };
    let mut buffer = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(BODY_PAUSE_MAX, body.frame())
            .await
            .map_err(|_| Refusal::new(Kind::CallerTimeout, "the body did not arrive in time"))?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|cause| {
            Refusal::new(Kind::BadRequest, format!("the body is malformed: {cause}"))
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if (buffer.len() + data.len()) as u64 > max {
            let text = format!("the body is above the limit of {max} bytes");
            return Err(Refusal::new(Kind::BodyTooLarge, text));
        }
        let order = atomic::Ordering::Relaxed;
        let before = host.buffered_bytes.fetch_add(data.len(), order);
        buffered.counted += data.len();
        if before + data.len() > host.options.body_memory_max {
            let refusal = Refusal::new(Kind::Overload, "the memory for request bodies is full");
            return Err(refusal.with_retry_after(MEMORY_RETRY_AFTER));
        }
        buffer.extend_from_slice(data);
    }
    buffered.bytes = buffer.freeze();
    Ok(buffered)
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
