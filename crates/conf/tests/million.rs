//! Guards against settings text that panics the loader, and against texts
//! that hosts read differently.

use proptest::prelude::*;
use proptest::test_runner;

const FULL: &str = include_str!("full.ini");
/// Cases of the long run.
const MILLION: u32 = 1_000_000;

/// A change of one line of a valid file.
#[derive(Clone, Debug)]
enum Change {
    Drop(usize),
    Swap(usize, usize),
    Repeat(usize),
    Put(usize, usize, char),
    Cut(usize, usize),
    Add(usize, String),
}

fn change() -> impl Strategy<Value = Change> {
    let line = 0..FULL.lines().count();
    let text = prop_oneof![
        "\\PC{0,12}",
        "\\[[a-z]{1,8}( [a-c]{1,2})?\\]?",
        "[a-z_]{1,12} ?= ?[0-9]{1,21}(ms|s|KiB|MiB)?",
        "[\\[\\]=;# \t\r,]{0,6}",
    ];
    prop_oneof![
        line.clone().prop_map(Change::Drop),
        (line.clone(), line.clone()).prop_map(|(one, other)| Change::Swap(one, other)),
        line.clone().prop_map(Change::Repeat),
        (line.clone(), 0..40_usize, any::<char>())
            .prop_map(|(line, at, value)| Change::Put(line, at, value)),
        (line.clone(), 0..40_usize).prop_map(|(line, at)| Change::Cut(line, at)),
        (line, text).prop_map(|(line, text)| Change::Add(line, text)),
    ]
}

fn apply(lines: &mut Vec<String>, change: Change) {
    let count = lines.len();
    match change {
        _ if count == 0 => {}
        Change::Drop(line) => drop(lines.remove(line % count)),
        Change::Swap(one, other) => lines.swap(one % count, other % count),
        Change::Repeat(line) => lines.push(lines[line % count].clone()),
        Change::Put(line, at, value) => {
            let mut text: Vec<char> = lines[line % count].chars().collect();
            text.insert(at.min(text.len()), value);
            lines[line % count] = text.into_iter().collect();
        }
        Change::Cut(line, at) => {
            let line = &mut lines[line % count];
            *line = line.chars().take(at).collect();
        }
        Change::Add(line, text) => lines.insert(line % count, text),
    }
}

fn changed(changes: Vec<Change>) -> String {
    let mut lines: Vec<String> = FULL.lines().map(str::to_owned).collect();
    for change in changes {
        apply(&mut lines, change);
    }
    lines.join("\n")
}

fn check(text: &str) -> Result<bool, test_runner::TestCaseError> {
    let files = [conf::File::new("1.ini", text)];
    match conf::load(&files) {
        Ok(outcome) => {
            prop_assert!(!conf::render(&outcome).is_empty());
            Ok(true)
        }
        Err(problems) => {
            prop_assert!(!problems.is_empty());
            // The parser ends a line with LF, CR LF or a lone CR.
            let lines = text.replace("\r\n", "\n").split(['\r', '\n']).count();
            for problem in problems {
                prop_assert!(!problem.to_string().contains(char::is_control));
                prop_assert!(problem.line as usize <= lines);
            }
            Ok(false)
        }
    }
}

fn run(cases: u32) {
    let start = std::time::Instant::now();
    let config = test_runner::Config {
        cases,
        rng_seed: test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let accepted = core::cell::Cell::new(0_u32);
    let changes = proptest::collection::vec(change(), 0..6).prop_map(changed);
    let outcome = test_runner::TestRunner::new(config).run(&changes, |text| {
        accepted.set(accepted.get() + u32::from(check(&text)?));
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
    let accepted = accepted.get();
    println!(
        "load: {cases} cases, {accepted} accepted, in {:?}",
        start.elapsed()
    );
    // Both ends of the loader are reached.
    assert!(accepted > 0 && accepted < cases);
}

#[test]
fn changed_settings_do_not_panic() {
    run(1_000);
}

/// Runs a million cases:
/// `cargo test --release -p conf --test million -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn a_million_changed_settings_do_not_panic() {
    run(MILLION);
}
