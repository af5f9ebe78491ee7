//! Runs several process lifetimes of every owner through random faults and
//! counts the runs of each key.

mod world;

use proptest::prelude::*;

use world::{Event, World};

const CASES: u32 = 256;
const EVENTS: usize = 60;

fn event() -> impl Strategy<Value = Event> {
    let replace = (any::<u8>(), any::<bool>(), any::<bool>());
    prop_oneof![
        20 => (1u64..30).prop_map(Event::Advance),
        4 => replace.prop_map(|(pick, both, stale)| Event::Replace { pick, both, stale }),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(mask, stale)| Event::RestartSome { mask, stale }),
        2 => (any::<u16>(), 1u64..60).prop_map(|(pick, ticks)| Event::Pause { pick, ticks }),
        2 => any::<u16>().prop_map(Event::Partition),
        2 => Just(Event::Heal),
        1 => (0u8..40).prop_map(Event::Loss),
        2 => any::<u16>().prop_map(Event::Upgrade),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a second run of a key, and against `not_run` for a key that
    /// ran, under crashes, pauses, partitions, loss, clock skew, two lifetimes
    /// of one name, stale settings and a change of the owners.
    #[test]
    fn a_key_runs_at_most_once_and_not_run_is_true(
        seed in any::<u64>(),
        events in prop::collection::vec(event(), EVENTS),
    ) {
        let mut world = World::new(seed);
        for event in events {
            world.apply(&event).map_err(TestCaseError::fail)?;
        }
    }
}

/// Guards against rules so strict that nothing runs, and against a simulation
/// that never reaches a dispatch.
#[test]
fn fresh_keys_run_when_nothing_fails() {
    let mut world = World::new(7);
    world.apply(&Event::Advance(600)).expect("nothing fails");
    assert!(world.runs() > 50, "{} runs", world.runs());
}
