//! Accepts connections, makes the handshake and serves the link.

use capnp_rpc::rpc_twoparty_capnp;
use core::time;
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

/// Place in a bounded number of connections; given back on drop.
struct Place<'a>(&'a atomic::AtomicUsize);

impl<'a> Place<'a> {
    fn take(counter: &'a atomic::AtomicUsize, bound: usize) -> Option<Self> {
        let place = Self(counter);
        let taken = counter.fetch_add(1, atomic::Ordering::Relaxed);
        (taken < bound).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Accepts connections until the server stops.
pub async fn listen(
    shared: sync::Arc<Shared>,
    listener: net::TcpListener,
    workers: Vec<worker::Worker>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: "peer", "peer: cannot accept connections: {error}");
            return;
        }
    };
    let mut stop = shared.stop.clone();
    let mut turn = workers.iter().cycle();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&stopped| stopped) => return,
        };
        let stream = accepted.and_then(|(stream, from)| Ok((stream.into_std()?, from)));
        match (stream, turn.next()) {
            (Ok((stream, from)), Some(worker)) => {
                let shared = shared.clone();
                worker.spawn(move || connection(shared, stream, from));
            }
            (Err(error), _) => {
                shared
                    .limiter
                    .warn(format_args!("cannot accept a connection: {error}"));
                // Running out of file descriptors fails each accept at once.
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            (Ok(_), None) => return,
        }
    }
}

async fn connection(shared: sync::Arc<Shared>, stream: net::TcpStream, from: net::SocketAddr) {
    let Ok(mut stream) = tokio::net::TcpStream::from_std(stream) else {
        return;
    };
    let Some(place) = Place::take(&shared.handshakes, shared.options.handshakes_max) else {
        shared.counters.add(counters::Count::ConnectionRefused);
        shared.limiter.warn("too many handshakes are open");
        return;
    };
    let keys = shared.options.keys.current();
    let timeout = shared.options.handshake_timeout;
    let made = handshake::accept(&mut stream, &shared.options.identity, &keys, timeout).await;
    drop(place);
    let identity = match made {
        Ok(identity) => identity,
        Err(error) => {
            shared.counters.add(error.count());
            shared
                .limiter
                .warn(format_args!("refused a connection from {from}: {error}"));
            return;
        }
    };
    let Some(_place) = Place::take(&shared.links, shared.options.links_max) else {
        shared.counters.add(counters::Count::ConnectionRefused);
        shared.limiter.warn("too many links are open");
        return;
    };
    let _ = stream.set_nodelay(true);
    link(&shared, stream, identity).await;
}

async fn link(
    shared: &sync::Arc<Shared>,
    stream: tokio::net::TcpStream,
    identity: identity::Identity,
) {
    let origin = origin::Origin {
        name: identity.name.into(),
        incarnation: identity.incarnation,
        link: shared.next_link.fetch_add(1, atomic::Ordering::Relaxed),
    };
    shared.counters.add(counters::Count::LinkOpened);
    log::debug!(target: "peer", "peer: {} opened link {}", origin.name, origin.link);
    let session = rc::Rc::new(session::Session::new(shared.clone(), origin));
    let client: wire::peer_capnp::session::Client = capnp_rpc::new_client_from_rc(session.clone());
    let system = rpc::system(
        stream,
        rpc_twoparty_capnp::Side::Server,
        Some(client.client),
        &shared.counters,
    );
    let _closing = Closing(session.clone());
    let mut system = task::spawn_local(system);
    let mut stop = shared.stop.clone();
    tokio::select! {
        _ = &mut system => return,
        () = session.silent(shared.options.idle_timeout) => {
            shared.counters.add(counters::Count::LinkSilent);
        }
        _ = stop.wait_for(|&stopped| stopped) => {}
    }
    // The asks end while the system is still polled, which releases them. The
    // disconnector of capnp-rpc 0.27.3 is not used: it panics when a message
    // arrives at the same time.
    session.release();
    task::yield_now().await;
    system.abort();
    let _ = system.await;
}

/// Reports the end of a link on drop.
struct Closing(rc::Rc<session::Session>);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Pause after a failed accept.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
