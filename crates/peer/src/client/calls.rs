use futures_util::{StreamExt, future, stream};
use std::collections;
use wire::Message;
use wire::peer_capnp::session;

use super::Shared;
use super::command;
use super::report;
use super::transfer;
use crate::cause;
use crate::counters;
use crate::error;

/// Completion of a call, with the id of the ask or the serial number.
enum Event {
    Reply(u64, Result<wire::Reply, error::Error>),
    Run(u64, Result<wire::Outcome, error::Error>),
    Fetch(u64, Result<wire::Files, error::Error>),
    Report(u64, capnp::Result<()>),
    Ping(capnp::Result<()>),
}

/// Pending calls of the current connection, and the reports and grants that
/// outlast it.
#[derive(Default)]
pub struct Calls {
    pending: stream::FuturesUnordered<future::LocalBoxFuture<'static, Event>>,
    /// Pending asks by id.
    asks: collections::HashMap<u64, command::Answer<wire::Reply>>,
    /// Pending runs by serial number, with the lengths of their bodies in bytes.
    runs: collections::HashMap<u64, (usize, command::Answer<wire::Outcome>)>,
    /// Pending fetches by serial number.
    fetches: collections::HashMap<u64, command::Answer<wire::Files>>,
    /// Unacknowledged reports by serial number, in the order in which they were
    /// made.
    reports: collections::BTreeMap<u64, report::Report>,
    /// Ids of grants whose end was not reported, including those of earlier
    /// connections.
    granted: collections::HashSet<u64>,
    /// Last serial number that was assigned.
    serial: u64,
}

