//! Task of one link: connects on demand, sends commands and hands out answers.

use core::time;
use rand::RngExt;
use std::net;
use std::sync;
use tokio::time as clock;

use super::Shared;
use super::calls;
use super::command;
use super::connection;
use super::pulse;
use crate::cause;
use crate::counters;

/// How a connection ended.
enum End {
    /// The client is gone.
    Stopped,
    /// The link was idle.
    Idle,
    /// The connection broke or was given up.
    Lost,
}

struct Link {
    shared: sync::Arc<Shared>,
    address: net::SocketAddr,
    queue: command::Queue,
    calls: calls::Calls,
    failures: u32,
    /// Since when the other host could not be reached.
    away: Option<clock::Instant>,
}

/// Serves a link until it was idle for a while or the client is gone.
pub async fn serve(shared: sync::Arc<Shared>, address: net::SocketAddr, queue: command::Queue) {
    let mut link = Link {
        shared,
        address,
        queue,
        calls: calls::Calls::default(),
        failures: 0,
        away: None,
    };
    link.main().await;
}

impl Link {
    async fn main(&mut self) {
        let mut first = None;
        loop {
            if first.is_none() && !self.calls.pending() {
                first = match clock::timeout(self.shared.options.idle_timeout, self.queue.next())
                    .await
                {
                    Ok(Some(command)) => Some(command),
                    Ok(None) => return,
                    Err(_) if self.forget() => return,
                    Err(_) => continue,
                };
            }
            match connection::Connection::open(&self.shared, self.address).await {
                Ok(connection) => {
                    let start = clock::Instant::now();
                    match self.connected(connection, first.take()).await {
                        End::Stopped => return,
                        End::Idle if self.forget() => return,
                        End::Idle => {}
                        // A link that breaks now and then is made anew at once, so
                        // that its host is not passed over. A host that accepts
                        // and breaks links must not be called in a tight loop.
                        End::Lost if start.elapsed() > self.shared.options.backoff_min => {}
                        End::Lost => {
                            if !self.pause(cause::Cause::Backoff).await {
                                return;
                            }
                        }
                    }
                }
                Err(cause) => {
                    if let Some(command) = first.take() {
                        self.turn_down(command, cause);
                    }
                    if !self.pause(cause).await {
                        return;
                    }
                }
            }
        }
    }

    /// Serves an open connection.
    async fn connected(
        &mut self,
        mut connection: connection::Connection,
        first: Option<command::Command>,
    ) -> End {
        let mut pulse = pulse::Pulse::new(&self.shared.options, clock::Instant::now());
        self.calls.resend(&connection.session);
        if let Some(command) = first {
            self.calls.send(&self.shared, &connection.session, command);
        }
        loop {
            let (waiting, held) = (self.calls.waiting(), self.calls.held());
            tokio::select! {
                biased;
                _ = &mut connection.ended => return self.lost(cause::Cause::Closed),
                heard = self.calls.settle(&self.shared) => {
                    if heard {
                        pulse.heard(clock::Instant::now());
                        self.reached();
                    }
                }
                command = self.queue.next() => {
                    let Some(command) = command else {
                        return End::Stopped;
                    };
                    pulse.sent(clock::Instant::now(), waiting);
                    self.calls.send(&self.shared, &connection.session, command);
                }
                () = clock::sleep_until(pulse.next(waiting, held)) => {
                    let now = clock::Instant::now();
                    match pulse.due(now, waiting, held) {
                        pulse::Due::Nothing => {}
                        pulse::Due::Ping => {
                            self.calls.ping(&connection.session);
                            pulse.pinged(now);
                        }
                        pulse::Due::Silent => {
                            self.shared.counters.add(counters::Count::LinkSilent);
                            return self.lost(cause::Cause::Unresponsive);
                        }
                        pulse::Due::Idle => return self.idle(),
                    }
                }
            }
        }
    }

    /// Takes the link out of the client unless it is needed. Open grants need
    /// it: a later cancellation is sent only for a grant that the link knows.
    fn forget(&self) -> bool {
        !self.calls.held() && self.shared.forget(self.address, &self.queue)
    }

    fn reached(&mut self) {
        self.failures = 0;
        self.away = None;
    }

    fn idle(&self) -> End {
        self.shared.counters.add(counters::Count::LinkEnded);
        End::Idle
    }

    fn lost(&mut self, cause: cause::Cause) -> End {
        let address = self.address;
        let line = format_args!("lost the link to {address}: {cause}");
        self.shared.limiter.warn(line);
        self.shared.counters.add(counters::Count::LinkEnded);
        self.calls.lose(&self.shared, cause);
        End::Lost
    }

    /// Ends a command for which there is no connection; reports are kept.
    fn turn_down(&mut self, command: command::Command, cause: cause::Cause) {
        match command {
            command::Command::Report(report) => self.calls.defer(&self.shared, report),
            command => command.refuse(&self.shared.counters, cause),
        }
    }

    /// Waits before the next connection and turns down what comes meanwhile,
    /// at first for the reason of the failure. Returns whether the client is
    /// still there.
    async fn pause(&mut self, reason: cause::Cause) -> bool {
        let now = clock::Instant::now();
        let away = *self.away.get_or_insert(now);
        if now - away > self.shared.options.report_retention {
            self.calls.forget(&self.shared);
        }
        self.failures = self.failures.saturating_add(1);
        let end = now + self.backoff();
        let mut cause = reason;
        loop {
            let waits = !self.queue.is_empty();
            if !waits {
                cause = cause::Cause::Backoff;
            }
            tokio::select! {
                biased;
                command = self.queue.next() => match command {
                    Some(command) => self.turn_down(command, cause),
                    None => return false,
                },
                () = clock::sleep_until(end) => return true,
            }
        }
    }

    /// Returns the delay before the next connection, with jitter of one half.
    fn backoff(&self) -> time::Duration {
        let options = &self.shared.options;
        let doubled = 1_u32 << self.failures.saturating_sub(1).min(DOUBLINGS);
        let delay = (options.backoff_min * doubled).min(options.backoff_max);
        delay.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

/// Upper bound of doublings of the delay.
const DOUBLINGS: u32 = 16;
