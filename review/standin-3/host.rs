//! Hosts as separate processes, started with the command of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::net;
use crate::record;
use crate::setup;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/carobbay";

/// Longest time from the start of a host until it is ready.
const READY_MAX: Duration = Duration::from_secs(15);

/// Processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    let running = RUNNING
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for process in running.iter() {
        net::end_process(*process);
    }
}

/// A host and its process.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    first: u16,
    folder: PathBuf,
    child: Child,
}

impl Host {
    /// Chooses ports for a host and returns the first of them.
    pub fn ports(ip: Ipv4Addr) -> std::io::Result<u16> {
        net::free_ports(ip, setup::PORTS)
    }

    /// Starts a host. `first` is the first of its ports.
    pub fn start(
        site: &setup::Site,
        name: &str,
        ip: Ipv4Addr,
        first: u16,
        store: std::net::SocketAddr,
        seeds: &[std::net::SocketAddr],
    ) -> std::io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("carobbay-review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        fs::write(
            folder.join("boot.yaml"),
            setup::settings(site, name, ip, first, seeds, store),
        )?;
        let child = spawn(&folder, first)?;
        let host = Self {
            name: name.to_owned(),
            ip,
            first,
            folder,
            child,
        };
        record::line(&format!(
            "host {name}: started as process {}",
            host.child.id()
        ));
        Ok(host)
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.end();
        self.child = spawn(&self.folder, self.first)?;
        record::line(&format!(
            "host {}: started as process {}",
            self.name,
            self.child.id()
        ));
        Ok(())
    }

    /// Ends the process.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        let mut running = RUNNING
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        running.retain(|process| *process != id);
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.first)
    }

    pub fn ready(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.first + 1)
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), crate::Error> {
        let until = Instant::now() + READY_MAX;
        while Instant::now() < until {
            if client::is_ready(self.ready()) {
                record::line(&format!("host {}: ready", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("host {} is not ready", self.name).into())
    }

    /// Returns the memory of the process in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        memory_bytes(self.process())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the resident memory of a process in bytes.
pub fn memory_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().split(' ').next()?.parse().ok()?;
    Some(kib * 1_024)
}

fn spawn(folder: &std::path::Path, first: u16) -> std::io::Result<Child> {
    let metrics = first + 6;
    let child = Command::new(PROGRAM)
        .args(["platform", "--metrics-port", &metrics.to_string()])
        .env("CAROBBAY_NODE_FILE", folder.join("boot.yaml"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let mut running = RUNNING
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    running.push(child.id());
    Ok(child)
}
