//! Stand-ins for the platform's store, workers and clients, as `PROTOCOL.md` describes
//! them, and helpers to run hosts as processes. Uses the standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::process;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the site `ganci-alpini`, as `fleetbench wire` prints them.
pub const BOUNDS: &str = "bounds:
  seedLagS: 3
  reuseAfterS: 2
  stableWindowMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configMs: 2000
  rollbackSlackMs: 250
  maxSkewMs: 5000
  failClosed: false
  revokeMs: 5000
  budgetRatio: 0.2
  budgetWindowS: 10
  budgetSlack: 116
  recoverS: 12
  passMs: 120
  reuseWindowS: 6.5
  ttl_max_s: 5
";

/// Bounds of the site `ganci-alpini-grown`, by its sheet.
pub const BOUNDS_GROWN: &str = "bounds:
  seedLagS: 3
  reuseAfterS: 2
  stableWindowMs: 4000
  ackMs: 6000
  catchUpS: 6
  drainMs: 3000
  graceS: 8
  lossSlackMs: 200
  configMs: 3000
  rollbackSlackMs: 250
  maxSkewMs: 6000
  failClosed: false
  revokeMs: 5000
  budgetRatio: 0.2
  budgetWindowS: 10
  budgetSlack: 260
  recoverS: 15
  passMs: 200
  reuseWindowS: 6.6
  ttl_max_s: 5
";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Log of what was sent, answered and run, written to a file at the end.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, text: String) {
        self.lines.lock().unwrap().push((self.now(), text));
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: String) {
        println!("{:8.3} s  {text}", self.now().as_secs_f64());
        self.add(text);
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:8.3} s  {text}\n", at.as_secs_f64()))
            .collect();
        if let Err(cause) = fs::write(path, text) {
            eprintln!("cannot write {path}: {cause}");
            process::exit(2);
        }
    }
}

/// An HTTP message: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// One side of an HTTP/1.1 connection.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head, up to the body.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a whole message with a declared end.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.bytes(size)?;
                message.body.extend(chunk);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.field("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = self.bytes(length)?;
        Ok(message)
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= group.len() { digit } else { '=' });
        }
    }
    text
}

#[derive(Clone)]
struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    history: Vec<Change>,
    /// Connections of an earlier generation are silent.
    generation: u64,
    /// Number of times that the store came back from a copy; stated from the first one on.
    era: u64,
    /// Whether the store is away: it closes all connections without an answer.
    is_away: bool,
    /// Watches that wait now, with the prefix and the time at which each began.
    waiting: BTreeMap<u64, (String, Instant)>,
    calls: u64,
}

