//! Measures the memory of a recorder with the default maximum number of series, and
//! the time to record a request and to take a snapshot.

use std::fs;
use std::time;

/// Size of a memory page in bytes on x86-64 and most 64-bit Arm systems.
const PAGE_BYTES: usize = 4_096;
const TEAMS: u32 = 2_500;
const CLASSES: u16 = 4;
/// Number of recorded requests.
const REQUESTS: u32 = 1_000_000;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").expect("Linux gives the memory of a process");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.expect("the second field is a number of pages") * PAGE_BYTES
}

fn main() {
    let classes = (0..CLASSES).map(|class| burn::Class {
        name: format!("class-{class}"),
        attainment: 0.95,
    });
    let mut recorder =
        burn::Recorder::new(burn::Options::new(classes.collect()), time::Duration::ZERO);
    let names: Vec<_> = (0..TEAMS).map(|team| format!("team-{team}")).collect();
    let before = resident_bytes();
    let mut now = time::Duration::ZERO;
    let start = time::Instant::now();
    for request in 0..REQUESTS {
        let team = request % TEAMS;
        now += time::Duration::from_millis(80);
        let class = u16::try_from(request / TEAMS % u32::from(CLASSES)).unwrap_or_default();
        recorder.record(
            now,
            &burn::Event {
                class,
                team_key: team + 1,
                team: &names[team as usize],
                verdict: burn::Verdict::Good,
                time_to_first_token: Some(time::Duration::from_millis(u64::from(request % 5_000))),
            },
        );
    }
    let record = start.elapsed() / REQUESTS;
    let used = resident_bytes() - before;
    let start = time::Instant::now();
    let snapshot = recorder.snapshot(now);
    let elapsed = start.elapsed();
    let json = serde_json::to_string(&snapshot).map_or(0, |json| json.len());
    println!(
        "{} series of {} bytes, {used} bytes resident ({} per series); {record:?} per request; \
         snapshot in {elapsed:?}, {json} bytes of JSON",
        recorder.len(),
        burn::Recorder::series_bytes(),
        used / recorder.len(),
    );
}
