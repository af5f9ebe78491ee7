//! What was sent, answered and run, for people.

use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::client::{self, Outcome};
use crate::worker::Run;

pub struct Record {
    file: Option<File>,
    began: Instant,
}

impl Record {
    pub fn open() -> Self {
        let path = std::env::var("RECORD").ok();
        Self {
            file: path.and_then(|path| File::create(path).ok()),
            began: Instant::now(),
        }
    }

    /// Returns seconds since the start.
    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn line(&mut self, text: &str) {
        let now = self.at(Instant::now());
        println!("{now:8.3} {text}");
        self.quiet(&format!("{now:8.3} {text}"));
    }

    /// Writes a line to the file only.
    pub fn quiet(&mut self, text: &str) {
        if let Some(file) = &mut self.file {
            let _ = writeln!(file, "{text}");
        }
    }

    /// Writes all requests and runs, in the order of time.
    pub fn requests(&mut self, outcomes: &[Outcome], runs: &[Run]) {
        let mut lines: Vec<(f64, String)> = Vec::new();
        for outcome in outcomes {
            let Outcome { id, host, status, cause, .. } = outcome;
            let whole = if outcome.is_whole { "whole" } else { "not whole" };
            let stamp = outcome.stamp.as_deref().unwrap_or("-");
            lines.push((self.at(outcome.sent), format!("sent {id} to {host}")));
            lines.push((
                self.at(outcome.ended),
                format!("ended {id}: status {status}, {whole}, stamp {stamp} {cause}"),
            ));
        }
        for run in runs {
            let Run { request, worker, version, from, .. } = run;
            lines.push((self.at(run.arrived), format!("run {request} at {worker} ({version}) from {from}")));
        }
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, text) in lines {
            self.quiet(&format!("{at:8.3} {text}"));
        }
    }
}

/// Sends requests to each host until one succeeds there.
pub fn wait_served(hosts: &[SocketAddr], kind: &client::Kind, limit: Duration) -> io::Result<()> {
    let end = Instant::now() + limit;
    let probes: Vec<_> = hosts
        .iter()
        .map(|host| {
            let (host, kind) = (*host, kind.clone());
            std::thread::spawn(move || {
                while Instant::now() < end {
                    let outcome = client::send(host, &kind, &client::new_id(), "");
                    if outcome.status == 200 && outcome.is_whole {
                        return true;
                    }
                    std::thread::sleep(Duration::from_millis(200));
                }
                false
            })
        })
        .collect();
    let served = probes.into_iter().map(|probe| probe.join().unwrap_or(false));
    match served.filter(|is_served| *is_served).count() == hosts.len() {
        true => Ok(()),
        false => Err(io::Error::other("a host serves nothing")),
    }
}
