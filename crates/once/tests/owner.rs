//! Tests of each rule by which an owner holds its lease and dispatches.

use core::time::Duration;

use answer::Kind;
use once::{Ack, Claim, Options, Owner};

const WALL: u64 = 1_000_000;

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|&name| name.to_owned()).collect()
}

fn options(owners: &[&str], previous: &[&str], epoch: u64) -> Options {
    Options {
        owners: names(owners),
        previous_owners: names(previous),
        epoch,
        lease: Duration::from_millis(2_000),
        clock_skew: Duration::from_millis(400),
        resend_max_age: Duration::from_millis(8_000),
    }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Returns a key that belongs to the owner `a`.
fn key_of(owners: &[&str]) -> String {
    let owners = names(owners);
    (0..)
        .map(|serial| format!("key-{serial}"))
        .find(|key| once::owner_of(&owners, key) == Some("a"))
        .expect("every owner has keys")
}

/// Sends a claim that the voters acknowledge at once.
fn renew(owner: &mut Owner, now: u64, voters: &[&str], epoch: u64) {
    let claims = owner.claims(ms(now));
    for voter in voters {
        let Some((_, sent)) = claims.iter().find(|(to, _)| to == voter) else {
            continue;
        };
        let ack = Ack {
            incarnation: sent.incarnation,
            epoch,
            serial: sent.serial,
        };
        let claim = Claim {
            name: (*voter).to_owned(),
            incarnation: 1,
            epoch,
            serial: now,
            ack: Some(ack),
        };
        owner.receive(ms(now), &claim);
    }
}

/// Renews the lease every 500 ms, as [`renew`] does.
fn hold(owner: &mut Owner, from: u64, to: u64, voters: &[&str], epoch: u64) {
    for now in (from..=to).step_by(500) {
        renew(owner, now, voters, epoch);
    }
}

/// Requests the permit of a request first sent at `first`, by the owner's clock.
fn ask(owner: &mut Owner, key: &str, now: u64, first: u64) -> Result<(), Kind> {
    owner.may_dispatch(ms(now), key, Some(WALL + first), WALL + now)
}

const FOUR: [&str; 4] = ["a", "b", "c", "d"];

/// Guards against a dispatch while an older lifetime may still hold its lease,
/// and against a second run of requests that were first sent in that time.
#[test]
fn a_lifetime_waits_one_lease_and_refuses_older_requests() {
    let (mut owner, key) = (Owner::new("a", 9, options(&FOUR, &[], 1)), key_of(&FOUR));
    hold(&mut owner, 0, 1_500, &["b", "c"], 1);
    assert_eq!(
        ask(&mut owner, &key, 1_999, 1_999),
        Err(Kind::OwnerUnreachable)
    );
    hold(&mut owner, 2_000, 9_500, &["b", "c"], 1);
    let unknown = Err(Kind::OutcomeUnknown);
    assert_eq!(
        ask(&mut owner, &key, 9_500, 2_400),
        unknown,
        "first sent within the skew"
    );
    assert_eq!(ask(&mut owner, &key, 9_500, 2_401), Ok(()));
    hold(&mut owner, 10_000, 12_000, &["b", "c"], 1);
    assert_eq!(
        ask(&mut owner, &key, 12_000, 3_999),
        unknown,
        "sent again too late"
    );
    assert_eq!(
        ask(&mut owner, &key, 12_000, 12_401),
        unknown,
        "from the future"
    );
    let now = |owner: &mut Owner, at| owner.may_dispatch(ms(at), &key, None, WALL + at);
    hold(&mut owner, 12_500, 13_500, &["b", "c"], 1);
    assert_eq!(now(&mut owner, 2_000 + 8_400), unknown);
}

/// Guards against a second run of a key without Request-Time that an earlier
/// lifetime ran and that callers may still send again.
#[test]
fn keys_without_request_time_wait_for_the_maximum_resend_age() {
    let (mut owner, key) = (Owner::new("a", 9, options(&FOUR, &[], 1)), key_of(&FOUR));
    hold(&mut owner, 0, 10_000, &["b", "c"], 1);
    let late = 2_000 + 8_000 + 400;
    assert_eq!(
        owner.may_dispatch(ms(late), &key, None, WALL + late),
        Err(Kind::OutcomeUnknown)
    );
    assert_eq!(
        owner.may_dispatch(ms(late + 1), &key, None, WALL + late),
        Ok(())
    );
}

/// Guards against two lifetimes of one name that hold the lease because each
/// counts its own vote, and against a lease without a quorum.
#[test]
fn an_owner_has_no_vote_on_its_own_lease() {
    for (owners, voters, held) in [
        (&["a", "b", "c"][..], &["b"][..], false),
        (&["a", "b", "c"], &["b", "c"], true),
        (&["a", "b", "c", "d"], &["b"], false),
        (&["a", "b", "c", "d"], &["b", "c"], true),
        (&["a", "b", "c", "d", "e"], &["b", "c"], false),
        (&["a", "b", "c", "d", "e"], &["b", "c", "d"], true),
        (&["a"], &[], true),
        (&["b"], &["b"], false),
    ] {
        let mut owner = Owner::new("a", 9, options(owners, &[], 1));
        hold(&mut owner, 0, 4_000, voters, 1);
        let found = owner.exclusive_since(ms(4_000)).is_some();
        assert_eq!(found, held, "{owners:?} {voters:?}");
    }
}

/// Guards against two lease holders for one key during a change of the owners.
#[test]
fn a_change_needs_a_quorum_of_the_previous_owners() {
    for (voters, held) in [
        (&["e", "f"][..], false),
        (&["e", "f", "b", "c"], false),
        (&["e", "f", "b", "c", "d"], true),
        (&["b", "c", "d"], false),
    ] {
        let options = options(&["a", "e", "f"], &["b", "c", "d", "g"], 2);
        let mut owner = Owner::new("a", 9, options);
        hold(&mut owner, 0, 4_000, voters, 2);
        let found = owner.exclusive_since(ms(4_000)).is_some();
        assert_eq!(found, held, "{voters:?}");
    }
}

/// Guards against a lease that survives a pause, a new epoch or the loss of its
/// quorum, and against settings of an earlier epoch that return.
#[test]
fn a_pause_a_new_epoch_and_a_lost_quorum_end_the_lease() {
    let mut owner = Owner::new("a", 9, options(&FOUR, &[], 2));
    hold(&mut owner, 0, 4_000, &["b", "c"], 2);
    assert!(owner.exclusive_since(ms(4_000)).is_some());
    let mut paused = owner.clone();
    paused.tick(ms(5_001));
    assert!(paused.exclusive_since(ms(5_001)).is_none(), "paused");
    let mut without_quorum = owner.clone();
    hold(&mut without_quorum, 4_500, 6_000, &["b"], 2);
    assert!(
        without_quorum.exclusive_since(ms(6_000)).is_none(),
        "no quorum"
    );
    hold(&mut without_quorum, 6_500, 7_500, &["b", "c"], 2);
    assert!(
        without_quorum.exclusive_since(ms(7_500)).is_none(),
        "one lease after the quorum has not passed yet"
    );
    assert!(!owner.reconfigure(options(&FOUR, &[], 1)));
    assert!(!owner.reconfigure(options(&["a"], &[], 2)));
    assert!(owner.exclusive_since(ms(4_000)).is_some());
    assert!(owner.reconfigure(options(&FOUR, &[], 3)));
    assert!(owner.exclusive_since(ms(4_000)).is_none(), "new epoch");
}

/// Guards against a lease that survives the suspension of a machine whose
/// monotonic clock stopped.
#[test]
fn a_jump_of_the_wall_clock_drops_the_lease() {
    let (mut owner, key) = (Owner::new("a", 9, options(&FOUR, &[], 1)), key_of(&FOUR));
    hold(&mut owner, 0, 4_000, &["b", "c"], 1);
    assert_eq!(ask(&mut owner, &key, 4_000, 3_900), Ok(()));
    let wall = WALL + 4_010 + 1_001;
    assert_eq!(
        owner.may_dispatch(ms(4_010), &key, Some(wall), wall),
        Err(Kind::OwnerUnreachable)
    );
}

/// Guards against acknowledgements of an older lifetime or of another epoch, and
/// right after a start, when earlier acknowledgements are no longer known.
#[test]
fn only_the_newest_lifetime_of_the_epoch_is_acknowledged() {
    let mut voter = Owner::new("b", 9, options(&FOUR, &[], 1));
    let claim = |incarnation, epoch, serial| Claim {
        name: "a".to_owned(),
        incarnation,
        epoch,
        serial,
        ack: None,
    };
    let ack = |voter: &mut Owner, now| {
        let claims = voter.claims(ms(now));
        let found = claims.into_iter().find(|(to, _)| to == "a");
        found
            .and_then(|(_, claim)| claim.ack)
            .map(|ack| (ack.incarnation, ack.serial))
    };
    voter.receive(ms(4_000), &claim(5, 1, 1));
    assert_eq!(ack(&mut voter, 4_249), None, "right after the start");
    assert_eq!(ack(&mut voter, 4_250), Some((5, 1)));
    voter.receive(ms(4_250), &claim(7, 2, 1));
    assert_eq!(
        ack(&mut voter, 4_300),
        None,
        "newer lifetime in another epoch"
    );
    voter.receive(ms(4_300), &claim(5, 1, 2));
    assert_eq!(ack(&mut voter, 4_300), None, "older lifetime");
    voter.receive(ms(4_300), &claim(7, 1, 2));
    assert_eq!(
        ack(&mut voter, 4_300),
        None,
        "a claim of an earlier epoch arrives late"
    );
}

/// Guards against a lifetime that keeps dispatching after a newer one started.
#[test]
fn an_acknowledgement_of_a_newer_lifetime_stops_the_older() {
    let mut owner = Owner::new("a", 9, options(&FOUR, &[], 1));
    hold(&mut owner, 0, 4_000, &["b", "c"], 1);
    let ack = Ack {
        incarnation: 10,
        epoch: 1,
        serial: 1,
    };
    let claim = Claim {
        name: "d".to_owned(),
        incarnation: 1,
        epoch: 1,
        serial: 1,
        ack: Some(ack),
    };
    owner.receive(ms(4_000), &claim);
    assert!(owner.is_superseded());
    hold(&mut owner, 4_000, 8_000, &["b", "c"], 1);
    assert!(owner.exclusive_since(ms(8_000)).is_none());
}

/// Guards against acknowledgements of a voter's older lifetime, which may not
/// know what its newer lifetime has acknowledged.
#[test]
fn a_replaced_voter_has_no_vote() {
    let mut owner = Owner::new("a", 9, options(&FOUR, &[], 1));
    let newer = |name: &str| Claim {
        name: name.to_owned(),
        incarnation: 2,
        epoch: 1,
        serial: 1,
        ack: None,
    };
    owner.receive(ms(0), &newer("c"));
    hold(&mut owner, 0, 4_000, &["b", "c"], 1);
    assert!(owner.exclusive_since(ms(4_000)).is_none());
}

/// Guards against useless datagrams from every host of a fleet to all owners,
/// which drop claims of hosts that are no owners.
#[test]
fn a_host_that_is_no_owner_sends_no_claims() {
    let count = |name| {
        let options = options(&["a", "b", "c"], &["d"], 1);
        Owner::new(name, 1, options).claims(Duration::ZERO).len()
    };
    assert_eq!([count("a"), count("d"), count("e")], [3, 3, 0]);
}
