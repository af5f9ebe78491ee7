//! Accepts connections, performs the handshake and serves the link.

use capnp_rpc::rpc_twoparty_capnp;
use core::time;
use front::account;
use std::net;
use std::rc;
use std::sync;
use std::sync::atomic;
use tokio::task;

use super::Shared;
use super::session;
use crate::counters;
use crate::handshake;
use crate::identity;
use crate::origin;
use crate::rpc;
use crate::worker;

/// Permit for one of a bounded number of connections; released on drop.
struct Permit<'a>(&'a atomic::AtomicUsize);

impl<'a> Permit<'a> {
    fn acquire(counter: &'a atomic::AtomicUsize, max: usize) -> Option<Self> {
        let permit = Self(counter);
        let issued = counter.fetch_add(1, atomic::Ordering::Relaxed);
        (issued < max).then_some(permit)
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Accepts connections until the server stops, and distributes them over the
/// workers in turn.
pub async fn listen(
    shared: sync::Arc<Shared>,
    listener: net::TcpListener,
    workers: Vec<worker::Worker>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(
                target: "peer",
                "peer: the listener cannot be used, no links are accepted: {error}"
            );
            return;
        }
    };
    let mut stop = shared.stop.clone();
    let mut workers = workers.iter().cycle();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&stopped| stopped) => return,
        };
        let stream = accepted.and_then(|(stream, from)| Ok((stream.into_std()?, from)));
        match (stream, workers.next()) {
            (Ok((stream, from)), Some(worker)) => {
                let shared = shared.clone();
                worker.spawn(move || serve_connection(shared, stream, from));
            }
            (Err(error), _) => {
                shared
                    .limiter
                    .warn(format_args!("a connection could not be accepted: {error}"));
                // Without file descriptors every accept fails at once, and the loop
                // would spin.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            (Ok(_), None) => return,
        }
    }
}

async fn serve_connection(
    shared: sync::Arc<Shared>,
    stream: net::TcpStream,
    from: net::SocketAddr,
) {
    let Ok(mut stream) = tokio::net::TcpStream::from_std(stream) else {
        return;
    };
    let handshakes_max = shared.options.handshakes_max;
    let Some(permit) = Permit::acquire(&shared.handshakes, handshakes_max) else {
        shared.counters.add(counters::Count::ConnectionRefused);
        shared.limiter.warn(format_args!(
            "refused a connection from {from}: the limit of {handshakes_max} handshakes is reached"
        ));
        return;
    };
    let holder = shared.options.memory.open(from.ip());
    let mut reserved = holder.reserve(account::Kind::Connection);
    if reserved.resize(LINK_BYTES).is_err() {
        shared.counters.add(counters::Count::ConnectionRefused);
        shared.limiter.warn(format_args!(
            "refused a connection from {from}: there is no memory for it"
        ));
        return;
    }
    let keys = shared.options.keys.current();
    let timeout = shared.options.handshake_timeout;
    let accepted = tokio::select! {
        biased;
        () = holder.wait_for_cut() => Err(handshake::Error::Timeout),
        accepted =
            handshake::accept(&mut stream, &shared.options.identity, &keys, timeout) => accepted,
    };
    drop(permit);
    let identity = match accepted {
        Ok(identity) => identity,
        Err(error) => {
            shared.counters.add(error.count());
            shared
                .limiter
                .warn(format_args!("refused a connection from {from}: {error}"));
            return;
        }
    };
    let links_max = shared.options.links_max;
    let Some(_permit) = Permit::acquire(&shared.links, links_max) else {
        shared.counters.add(counters::Count::ConnectionRefused);
        let name = &identity.name;
        shared.limiter.warn(format_args!(
            "refused a link from host {name} at {from}: the limit of {links_max} links is reached"
        ));
        return;
    };
    let _ = stream.set_nodelay(true);
    // A link is not cut off: requests of other hosts may be running on it.
    holder.set_waiting(false);
    serve_link(&shared, stream, identity, holder).await;
}

async fn serve_link(
    shared: &sync::Arc<Shared>,
    stream: tokio::net::TcpStream,
    identity: identity::Identity,
    holder: front::Holder,
) {
    let origin = origin::Origin {
        name: identity.name.into(),
        incarnation: identity.incarnation,
        link: shared.next_link.fetch_add(1, atomic::Ordering::Relaxed),
    };
    shared.counters.add(counters::Count::LinkOpened);
    log::debug!(target: "peer", "peer: host {} opened link {}", origin.name, origin.link);
    let session = rc::Rc::new(session::Session::new(shared.clone(), origin, holder));
    let client: wire::peer_capnp::session::Client = capnp_rpc::new_client_from_rc(session.clone());
    let system = rpc::system(
        stream,
        rpc_twoparty_capnp::Side::Server,
        Some(client.client),
        &shared.counters,
    );
    let _guard = CloseGuard(session.clone());
    let mut system = task::spawn_local(system);
    let mut stop = shared.stop.clone();
    tokio::select! {
        _ = &mut system => return,
        () = session.idle(shared.options.idle_timeout) => {
            shared.counters.add(counters::Count::LinkSilent);
        }
        _ = stop.wait_for(|&stopped| stopped) => {}
    }
    // Asks are cancelled while the RPC system is still polled, so that their
    // futures are dropped. The disconnector of capnp-rpc 0.27.3 is not used: it
    // panics when a message arrives at the same time.
    session.cancel_asks();
    task::yield_now().await;
    system.abort();
    let _ = system.await;
}

/// Closes the session on drop, so that every end of a link is reported.
struct CloseGuard(rc::Rc<session::Session>);

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Memory of an open link at one end; an idle one takes 13.4 KB (docs/CAPACITY.md).
const LINK_BYTES: usize = 14 * 1024;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
