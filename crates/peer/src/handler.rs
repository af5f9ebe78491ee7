use futures_util::future;

use crate::origin;

/// Answer of a handler that takes time.
pub type Future<T> = future::BoxFuture<'static, T>;

/// What a host does with calls of other hosts.
///
/// The methods are called on a thread of the transport, in the order in which
/// the calls of one link were made, and must return at once. Whatever must
/// happen in that order (such as queueing an ask before its cancellation)
/// happens in the method itself; the returned future only waits.
pub trait Handler: Send + Sync + 'static {
    /// Queues an ask. The future resolves when it is granted or refused, and is
    /// dropped when the ask is cancelled or the link ends. It is polled on the
    /// thread of the link.
    fn ask(&self, from: &origin::Origin, ask: wire::Ask) -> Future<wire::Reply>;

    /// Withdraws an ask, granted or not. The id may be unknown.
    fn cancel(&self, from: &origin::Origin, id: u64);

    /// Notes the first output of a granted ask. The id may be unknown.
    fn first_output(&self, from: &origin::Origin, id: u64);

    /// Notes the end of a granted ask. The id may be unknown, and the report
    /// may come twice or by a later link than the ask.
    fn done(&self, from: &origin::Origin, done: wire::Done);

    /// Runs a request. The future runs on the runtime of the server's options
    /// and runs to its end even if the link is lost.
    fn run(&self, from: &origin::Origin, run: wire::Run) -> Future<wire::Outcome>;

    /// Answers with the configuration files that differ. The future runs on the
    /// runtime of the server's options.
    fn fetch(&self, from: &origin::Origin, fetch: wire::Fetch) -> Future<wire::Files>;

    /// Notes a request that was in flight when an endpoint crashed. The report
    /// may come twice.
    fn crash(&self, from: &origin::Origin, crash: wire::Crash);

    /// Notes that the host is leaving and sends no new asks.
    fn leave(&self, from: &origin::Origin);

    /// Notes the end of a link, after the futures of its asks were dropped. The
    /// host may be alive and open another link.
    fn link_ended(&self, from: &origin::Origin);
}
