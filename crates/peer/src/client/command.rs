use std::sync;
use std::sync::atomic;
use tokio::sync::{mpsc, oneshot};

use super::report;
use crate::cause;
use crate::counters;
use crate::error;

/// Where the answer of a call goes.
pub type Answer<T> = oneshot::Sender<Result<T, error::Error>>;

/// A call on its way to the task of a link.
pub enum Command {
    /// Queues a request at its home host.
    Ask {
        /// The ask.
        ask: Box<wire::Ask>,
        /// Where the answer goes.
        reply: Answer<wire::Reply>,
    },
    /// Runs a non-idempotent request.
    Run {
        /// The run.
        run: Box<wire::Run>,
        /// Where the answer goes.
        reply: Answer<wire::Outcome>,
    },
    /// Reads configuration files.
    Fetch {
        /// The fetch.
        fetch: wire::Fetch,
        /// Where the answer goes.
        reply: Answer<wire::Files>,
    },
    /// A call without an answer.
    Report(report::Report),
}

impl Command {
    /// Returns the length of the queue above which the command is refused.
    ///
    /// Reports free places at the home host, so asks give way to them.
    pub const fn queue_max(&self, asks: usize) -> usize {
        match self {
            Self::Report(_) => asks * REPORT_FACTOR,
            Self::Ask { .. } | Self::Run { .. } | Self::Fetch { .. } => asks,
        }
    }

    /// Ends a command of which nothing was sent.
    pub fn refuse(self, counters: &counters::Counters, cause: cause::Cause) {
        let error = error::Error::NotSent(cause);
        let count = match self {
            Self::Report(_) => counters::Count::ReportDropped,
            _ => counters::Count::CallNotSent,
        };
        counters.add(count);
        match self {
            Self::Ask { reply, .. } => drop(reply.send(Err(error))),
            Self::Run { reply, .. } => drop(reply.send(Err(error))),
            Self::Fetch { reply, .. } => drop(reply.send(Err(error))),
            Self::Report(_) => {}
        }
    }
}

/// Commands for one link, in order.
pub struct Queue {
    commands: mpsc::UnboundedReceiver<Command>,
    queued: sync::Arc<atomic::AtomicUsize>,
}

impl Queue {
    /// Returns a queue with its length.
    pub fn new(
        commands: mpsc::UnboundedReceiver<Command>,
        queued: sync::Arc<atomic::AtomicUsize>,
    ) -> Self {
        Self { commands, queued }
    }

    /// Waits for the next command; `None` when the client is gone.
    pub async fn next(&mut self) -> Option<Command> {
        let command = self.commands.recv().await;
        if command.is_some() {
            self.queued.fetch_sub(1, atomic::Ordering::Relaxed);
        }
        command
    }

    /// Tells whether no command waits.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}

/// Ratio of the bounds of reports and of asks. An ask makes up to three reports.
const REPORT_FACTOR: usize = 4;
