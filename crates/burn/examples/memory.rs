//! Measures the memory of a book with the default bound of series, and the
//! time to count a request and to take a snapshot.

use std::fs;
use std::time;

/// Size of a memory page in bytes on x86-64 and most 64-bit Arm systems.
const PAGE: usize = 4_096;
const TEAMS: u32 = 2_500;
const CLASSES: u16 = 4;
const RUNS: u32 = 1_000_000;

fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").expect("Linux gives the memory of a process");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.expect("the second field is a number of pages") * PAGE
}

fn main() {
    let classes = (0..CLASSES).map(|class| burn::Class {
        name: format!("class-{class}"),
        attainment: 0.95,
    });
    let mut book = burn::Recorder::new(burn::Options::new(classes.collect()), time::Duration::ZERO);
    let names: Vec<_> = (0..TEAMS).map(|team| format!("team-{team}")).collect();
    let before = resident();
    let mut now = time::Duration::ZERO;
    let start = time::Instant::now();
    for run in 0..RUNS {
        let team = run % TEAMS;
        now += time::Duration::from_millis(80);
        let class = u16::try_from(run / TEAMS % u32::from(CLASSES)).unwrap_or_default();
        book.record(
            now,
            &burn::Event {
                class,
                team_key: team + 1,
                team: &names[team as usize],
                verdict: burn::Verdict::Good,
                time_to_first_token: Some(time::Duration::from_millis(u64::from(run % 5_000))),
            },
        );
    }
    let add = start.elapsed() / RUNS;
    let used = resident() - before;
    let start = time::Instant::now();
    let snapshot = book.snapshot(now);
    let taken = start.elapsed();
    let json = serde_json::to_string(&snapshot).map_or(0, |json| json.len());
    println!(
        "{} series of {} bytes, {used} bytes resident ({} per series); {add:?} per request; \
         snapshot in {taken:?}, {json} bytes of JSON",
        book.len(),
        burn::Recorder::series_bytes(),
        used / book.len(),
    );
}
