//! Router hosts that run as separate processes.

use core::time;
use std::fmt::Write as _;
use std::fs;
use std::io::BufRead as _;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;

use http_body_util::BodyExt;
use sha2::Digest;
use testkit::client;

use crate::net::Net;

/// Bearer key of the team in [`settings`].
pub const KEY: &str = "wards-key";

/// Limits the number of fleets that run at the same time, and so the processes.
static FLEETS: tokio::sync::Semaphore = tokio::sync::Semaphore::const_new(3);
static NEXT_FOLDER: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Running host process; dropping it kills the process.
pub struct Process {
    child: process::Child,
    caller: net::SocketAddr,
}

impl Process {
    /// Returns the address that callers connect to.
    pub fn caller(&self) -> net::SocketAddr {
        self.caller
    }

    /// Sends a signal, such as `STOP`.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Hosts `host-0`, `host-1` and so on, which connect to each other through [`Net`].
pub struct Fleet {
    pub net: Net,
    folder: path::PathBuf,
    hosts: Vec<Option<Process>>,
    _permit: tokio::sync::SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts hosts with the same settings and waits until they list each other.
    pub async fn start(count: usize, settings: &str) -> Self {
        Self::start_each(count, |_| settings.to_owned()).await
    }

    /// Starts hosts with settings of their own and waits until they list each other.
    pub async fn start_each(count: usize, settings: impl Fn(usize) -> String) -> Self {
        let permit = FLEETS.acquire().await.expect("the semaphore stays open");
        let number = NEXT_FOLDER.fetch_add(1, atomic::Ordering::Relaxed);
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("faults-{}-{number}", process::id()));
        let mut fleet = Self {
            net: Net::start(count).await,
            folder,
            hosts: (0..count).map(|_| None).collect(),
            _permit: permit,
        };
        for host in 0..count {
            fleet.configure(host, &settings(host));
            fleet.boot(host);
        }
        fleet.wait_for_membership().await;
        fleet
    }

    /// Writes the settings folder of a host. A running host applies it on SIGHUP.
    pub fn configure(&self, host: usize, settings: &str) {
        let folder = self.settings_folder(host);
        fs::create_dir_all(&folder).expect("the folder can be made");
        let write = |name, text| fs::write(folder.join(name), text);
        write("05-fleet.ini", self.shared()).expect("the file can be written");
        write("10-test.ini", settings.to_owned()).expect("the file can be written");
    }

    /// Returns the section `fleet` that all hosts share.
    pub fn shared(&self) -> String {
        let seeds: Vec<String> = self
            .net
            .addresses()
            .iter()
            .map(ToString::to_string)
            .collect();
        format!(
            "[fleet]\nseeds = {}\npeer_keys = test-key-test-key-test-key-test-key\n",
            seeds.join(", ")
        )
    }

    /// Starts a host that does not run. It keeps no state from earlier processes.
    pub fn boot(&mut self, host: usize) {
        assert!(self.hosts[host].is_none(), "host-{host} runs already");
        let (process, peers) = spawn(
            &self.settings_folder(host),
            &self.log_path(host),
            host,
            self.net.addresses()[host],
        );
        self.net.set_real(host, peers);
        self.hosts[host] = Some(process);
    }

    /// Waits until every running host lists exactly the running hosts.
    pub async fn wait_for_membership(&self) {
        let mut running = self.running_addresses();
        running.sort_unstable();
        for address in running.clone() {
            until("all hosts list each other", async || {
                let mut listed = listed(address).await;
                listed.sort_unstable();
                listed == running
            })
            .await;
        }
    }