impl Calls {
    /// Returns whether calls, pings and reports included, are unanswered.
    pub fn has_calls(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether there are grants whose end was not reported.
    pub fn has_grants(&self) -> bool {
        !self.granted.is_empty()
    }

    /// Returns whether there are unacknowledged reports.
    pub fn has_reports(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Sends a command, or fails it if it exceeds a limit.
    pub fn send(&mut self, shared: &Shared, session: &session::Client, command: command::Command) {
        match command {
            command::Command::Report(report) => {
                if let Some(report) = self.close_ask(report) {
                    let serial = self.store_report(shared, report);
                    self.send_report(session, serial);
                }
            }
            command::Command::Ask { ask, reply } => self.ask(shared, session, *ask, reply),
            command::Command::Run { run, reply } => self.run(shared, session, &run, reply),
            command::Command::Fetch { fetch, reply } => {
                self.fetch(shared, session, &fetch, reply);
            }
        }
    }

    /// Stores a report until there is a connection.
    pub fn defer(&mut self, shared: &Shared, report: report::Report) {
        if let Some(report) = self.close_ask(report) {
            self.store_report(shared, report);
        }
    }

    /// Sends all unacknowledged reports on a new connection.
    pub fn resend_reports(&mut self, session: &session::Client) {
        let serials: Vec<u64> = self.reports.keys().copied().collect();
        for serial in serials {
            self.send_report(session, serial);
        }
    }

    /// Sends a ping.
    pub fn ping(&mut self, session: &session::Client) {
        let sent = session.ping_request().send().promise;
        self.pending
            .push(Box::pin(async move { Event::Ping(sent.await.map(drop)) }));
    }

    /// Waits for the completion of a call and delivers its answer. Never resolves
    /// while no call is pending. Returns whether the other host answered.
    pub async fn finish_next(&mut self, shared: &Shared) -> bool {
        match self.pending.next().await {
            None => future::pending().await,
            Some(Event::Reply(id, reply)) => {
                let is_answered = transfer::is_answered(&reply);
                self.finish_ask(shared, id, reply);
                is_answered
            }
            Some(Event::Run(serial, outcome)) => {
                let is_answered = transfer::is_answered(&outcome);
                let reply = self.runs.remove(&serial).map(|(_, reply)| reply);
                finish(shared, reply, outcome);
                is_answered
            }
            Some(Event::Fetch(serial, files)) => {
                let is_answered = transfer::is_answered(&files);
                finish(shared, self.fetches.remove(&serial), files);
                is_answered
            }
            Some(Event::Report(serial, result)) => {
                let is_answered = !transfer::is_disconnected(&result);
                if is_answered {
                    self.reports.remove(&serial);
                }
                is_answered
            }
            Some(Event::Ping(result)) => !transfer::is_disconnected(&result),
        }
    }

    /// Fails all pending calls after the connection has ended.
    ///
    /// An ask without a reply may have been granted, so it is cancelled on the next
    /// connection.
    pub fn fail_all(&mut self, shared: &Shared, cause: cause::Cause) {
        self.pending.clear();
        let error = error::Error::Lost(cause);
        for (_, (_, reply)) in std::mem::take(&mut self.runs) {
            finish(shared, Some(reply), Err(error));
        }
        for (_, reply) in std::mem::take(&mut self.fetches) {
            finish(shared, Some(reply), Err(error));
        }
        for (id, reply) in std::mem::take(&mut self.asks) {
            finish(shared, Some(reply), Err(error));
            self.store_report(shared, report::Report::Cancel(id));
        }
    }

    /// Drops and counts all unacknowledged reports.
    pub fn drop_reports(&mut self, shared: &Shared) {
        for _ in std::mem::take(&mut self.reports) {
            shared.counters.add(counters::Count::ReportDropped);
        }
    }

    fn ask(
        &mut self,
        shared: &Shared,
        session: &session::Client,
        ask: wire::Ask,
        reply: command::Answer<wire::Reply>,
    ) {
        if reply.is_closed() {
            // The future of the ask was dropped; its cancellation follows in the
            // queue.
            return;
        }
        if self.asks.len() >= shared.options.asks_max {
            return refuse(shared, reply, cause::Cause::Full);
        }
        if self.asks.contains_key(&ask.id) || self.granted.contains(&ask.id) {
            return refuse(shared, reply, cause::Cause::Duplicate);
        }
        let mut request = session.ask_request();
        if let Err(error) = ask.write(request.get().init_ask()) {
            return refuse(shared, reply, cause::Cause::Encode(error));
        }
        let id = ask.id;
        self.asks.insert(id, reply);
        let sent = request.send().promise;
        self.pending.push(Box::pin(async move {
            let read = async {
                let response = sent.await.map_err(transfer::call_error)?;
                let reply = response.get().and_then(|results| results.get_reply());
                transfer::decode(reply)
            };
            Event::Reply(id, read.await)
        }));
    }

    fn run(
        &mut self,
        shared: &Shared,
        session: &session::Client,
        run: &wire::Run,
        reply: command::Answer<wire::Outcome>,
    ) {
        let length = run.request.body.len();
        let open: usize = self.runs.values().map(|(length, _)| length).sum();
        let is_above = open > 0 && open + length > shared.options.run_bytes_max;
        if is_above || self.runs.len() >= shared.options.runs_max {
            return refuse(shared, reply, cause::Cause::Full);
        }
        let mut request = session.run_request();
        if let Err(error) = run.write(request.get().init_run()) {
            return refuse(shared, reply, cause::Cause::Encode(error));
        }
        let serial = self.next_serial();
        self.runs.insert(serial, (length, reply));
        let sent = request.send().promise;
        self.pending.push(Box::pin(async move {
            let read = async {
                let response = sent.await.map_err(transfer::call_error)?;
                transfer::decode(response.get().and_then(|results| results.get_outcome()))
            };
            Event::Run(serial, read.await)
        }));
    }

    fn fetch(
        &mut self,
        shared: &Shared,
        session: &session::Client,
        fetch: &wire::Fetch,
        reply: command::Answer<wire::Files>,
    ) {
        if self.fetches.len() >= shared.options.runs_max {
            return refuse(shared, reply, cause::Cause::Full);
        }
        let mut request = session.fetch_request();
        if let Err(error) = fetch.write(request.get().init_fetch()) {
            return refuse(shared, reply, cause::Cause::Encode(error));
        }
        let serial = self.next_serial();
        self.fetches.insert(serial, reply);
        let sent = request.send().promise;
        self.pending.push(Box::pin(async move {
            let read = async {
                let response = sent.await.map_err(transfer::call_error)?;
                transfer::decode(response.get().and_then(|results| results.get_files()))
            };
            Event::Fetch(serial, read.await)
        }));
    }

    fn finish_ask(&mut self, shared: &Shared, id: u64, reply: Result<wire::Reply, error::Error>) {
        let Some(answer) = self.asks.remove(&id) else {
            return;
        };
        let is_granted = matches!(reply, Ok(wire::Reply::Grant(_)));
        let is_lost = reply.is_err();
        if is_granted {
            self.granted.insert(id);
        }
        finish(shared, Some(answer), reply);
        if is_lost {
            // An answer that cannot be decoded may be a grant.
            self.store_report(shared, report::Report::Cancel(id));
        }
    }

    /// Closes the ask or grant that a report ends, and returns the report. Returns
    /// `None` for the cancellation of an ask that was never sent, which is neither
    /// pending nor granted.
    fn close_ask(&mut self, report: report::Report) -> Option<report::Report> {
        let Some(id) = report.ended_ask() else {
            return Some(report);
        };
        let is_granted = self.granted.remove(&id);
        let pending = self.asks.remove(&id);
        let is_open = is_granted || pending.is_some();
        if let Some(reply) = pending {
            let _ = reply.send(Err(error::Error::Lost(cause::Cause::Cancelled)));
        }
        match report {
            report::Report::Cancel(_) if !is_open => None,
            report => Some(report),
        }
    }

    /// Stores a report and returns its serial number. Drops the oldest report if
    /// there are too many.
    fn store_report(&mut self, shared: &Shared, report: report::Report) -> u64 {
        if self.reports.len() >= shared.options.reports_max {
            self.reports.pop_first();
            shared.counters.add(counters::Count::ReportDropped);
        }
        let serial = self.next_serial();
        self.reports.insert(serial, report);
        serial
    }

    fn send_report(&mut self, session: &session::Client, serial: u64) {
        let Some(report) = self.reports.get(&serial) else {
            return;
        };
        match transfer::send_report(session, report) {
            Ok(sent) => self
                .pending
                .push(Box::pin(async move { Event::Report(serial, sent.await) })),
            Err(error) => {
                self.reports.remove(&serial);
                log::error!(target: "peer", "peer: a report cannot be encoded: {error}");
            }
        }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }
}

/// Fails a call of which nothing was sent.
fn refuse<T>(shared: &Shared, reply: command::Answer<T>, cause: cause::Cause) {
    shared.counters.add(counters::Count::CallNotSent);
    let _ = reply.send(Err(error::Error::NotSent(cause)));
}

/// Delivers the result of a call that was sent, if its future still waits.
fn finish<T>(shared: &Shared, reply: Option<command::Answer<T>>, result: Result<T, error::Error>) {
    if result.is_err() {
        shared.counters.add(counters::Count::CallLost);
    }
    if let Some(reply) = reply {
        let _ = reply.send(result);
    }
}
