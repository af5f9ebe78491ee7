use core::fmt;
use core::future;
use core::pin;
use core::task;
use core::time;
use std::sync;

use base::mutex;

use crate::connection;
use crate::guard;
use crate::host;

/// Longest wait for a connection. Data centres of a region are milliseconds
/// apart, so an endpoint that does not accept within this time is down.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Why an attempt ended without the head of an answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// A connection could not be opened; nothing was sent.
    Unreachable(String),
    /// The endpoint began to leave or to pause before the request was sent.
    Shut(steer::Gate),
    /// A part of the prompt was found to crash endpoints before the request was sent.
    Quarantined,
    /// The request may have reached the endpoint.
    Broken(String),
    /// The request may have reached the endpoint, which sent a head beyond the
    /// bound.
    Oversized(String),
}

/// The head of the answer to an attempt, and the connection on which it arrived.
type Head = Result<(connection::Response, connection::Connection), Failure>;

/// A request on its way to one endpoint.
pub(crate) struct Dispatch {
    pub(crate) host: sync::Arc<host::Host>,
    /// Deadline of the answer, since the start of the process.
    pub(crate) due: time::Duration,
    pub(crate) pick: steer::Pick,
    pub(crate) work: steer::Work,
    /// An idle connection to the endpoint.
    pub(crate) connection: Option<connection::Connection>,
    /// The request, without the time that is left.
    pub(crate) request: connection::Request,
}

/// A request that is sent to an endpoint whose answer has not begun. Dropping it
/// cancels the request.
pub(crate) struct Attempt {
    /// Number of the attempt within its request.
    pub(crate) number: u32,
    pub(crate) pick: steer::Pick,
    pub(crate) guard: guard::Guard,
    /// Whether the request is sent on a connection that was idle.
    pub(crate) is_reused: bool,
    /// Whether the silence of the endpoint was noticed.
    pub(crate) is_silent: bool,
    exchange: pin::Pin<Box<dyn Future<Output = Head> + Send>>,
}

impl fmt::Debug for Attempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Attempt")
            .field("number", &self.number)
            .field("pick", &self.pick)
            .finish_non_exhaustive()
    }
}

/// An attempt that has ended.
pub(crate) struct Ended {
    pub(crate) number: u32,
    pub(crate) pick: steer::Pick,
    pub(crate) guard: guard::Guard,
    pub(crate) head: Head,
}

impl Attempt {
    /// Begins to connect and to send.
    pub(crate) fn start(number: u32, guard: guard::Guard, dispatch: Dispatch) -> Self {
        Self {
            number,
            pick: dispatch.pick.clone(),
            guard,
            is_reused: dispatch.connection.is_some(),
            is_silent: false,
            exchange: Box::pin(dispatch.exchange()),
        }
    }
}

/// Waits until one of the attempts ends and removes it from the list.
///
/// It never returns if the list is empty. Cancelling it loses nothing.
pub(crate) async fn next_ended(open: &mut Vec<Attempt>) -> Ended {
    let (index, head) = future::poll_fn(|context| {
        for (index, attempt) in open.iter_mut().enumerate() {
            if let task::Poll::Ready(head) = attempt.exchange.as_mut().poll(context) {
                return task::Poll::Ready((index, head));
            }
        }
        task::Poll::Pending
    })
    .await;
    let attempt = open.remove(index);
    Ended {
        number: attempt.number,
        pick: attempt.pick,
        guard: attempt.guard,
        head,
    }
}

impl Dispatch {
    async fn exchange(mut self) -> Head {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let mut request = self.request.clone();
        loop {
            self.check()?;
            let left = self.left();
            if left.is_zero() {
                return Err(Failure::Unreachable("the deadline has passed".to_owned()));
            }
            let name = self.host.options.headers.deadline_ms.clone();
            // CAST: A deadline is far below the range.
            let left = left.as_millis() as u64;
            request.headers_mut().insert(name, left.into());
            match connection.send(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(connection::Failure::Broken(cause)) => return Err(Failure::Broken(cause)),
                Err(connection::Failure::Oversized(cause)) => {
                    return Err(Failure::Oversized(cause));
                }
                // The endpoint had already closed the reused connection.
                Err(connection::Failure::NotSent(unsent)) => request = *unsent,
            }
            connection = self.connect().await?;
        }
    }

    /// Checks what may have changed since the choice, in particular during a connect.
    fn check(&self) -> Result<(), Failure> {
        let now = self.host.clock.now();
        let gate = mutex::lock(&self.host.balancer).gate(now, self.pick.key);
        if gate.is_shut() {
            return Err(Failure::Shut(gate));
        }
        match self.host.poison_part(&self.work) {
            Some(_) => Err(Failure::Quarantined),
            None => Ok(()),
        }
    }

    async fn connect(&self) -> Result<connection::Connection, Failure> {
        self.host.metrics.count("connections", &[]);
        let timeout = CONNECT_TIMEOUT.min(self.left());
        let connection = connection::Connection::open(self.pick.address, timeout)
            .await
            .map_err(Failure::Unreachable)?;
        mutex::lock(&self.host.balancer).mark_reachable(self.pick.key);
        Ok(connection)
    }

    fn left(&self) -> time::Duration {
        self.due.saturating_sub(self.host.clock.now())
    }
}