/// A copy of the store's content.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            content: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item. When it returns, the store has acknowledged it.
    pub fn put(&self, key: &str, value: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.items.insert(key.to_owned(), (value.to_owned(), revision));
        content.history.push(Change {
            key: key.to_owned(),
            value: Some(value.to_owned()),
            revision,
        });
        changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.items.remove(key);
        content.history.push(Change {
            key: key.to_owned(),
            value: None,
            revision,
        });
        changed.notify_all();
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.content.0.lock().unwrap().generation += 1;
    }

    pub fn copy(&self) -> Copy {
        let content = self.content.0.lock().unwrap();
        Copy {
            revision: content.revision,
            items: content.items.clone(),
        }
    }

    /// Closes all connections, and new ones, without an answer.
    pub fn go_away(&self) {
        let (content, changed) = &*self.content;
        content.lock().unwrap().is_away = true;
        changed.notify_all();
    }

    /// Comes back from a copy. Later revisions are given out again, and a new era begins.
    pub fn come_back(&self, copy: &Copy) {
        let mut content = self.content.0.lock().unwrap();
        content.is_away = false;
        content.era += 1;
        content.revision = copy.revision;
        content.items = copy.items.clone();
        content.history.retain(|change| change.revision <= copy.revision);
    }

    /// Returns the ages of the watches that wait for changes under a prefix.
    pub fn waiting(&self, prefix: &str) -> Vec<Duration> {
        let content = self.content.0.lock().unwrap();
        let waiting = content.waiting.values().filter(|(of, _)| of == prefix);
        waiting.map(|(_, since)| since.elapsed()).collect()
    }

    fn serve(self, stream: TcpStream) {
        let generation = self.content.0.lock().unwrap().generation;
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let answer = self.answer(request.target(), generation);
            let (era, is_away) = {
                let content = self.content.0.lock().unwrap();
                (content.era, content.is_away)
            };
            if is_away {
                return;
            }
            let Some((status, body)) = answer else {
                // Silent: the connection stays open and carries nothing any more.
                thread::sleep(Duration::from_secs(600));
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{body}",
                era + 1,
                body.len()
            );
            if connection.write(&text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, generation: u64) -> Option<(u16, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        if content.generation != generation || content.is_away {
            return None;
        }
        let era = content.era;
        let item = |key: &str, value: &str, revision: u64| {
            let value = base64(value.as_bytes());
            format!(
                r#""key":"{key}","value":"{value}","revision":{revision},"createdAt":{revision},"lease":0"#
            )
        };
        let prefix = field("prefix").to_owned();
        match path {
            "/kv-key" => {
                let key = field("key");
                let as_of = content.revision;
                Some(match content.items.get(key) {
                    Some((value, revision)) => {
                        (200, format!(r#"{{{},"asOf":{as_of}}}"#, item(key, value, *revision)))
                    }
                    None => (404, "{}".to_owned()),
                })
            }
            "/kv-range" => {
                let items: Vec<String> = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > field("after"))
                    .map(|(key, (value, revision))| format!("{{{}}}", item(key, value, *revision)))
                    .collect();
                let as_of = content.revision;
                let items = items.join(",");
                Some((200, format!(r#"{{"items":[{items}],"truncated":false,"asOf":{as_of}}}"#)))
            }
            "/kv-watch" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let until = Instant::now() + ms(field("waitMs").parse().unwrap_or(0));
                if after > content.revision {
                    return Some((410, "{}".to_owned()));
                }
                content.calls += 1;
                let call = content.calls;
                content.waiting.insert(call, (prefix.clone(), Instant::now()));
                loop {
                    let is_gone = content.generation != generation || content.is_away;
                    if is_gone || content.era != era {
                        content.waiting.remove(&call);
                        return if is_gone { None } else { Some((410, "{}".to_owned())) };
                    }
                    let events: Vec<String> = content
                        .history
                        .iter()
                        .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                        .map(|change| match &change.value {
                            Some(value) => {
                                format!("{{{}}}", item(&change.key, value, change.revision))
                            }
                            None => format!(
                                r#"{{"key":"{}","revision":{},"deleted":true}}"#,
                                change.key, change.revision
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        content.waiting.remove(&call);
                        let as_of = content.revision;
                        let events = events.join(",");
                        return Some((200, format!(r#"{{"events":[{events}],"asOf":{as_of}}}"#)));
                    }
                    content = changed.wait_timeout(content, until - now).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

/// What a worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub worker: String,
    pub id: String,
    pub target: String,
    pub tenant: String,
    /// Whether the answer said that the worker is leaving.
    pub is_leaving: bool,
}

/// Runs of all workers.
pub type Ledger = Arc<Mutex<Vec<Run>>>;

/// A worker that answers each request at once.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    record: Record,
    ledger: Ledger,
    stamps: Arc<AtomicU64>,
    /// Whether the worker says in its answers that it is leaving.
    pub leaving: Arc<AtomicBool>,
}

impl Worker {
    pub fn start(id: &str, record: &Record, ledger: &Ledger) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            record: record.clone(),
            ledger: ledger.clone(),
            stamps: Arc::default(),
            leaving: Arc::default(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Returns the entry that the worker writes to the store.
    pub fn entry(&self, service: &str, state: &str, seq: u64) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"z-a","version":"v1","slots":64,"state":"{state}","coldLeftMs":0,"born":1700000000000,"seq":{seq}}}"#,
            self.address
        )
    }

    fn serve(self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let id = request.field("x-carobbay-request-id").unwrap_or("").to_owned();
            let expected = request.field("x-carobbay-expect-instance");
            let load = "X-Carobbay-Server-Load: 0,0,64,100\r\n";
            let text = if expected.is_some_and(|expected| expected != self.id) {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Carobbay-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )
            } else {
                let is_leaving = self.leaving.load(Ordering::Relaxed);
                let run = Run {
                    is_leaving,
                    at: self.record.now(),
                    worker: self.id.clone(),
                    id: id.clone(),
                    target: request.target().to_owned(),
                    tenant: request.field("x-carobbay-tenant").unwrap_or("").to_owned(),
                };
                self.ledger.lock().unwrap().push(run);
                let stamp = self.stamps.fetch_add(1, Ordering::Relaxed);
                let body = format!("done {id}");
                let leaving = if is_leaving { "Server-Leaving: 1\r\n" } else { "" };
                format!(
                    "HTTP/1.1 200 OK\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Response-Stamp: {}.{stamp}\r\n{load}{leaving}Content-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                )
            };
            if connection.write(&text).is_err() {
                return;
            }
        }
    }
}

/// Settings of a host.
#[derive(Clone)]
pub struct Layout {
    pub name: String,
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub internal: u16,
    pub metrics: u16,
    pub bounds: &'static str,
    pub cpu_share: f64,
    pub link_mbps: u32,
    pub memory_mb: u32,
    pub files: u32,
}

/// Returns the layouts of hosts at addresses of their own, on ports that are free at all.
pub fn layouts(count: u8) -> Vec<Layout> {
    let base = free_ports(6, count);
    (0..count)
        .map(|index| {
            let ip: IpAddr = [127, 0, 1, 11 + index].into();
            Layout {
                name: format!("front-z-a-{}", index + 1),
                ip,
                front: SocketAddr::new(ip, base),
                ready: SocketAddr::new(ip, base + 1),
                control: SocketAddr::new(ip, base + 2),
                directory: SocketAddr::new(ip, base + 3),
                internal: base + 4,
                metrics: base + 20,
                bounds: BOUNDS,
                cpu_share: 0.17,
                link_mbps: 700,
                memory_mb: 96,
                files: 2_870,
            }
        })
        .collect()
}

/// Returns the first of a range of ports that are free at the addresses of all hosts.
fn free_ports(_count: u16, hosts: u8) -> u16 {
    let seed = u64::from(process::id());
    'base: for attempt in 0..200u64 {
        let base = 20_000 + ((seed * 7_919 + attempt * 104_729) % 400 * 25) as u16;
        for host in 0..hosts {
            let ip: IpAddr = [127, 0, 1, 11 + host].into();
            for port in base..base + 21 {
                let tcp = TcpListener::bind(SocketAddr::new(ip, port));
                let udp = std::net::UdpSocket::bind(SocketAddr::new(ip, port));
                if tcp.is_err() || udp.is_err() {
                    continue 'base;
                }
            }
        }
        return base;
    }
    eprintln!("no free ports");
    process::exit(2);
}

extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// A process of the router.
pub struct Host {
    pub layout: Layout,
    child: process::Child,
}

impl Host {
    /// Starts a host with the command of the deploy file.
    pub fn start(layout: Layout, seeds: &[SocketAddr], store: SocketAddr, folder: &str) -> Self {
        let seeds: String = seeds.iter().map(|seed| format!("  - \"{seed}\"\n")).collect();
        let Layout {
            name,
            ip,
            front,
            ready,
            control,
            directory,
            internal,
            bounds,
            cpu_share,
            link_mbps,
            memory_mb,
            files,
            ..
        } = &layout;
        let last = internal + 15;
        let settings = format!(
            "node: \"{name}\"\nrole: \"router\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n  - \"directory\"\nip: \"{ip}\"\nzone: \"z-a\"\nregion: \"z\"\nzones:\n  z-a: \"z\"\nlisten:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  control: \"{control}\"\n  directory: \"{directory}\"\ninternalPorts:\n  - {internal}\n  - {last}\nseeds:\n{seeds}bootstrap: true\ninTolerance: false\nlimits:\n  cpuShare: {cpu_share}\n  cores: 1\n  memoryMb: {memory_mb}\n  maxFds: {files}\n  linkMbps: {link_mbps}.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeatMs: 1200\ncontracts:\n  - \"base\"\nfaultTolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n{bounds}platform:\n  address: \"{store}\"\n  form: \"read\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000\n"
        );
        let path = format!("{folder}/{name}.yaml");
        fs::write(&path, settings).expect("a settings file");
        let log = fs::File::create(format!("{folder}/{name}.log")).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = process::Command::new("target/release/carobbay");
        command
            .args(["platform", "--metrics-port", &layout.metrics.to_string()])
            .env("CAROBBAY_NODE_FILE", &path)
            .stdout(log)
            .stderr(errors);
        // SAFETY: the call is safe between fork and exec. The host ends with this process,
        // however that ends.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command.spawn();
        match child {
            Ok(child) => Self { layout, child },
            Err(cause) => {
                eprintln!("cannot start target/release/carobbay: {cause}");
                process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns how many calls of the platform's store the host has counted.
    pub fn store_calls(&self) -> u64 {
        let address = SocketAddr::new(self.layout.ip, self.layout.metrics);
        let metrics = Connection::open(address, ms(1_000)).and_then(|mut connection| {
            connection.write("GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n")?;
            connection.read()
        });
        let Ok(metrics) = metrics else { return 0 };
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        let lines = text.lines().filter(|line| line.contains("platform_calls"));
        let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        counts.sum::<f64>() as u64
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.layout.ready, ms(1_000)) else {
            return false;
        };
        let sent = connection.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        sent.is_ok() && connection.read().is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a fleet and waits until all of it is ready.
pub fn start_hosts(count: u8, store: &Store, folder: &str) -> Vec<Host> {
    start_fleet(layouts(count), store, folder)
}

/// Starts these hosts and waits until all of them are ready.
pub fn start_fleet(layouts: Vec<Layout>, store: &Store, folder: &str) -> Vec<Host> {
    let seeds: Vec<SocketAddr> = layouts.iter().map(|layout| layout.control).take(3).collect();
    let hosts: Vec<Host> = layouts
        .into_iter()
        .map(|layout| Host::start(layout, &seeds, store.address, folder))
        .collect();
    let until = Instant::now() + Duration::from_secs(10);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > until {
            drop(hosts);
            eprintln!("the hosts were not ready within 10 s");
            process::exit(2);
        }
        thread::sleep(ms(50));
    }
    hosts
}

/// Creates an empty folder for logs and settings.
pub fn folder(name: &str) -> String {
    let path = std::env::temp_dir().join(format!("review-{name}-{}", process::id()));
    fs::create_dir_all(&path).expect("a temporary folder");
    path.to_string_lossy().into_owned()
}

/// Stops helpers that run until the end of a case.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