    /// Returns the numbers of the running hosts.
    pub fn running(&self) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts.filter(|host| self.hosts[*host].is_some()).collect()
    }

    /// Returns the addresses for callers of the running hosts.
    pub fn running_addresses(&self) -> Vec<net::SocketAddr> {
        let hosts = self.running().into_iter();
        hosts.map(|host| self.caller(host)).collect()
    }

    /// Returns a host's address for callers.
    pub fn caller(&self, host: usize) -> net::SocketAddr {
        self.process(host).caller
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host] = None;
    }

    /// Removes a process from the fleet. It runs until the returned value is dropped.
    pub fn detach(&mut self, host: usize) -> Process {
        self.hosts[host].take().expect("the host runs")
    }

    /// Sends a signal, such as `STOP`, to a host.
    pub fn signal(&self, host: usize, name: &str) {
        self.process(host).signal(name);
    }

    /// Waits until a host that received SIGTERM has exited.
    ///
    /// # Panics
    ///
    /// Panics if its exit code is a failure.
    pub async fn wait_for_exit(&mut self, host: usize) {
        let process = self.hosts[host].as_mut().expect("the host runs");
        loop {
            if let Some(status) = process.child.try_wait().expect("a child can be waited for") {
                assert!(status.success(), "host-{host} ended with {status}");
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.hosts[host] = None;
    }

    fn process(&self, host: usize) -> &Process {
        self.hosts[host].as_ref().expect("the host runs")
    }

    fn settings_folder(&self, host: usize) -> path::PathBuf {
        self.folder.join(format!("host-{host}"))
    }

    /// Returns the log of all processes of a host.
    pub fn log(&self, host: usize) -> String {
        fs::read_to_string(self.log_path(host)).unwrap_or_default()
    }

    fn log_path(&self, host: usize) -> path::PathBuf {
        self.folder.join(format!("host-{host}.log"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        // The logs of a failed test are kept for inspection.
        if !std::thread::panicking() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// Interval between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Starts a host and returns its process and the address that it listens on for peers.
fn spawn(
    folder: &path::Path,
    log: &path::Path,
    host: usize,
    advertise: net::SocketAddr,
) -> (Process, net::SocketAddr) {
    let log = fs::OpenOptions::new().create(true).append(true).open(log);
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_carobbay"))
        .args(["serve", "--data-centre", "a", "--region", "north"])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .arg(format!("--name=host-{host}"))
        .arg(format!("--peer-advertise={advertise}"))
        .arg("--settings")
        .arg(folder)
        .stdin(process::Stdio::null())
        .stdout(process::Stdio::piped())
        .stderr(log.expect("the log can be opened"))
        .spawn()
        .expect("the program starts");
    let output = child.stdout.take().expect("the output is piped");
    let mut line = String::new();
    let read = std::io::BufReader::new(output).read_line(&mut line);
    read.expect("the output can be read");
    let address = |name: &str| -> net::SocketAddr {
        let mut words = line.split_whitespace();
        let word = words.find_map(|word| word.strip_prefix(name));
        let word = word.unwrap_or_else(|| panic!("host-{host} did not start: {line:?}"));
        word.parse().expect("the address is valid")
    };
    let (caller, peers) = (address("callers="), address("peers="));
    (Process { child, caller }, peers)
}

/// Sends a signal to a process that this test started.
fn signal(id: u32, name: &str) {
    let status = process::Command::new("kill")
        .args(["-s", name, &id.to_string()])
        .status();
    assert!(status.expect("kill starts").success(), "{name} to {id}");
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold within a minute, far more than any condition needs.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..1_200 {
        if condition().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{what}: not within a minute");
}

/// Returns a host's response to `GET /v1/hosts`, or null if it does not respond within
/// 2 s.
pub async fn discovery(address: net::SocketAddr) -> serde_json::Value {
    let client = client::Client::new(client::Version::Http1, None);
    let request = http::Request::get(format!("http://{address}/v1/hosts"))
        .body(http_body_util::Full::default())
        .expect("the request is valid");
    let read = async {
        let response = client.send(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    };
    let read = tokio::time::timeout(time::Duration::from_secs(2), read).await;
    read.ok().flatten().unwrap_or_default()
}

/// Returns the addresses of the hosts that a host lists for callers.
pub async fn listed(address: net::SocketAddr) -> Vec<net::SocketAddr> {
    let value = discovery(address).await;
    let hosts = value["hosts"].as_array().cloned().unwrap_or_default();
    let addresses = hosts.iter().filter_map(|host| host["address"].as_str());
    addresses.filter_map(|text| text.parse().ok()).collect()
}

/// Returns settings with a class, a team, a pool and these model endpoints; `further` is
/// added after the pool.
pub fn settings(engines: &[net::SocketAddr], further: &str) -> String {
    let hash: String = sha2::Sha256::digest(KEY)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let mut text = format!(
        "[limits]\nshutdown_max = 10s\n\
         [class urgent]\ntier = 0\ntarget_first = 1s\ndeadline = 20s\n\
         [anonymous]\nclass = urgent\n\
         [team wards]\nkey_hash = {hash}\nclass = urgent\n\
         [pool braille]\nkind = model\n{further}"
    );
    for (index, address) in engines.iter().enumerate() {
        text.push_str(&endpoint(index, *address, ""));
    }
    text
}

/// Returns the section of a model endpoint, followed by `further`.
pub fn endpoint(index: usize, address: net::SocketAddr, further: &str) -> String {
    let mut text = String::new();
    write!(
        text,
        "[endpoint engine-{index}]\npool = braille\naddress = {address}\n\
         data_centre = a\nslots = 8\n{further}"
    )
    .expect("writing to a string does not fail");
    text
}
