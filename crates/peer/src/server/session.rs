use core::cell;
use core::time;
use front::account;
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

/// RPC object that receives the calls of one link.
pub struct Session {
    shared: sync::Arc<Shared>,
    origin: origin::Origin,
    /// Memory of the link.
    holder: front::Holder,
    /// Pending asks by id; dropping the sender cancels the ask.
    asks: cell::RefCell<collections::HashMap<u64, oneshot::Sender<()>>>,
    /// Number of pending runs and fetches.
    runs: cell::Cell<usize>,
    last_call: cell::Cell<clock::Instant>,
}

/// Permit for a run or a fetch; released on drop.
struct RunPermit(rc::Rc<Session>);

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.0.runs.set(self.0.runs.get() - 1);
    }
}

impl Session {
    pub fn new(shared: sync::Arc<Shared>, origin: origin::Origin, holder: front::Holder) -> Self {
        Self {
            shared,
            origin,
            holder,
            asks: cell::RefCell::default(),
            runs: cell::Cell::new(0),
            last_call: cell::Cell::new(clock::Instant::now()),
        }
    }

    /// Waits until no call has arrived for `timeout`.
    pub async fn idle(&self, timeout: time::Duration) {
        loop {
            let end = self.last_call.get() + timeout;
            if end <= clock::Instant::now() {
                return;
            }
            clock::sleep_until(end).await;
        }
    }

    /// Cancels all pending asks.
    pub fn cancel_asks(&self) {
        self.asks.borrow_mut().clear();
    }

    /// Cancels all pending asks and reports the end of the link to the handler.
    pub fn close(&self) {
        self.cancel_asks();
        self.shared.counters.add(counters::Count::LinkEnded);
        self.shared.handler.link_ended(&self.origin);
    }

    /// Records a call and returns its message. A message that could not be
    /// decoded is counted and logged.
    fn receive<M: Message>(&self, message: Result<M, wire::Error>) -> capnp::Result<M> {
        self.record_call();
        message.map_err(|error| {
            self.shared.counters.add(counters::Count::CallMalformed);
            let name = &self.origin.name;
            let line = format_args!("refused a call from host {name}: {error}");
            self.shared.limiter.warn(line);
            capnp::Error::failed(error.to_string())
        })
    }

    fn record_call(&self) {
        self.last_call.set(clock::Instant::now());
        self.shared.counters.add(counters::Count::CallReceived);
    }

    /// Registers a pending ask. Returns `None` if the link has too many asks or one
    /// with this id. The receiver resolves when the ask is cancelled.
    fn open_ask(&self, id: u64) -> Option<oneshot::Receiver<()>> {
        let mut asks = self.asks.borrow_mut();
        if asks.len() >= self.shared.options.asks_max || asks.contains_key(&id) {
            self.shared.counters.add(counters::Count::CallRefused);
            return None;
        }
        let (cancel, cancelled) = oneshot::channel();
        asks.insert(id, cancel);
        Some(cancelled)
    }

    /// Returns a permit for a run or a fetch whose request has this many bytes, and their
    /// memory, or `None` if the link has too many or there is no memory for it.
    fn start_run(self: &rc::Rc<Self>, bytes: usize) -> Option<(RunPermit, front::Reservation)> {
        let mut memory = self.holder.reserve(account::Kind::Body);
        let runs_max = self.shared.options.runs_max;
        if self.runs.get() >= runs_max || memory.resize(bytes).is_err() {
            self.shared.counters.add(counters::Count::CallRefused);
            return None;
        }
        self.runs.set(self.runs.get() + 1);
        Some((RunPermit(self.clone()), memory))
    }

    /// Waits until an ask is granted, refused or cancelled.
    async fn wait(
        self: rc::Rc<Self>,
        id: u64,
        reply: crate::Future<wire::Reply>,
        cancelled: oneshot::Receiver<()>,
    ) -> capnp::Result<wire::Reply> {
        let reply = tokio::select! {
            reply = reply => reply,
            _ = cancelled => return Err(capnp::Error::failed("the ask was cancelled".into())),
        };
        self.asks.borrow_mut().remove(&id);
        Ok(reply)
    }
}

