//! Task of one link: connects on demand, sends commands and delivers answers.

use core::time;
use rand::RngExt;
use std::net;
use std::sync;
use tokio::time as clock;

use super::Shared;
use super::calls;
use super::command;
use super::connection;
use super::timer;
use crate::cause;
use crate::counters;

/// Reason for the end of a connection.
enum End {
    /// The client was dropped.
    Stopped,
    /// No call was pending for the idle time-out.
    Idle,
    /// The connection broke or the other host stopped answering.
    Lost,
}

struct Link {
    shared: sync::Arc<Shared>,
    address: net::SocketAddr,
    queue: command::Queue,
    calls: calls::Calls,
    /// Number of back-off delays since the last answer.
    failures: u32,
    /// Start of the first back-off delay since the last answer.
    unreachable_since: Option<clock::Instant>,
}

/// Serves a link until it has been idle for the idle time-out or the client is
/// dropped.
pub async fn serve(shared: sync::Arc<Shared>, address: net::SocketAddr, queue: command::Queue) {
    let mut link = Link {
        shared,
        address,
        queue,
        calls: calls::Calls::default(),
        failures: 0,
        unreachable_since: None,
    };
    link.main().await;
}

impl Link {
    async fn main(&mut self) {
        let mut first = None;
        loop {
            if first.is_none() && !self.calls.has_reports() {
                first = match clock::timeout(self.shared.options.idle_timeout, self.queue.next())
                    .await
                {
                    Ok(Some(command)) => Some(command),
                    Ok(None) => return,
                    Err(_) if self.remove_idle() => return,
                    Err(_) => continue,
                };
            }
            match connection::Connection::open(&self.shared, self.address).await {
                Ok(connection) => {
                    let start = clock::Instant::now();
                    match self.serve_connection(connection, first.take()).await {
                        End::Stopped => return,
                        End::Idle if self.remove_idle() => return,
                        End::Idle => {}
                        // A link that breaks occasionally is opened again at once,
                        // so that no calls are refused meanwhile and other hosts
                        // are not used in its place. A host that accepts links and
                        // breaks them right away must not be called in a tight
                        // loop.
                        End::Lost if start.elapsed() > self.shared.options.backoff_min => {}
                        End::Lost => {
                            if !self.back_off(cause::Cause::Backoff).await {
                                return;
                            }
                        }
                    }
                }
                Err(cause) => {
                    if let Some(command) = first.take() {
                        self.reject(command, cause);
                    }
                    if !self.back_off(cause).await {
                        return;
                    }
                }
            }
        }
    }

    /// Serves an open connection until it ends.
    async fn serve_connection(
        &mut self,
        mut connection: connection::Connection,
        first: Option<command::Command>,
    ) -> End {
        let mut timer = timer::Timer::new(&self.shared.options, clock::Instant::now());
        self.calls.resend_reports(&connection.session);
        if let Some(command) = first {
            self.calls.send(&self.shared, &connection.session, command);
        }
        loop {
            let (has_calls, has_grants) = (self.calls.has_calls(), self.calls.has_grants());
            tokio::select! {
                biased;
                _ = &mut connection.ended => return self.fail(cause::Cause::Closed),
                is_answered = self.calls.finish_next(&self.shared) => {
                    if is_answered {
                        timer.record_answer(clock::Instant::now());
                        self.reset_failures();
                    }
                }
                command = self.queue.next() => {
                    let Some(command) = command else {
                        return End::Stopped;
                    };
                    timer.record_call(clock::Instant::now(), has_calls);
                    self.calls.send(&self.shared, &connection.session, command);
                }
                () = clock::sleep_until(timer.deadline(has_calls, has_grants)) => {
                    let now = clock::Instant::now();
                    match timer.due(now, has_calls, has_grants) {
                        timer::Due::Nothing => {}
                        timer::Due::Ping => {
                            self.calls.ping(&connection.session);
                            timer.record_ping(now);
                        }
                        timer::Due::Unresponsive => {
                            self.shared.counters.add(counters::Count::LinkSilent);
                            return self.fail(cause::Cause::Unresponsive);
                        }
                        timer::Due::Idle => return self.close_idle(),
                    }
                }
            }
        }
    }

    /// Removes the idle link from the client and returns whether it was removed. It
    /// is kept while grants are open, because a later cancellation is sent only for
    /// a grant that the link has recorded.
    fn remove_idle(&self) -> bool {
        !self.calls.has_grants() && self.shared.remove_idle(self.address, &self.queue)
    }

    fn reset_failures(&mut self) {
        self.failures = 0;
        self.unreachable_since = None;
    }

    fn close_idle(&self) -> End {
        self.shared.counters.add(counters::Count::LinkEnded);
        End::Idle
    }

    /// Fails all pending calls after the connection has ended.
    fn fail(&mut self, cause: cause::Cause) -> End {
        let address = self.address;
        let line = format_args!("the link to {address} failed: {cause}");
        self.shared.limiter.warn(line);
        self.shared.counters.add(counters::Count::LinkEnded);
        self.calls.fail_all(&self.shared, cause);
        End::Lost
    }

    /// Refuses a command for which there is no connection. Reports are stored for
    /// the next one.
    fn reject(&mut self, command: command::Command, cause: cause::Cause) {
        match command {
            command::Command::Report(report) => self.calls.defer(&self.shared, report),
            command => command.refuse(&self.shared.counters, cause),
        }
    }

    /// Waits before the next connection attempt and rejects commands meanwhile:
    /// those that were queued already with the cause of the failure, later ones with
    /// [`cause::Cause::Backoff`]. Returns `false` if the client was dropped.
    async fn back_off(&mut self, failure: cause::Cause) -> bool {
        let now = clock::Instant::now();
        let unreachable_since = *self.unreachable_since.get_or_insert(now);
        if now - unreachable_since > self.shared.options.report_retention {
            self.calls.drop_reports(&self.shared);
        }
        self.failures = self.failures.saturating_add(1);
        let end = now + self.backoff_delay();
        let mut cause = failure;
        loop {
            let is_queued = !self.queue.is_empty();
            if !is_queued {
                cause = cause::Cause::Backoff;
            }
            tokio::select! {
                biased;
                command = self.queue.next() => match command {
                    Some(command) => self.reject(command, cause),
                    None => return false,
                },
                () = clock::sleep_until(end) => return true,
            }
        }
    }

    /// Returns the delay before the next connection attempt: exponential, shortened
    /// at random by up to one half.
    fn backoff_delay(&self) -> time::Duration {
        let options = &self.shared.options;
        let doubled = 1_u32 << self.failures.saturating_sub(1).min(DOUBLINGS_MAX);
        let delay = (options.backoff_min * doubled).min(options.backoff_max);
        delay.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

/// Maximum number of doublings of the delay, which bounds the shift.
const DOUBLINGS_MAX: u32 = 16;
