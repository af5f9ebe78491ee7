use core::cell;
use core::time;
use std::collections;
use std::rc;
use std::sync;
use tokio::sync::oneshot;
use tokio::time as clock;
use wire::Message;
use wire::peer_capnp::session;

use super::Shared;
use crate::counters;
use crate::origin;

/// Calls of one link.
pub struct Session {
    shared: sync::Arc<Shared>,
    origin: origin::Origin,
    /// Open asks; dropping the sender ends the ask.
    asks: cell::RefCell<collections::HashMap<u64, oneshot::Sender<()>>>,
    runs: cell::Cell<usize>,
    heard: cell::Cell<clock::Instant>,
}

/// Open run or fetch; counted down on drop.
struct Running(rc::Rc<Session>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.runs.set(self.0.runs.get() - 1);
    }
}

impl Session {
    /// Returns the session of a new link.
    pub fn new(shared: sync::Arc<Shared>, origin: origin::Origin) -> Self {
        Self {
            shared,
            origin,
            asks: cell::RefCell::default(),
            runs: cell::Cell::new(0),
            heard: cell::Cell::new(clock::Instant::now()),
        }
    }

    /// Waits until no call has come for this long.
    pub async fn silent(&self, bound: time::Duration) {
        loop {
            let end = self.heard.get() + bound;
            if end <= clock::Instant::now() {
                return;
            }
            clock::sleep_until(end).await;
        }
    }

    /// Ends all asks.
    pub fn release(&self) {
        self.asks.borrow_mut().clear();
    }

    /// Ends all asks and reports the end of the link.
    pub fn close(&self) {
        self.release();
        self.shared.counters.add(counters::Count::LinkEnded);
        self.shared.handler.link_ended(&self.origin);
    }

    /// Notes a call and returns its message.
    fn read<M: Message>(&self, message: Result<M, wire::Error>) -> capnp::Result<M> {
        self.note();
        message.map_err(|error| {
            self.shared.counters.add(counters::Count::CallMalformed);
            let name = &self.origin.name;
            let line = format_args!("refused a call of {name}: {error}");
            self.shared.limiter.warn(line);
            capnp::Error::failed(error.to_string())
        })
    }

    fn note(&self) {
        self.heard.set(clock::Instant::now());
        self.shared.counters.add(counters::Count::CallReceived);
    }

    /// Takes a place for an ask; the receiver resolves when the ask is cancelled.
    fn open(&self, id: u64) -> Option<oneshot::Receiver<()>> {
        let mut asks = self.asks.borrow_mut();
        if asks.len() >= self.shared.options.asks_max || asks.contains_key(&id) {
            self.shared.counters.add(counters::Count::CallRefused);
            return None;
        }
        let (cancel, cancelled) = oneshot::channel();
        asks.insert(id, cancel);
        Some(cancelled)
    }

    /// Takes a place for a run or a fetch.
    fn start(self: &rc::Rc<Self>) -> Option<Running> {
        if self.runs.get() >= self.shared.options.runs_max {
            self.shared.counters.add(counters::Count::CallRefused);
            return None;
        }
        self.runs.set(self.runs.get() + 1);
        Some(Running(self.clone()))
    }

    async fn wait(
        self: rc::Rc<Self>,
        id: u64,
        reply: crate::Future<wire::Reply>,
        cancelled: oneshot::Receiver<()>,
    ) -> capnp::Result<wire::Reply> {
        let reply = tokio::select! {
            reply = reply => reply,
            _ = cancelled => return Err(capnp::Error::failed("the ask is cancelled".into())),
        };
        self.asks.borrow_mut().remove(&id);
        Ok(reply)
    }
}

