//! Measures the mean time to resolve the class of a request among 2,500 teams.

use std::fmt::Write as _;
use std::hint;
use std::net;
use std::time;

use sha2::Digest as _;

const RUNS: u32 = 200_000;
const TEAMS: u32 = 2_500;

fn main() {
    let mut text = "\
[class a]\ntier = 0\ntarget_first = 1s\ndeadline = 10s\n\
[anonymous]\nclass = a\n[pool p]\nkind = model\n"
        .to_owned();
    for team in 0..TEAMS {
        let digest = sha2::Sha256::digest(format!("key-{team}"));
        let hash: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let _ = writeln!(text, "[team t{team}]\nclass = a\nkey_hash = {hash}");
    }
    let outcome = conf::load(&[conf::File::new("1.ini", text)]);
    let table = class::Table::new(&outcome.expect("the generated settings are valid").settings);
    let keys: Vec<_> = (0..TEAMS).map(|team| format!("key-{team}")).collect();
    let start = time::Instant::now();
    for key in keys.iter().cycle().take(RUNS as usize) {
        let query = class::Query {
            bearer: Some(key),
            address: net::Ipv4Addr::LOCALHOST.into(),
            pool: "p",
            idempotent: None,
            deadline: None,
        };
        hint::black_box(table.resolve(&query)).expect("the key is known");
    }
    println!("{:?} per request", start.elapsed() / RUNS);
}
