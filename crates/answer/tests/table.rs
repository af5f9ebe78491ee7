//! Tests of the table that maps error kinds to responses.

use std::collections;

use answer::{Advice, Kind, RunState};

/// Guards against two kinds that a caller cannot distinguish.
#[test]
fn names_are_unique_and_resolve() {
    let mut seen = collections::HashSet::new();
    for kind in Kind::ALL {
        assert!(seen.insert(kind.entry().name), "{kind} occurs twice");
        assert_eq!(Kind::from_name(kind.entry().name), Some(kind));
    }
}

/// Guards against a refusal with a success status, against advice to repeat a
/// request that is invalid, and against advice to repeat work elsewhere that
/// may have run.
#[test]
fn every_kind_has_a_consistent_row() {
    for kind in Kind::ALL {
        let entry = kind.entry();
        assert!((400..600).contains(&entry.status), "{kind}");
        if matches!(entry.status, 400 | 401 | 404 | 405 | 413 | 422 | 431) {
            assert_eq!(entry.advice, Advice::Never, "{kind}");
        }
        if entry.advice == Advice::Elsewhere {
            assert_eq!(entry.run_state, RunState::NotRun, "{kind}");
        }
    }
}
