//! Measures the time to load settings of 20 classes, 2,500 teams, 21 pools and 600
//! endpoints.

use std::fmt::Write as _;
use std::time;

/// Loads over which the time is averaged.
const RUNS: u32 = 20;

fn main() {
    let mut teams = "[anonymous]\nclass = c0\n".to_owned();
    for class in 0..20 {
        let tier = class % 4;
        let _ = writeln!(
            teams,
            "[class c{class}]\ntier = {tier}\ntarget_first = 1s\ndeadline = 30s"
        );
    }
    for team in 0..2_500 {
        let class = team % 20;
        let _ = writeln!(
            teams,
            "[team t{team}]\nkey_hash = {team:064x}\nweight = 2\nclass = c{class}"
        );
    }
    let mut pools = String::new();
    for pool in 0..21 {
        let _ = writeln!(pools, "[pool p{pool}]\nkind = model");
    }
    for endpoint in 0..600 {
        let (pool, centre, port) = (endpoint % 21, endpoint % 11, 10_000 + endpoint);
        let _ = writeln!(
            pools,
            "[endpoint e{endpoint}]\npool = p{pool}\naddress = 127.0.0.1:{port}\ndata_centre = d{centre}\nslots = 8"
        );
    }
    let bytes = teams.len() + pools.len();
    let files = [
        conf::File::new("30.ini", teams),
        conf::File::new("40.ini", pools),
    ];
    let start = time::Instant::now();
    for _ in 0..RUNS {
        let configuration = conf::load(&files).expect("the generated settings are valid");
        assert_eq!(configuration.settings.teams.len(), 2_500);
    }
    println!("{bytes} bytes, {:?} per load", start.elapsed() / RUNS);
}
