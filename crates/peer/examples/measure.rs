//! Measures the transport on loopback: asks per second and processor time per ask,
//! bytes per call, memory per link, and time and length of signed digests.
//!
//! `cargo run --release -p peer --example measure`

use core::time;
use std::fs;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time as clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Handler that grants every ask at once.
struct Granter;

impl peer::Handler for Granter {
    fn ask(&self, _: &peer::Origin, ask: wire::Ask) -> peer::Future<wire::Reply> {
        Box::pin(async move {
            wire::Reply::Grant(wire::Grant {
                endpoint: "proof-engine-07".into(),
                address: net::SocketAddr::from(([10, 20, 3, 7], 8_000)),
                fence: ask.id,
                dispatch_by_ms: 1_000,
                wait_ms: 0,
            })
        })
    }

    fn cancel(&self, _: &peer::Origin, _: u64) {}

    fn first_output(&self, _: &peer::Origin, _: u64) {}

    fn done(&self, _: &peer::Origin, _: wire::Done) {}

    fn run(&self, _: &peer::Origin, run: wire::Run) -> peer::Future<wire::Outcome> {
        Box::pin(async move { wire::Outcome::Refusal(wire::Refusal::new("internal", run.key)) })
    }

    fn fetch(&self, _: &peer::Origin, _: wire::Fetch) -> peer::Future<wire::Files> {
        Box::pin(async { wire::Files::default() })
    }

    fn crash(&self, _: &peer::Origin, _: wire::Crash) {}

    fn leave(&self, _: &peer::Origin) {}

    fn link_ended(&self, _: &peer::Origin) {}
}

fn main() -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        datagrams()?;
        memory().await?;
        churn().await?;
        bytes().await?;
        rate(false).await?;
        rate(true).await
    })
}

fn identity(name: &str) -> peer::Identity {
    peer::Identity {
        name: name.into(),
        incarnation: 1_796_000_000_000,
    }
}

fn keys() -> anyhow::Result<peer::Keys> {
    Ok(peer::Keys::new(wire::Keyring::new(&[SECRET])?))
}

fn server() -> anyhow::Result<peer::Server> {
    let options = peer::server::Options::new(
        net::SocketAddr::from(([127, 0, 0, 1], 0)),
        identity("router-101.dc01"),
        keys()?,
        tokio::runtime::Handle::current(),
    );
    Ok(peer::Server::start(options, sync::Arc::new(Granter))?)
}

fn client(change: impl FnOnce(&mut peer::client::Options)) -> anyhow::Result<peer::Client> {
    let mut options = peer::client::Options::new(identity("router-102.dc02"), keys()?);
    change(&mut options);
    Ok(peer::Client::start(options)?)
}

fn ask(id: u64) -> wire::Ask {
    wire::Ask {
        pool: "plate-check".into(),
        shard: 3,
        id,
        class: "proof-interactive".into(),
        team: 0x1234_5678,
        caller: 0x0123_4567_89ab_cdef,
        prompt_tokens: 900,
        max_tokens: Some(512),
        prefix: 0xfedc_ba98_7654_3210,
        fingerprint: 0x1032_5476_98ba_dcfe,
        budget_ms: 30_000,
        attempt: 0,
        avoid: None,
    }
}

fn done(id: u64) -> wire::Done {
    wire::Done {
        id,
        result: wire::Finish::Complete,
        tokens: 300,
        pause_ms: 0,
        answered: false,
    }
}

/// Measures the rate of granted asks with their reports, and the processor time of
/// the link threads per ask. Without `with_first_output` only the end is reported.
async fn rate(with_first_output: bool) -> anyhow::Result<()> {
    let server = server()?;
    let client = client(|_| {})?;
    let address = server.address();
    client.ask(address, ask(0)).await?;
    let next = sync::Arc::new(atomic::AtomicU64::new(1));
    let before = (thread_seconds("peer-client"), thread_seconds("peer-server"));
    let start = clock::Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..CONCURRENCY {
        let (client, next) = (client.clone(), next.clone());
        tasks.push(tokio::spawn(async move {
            while start.elapsed() < DURATION {
                let id = next.fetch_add(1, atomic::Ordering::Relaxed);
                client.ask(address, ask(id)).await?;
                if with_first_output {
                    client.report_first_output(address, id);
                }
                client.report_done(address, done(id));
            }
            Ok::<(), peer::Error>(())
        }));
    }
    for task in tasks {
        task.await??;
    }
    let elapsed = start.elapsed().as_secs_f64();
    let asks = next.load(atomic::Ordering::Relaxed) as f64;
    let entry = thread_seconds("peer-client") - before.0;
    let home = thread_seconds("peer-server") - before.1;
    let kind = if with_first_output {
        "ask+first+done"
    } else {
        "ask+done"
    };
    println!(
        "{kind}: {:.0}/s with {CONCURRENCY} open; entry host {:.1} us, home host {:.1} us of a core each",
        asks / elapsed,
        entry * 1e6 / asks,
        home * 1e6 / asks,
    );
    Ok(())
}

