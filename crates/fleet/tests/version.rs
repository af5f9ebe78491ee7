//! Tests of the rules by which a configuration is put in force.

use fleet::{Outcome, Version};
use proptest::prelude::*;

proptest! {
    /// Guards against a revision that decreases and against content that changes
    /// under one revision, for offers in any order.
    #[test]
    fn revisions_increase_and_their_content_is_fixed(
        offers in prop::collection::vec((0..20_u64, 0..3_u8, any::<bool>()), 0..200),
    ) {
        let mut version = Version::new();
        let mut highest = 0;
        for (revision, content, is_valid) in offers {
            let before = version.in_force();
            let verdict = if is_valid { Ok(()) } else { Err("no pool".to_owned()) };
            let outcome = version.offer(revision, [content; 32], verdict);
            highest = highest.max(revision);
            prop_assert_eq!(version.highest_seen(), highest);
            let after = version.in_force();
            match (before, after) {
                (Some((old, same)), Some((new, other))) => {
                    prop_assert!(new > old || (new == old && same == other));
                }
                (before, after) => prop_assert!(before.is_none() || after.is_some()),
            }
            prop_assert_eq!(outcome == Outcome::InForce, before != after);
            prop_assert!(outcome != Outcome::InForce || is_valid);
        }
    }
}

/// Guards against a rejection whose reason `status` cannot show, and against an
/// unbounded number of rejections.
#[test]
fn rejections_keep_their_reasons_within_a_bound() {
    let mut version = Version::new();
    assert_eq!(version.offer(5, [5; 32], Ok(())), Outcome::InForce);
    assert_eq!(version.offer(5, [5; 32], Ok(())), Outcome::Same);
    assert_eq!(version.offer(4, [4; 32], Ok(())), Outcome::Old);
    assert_eq!(version.offer(5, [6; 32], Ok(())), Outcome::Conflict);
    let outcome = version.offer(6, [6; 32], Err("no pool".to_owned()));
    assert_eq!(outcome, Outcome::Refused);
    assert!(version.is_rejected(6, [6; 32]) && version.is_rejected(5, [6; 32]));
    assert_eq!(version.in_force(), Some((5, [5; 32])));
    let last = version
        .rejections()
        .last()
        .expect("two revisions were rejected");
    assert_eq!((last.revision, last.reason.as_str()), (6, "no pool"));
    for revision in 7..1_000 {
        version.offer(revision, [1; 32], Err("no pool".to_owned()));
    }
    assert_eq!(version.rejections().count(), 16);
    assert!(version.is_rejected(999, [1; 32]));
    assert_eq!(version.offer(1_000, [2; 32], Ok(())), Outcome::InForce);
    assert_eq!(version.highest_seen(), 1_000);
}
