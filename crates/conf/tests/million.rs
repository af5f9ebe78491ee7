//! Property test of the loader on mutations of a valid file.
//!
//! Guards against panics, problems with a wrong line number, and control
//! characters in reported problems.

use proptest::prelude::*;
use proptest::test_runner;

const FULL: &str = include_str!("full.ini");
/// Number of cases of the long run.
const LONG_RUN_CASES: u32 = 1_000_000;

/// Mutation of one line or of a pair of lines of a file.
#[derive(Clone, Debug)]
enum Mutation {
    Remove(usize),
    Swap(usize, usize),
    Duplicate(usize),
    InsertChar(usize, usize, char),
    Truncate(usize, usize),
    InsertLine(usize, String),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let line = 0..FULL.lines().count();
    let text = prop_oneof![
        "\\PC{0,12}",
        "\\[[a-z]{1,8}( [a-c]{1,2})?\\]?",
        "[a-z_]{1,12} ?= ?[0-9]{1,21}(ms|s|KiB|MiB)?",
        "[\\[\\]=;# \t\r,]{0,6}",
    ];
    prop_oneof![
        line.clone().prop_map(Mutation::Remove),
        (line.clone(), line.clone()).prop_map(|(one, other)| Mutation::Swap(one, other)),
        line.clone().prop_map(Mutation::Duplicate),
        (line.clone(), 0..40_usize, any::<char>())
            .prop_map(|(line, at, value)| Mutation::InsertChar(line, at, value)),
        (line.clone(), 0..40_usize).prop_map(|(line, at)| Mutation::Truncate(line, at)),
        (line, text).prop_map(|(line, text)| Mutation::InsertLine(line, text)),
    ]
}

fn apply(lines: &mut Vec<String>, mutation: Mutation) {
    let count = lines.len();
    match mutation {
        _ if count == 0 => {}
        Mutation::Remove(line) => drop(lines.remove(line % count)),
        Mutation::Swap(one, other) => lines.swap(one % count, other % count),
        Mutation::Duplicate(line) => lines.push(lines[line % count].clone()),
        Mutation::InsertChar(line, at, value) => {
            let mut text: Vec<char> = lines[line % count].chars().collect();
            text.insert(at.min(text.len()), value);
            lines[line % count] = text.into_iter().collect();
        }
        Mutation::Truncate(line, at) => {
            let line = &mut lines[line % count];
            *line = line.chars().take(at).collect();
        }
        Mutation::InsertLine(line, text) => lines.insert(line % count, text),
    }
}

fn mutated(mutations: Vec<Mutation>) -> String {
    let mut lines: Vec<String> = FULL.lines().map(str::to_owned).collect();
    for mutation in mutations {
        apply(&mut lines, mutation);
    }
    lines.join("\n")
}

/// Loads a text, checks the result, and returns whether the text is valid.
fn check(text: &str) -> Result<bool, test_runner::TestCaseError> {
    let files = [conf::File::new("1.ini", text)];
    match conf::load(&files) {
        Ok(configuration) => {
            prop_assert!(!conf::render(&configuration).is_empty());
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
    let texts = proptest::collection::vec(mutation(), 0..6).prop_map(mutated);
    let outcome = test_runner::TestRunner::new(config).run(&texts, |text| {
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
    // Some mutations must leave the file valid, and some must not.
    assert!(accepted > 0 && accepted < cases);
}

#[test]
fn mutated_settings_do_not_panic() {
    run(1_000);
}

/// Runs a million cases:
/// `cargo test --release -p conf --test million -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn a_million_mutated_settings_do_not_panic() {
    run(LONG_RUN_CASES);
}