/// Counts the TCP payload bytes of calls in both directions.
async fn bytes() -> anyhow::Result<()> {
    let server = server()?;
    let counter = sync::Arc::new(atomic::AtomicU64::new(0));
    let address = proxy(server.address(), counter.clone()).await?;
    let client = client(|options| options.keepalive_interval = PING_INTERVAL)?;
    client.ask(address, ask(0)).await?;
    client.report_done(address, done(0));
    tokio::time::sleep(SETTLE).await;
    println!(
        "open link, ask, done: {} bytes",
        counter.swap(0, atomic::Ordering::Relaxed)
    );
    for id in 1..=CALLS {
        client.ask(address, ask(id)).await?;
    }
    let asks = counter.swap(0, atomic::Ordering::Relaxed);
    println!("ask and grant: {} bytes", asks / CALLS);
    for id in 1..=CALLS {
        client.report_first_output(address, id);
        client.report_done(address, done(id));
    }
    tokio::time::sleep(SETTLE).await;
    let reports = counter.swap(0, atomic::Ordering::Relaxed);
    println!("first and done: {} bytes", reports / CALLS);
    tokio::time::sleep(10 * PING_INTERVAL).await;
    let pings = counter.swap(0, atomic::Ordering::Relaxed);
    println!("about 10 pings: {pings} bytes");
    Ok(())
}

/// Starts a proxy that counts the bytes it forwards, and returns its address.
async fn proxy(
    to: net::SocketAddr,
    counter: sync::Arc<atomic::AtomicU64>,
) -> anyhow::Result<net::SocketAddr> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = tokio::net::TcpStream::connect(to).await else {
                return;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(copy(near_read, far_write, counter.clone()));
            tokio::spawn(copy(far_read, near_write, counter.clone()));
        }
    });
    Ok(address)
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    counter: sync::Arc<atomic::AtomicU64>,
) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        counter.fetch_add(length as u64, atomic::Ordering::Relaxed);
    }
}

/// Measures the memory of idle links, both ends of which are in this process.
async fn memory() -> anyhow::Result<()> {
    let servers = (0..SERVERS)
        .map(|_| server())
        .collect::<anyhow::Result<Vec<_>>>()?;
    let clients = (0..CLIENTS)
        .map(|_| client(|_| {}))
        .collect::<anyhow::Result<Vec<_>>>()?;
    tokio::time::sleep(SETTLE).await;
    let before = resident_bytes();
    for client in &clients {
        for server in &servers {
            client.ask(server.address(), ask(1)).await?;
            client.report_done(server.address(), done(1));
        }
    }
    tokio::time::sleep(SETTLE).await;
    let links = SERVERS * CLIENTS;
    let used = (resident_bytes() - before) / links as f64;
    println!("{links} idle links: {used:.0} bytes resident per link, both ends");
    Ok(())
}

/// Measures the time and the length of signed digests.
fn datagrams() -> anyhow::Result<()> {
    let keys = wire::Keyring::new(&[SECRET])?;
    let entries = (0..ENTRIES).map(entry).collect();
    let packet = wire::Packet::Digest(fleet::Digest {
        entries,
        revision: 1_234_567,
        content: [0xa5; 32],
    });
    let sealed = packet.seal(&keys)?;
    let start = clock::Instant::now();
    for _ in 0..CALLS {
        packet.seal(&keys)?;
    }
    let seal = start.elapsed().as_secs_f64() * 1e6 / CALLS as f64;
    let start = clock::Instant::now();
    for _ in 0..CALLS {
        wire::Packet::open(&sealed, &keys)?;
    }
    let open = start.elapsed().as_secs_f64() * 1e6 / CALLS as f64;
    println!(
        "digest with {ENTRIES} entries: {} bytes, {seal:.1} us to seal, {open:.1} us to open",
        sealed.len(),
    );
    Ok(())
}

fn entry(index: u8) -> fleet::Entry {
    let ip = net::Ipv4Addr::new(10, 20 + index % 11, index, 200 - index);
    fleet::Entry {
        name: format!("router-{}.dc{:02}", 100 + index, index % 11),
        incarnation: 1_796_000_000_000 + u64::from(index) * 86_399_991,
        counter: 1_000_003 + u64::from(index) * 7_919,
        phase: fleet::Phase::Up,
        suspected: false,
        data_centre: format!("dc{:02}", index % 11),
        region: format!("region-{}", index % 3),
        peer: net::SocketAddr::from((ip, 7_401)),
        caller: net::SocketAddr::from((ip, 8_080)),
    }
}

/// Measures the memory that is not released after links were closed.
async fn churn() -> anyhow::Result<()> {
    let server = server()?;
    let mut before = 0.0;
    for round in 0..CHURN_LINKS * 3 {
        if round == CHURN_LINKS {
            before = resident_bytes();
        }
        let client = client(|_| {})?;
        client.ask(server.address(), ask(1)).await?;
    }
    let left = (resident_bytes() - before) / (2 * CHURN_LINKS) as f64;
    println!(
        "{} closed links: {left:.0} bytes resident left per link",
        2 * CHURN_LINKS
    );
    Ok(())
}

/// Returns the resident memory of this process.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the processor time in seconds of the threads whose name starts with
/// `prefix`.
fn thread_seconds(prefix: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    tasks
        .filter_map(|task| {
            let comm = fs::read_to_string(task.path().join("comm")).ok()?;
            let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
            let run: f64 = stat.split(' ').next()?.parse().ok()?;
            comm.starts_with(prefix).then_some(run / 1e9)
        })
        .sum()
}

const SECRET: &str = "a shared key for measurements";
const DURATION: time::Duration = time::Duration::from_secs(3);
/// Time for outstanding calls and the allocator to settle before a reading.
const SETTLE: time::Duration = time::Duration::from_millis(500);
const PING_INTERVAL: time::Duration = time::Duration::from_millis(100);
const CONCURRENCY: usize = 64;
const CALLS: u64 = 1_000;
const SERVERS: usize = 16;
const CLIENTS: usize = 64;
const ENTRIES: u8 = 24;
const CHURN_LINKS: usize = 2_000;
const PAGE_BYTES: f64 = 4_096.0;
