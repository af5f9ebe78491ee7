use std::sync;
use std::sync::atomic;
use tokio::sync::{mpsc, oneshot};

use super::report;
use crate::cause;
use crate::counters;
use crate::error;

/// Channel on which the answer to a call is returned.
pub type Answer<T> = oneshot::Sender<Result<T, error::Error>>;

/// Call queued for the task of a link.
pub enum Command {
    /// Queues a request at its home host.
    Ask {
        ask: Box<wire::Ask>,
        reply: Answer<wire::Reply>,
    },
    /// Runs a non-idempotent request.
    Run {
        run: Box<wire::Run>,
        reply: Answer<wire::Outcome>,
    },
    /// Reads configuration files.
    Fetch {
        fetch: wire::Fetch,
        reply: Answer<wire::Files>,
    },
    Report(report::Report),
}

impl Command {
    /// Returns the maximum queue length for this command, where `asks` is that for
    /// asks.
    ///
    /// Reports release slots at the home host, so they may use more of the queue.
    pub const fn queue_max(&self, asks: usize) -> usize {
        match self {
            Self::Report(_) => asks * REPORT_FACTOR,
            Self::Ask { .. } | Self::Run { .. } | Self::Fetch { .. } => asks,
        }
    }

    /// Fails a command of which nothing was sent, and counts it.
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

/// Receiving end of the command queue of one link.
pub struct Queue {
    commands: mpsc::UnboundedReceiver<Command>,
    queued: sync::Arc<atomic::AtomicUsize>,
}

impl Queue {
    /// Creates the receiving end; `queued` is the length that senders increment.
    pub fn new(
        commands: mpsc::UnboundedReceiver<Command>,
        queued: sync::Arc<atomic::AtomicUsize>,
    ) -> Self {
        Self { commands, queued }
    }

    /// Waits for the next command; `None` means that the client was dropped.
    pub async fn next(&mut self) -> Option<Command> {
        let command = self.commands.recv().await;
        if command.is_some() {
            self.queued.fetch_sub(1, atomic::Ordering::Relaxed);
        }
        command
    }

    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}

/// Ratio of the queue limits of reports and asks. An ask leads to at most three
/// reports.
const REPORT_FACTOR: usize = 4;
