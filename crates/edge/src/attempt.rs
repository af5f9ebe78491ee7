use core::future;
use core::pin;
use core::task;
use core::time;
use std::sync;

use crate::connection;
use crate::guard;
use crate::host;

/// Longest wait for a connection. Data centres of a region are milliseconds
/// apart, so an endpoint that does not accept within this time is down.
pub(crate) const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Why an attempt ended without the head of an answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The request was not sent, because a connection could not be opened.
    Unreachable(String),
    /// The request may have reached the endpoint.
    Broken(String),
}

/// The head of the answer to an attempt, and the connection on which it arrived.
type Head = Result<(connection::Response, connection::Connection), Failure>;

/// A request that was sent to an endpoint whose answer has not begun. Dropping it
/// cancels the request.
pub(crate) struct Attempt {
    pub(crate) pick: steer::Pick,
    pub(crate) guard: guard::Guard,
    /// Whether the silence of the endpoint was noticed.
    pub(crate) is_silent: bool,
    exchange: pin::Pin<Box<dyn Future<Output = Head> + Send>>,
}

/// An attempt that has ended.
pub(crate) struct Ended {
    pub(crate) pick: steer::Pick,
    pub(crate) guard: guard::Guard,
    pub(crate) head: Head,
}

impl Attempt {
    /// Sends the request on a connection. `due` is the deadline of the answer,
    /// since the start of the process.
    pub(crate) fn start(
        host: sync::Arc<host::Host>,
        due: time::Duration,
        pick: steer::Pick,
        guard: guard::Guard,
        connection: connection::Connection,
        request: connection::Request,
    ) -> Self {
        Self {
            pick,
            guard,
            is_silent: false,
            exchange: Box::pin(exchange(host, due, connection, request)),
        }
    }
}

/// Waits until one of the attempts ends, removes it from the list and returns it
/// with its place there.
///
/// It never returns if the list is empty. Cancelling it loses nothing.
pub(crate) async fn next_ended(open: &mut Vec<Attempt>) -> (usize, Ended) {
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
    let ended = Ended {
        pick: attempt.pick,
        guard: attempt.guard,
        head,
    };
    (index, ended)
}

async fn exchange(
    host: sync::Arc<host::Host>,
    due: time::Duration,
    mut connection: connection::Connection,
    mut request: connection::Request,
) -> Head {
    loop {
        match connection.send(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(connection::Failure::Broken(cause)) => return Err(Failure::Broken(cause)),
            // The endpoint had already closed the reused connection.
            Err(connection::Failure::NotSent(unsent)) => request = *unsent,
        }
        host.metrics.count("connections", &[]);
        let left = due.saturating_sub(host.clock.now());
        let timeout = CONNECT_TIMEOUT.min(left);
        connection = connection::Connection::open(connection.address, timeout)
            .await
            .map_err(Failure::Unreachable)?;
    }
}
