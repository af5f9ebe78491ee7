use core::time;
use std::net;
use std::sync;
use std::sync::atomic;

use base::mutex;
use tokio::io::AsyncWriteExt;

use super::endpoint;

/// A prompt part that ends the process that runs a request with it.
pub const BAD_PART: &str = "bad0";

/// When the process ends that runs a request whose path contains `/bad` or whose
/// prompt contains [`BAD_PART`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crash {
    /// Before any byte of the answer.
    BeforeHead,
    /// After the head of the answer.
    AfterHead,
    /// After the first part of the answer.
    AfterPart,
}

/// How an engine runs requests.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub crash: Crash,
    /// Time from a crash to the next start.
    pub restart: time::Duration,
    /// Length of the answers to other requests.
    pub answer: time::Duration,
}

/// An engine that runs many requests at once. A request that [`Crash`]
/// describes ends the process, which resets all its connections and listens again
/// after a time.
pub struct Engine {
    pub id: String,
    pub address: net::SocketAddr,
    /// Times at which a request arrived that ended the process.
    pub crashes: sync::Arc<sync::Mutex<Vec<tokio::time::Instant>>>,
    starts: sync::Arc<atomic::AtomicU64>,
    stop: sync::Arc<tokio::sync::Notify>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Engine {
    pub async fn start(id: &str, options: Options) -> Self {
        // Reserved, so that the port is still free after a restart.
        let address = testkit::ports::reserve_local().expect("a free port");
        let listener = tokio::net::TcpListener::bind(address).await.expect("port");
        let crashes: sync::Arc<sync::Mutex<Vec<tokio::time::Instant>>> = sync::Arc::default();
        let starts = sync::Arc::new(atomic::AtomicU64::new(1));
        let stop: sync::Arc<tokio::sync::Notify> = sync::Arc::default();
        let (log, count, signal) = (crashes.clone(), starts.clone(), stop.clone());
        let task = tokio::spawn(async move {
            let mut listener = Some(listener);
            loop {
                let current = match listener.take() {
                    Some(listener) => listener,
                    None => tokio::net::TcpListener::bind(address)
                        .await
                        .expect("the port of the last start"),
                };
                run(current, options, log.clone(), signal.clone()).await;
                tokio::time::sleep(options.restart).await;
                count.fetch_add(1, atomic::Ordering::SeqCst);
            }
        });
        Self {
            id: id.into(),
            address,
            crashes,
            starts,
            stop,
            task,
        }
    }

    /// Ends the process independently of the requests that it runs.
    pub fn crash(&self) {
        self.stop.notify_one();
    }

    /// Returns the entry of the process that runs now.
    pub fn listed(&self) -> plan::Endpoint {
        let started = self.starts.load(atomic::Ordering::SeqCst);
        plan::Endpoint {
            id: format!("{}-{started}", self.id),
            service: "s".into(),
            address: self.address,
            data_centre: "dc".into(),
            slots: 24,
            phase: plan::Phase::Up,
            started_ms: started,
            build: Some("v1".into()),
        }
    }
}

/// Serves until a request ends the process.
async fn run(
    listener: tokio::net::TcpListener,
    options: Options,
    log: sync::Arc<sync::Mutex<Vec<tokio::time::Instant>>>,
    stop: sync::Arc<tokio::sync::Notify>,
) {
    // Dropping the set ends all connections.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => return,
        };
        let Ok((stream, _)) = accepted else { return };
        connections.spawn(serve(stream, options, log.clone(), stop.clone()));
    }
}

async fn serve(
    mut stream: tokio::net::TcpStream,
    options: Options,
    log: sync::Arc<sync::Mutex<Vec<tokio::time::Instant>>>,
    stop: sync::Arc<tokio::sync::Notify>,
) {
    endpoint::reset(&stream);
    let mut bytes = Vec::new();
    while let Some(request) = endpoint::read(&mut stream, &mut bytes, 0).await {
        let has_bad_part = request
            .header("x-prompt")
            .is_some_and(|parts| parts.contains(BAD_PART));
        let is_bad = request.head.contains("/bad") || has_bad_part;
        if is_bad {
            mutex::lock(&log).push(tokio::time::Instant::now());
        }
        if is_bad && options.crash == Crash::BeforeHead {
            return stop.notify_one();
        }
        if send(&mut stream, endpoint::stream_head(&request))
            .await
            .is_err()
        {
            return;
        }
        if is_bad && options.crash == Crash::AfterHead {
            return stop.notify_one();
        }
        let parts = 8;
        for part in 1..=parts {
            let event = endpoint::chunk(&endpoint::event(part));
            if send(&mut stream, event).await.is_err() {
                return;
            }
            if is_bad {
                return stop.notify_one();
            }
            tokio::time::sleep(options.answer / parts as u32).await;
        }
        if send(&mut stream, endpoint::stream_end()).await.is_err() {
            return;
        }
    }
}

async fn send(stream: &mut tokio::net::TcpStream, step: endpoint::Step) -> std::io::Result<()> {
    match step {
        endpoint::Step::Bytes(text) => stream.write_all(text.as_bytes()).await,
        _ => Ok(()),
    }
}
