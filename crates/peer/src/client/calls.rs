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

/// End of a call.
enum Event {
    Reply(u64, Result<wire::Reply, error::Error>),
    Run(u64, Result<wire::Outcome, error::Error>),
    Fetch(u64, Result<wire::Files, error::Error>),
    Report(u64, capnp::Result<()>),
    Ping(capnp::Result<()>),
}

/// Open calls of one connection and the reports that outlive it.
#[derive(Default)]
pub struct Calls {
    running: stream::FuturesUnordered<future::LocalBoxFuture<'static, Event>>,
    asks: collections::HashMap<u64, command::Answer<wire::Reply>>,
    /// Open runs with the lengths of their bodies.
    runs: collections::HashMap<u64, (usize, command::Answer<wire::Outcome>)>,
    fetches: collections::HashMap<u64, command::Answer<wire::Files>>,
    /// Reports that are not acknowledged, in order.
    reports: collections::BTreeMap<u64, report::Report>,
    /// Grants whose end was not reported, also of earlier connections.
    granted: collections::HashSet<u64>,
    serial: u64,
}

impl Calls {
    /// Tells whether calls are open.
    pub fn waiting(&self) -> bool {
        !self.running.is_empty()
    }

    /// Tells whether grants are open.
    pub fn held(&self) -> bool {
        !self.granted.is_empty()
    }

    /// Tells whether reports wait for the next connection.
    pub fn pending(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Sends a command.
    pub fn send(&mut self, shared: &Shared, session: &session::Client, command: command::Command) {
        match command {
            command::Command::Report(report) => {
                if let Some(report) = self.admit(report) {
                    let serial = self.keep(shared, report);
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

    /// Keeps a report until there is a connection.
    pub fn defer(&mut self, shared: &Shared, report: report::Report) {
        if let Some(report) = self.admit(report) {
            self.keep(shared, report);
        }
    }

    /// Sends all reports again on a new connection.
    pub fn resend(&mut self, session: &session::Client) {
        let serials: Vec<u64> = self.reports.keys().copied().collect();
        for serial in serials {
            self.send_report(session, serial);
        }
    }

    /// Sends a ping.
    pub fn ping(&mut self, session: &session::Client) {
        let sent = session.ping_request().send().promise;
        self.running
            .push(Box::pin(async move { Event::Ping(sent.await.map(drop)) }));
    }

    /// Waits for the end of a call and hands out its answer. Waits forever when
    /// no call is open. Returns whether the other host answered.
    pub async fn settle(&mut self, shared: &Shared) -> bool {
        match self.running.next().await {
            None => future::pending().await,
            Some(Event::Reply(id, reply)) => {
                let heard = transfer::answered(&reply);
                self.replied(shared, id, reply);
                heard
            }
            Some(Event::Run(serial, outcome)) => {
                let heard = transfer::answered(&outcome);
                let reply = self.runs.remove(&serial).map(|(_, reply)| reply);
                finish(shared, reply, outcome);
                heard
            }
            Some(Event::Fetch(serial, files)) => {
                let heard = transfer::answered(&files);
                finish(shared, self.fetches.remove(&serial), files);
                heard
            }
            Some(Event::Report(serial, result)) => {
                let heard = !transfer::disconnected(&result);
                if heard {
                    self.reports.remove(&serial);
                }
                heard
            }
            Some(Event::Ping(result)) => !transfer::disconnected(&result),
        }
    }

    /// Ends all calls when the connection has ended.
    ///
    /// An ask whose reply is missing may be granted, so it is given back on the
    /// next connection.
    pub fn lose(&mut self, shared: &Shared, cause: cause::Cause) {
        self.running.clear();
        let error = error::Error::Lost(cause);
        for (_, (_, reply)) in std::mem::take(&mut self.runs) {
            finish(shared, Some(reply), Err(error));
        }
        for (_, reply) in std::mem::take(&mut self.fetches) {
            finish(shared, Some(reply), Err(error));
        }
        for (id, reply) in std::mem::take(&mut self.asks) {
            finish(shared, Some(reply), Err(error));
            self.keep(shared, report::Report::Cancel(id));
        }
    }

    /// Gives up all reports.
    pub fn forget(&mut self, shared: &Shared) {
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
            // The caller has gone; its cancellation follows in the queue.
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
        self.running.push(Box::pin(async move {
            let read = async {
                let response = sent.await.map_err(transfer::failure)?;
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
        let above = open > 0 && open + length > shared.options.run_bytes_max;
        if above || self.runs.len() >= shared.options.runs_max {
            return refuse(shared, reply, cause::Cause::Full);
        }
        let mut request = session.run_request();
        if let Err(error) = run.write(request.get().init_run()) {
            return refuse(shared, reply, cause::Cause::Encode(error));
        }
        let serial = self.next_serial();
        self.runs.insert(serial, (length, reply));
        let sent = request.send().promise;
        self.running.push(Box::pin(async move {
            let read = async {
                let response = sent.await.map_err(transfer::failure)?;
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
        self.running.push(Box::pin(async move {
            let read = async {
                let response = sent.await.map_err(transfer::failure)?;
                transfer::decode(response.get().and_then(|results| results.get_files()))
            };
            Event::Fetch(serial, read.await)
        }));
    }

    fn replied(&mut self, shared: &Shared, id: u64, reply: Result<wire::Reply, error::Error>) {
        let Some(answer) = self.asks.remove(&id) else {
            return;
        };
        let granted = matches!(reply, Ok(wire::Reply::Grant(_)));
        let lost = reply.is_err();
        if granted {
            self.granted.insert(id);
        }
        finish(shared, Some(answer), reply);
        if lost {
            // An answer that cannot be read may be a grant.
            self.keep(shared, report::Report::Cancel(id));
        }
    }

    /// Drops reports that have no purpose: the cancellation of an ask that was
    /// never sent, which is neither open nor granted.
    fn admit(&mut self, report: report::Report) -> Option<report::Report> {
        let Some(id) = report.ended() else {
            return Some(report);
        };
        let granted = self.granted.remove(&id);
        let asked = self.asks.remove(&id);
        let open = granted || asked.is_some();
        if let Some(reply) = asked {
            let _ = reply.send(Err(error::Error::Lost(cause::Cause::Cancelled)));
        }
        match report {
            report::Report::Cancel(_) if !open => None,
            report => Some(report),
        }
    }

    fn keep(&mut self, shared: &Shared, report: report::Report) -> u64 {
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
        match transfer::report(session, report) {
            Ok(sent) => self
                .running
                .push(Box::pin(async move { Event::Report(serial, sent.await) })),
            Err(error) => {
                self.reports.remove(&serial);
                log::error!(target: "peer", "peer: a report cannot be sent: {error}");
            }
        }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }
}

fn refuse<T>(shared: &Shared, reply: command::Answer<T>, cause: cause::Cause) {
    shared.counters.add(counters::Count::CallNotSent);
    let _ = reply.send(Err(error::Error::NotSent(cause)));
}

fn finish<T>(shared: &Shared, reply: Option<command::Answer<T>>, result: Result<T, error::Error>) {
    if result.is_err() {
        shared.counters.add(counters::Count::CallLost);
    }
    if let Some(reply) = reply {
        let _ = reply.send(result);
    }
}
