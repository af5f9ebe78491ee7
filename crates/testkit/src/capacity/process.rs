use core::time;
use std::fs;

/// Size of a page in bytes.
const PAGE: u64 = 4096;
/// Length of a tick of the processor times in `/proc`.
const TICK: time::Duration = time::Duration::from_millis(10);
/// Position of the user time after the name of a thread in `stat`.
const USER_TIME: usize = 11;

/// What the system says about this process.
pub struct Process;

impl Process {
    /// Returns the resident memory in bytes, or 0 if it cannot be read.
    pub fn resident_bytes() -> u64 {
        let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages = text.split(' ').nth(1);
        pages
            .and_then(|pages| pages.parse::<u64>().ok())
            .unwrap_or(0)
            * PAGE
    }

    /// Returns the processor time of all threads whose name begins so.
    pub fn cpu_time(prefix: &str) -> time::Duration {
        let threads = fs::read_dir("/proc/self/task").into_iter().flatten();
        let ticks: u32 = threads
            .flatten()
            .filter_map(|thread| fs::read_to_string(thread.path().join("stat")).ok())
            .filter_map(|stat| ticks(&stat, prefix))
            .sum();
        TICK * ticks
    }
}

/// Returns user and system time of a thread in ticks.
fn ticks(stat: &str, prefix: &str) -> Option<u32> {
    let (head, rest) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    if !name.starts_with(prefix) {
        return None;
    }
    let mut fields = rest.split_whitespace().skip(USER_TIME);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}