/// Returns the error for a message that cannot be encoded.
fn unencodable(error: wire::Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

/// Returns the refusal of a call above the bound of the link.
fn full() -> wire::Refusal {
    let mut refusal = wire::Refusal::new("overload", "the link has too many open calls");
    refusal.retry_after_ms = Some(RETRY_AFTER_MS);
    refusal
}

impl session::Server for Session {
    fn ask(
        self: rc::Rc<Self>,
        params: session::AskParams,
        mut results: session::AskResults,
    ) -> impl Future<Output = capnp::Result<()>> + 'static {
        let begun = (|| {
            let params = params.get()?;
            let ask = self.read(wire::Ask::read(params.get_ask()?))?;
            let id = ask.id;
            let open = self.open(id).map(|cancelled| {
                let reply = self.shared.handler.ask(&self.origin, ask);
                (id, reply, cancelled)
            });
            capnp::Result::Ok(open)
        })();
        async move {
            let reply = match begun? {
                Some((id, reply, cancelled)) => self.wait(id, reply, cancelled).await?,
                None => wire::Reply::Refusal(full()),
            };
            let builder = results.get().init_reply();
            reply.write(builder).map_err(unencodable)
        }
    }

    async fn cancel(
        self: rc::Rc<Self>,
        params: session::CancelParams,
        _: session::CancelResults,
    ) -> capnp::Result<()> {
        self.note();
        let id = params.get()?.get_id();
        self.asks.borrow_mut().remove(&id);
        self.shared.handler.cancel(&self.origin, id);
        Ok(())
    }

    async fn first(
        self: rc::Rc<Self>,
        params: session::FirstParams,
        _: session::FirstResults,
    ) -> capnp::Result<()> {
        self.note();
        let id = params.get()?.get_id();
        self.shared.handler.first_output(&self.origin, id);
        Ok(())
    }

    async fn done(
        self: rc::Rc<Self>,
        params: session::DoneParams,
        _: session::DoneResults,
    ) -> capnp::Result<()> {
        let done = self.read(wire::Done::read(params.get()?.get_done()?))?;
        self.shared.handler.done(&self.origin, done);
        Ok(())
    }

    async fn run(
        self: rc::Rc<Self>,
        params: session::RunParams,
        mut results: session::RunResults,
    ) -> capnp::Result<()> {
        let run = self.read(wire::Run::read(params.get()?.get_run()?))?;
        let outcome = match self.start() {
            None => wire::Outcome::Refusal(full()),
            Some(_running) => {
                let outcome = self.shared.handler.run(&self.origin, run);
                // A run goes on when this call is dropped with its link.
                let task = self.shared.options.runtime.spawn(outcome);
                task.await
                    .map_err(|error| capnp::Error::failed(error.to_string()))?
            }
        };
        let builder = results.get().init_outcome();
        outcome.write(builder).map_err(unencodable)
    }

    async fn fetch(
        self: rc::Rc<Self>,
        params: session::FetchParams,
        mut results: session::FetchResults,
    ) -> capnp::Result<()> {
        let fetch = self.read(wire::Fetch::read(params.get()?.get_fetch()?))?;
        let Some(_running) = self.start() else {
            return Err(capnp::Error::overloaded("too many open calls".into()));
        };
        let files = self.shared.handler.fetch(&self.origin, fetch);
        let task = self.shared.options.runtime.spawn(files);
        let files = task
            .await
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let builder = results.get().init_files();
        files.write(builder).map_err(unencodable)
    }

    async fn blame(
        self: rc::Rc<Self>,
        params: session::BlameParams,
        _: session::BlameResults,
    ) -> capnp::Result<()> {
        let blame = self.read(wire::Crash::read(params.get()?.get_blame()?))?;
        self.shared.handler.crash(&self.origin, blame);
        Ok(())
    }

    async fn leave(
        self: rc::Rc<Self>,
        _: session::LeaveParams,
        _: session::LeaveResults,
    ) -> capnp::Result<()> {
        self.note();
        self.shared.handler.leave(&self.origin);
        Ok(())
    }

    async fn ping(
        self: rc::Rc<Self>,
        _: session::PingParams,
        _: session::PingResults,
    ) -> capnp::Result<()> {
        self.note();
        Ok(())
    }
}

/// Delay that a refusal above the bound of the link advises, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
