use core::time;

use answer::Refusal;
use base::mutex;
use http::header;
use tokio::time::Instant;

use crate::answered;
use crate::connection;
use crate::flow;
use crate::guard;
use crate::headers;
use crate::incoming;
use crate::request_log;
use crate::step;

/// Longest wait for a connection. Data centres of a region are milliseconds
/// apart; an endpoint that does not accept within this time is down.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Share of the target within which plain work is waited for before a second
/// endpoint is asked.
const PLAIN_PATIENCE: f64 = 0.9;

/// Multiple of the target within which the head of a stream is waited for
/// before a second endpoint is asked.
const STREAM_PATIENCE: f64 = 3.0;

/// Shortest wait for an answer before a second endpoint is asked.
const PATIENCE_MIN: time::Duration = time::Duration::from_millis(150);

/// Outcome of one attempt.
pub(crate) enum Sent {
    /// The head of an answer to be passed on.
    Answer(Box<incoming::Answer>),
    /// Another endpoint may be tried.
    Again,
    /// The request is given up.
    Final(Refusal),
}

impl flow::Flow {
    /// Sends the request to one endpoint and waits for the head of its answer.
    pub(crate) async fn attempt(&mut self, pick: &steer::Pick, after: Option<u64>) -> Sent {
        let guard = guard::Guard::start(&self.host, pick, &self.job.work);
        self.tried.push(pick.key);
        let Some(connection) = self.connect(pick).await else {
            guard.end(steer::End::Unreachable);
            return Sent::Again;
        };
        // The endpoint may have begun to leave while the connection was made.
        let now = self.host.clock.now();
        if !mutex::lock(&self.host.fleet).is_accepting(pick.key) {
            self.job.note(
                now,
                "skipped",
                format_args!("endpoint={} is leaving", pick.id),
            );
            return Sent::Again;
        }
        self.exchange(pick, after, connection, guard).await
    }

    async fn connect(&mut self, pick: &steer::Pick) -> Option<connection::Connection> {
        // A kept connection may be closed while the request is under way, and
        // the outcome of work that must not repeat would be unknown.
        if self.job.route.kind.is_retryable()
            && let Some(connection) = self.host.connections.take(pick.address)
        {
            return Some(connection);
        }
        let left = self.job.left(self.host.clock.now());
        self.host.metrics.count("connections", &[]);
        match connection::Connection::open(pick.address, CONNECT_TIMEOUT.min(left)).await {
            Ok(connection) => {
                mutex::lock(&self.host.fleet).mark_reachable(pick.key);
                Some(connection)
            }
            Err(cause) => {
                let now = self.host.clock.now();
                self.job.note(
                    now,
                    "unreachable",
                    format_args!("endpoint={} cause={cause}", pick.id),
                );
                self.failure = Some(cause);
                None
            }
        }
    }

    async fn exchange(
        &mut self,
        pick: &steer::Pick,
        after: Option<u64>,
        mut connection: connection::Connection,
        guard: guard::Guard,
    ) -> Sent {
        let mut request = self.request(pick, after);
        self.arrivals += 1;
        self.runs += 1;
        request_log::start(&self.host, &mut self.job);
        loop {
            let answer = self.head(&mut connection, request).await;
            match answer {
                Ok(Some(response)) => return self.judge(pick, response, connection, guard),
                Ok(None) => return self.silent(pick, guard),
                Err(connection::Failure::NotSent(unsent)) => {
                    // The endpoint had closed the kept connection.
                    let Some(fresh) = self.reconnect(pick).await else {
                        self.arrivals -= 1;
                        self.runs -= 1;
                        guard.end(steer::End::Unreachable);
                        return Sent::Again;
                    };
                    connection = fresh;
                    request = *unsent;
                }
                Err(connection::Failure::Broken(cause)) => {
                    self.host.suspect(pick, self.job.fingerprint);
                    return self.lost(pick, guard, steer::End::Lost, cause);
                }
            }
        }
    }

    async fn reconnect(&mut self, pick: &steer::Pick) -> Option<connection::Connection> {
        self.host.metrics.count("connections", &[]);
        let left = self.job.left(self.host.clock.now());
        match connection::Connection::open(pick.address, CONNECT_TIMEOUT.min(left)).await {
            Ok(connection) => Some(connection),
            Err(cause) => {
                self.failure = Some(cause);
                None
            }
        }
    }

    /// Waits for the head of the answer; `None` means that the wait was given
    /// up.
    async fn head(
        &mut self,
        connection: &mut connection::Connection,
        request: connection::Request,
    ) -> Result<Option<connection::Response>, connection::Failure> {
        let start = Instant::now();
        let left = self.job.left(self.host.clock.now());
        let due = start + left;
        let mut wake = self
            .patience()
            .map_or(due, |patience| (start + patience).min(due));
        let mut sending = core::pin::pin!(connection.send(request));
        loop {
            tokio::select! {
                sent = sending.as_mut() => return sent.map(Some),
                () = tokio::time::sleep_until(wake) => {
                    let now = self.host.clock.now();
                    if wake >= due || self.host.has_retry(now, &self.job.service) {
                        return Ok(None);
                    }
                    wake = due;
                }
            }
        }
    }

    /// Returns how long an endpoint may take before another one is asked.
    fn patience(&self) -> Option<time::Duration> {
        let route = &self.job.route;
        if !route.kind.is_retryable() || self.runs >= route.attempts_max {
            return None;
        }
        let share = match route.kind.is_stream() {
            true => STREAM_PATIENCE,
            false => PLAIN_PATIENCE,
        };
        Some(route.target_first.mul_f64(share).max(PATIENCE_MIN))
    }

