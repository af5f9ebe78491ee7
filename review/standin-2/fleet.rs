//! The program under test: one process a host, started with the command of the deploy
//! file, and what the platform and clients ask it outside of requests.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::net;

const PROGRAM: &str = "target/release/carobbay";
const ARGUMENTS: [&str; 3] = ["platform", "--metrics-port", "9464"];
const PORTS: [u16; 5] = [8740, 8746, 8748, 8749, 9464];
const INTERNAL: [u16; 2] = [7200, 7215];
pub const STORE_PORT: u16 = 8742;

/// Bounds of the site `ganci-alpini`.
pub const DRAIN_MS: u64 = 2_000;
pub const CONFIG_MS: u64 = 2_000;
pub const ROLLBACK_SLACK_MS: u64 = 250;
pub const STABLE_WINDOW_MS: u64 = 3_000;
pub const RECOVER_S: u64 = 12;

pub struct Host {
    pub ip: Ipv4Addr,
    pub zone: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub hosts: Vec<Host>,
    /// Loopback network of the case; hosts have the addresses from 11 on, workers those
    /// from 101 on, and the store has address 1.
    network: [u8; 3],
    folder: PathBuf,
}

impl Fleet {
    /// Chooses a free loopback network and writes the settings of the hosts.
    pub fn new(hosts: usize, zones: &[&str], seed: u64) -> io::Result<Self> {
        let mut random = net::Random::new(seed ^ u64::from(std::process::id()) << 40);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        for _ in 0..50 {
            let network = [127, 20 + random.below(200) as u8, random.below(250) as u8];
            let fleet = Self {
                hosts: Vec::new(),
                network,
                folder: folder.clone(),
            };
            let is_free = TcpListener::bind(fleet.store_address()).is_ok() && (0..hosts).all(|index| {
                let ip = fleet.ip(11 + index as u8);
                PORTS.iter().chain(&INTERNAL).all(|port| TcpListener::bind((ip, *port)).is_ok())
            });
            if is_free {
                return fleet.with_hosts(hosts, zones);
            }
        }
        Err(io::Error::other("no free loopback addresses"))
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        let [a, b, c] = self.network;
        Ipv4Addr::new(a, b, c, last)
    }

    pub fn store_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(1)), STORE_PORT)
    }

    fn with_hosts(mut self, count: usize, zones: &[&str]) -> io::Result<Self> {
        let seeds: Vec<String> = (0..count.min(3))
            .map(|index| format!("  - \"{}:8748\"\n", self.ip(11 + index as u8)))
            .collect();
        let zone_list: Vec<String> = zones.iter().map(|zone| format!("  {zone}: \"lombardia\"\n")).collect();
        let store = self.store_address();
        for index in 0..count {
            let ip = self.ip(11 + index as u8);
            let zone = zones[index % zones.len()].to_owned();
            let name = format!("front-{zone}-{}", index / zones.len() + 1);
            let text = format!(
                "node: \"{name}\"\nrole: \"router\"\nmachineClass: \"front\"\nserves: [\"front\", \"control\", \"directory\"]\n\
                 ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"lombardia\"\nzones:\n{}\
                 listen:\n  front: \"{ip}:8740\"\n  ready: \"{ip}:8749\"\n  control: \"{ip}:8748\"\n  directory: \"{ip}:8746\"\n\
                 internalPorts: [{}, {}]\nseeds:\n{}bootstrap: true\ninTolerance: false\n\
                 limits:\n  cpuShare: 0.17\n  cores: 1\n  memoryMb: 96\n  maxFds: 2870\n  linkMbps: 700.0\n  diskMb: 0\n\
                 dataDir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeatMs: 1200\n\
                 contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\"]\n\
                 faultTolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n\
                 bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  stableWindowMs: {STABLE_WINDOW_MS}\n  ackMs: 4000\n  catchUpS: 4\n\
                 \x20 drainMs: {DRAIN_MS}\n  graceS: 8\n  lossSlackMs: 200\n  configMs: {CONFIG_MS}\n  rollbackSlackMs: {ROLLBACK_SLACK_MS}\n\
                 \x20 maxSkewMs: 5000\n  failClosed: false\n  revokeMs: 5000\n  budgetRatio: 0.2\n  budgetWindowS: 10\n  budgetSlack: 116\n\
                 \x20 recoverS: {RECOVER_S}\n  passMs: 120\n  reuseWindowS: 6.5\n  ttl_max_s: 5\n\
                 platform:\n  address: \"{store}\"\n  form: \"read\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000\n",
                zone_list.concat(),
                INTERNAL[0],
                INTERNAL[1],
                seeds.concat(),
            );
            let settings = self.folder.join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            let log = self.folder.join(format!("{name}.log"));
            self.hosts.push(Host {
                ip,
                zone,
                settings,
                log,
                child: None,
            });
        }
        Ok(self)
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        self.hosts.iter_mut().try_for_each(Host::start)
    }

    pub fn kill_all(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
    }

    /// Waits until all hosts are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        net::wait_until(limit, || self.hosts.iter().all(Host::is_ready))
    }

    /// Keeps the logs of the hosts if `KEEP` names a folder.
    fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("KEEP") {
            let _ = fs::create_dir_all(&folder);
            for host in &self.hosts {
                if let Some(name) = host.log.file_name() {
                    let _ = fs::copy(&host.log, Path::new(&folder).join(name));
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        self.keep_logs();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Host {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8740)
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("CAROBBAY_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the id of the process.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Asks as the platform does.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.ip), 8749);
        let answer = net::get(address, "/ready", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}
