//! Stand-ins and scenarios of the third review: `standin SCENARIO FOLDER`.
//!
//! A scenario starts hosts as separate processes, plays the platform, the workers and the
//! clients for them, and writes what was sent, answered and run to `record.txt` in FOLDER.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod config;
mod host;
mod link;
mod memory;
mod net;
mod ordinary;
mod pages;
mod parts;
mod record;
mod setup;
mod slow;
mod store;
mod worker;

use std::process::ExitCode;
use std::time::Duration;

/// Longest run of a scenario; its processes are ended then.
const RUN_MAX: Duration = Duration::from_secs(110);

/// Why a scenario could not run.
type Error = Box<dyn std::error::Error + Send + Sync>;

/// Whether the rule of a scenario held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, folder] = &arguments[..] else {
        eprintln!("usage: standin SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    if let Err(cause) = record::open(folder) {
        eprintln!("record.txt: {cause}");
        return ExitCode::from(2);
    }
    std::thread::spawn(|| {
        std::thread::sleep(RUN_MAX);
        record::line("the scenario took too long");
        host::end_all();
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::line(&format!("scenario {scenario}, disruption: {has_trouble}"));
    let verdict = match scenario.as_str() {
        "parts" => parts::run(has_trouble),
        "memory" => memory::run(has_trouble),
        "slow" => slow::run(has_trouble),
        "config" => config::run(has_trouble),
        "pages" => pages::run(has_trouble),
        _ => Err("no such scenario".into()),
    };
    host::end_all();
    match verdict {
        Ok(verdict) => {
            record::line(&format!("verdict: {verdict:?}"));
            ExitCode::from(u8::from(verdict == Verdict::Broken))
        }
        Err(cause) => {
            record::line(&format!("could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