    fn judge(
        &mut self,
        pick: &steer::Pick,
        response: connection::Response,
        connection: connection::Connection,
        guard: guard::Guard,
    ) -> Sent {
        let now = self.host.clock.now();
        let names = &self.host.options.headers;
        if let Some(report) = report(names, response.headers()) {
            mutex::lock(&self.host.fleet).record_report(now, pick.key, report);
        }
        let answered = answered::judge(names, &response, self.job.raw_id.as_ref());
        let status = response.status();
        self.job.note(
            now,
            "answered",
            format_args!(
                "endpoint={} status={} as={answered:?}",
                pick.id,
                status.as_u16()
            ),
        );
        match answered {
            answered::Answered::NotRun => {
                self.runs -= 1;
                guard.end(steer::End::Full);
                self.failure = Some("the endpoint had no room".to_owned());
                Sent::Again
            }
            answered::Answered::Misdirected => {
                self.runs -= 1;
                guard.end(steer::End::Misdirected);
                self.failure = Some("the address belongs to another process".to_owned());
                Sent::Again
            }
            answered::Answered::Foreign => {
                let text = format!("status {} is not an answer to the request", status.as_u16());
                self.lost(pick, guard, steer::End::Failed, text)
            }
            answered::Answered::Failed if self.can_run_again(now) => {
                guard.end(steer::End::Failed);
                self.failure = Some(format!("status {}", status.as_u16()));
                Sent::Again
            }
            answered::Answered::Failed if self.hides(&response) => {
                guard.end(steer::End::Failed);
                self.failure = Some(format!("status {}", status.as_u16()));
                Sent::Final(self.failed("the endpoint failed"))
            }
            answered::Answered::Failed | answered::Answered::Own => {
                let (parts, body) = response.into_parts();
                Sent::Answer(Box::new(incoming::Answer {
                    status,
                    headers: parts.headers,
                    body,
                    connection,
                    guard,
                    pick: pick.clone(),
                }))
            }
        }
    }

    /// Returns whether a failure must not reach the caller as it is: without a
    /// signature it is not the endpoint's own, and some statuses promise that
    /// the request did not run.
    fn hides(&self, response: &connection::Response) -> bool {
        let is_signed = response
            .headers()
            .contains_key(&self.host.options.headers.signature);
        !is_signed || answered::promises_not_run(response.status())
    }

    /// Ends an attempt whose outcome is not known.
    pub(crate) fn lost(
        &mut self,
        pick: &steer::Pick,
        guard: guard::Guard,
        end: steer::End,
        cause: String,
    ) -> Sent {
        let now = self.host.clock.now();
        self.job.note(
            now,
            step::LOST,
            format_args!("endpoint={} cause={cause}", pick.id),
        );
        guard.end(end);
        self.failure = Some(cause);
        if self.can_run_again(now) {
            return Sent::Again;
        }
        Sent::Final(self.failed("the endpoint may have run the request"))
    }

    /// Returns whether another run is allowed and another endpoint is there.
    fn can_run_again(&self, now: time::Duration) -> bool {
        self.may_run_again() && self.host.has_retry(now, &self.job.service)
    }

    fn silent(&mut self, pick: &steer::Pick, guard: guard::Guard) -> Sent {
        let now = self.host.clock.now();
        self.job
            .note(now, "silent", format_args!("endpoint={}", pick.id));
        guard.end(steer::End::Lost);
        self.failure = Some("the endpoint did not answer in time".to_owned());
        if self.can_run_again(now) {
            return Sent::Again;
        }
        Sent::Final(self.late())
    }

    fn request(&self, pick: &steer::Pick, after: Option<u64>) -> connection::Request {
        let names = &self.host.options.headers;
        let mut request = http::Request::new(http_body_util::Full::new(self.job.body.clone()));
        *request.method_mut() = self.job.method.clone();
        *request.uri_mut() = origin_form(&self.job.uri);
        let mut headers = self.job.headers.clone();
        let left = self.job.left(self.host.clock.now()).as_millis();
        headers.insert(names.deadline_ms.clone(), (left as u64).into());
        headers.insert(names.tier.clone(), u64::from(self.job.rank.level()).into());
        if let Ok(id) = http::HeaderValue::from_str(&pick.id) {
            headers.insert(names.endpoint.clone(), id);
        }
        if let Some(after) = after {
            headers.insert(names.last_event.clone(), after.into());
        }
        if !self.job.body.is_empty() {
            headers.insert(header::CONTENT_LENGTH, self.job.body.len().into());
        }
        *request.headers_mut() = headers;
        request
    }
}

/// Returns the path and query of a URI, as endpoints expect it.
fn origin_form(uri: &http::Uri) -> http::Uri {
    uri.path_and_query()
        .map_or_else(|| uri.clone(), |path| http::Uri::from(path.clone()))
}

/// Reads an endpoint's word on its load.
fn report(names: &headers::Headers, headers: &http::HeaderMap) -> Option<steer::Report> {
    let text = headers::text(headers, &names.load)?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse().ok());
    let running = figures.next()??;
    let waiting = figures.next()??;
    let _slots: u32 = figures.next()??;
    let slowness_percent = figures.next().flatten().unwrap_or(100);
    Some(steer::Report {
        running,
        waiting,
        slowness_percent,
    })
}