/// Converts the error of a message that cannot be encoded.
fn encode_error(error: wire::Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

/// Returns the memory of a forwarded request.
fn size(request: &wire::Request) -> usize {
    let headers = request.headers.iter();
    let headers = headers.map(|(name, value)| name.len() + value.len());
    headers.sum::<usize>() + request.path.len() + request.body.len()
}

/// Returns the refusal of a call that exceeds a limit of the link or the memory.
fn overload() -> wire::Refusal {
    let mut refusal = wire::Refusal::new(
        "overload",
        "too many calls are pending on the link between two hosts, or there is no memory",
    );
    refusal.retry_after_ms = Some(RETRY_AFTER_MS);
    refusal
}

impl session::Server for Session {
    fn ask(
        self: rc::Rc<Self>,
        params: session::AskParams,
        mut results: session::AskResults,
    ) -> impl Future<Output = capnp::Result<()>> + 'static {
        let opened = (|| {
            let params = params.get()?;
            let ask = self.receive(wire::Ask::read(params.get_ask()?))?;
            let id = ask.id;
            let open = self.open_ask(id).map(|cancelled| {
                let reply = self.shared.handler.ask(&self.origin, ask);
                (id, reply, cancelled)
            });
            capnp::Result::Ok(open)
        })();
        async move {
            let reply = match opened? {
                Some((id, reply, cancelled)) => self.wait(id, reply, cancelled).await?,
                None => wire::Reply::Refusal(overload()),
            };
            let builder = results.get().init_reply();
            reply.write(builder).map_err(encode_error)
        }
    }

    async fn cancel(
        self: rc::Rc<Self>,
        params: session::CancelParams,
        _: session::CancelResults,
    ) -> capnp::Result<()> {
        self.record_call();
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
        self.record_call();
        let id = params.get()?.get_id();
        self.shared.handler.first_output(&self.origin, id);
        Ok(())
    }

    async fn done(
        self: rc::Rc<Self>,
        params: session::DoneParams,
        _: session::DoneResults,
    ) -> capnp::Result<()> {
        let done = self.receive(wire::Done::read(params.get()?.get_done()?))?;
        self.shared.handler.done(&self.origin, done);
        Ok(())
    }

    async fn run(
        self: rc::Rc<Self>,
        params: session::RunParams,
        mut results: session::RunResults,
    ) -> capnp::Result<()> {
        let run = self.receive(wire::Run::read(params.get()?.get_run()?))?;
        // The message with its copy of the body is not needed while the request runs.
        drop(params);
        let outcome = match self.start_run(size(&run.request)) {
            None => wire::Outcome::Refusal(overload()),
            Some((_permit, memory)) => {
                let outcome = self.shared.handler.run(&self.origin, run);
                // A spawned run continues, and holds its memory, when this call is dropped
                // with its link.
                let task = self.shared.options.runtime.spawn(async move {
                    let outcome = outcome.await;
                    drop(memory);
                    outcome
                });
                task.await
                    .map_err(|error| capnp::Error::failed(error.to_string()))?
            }
        };
        let builder = results.get().init_outcome();
        outcome.write(builder).map_err(encode_error)
    }

    async fn fetch(
        self: rc::Rc<Self>,
        params: session::FetchParams,
        mut results: session::FetchResults,
    ) -> capnp::Result<()> {
        let fetch = self.receive(wire::Fetch::read(params.get()?.get_fetch()?))?;
        let Some(_permit) = self.start_run(0) else {
            return Err(capnp::Error::overloaded(
                "too many calls are pending on the link".into(),
            ));
        };
        let files = self.shared.handler.fetch(&self.origin, fetch);
        let task = self.shared.options.runtime.spawn(files);
        let files = task
            .await
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let builder = results.get().init_files();
        files.write(builder).map_err(encode_error)
    }

    async fn blame(
        self: rc::Rc<Self>,
        params: session::BlameParams,
        _: session::BlameResults,
    ) -> capnp::Result<()> {
        let crash = self.receive(wire::Crash::read(params.get()?.get_blame()?))?;
        self.shared.handler.crash(&self.origin, crash);
        Ok(())
    }

    async fn leave(
        self: rc::Rc<Self>,
        _: session::LeaveParams,
        _: session::LeaveResults,
    ) -> capnp::Result<()> {
        self.record_call();
        self.shared.handler.leave(&self.origin);
        Ok(())
    }

    async fn ping(
        self: rc::Rc<Self>,
        _: session::PingParams,
        _: session::PingResults,
    ) -> capnp::Result<()> {
        self.record_call();
        Ok(())
    }
}

/// Retry delay in the refusal of a call that exceeds a limit of the link.
const RETRY_AFTER_MS: u64 = 1_000;
