//! Home host with a recording handler, and a proxy that can cut or stall a link.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses a part of this module"
)]

use core::time;
use std::net;
use std::sync;
use tokio::sync::{mpsc, watch};

/// Event that the handler recorded.
#[derive(Debug, PartialEq)]
pub enum Seen {
    Ask(u64),
    AskDropped(u64),
    Cancel(u64),
    FirstOutput(u64),
    Done(wire::Done),
    Run(usize),
    RunEnded,
    Crash(wire::Crash),
    Leave,
    LinkEnded(String, u64),
}

pub struct Recorder {
    seen: mpsc::UnboundedSender<Seen>,
    release: watch::Receiver<bool>,
}

/// Records the end of a future, by completion or by drop.
struct EndGuard(mpsc::UnboundedSender<Seen>, Option<Seen>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        if let Some(seen) = self.1.take() {
            let _ = self.0.send(seen);
        }
    }
}

pub fn grant(id: u64) -> wire::Reply {
    wire::Reply::Grant(wire::Grant {
        endpoint: "engine-1".into(),
        address: "127.0.0.1:9".parse().expect("address"),
        fence: id,
        dispatch_by_ms: 1_000,
        wait_ms: 0,
    })
}

/// Grants asks of the pool "now" at once and leaves those of other pools pending;
/// runs of the class "held" complete after the release.
impl peer::Handler for Recorder {
    fn ask(&self, _: &peer::Origin, ask: wire::Ask) -> peer::Future<wire::Reply> {
        let _ = self.seen.send(Seen::Ask(ask.id));
        if ask.pool == "now" {
            return Box::pin(async move { grant(ask.id) });
        }
        let guard = EndGuard(self.seen.clone(), Some(Seen::AskDropped(ask.id)));
        Box::pin(async move {
            std::future::pending::<()>().await;
            drop(guard);
            grant(ask.id)
        })
    }

    fn cancel(&self, _: &peer::Origin, id: u64) {
        let _ = self.seen.send(Seen::Cancel(id));
    }

    fn first_output(&self, _: &peer::Origin, id: u64) {
        let _ = self.seen.send(Seen::FirstOutput(id));
    }

    fn done(&self, _: &peer::Origin, done: wire::Done) {
        let _ = self.seen.send(Seen::Done(done));
    }

    fn run(&self, _: &peer::Origin, run: wire::Run) -> peer::Future<wire::Outcome> {
        let _ = self.seen.send(Seen::Run(run.request.body.len()));
        let seen = self.seen.clone();
        let mut release = self.release.clone();
        Box::pin(async move {
            if run.class == "held" {
                let _ = release.wait_for(|&released| released).await;
                let _ = seen.send(Seen::RunEnded);
            }
            wire::Outcome::Answer(wire::Answer {
                status: 200,
                headers: run.request.headers,
                body: run.request.body,
            })
        })
    }

    fn fetch(&self, _: &peer::Origin, fetch: wire::Fetch) -> peer::Future<wire::Files> {
        Box::pin(async move {
            wire::Files {
                revision: 5,
                content: [3; 32],
                changed: vec![("a.ini".into(), "x".repeat(900_000))],
                removed: fetch.known.into_iter().map(|(name, _)| name).collect(),
            }
        })
    }

    fn crash(&self, _: &peer::Origin, crash: wire::Crash) {
        let _ = self.seen.send(Seen::Crash(crash));
    }

    fn leave(&self, _: &peer::Origin) {
        let _ = self.seen.send(Seen::Leave);
    }

    fn link_ended(&self, from: &peer::Origin) {
        let _ = self
            .seen
            .send(Seen::LinkEnded(from.name.to_string(), from.incarnation));
    }
}

/// Home host that records the calls it receives.
pub struct Home {
    pub server: peer::Server,
    pub seen: mpsc::UnboundedReceiver<Seen>,
    pub release: watch::Sender<bool>,
}

impl Home {
    pub fn start(keys: peer::Keys) -> Self {
        Self::with(keys, |options| options.threads = 2)
    }

    pub fn with(keys: peer::Keys, change: impl FnOnce(&mut peer::server::Options)) -> Self {
        let (seen, receiver) = mpsc::unbounded_channel();
        let (release, released) = watch::channel(false);
        let mut options = peer::server::Options::new(
            net::SocketAddr::from(([127, 0, 0, 1], 0)),
            identity("home"),
            keys,
            tokio::runtime::Handle::current(),
        );
        change(&mut options);
        let handler = sync::Arc::new(Recorder {
            seen,
            release: released,
        });
        Self {
            server: peer::Server::start(options, handler).expect("server"),
            seen: receiver,
            release,
        }
    }

    pub async fn next(&mut self) -> Seen {
        in_time(self.seen.recv()).await.expect("an event")
    }
}

pub fn identity(name: &str) -> peer::Identity {
    peer::Identity {
        name: name.into(),
        incarnation: 7,
    }
}

pub fn keys(secrets: &[&str]) -> peer::Keys {
    peer::Keys::new(wire::Keyring::new(secrets).expect("keyring"))
}

pub fn client(keys: peer::Keys) -> peer::Client {
    let options = peer::client::Options::new(identity("entry"), keys);
    peer::Client::start(options).expect("client")
}

pub fn ask(id: u64, pool: &str) -> wire::Ask {
    wire::Ask {
        pool: pool.into(),
        shard: 0,
        id,
        class: "chat".into(),
        team: 1,
        caller: 2,
        prompt_tokens: 3,
        max_tokens: None,
        prefix: 0,
        fingerprint: 0,
        budget_ms: 30_000,
        attempt: 0,
        avoid: None,
    }
}

pub fn run(class: &str, body: usize) -> wire::Run {
    wire::Run {
        request: wire::Request {
            method: "POST".into(),
            path: "/services/orders/confirm".into(),
            headers: vec![("content-type".into(), b"application/json".to_vec())],
            body: (0..body).map(|index| index as u8).collect(),
        },
        class: class.into(),
        team: 1,
        caller: 2,
        key: "k".into(),
        fingerprint: 4,
        request_time_ms: None,
        budget_ms: 1_000,
    }
}

/// Fails the test if the future does not resolve within 30 s.
pub async fn in_time<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(time::Duration::from_secs(30), future)
        .await
        .expect("resolves in time")
}

/// Mode of a proxy.
#[derive(Clone, Copy, PartialEq)]
pub enum Flow {
    Pass,
    /// Keeps connections open but forwards nothing.
    Stall,
    /// Closes connections.
    Cut,
}

/// TCP proxy that forwards connections to an address.
pub struct Proxy {
    pub address: net::SocketAddr,
    pub flow: watch::Sender<Flow>,
}

impl Proxy {
    pub async fn start(to: net::SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let address = listener.local_addr().expect("address");
        let (flow, flowing) = watch::channel(Flow::Pass);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, to, flowing.clone()));
            }
        });
        Self { address, flow }
    }
}

async fn forward(
    mut near: tokio::net::TcpStream,
    to: net::SocketAddr,
    mut flow: watch::Receiver<Flow>,
) {
    let Ok(mut far) = tokio::net::TcpStream::connect(to).await else {
        return;
    };
    loop {
        let now = *flow.borrow_and_update();
        match now {
            Flow::Cut => return,
            Flow::Stall => {
                if flow.changed().await.is_err() {
                    return;
                }
            }
            Flow::Pass => tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
                changed = flow.changed() => if changed.is_err() { return },
            },
        }
    }
}
