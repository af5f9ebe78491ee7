//! Prints how many hosts before model engines serve each load.
//!
//! Arguments: the number of seeds (3) and the bytes of a KV cache token (0).

use testkit::engines::{self, Crest, Options, Outcome, Tally};

type Shape = fn(Crest, u64) -> Options;

const LOADS: [(&str, Crest, u64); 6] = [
    ("usual", Crest::Usual, 4_000),
    ("crest on cold caches", Crest::Long, 1_000),
    ("crest of short prompts", Crest::Short, 4_000),
    ("engines lost", Crest::Lost, 4_000),
    ("team at seven times", Crest::Team, 4_000),
    ("crest of one part", Crest::Part, 4_000),
];

fn shares(tally: Tally) -> String {
    let share = |count: usize| count as f64 / tally.asked.max(1) as f64;
    format!(
        "{:.3} {:.3} {:.3} {:.3}",
        share(tally.in_target),
        share(tally.late),
        share(tally.refused),
        share(tally.failed)
    )
}

fn main() {
    let argument = |at| std::env::args().nth(at).and_then(|text| text.parse().ok());
    let seeds: u64 = argument(1).unwrap_or(3);
    let kv_token_bytes: u64 = argument(2).unwrap_or(0);
    let shapes: [(&str, Shape); 2] = [
        ("cascadia", Options::cascadia),
        ("derwent", Options::derwent),
    ];
    println!("in target, late, refused, failed: long | short | both without the largest team");
    std::thread::scope(|scope| {
        for (shape, options) in shapes {
            scope.spawn(move || {
                for (load, crest, from_ms) in LOADS {
                    for seed in 1..=seeds {
                        let options = Options {
                            seed,
                            kv_token_bytes,
                            ..options(crest, from_ms)
                        };
                        print(&format!("{shape} {load}"), &engines::play(&options));
                    }
                }
            });
        }
    });
}

fn print(name: &str, outcome: &Outcome) {
    println!(
        "{name}: {} | {} | {} | {} | read {:.1} M, again {:.1} M, busiest {:.2}",
        shares(outcome.kinds[0]),
        shares(outcome.kinds[1]),
        shares(outcome.others[0]),
        shares(outcome.others[1]),
        outcome.read_tokens as f64 / 1e6,
        outcome.again_tokens as f64 / 1e6,
        outcome.busiest,
    );
}
