//! Tests of configurations that are read from a platform which is restored from an
//! older copy.

mod common;

use core::time;

use edge::Eras;
use plan::Version;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Reads the configuration `revision`, last changed at `item`, and returns the
/// version that it counts for.
fn read(eras: &mut Eras, at: u32, revision: u64, item: Version) -> Option<Version> {
    let plan = eras.read(at * SECOND, common::plan(revision), item);
    plan.map(|plan| plan.version())
}

/// Returns the eras of a host that has known the first era for long.
fn settled() -> Eras {
    let mut eras = Eras::default();
    read(&mut eras, 0, 7, Version::new(1, 20));
    eras.confirm(20 * SECOND, 1);
    assert_eq!(
        read(&mut eras, 30, 9, Version::new(1, 40)),
        Some(Version::new(1, 9))
    );
    eras
}

#[test]
fn a_copy_does_not_replace_what_the_platform_lost() {
    // Guards against a return to an older configuration.
    let mut eras = settled();
    let copy = read(&mut eras, 40, 7, Version::new(2, 20)).expect("a plan");
    assert!(copy < Version::new(1, 9));
    assert!(eras.confirm(41 * SECOND, 2).is_none());
}

#[test]
fn what_is_written_after_a_restore_replaces_what_was_lost() {
    // Guards against a fleet that refuses the operator's changes until their
    // revisions pass those that were lost, or because they are equal.
    for (revision, item) in [(8, 26), (9, 40), (9, 21)] {
        let mut eras = settled();
        read(&mut eras, 40, 7, Version::new(2, 20));
        let written = read(&mut eras, 41, revision, Version::new(2, item));
        assert_eq!(written, Some(Version::new(2, revision)));
    }
}

#[test]
fn a_copy_that_the_platform_stands_by_replaces_what_was_lost() {
    // Guards against a fleet that keeps a configuration for ever which the operator
    // does not write again.
    let mut eras = settled();
    read(&mut eras, 40, 7, Version::new(2, 20));
    assert!(eras.confirm(49 * SECOND, 2).is_none());
    let plan = eras.confirm(50 * SECOND, 2).expect("the copy");
    assert_eq!(plan.version(), Version::new(2, 7));
    assert!(
        eras.confirm(51 * SECOND, 2).is_none(),
        "it is put in force once"
    );
}

#[test]
fn an_answer_of_an_earlier_era_is_ignored() {
    // Guards against a late answer that puts a host back.
    let mut eras = settled();
    read(&mut eras, 40, 7, Version::new(2, 20));
    assert_eq!(read(&mut eras, 41, 11, Version::new(1, 60)), None);
    assert!(eras.confirm(60 * SECOND, 1).is_none());
    assert_eq!(eras.current(), 2);
}

#[test]
fn a_second_restore_within_seconds_does_not_settle_the_first() {
    // Guards against two restores in a row, of which the first brings a copy in
    // force.
    let mut eras = settled();
    read(&mut eras, 40, 7, Version::new(2, 20));
    let copy = read(&mut eras, 44, 6, Version::new(3, 15)).expect("a plan");
    assert!(copy < Version::new(1, 9));
    let written = read(&mut eras, 46, 8, Version::new(3, 18));
    assert_eq!(written, Some(Version::new(3, 8)));
}

#[test]
fn a_host_that_starts_after_a_restore_keeps_the_newer_configuration() {
    // Guards against a host that knows no era yet and takes the older configuration
    // of another host for the newer one.
    let mut eras = Eras::default();
    assert_eq!(
        read(&mut eras, 0, 8, Version::new(2, 30)),
        Some(Version::new(0, 8))
    );
    let newer = eras.learn(Version::new(2, 7)).expect("what was read");
    assert_eq!(newer.version(), Version::new(2, 8));
    assert!(eras.learn(Version::new(2, 9)).is_none());
    let mut copied = Eras::default();
    read(&mut copied, 0, 7, Version::new(2, 20));
    assert!(copied.learn(Version::new(2, 8)).is_none());
}

#[test]
fn a_platform_that_states_no_era_is_settled_at_once() {
    // Guards against a wait where no restore is possible.
    let mut eras = Eras::default();
    assert_eq!(
        read(&mut eras, 0, 7, Version::new(0, 20)),
        Some(Version::new(0, 7))
    );
    assert_eq!(
        read(&mut eras, 1, 9, Version::new(0, 30)),
        Some(Version::new(0, 9))
    );
}

#[test]
fn a_host_that_missed_an_era_keeps_what_it_read_when_it_learns_of_it() {
    // Guards against two hosts that have read the same era and count it for
    // different ones: the one with the older configuration replaces the newer.
    let mut eras = settled();
    assert_eq!(
        read(&mut eras, 40, 12, Version::new(3, 30)),
        Some(Version::new(1, 12))
    );
    let kept = eras.learn(Version::new(2, 11)).expect("what was read");
    assert_eq!(kept.version(), Version::new(2, 12));
    assert!(
        eras.confirm(50 * SECOND, 3).is_some(),
        "the era is still not settled"
    );
}
