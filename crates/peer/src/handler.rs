use futures_util::future;

use crate::origin;

/// Future of a handler's answer.
pub type Future<T> = future::BoxFuture<'static, T>;

/// Handler of the calls that other hosts make.
///
/// The methods are called on a thread of the transport, in the order in which the
/// calls of one link were made, and must not block. Anything that depends on that
/// order, such as queueing an ask before its cancellation, must happen in the method
/// itself; the returned future only waits for the answer.
pub trait Handler: Send + Sync + 'static {
    /// Queues an ask. The future resolves when the ask is granted or refused, and is
    /// dropped when the ask is cancelled or the link ends. It is polled on the thread
    /// of the link.
    fn ask(&self, from: &origin::Origin, ask: wire::Ask) -> Future<wire::Reply>;

    /// Cancels an ask, granted or not. The id may be unknown.
    fn cancel(&self, from: &origin::Origin, id: u64);

    /// Handles the report of the first output of a granted ask. The id may be
    /// unknown.
    fn first_output(&self, from: &origin::Origin, id: u64);

    /// Handles the report of the end of a granted ask. The id may be unknown, and the
    /// report may arrive twice or on a later link than the ask.
    fn done(&self, from: &origin::Origin, done: wire::Done);

    /// Runs a non-idempotent request. The future runs on
    /// [`crate::server::Options::runtime`] and is completed even if the link ends.
    fn run(&self, from: &origin::Origin, run: wire::Run) -> Future<wire::Outcome>;

    /// Returns the configuration files that differ from those of the calling host. The
    /// future runs on [`crate::server::Options::runtime`].
    fn fetch(&self, from: &origin::Origin, fetch: wire::Fetch) -> Future<wire::Files>;

    /// Handles the report of a request that was in flight when an endpoint crashed.
    /// The report may arrive twice.
    fn crash(&self, from: &origin::Origin, crash: wire::Crash);

    /// Handles the report that the calling host is leaving and sends no new asks.
    fn leave(&self, from: &origin::Origin);

    /// Handles the end of a link, after its pending asks were cancelled. The host may
    /// still be running and open another link.
    fn link_ended(&self, from: &origin::Origin);
}
