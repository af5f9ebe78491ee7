use core::fmt;
use core::future;
use core::pin;
use core::task;
use core::time;
use std::sync;

use base::mutex;

use crate::connection;
use crate::forward;
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
    /// The endpoint began to leave or to pause before the request was sent; the text
    /// says which.
    Shut(String),
    /// The endpoint must not refuse the request and has no place for it; nothing was sent.
    Declined(String),
    /// The deadline passed before the request was sent.
    Expired,
    /// The request, or a part of its prompt, was found to crash endpoints before it was
    /// sent.
    Quarantined,
    /// The request may have reached the endpoint.
    Broken(String),
    /// The request may have reached the endpoint, which sent a head beyond the
    /// bound.
    Oversized(String),
}

impl Failure {
    /// Returns the name in metrics.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Shut(_) => "shut",
            Self::Declined(_) => "full",
            Self::Expired => "expired",
            Self::Quarantined => "quarantined",
            Self::Broken(_) => "broken",
            Self::Oversized(_) => "oversized",
        }
    }

    /// Returns the outcome and the cause for the host that asked for the attempt.
    pub(crate) fn into_outcome(self) -> (forward::Outcome, String) {
        match self {
            Self::Unreachable(cause) => (forward::Outcome::Unreachable, cause),
            Self::Shut(cause) => (forward::Outcome::Shut, cause),
            Self::Declined(cause) => (forward::Outcome::Full, cause),
            Self::Expired => (forward::Outcome::Expired, String::new()),
            Self::Quarantined => (
                forward::Outcome::Shut,
                "the request is quarantined".to_owned(),
            ),
            Self::Broken(cause) => (forward::Outcome::Broken, cause),
            Self::Oversized(cause) => (forward::Outcome::Oversized, cause),
        }
    }
}

/// The head of the answer to an attempt, and the connection on which it arrived.
pub(crate) type Head = Result<(connection::Response, connection::Connection), Failure>;

/// A request on its way to one endpoint.
pub(crate) struct Dispatch {
    pub(crate) host: sync::Arc<host::Host>,
    /// Deadline of the answer, since the start of the process.
    pub(crate) due: time::Duration,
    pub(crate) pick: steer::Pick,
    pub(crate) work: steer::Work,
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// An idle connection to the endpoint.
    pub(crate) connection: Option<connection::Connection>,
    /// The request, without the time that is left.
    pub(crate) request: connection::Request,
    /// What another host needs to send the request; absent if none may.
    pub(crate) forwarding: Option<forward::Forwarding>,
    /// How this host sends to the endpoint if it is brittle.
    pub(crate) role: steer::Role,
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
    /// Sends the request, over another host if this one does not reach the service,
    /// and waits for the head of the answer.
    pub(crate) async fn exchange(mut self) -> Head {
        if let Some(head) = self.through_gateway().await {
            return head;
        }
        if self.is_cut_off()
            && let Some(head) = self.forward().await
        {
            return head;
        }
        self.check_place()?;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match self.connect().await {
                Ok(connection) => connection,
                Err(failure) if self.is_cut_off() => {
                    return self.forward().await.unwrap_or(Err(failure));
                }
                Err(failure) => return Err(failure),
            },
        };
        let mut request = self.request.clone();
        loop {
            self.check()?;
            let left = self.left();
            if left.is_zero() {
                return Err(Failure::Expired);
            }
            let name = self.host.options.headers.deadline_ms.clone();
            // CAST: A deadline is far below the range.
            let left = left.as_millis() as u64;
            request.headers_mut().insert(name, left.into());
            self.admit()?;
            match connection.send(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(connection::Failure::Broken(cause)) => return Err(Failure::Broken(cause)),
                Err(connection::Failure::Oversized(cause)) => {
                    return Err(Failure::Oversized(cause));
                }
                // The endpoint had already closed the reused connection.
                Err(connection::Failure::NotSent(unsent)) => request = *unsent,
            }
            mutex::lock(&self.host.balancer).withdraw(self.pick.key);
            connection = self.connect().await?;
        }
    }

    /// Checks what may have changed since the choice, in particular during a connect.
    fn check(&self) -> Result<(), Failure> {
        self.check_state()?;
        self.check_place()
    }

    /// Checks whether the endpoint takes requests and this one may be sent.
    pub(crate) fn check_state(&self) -> Result<(), Failure> {
        let now = self.host.clock.now();
        let gate = mutex::lock(&self.host.balancer).gate(now, self.pick.key);
        if gate.is_shut() {
            return Err(Failure::Shut(format!("it is {}", gate.name())));
        }
        let verdict = mutex::lock(&self.host.quarantine).verdict(now, self.fingerprint);
        if verdict == route::Verdict::Poison || self.host.poison_part(&self.work).is_some() {
            return Err(Failure::Quarantined);
        }
        Ok(())
    }

    /// Checks that an endpoint that must not refuse the request has a place for it.
    fn check_place(&self) -> Result<(), Failure> {
        let now = self.host.clock.now();
        let mut balancer = mutex::lock(&self.host.balancer);
        match balancer.has_place(now, self.pick.key, self.role) {
            true => Ok(()),
            false => Err(Failure::Declined("it has no free slot".to_owned())),
        }
    }

    /// Takes the right to send to an endpoint that is cold.
    fn admit(&self) -> Result<(), Failure> {
        let now = self.host.clock.now();
        match mutex::lock(&self.host.balancer).admit(now, self.pick.key) {
            true => Ok(()),
            false => Err(Failure::Shut("it is cold".to_owned())),
        }
    }

    async fn connect(&self) -> Result<connection::Connection, Failure> {
        self.host.metrics.count("connections", &[]);
        let left = self.left();
        let opening = connection::Connection::open(self.pick.address, CONNECT_TIMEOUT);
        let opened = match tokio::time::timeout(left, opening).await {
            Ok(opened) => opened,
            // The endpoint had less than the usual time.
            Err(_) => return Err(Failure::Expired),
        };
        let now = self.host.clock.now();
        match opened {
            Ok(connection) => {
                self.host.record_connected(now, self.pick.key);
                Ok(connection)
            }
            Err(unopened) => {
                let is_refused = unopened.is_refused;
                self.host.record_unreachable(now, self.pick.key, is_refused);
                Err(Failure::Unreachable(unopened.cause))
            }
        }
    }

    /// Returns whether this host reaches no endpoint of the service, while others may.
    fn is_cut_off(&self) -> bool {
        let forwarding = self.forwarding.as_ref();
        forwarding.is_some_and(|forwarding| {
            mutex::lock(&self.host.balancer).is_cut_off(&forwarding.service)
        })
    }

    pub(crate) fn left(&self) -> time::Duration {
        self.due.saturating_sub(self.host.clock.now())
    }
}
