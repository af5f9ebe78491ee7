//! Tests of who reads the platform.

mod sample;

use core::time::Duration;
use std::collections::BTreeSet;

use fleet::{Action, Entry, Poller};

const SECOND: Duration = Duration::from_secs(1);

/// How long the platform holds a watch.
const POLL: u64 = 30;

/// Hosts that share one view, and how they read the platform.
struct Readers {
    entries: Vec<Entry>,
    pollers: Vec<Poller>,
    is_up: Vec<bool>,
    watching: Vec<Option<u64>>,
    second: u64,
}

impl Readers {
    fn new(count: usize, seed: u64) -> Self {
        let entries: Vec<Entry> = (0..count)
            .map(|number| sample::entry(number, 11, 3))
            .collect();
        let pollers = (0..count as u64)
            .map(|number| Poller::new(seed * 1_000 + number))
            .collect();
        Self {
            pollers,
            is_up: vec![true; count],
            watching: vec![None; count],
            entries,
            second: 0,
        }
    }

    fn live(&self) -> Vec<&Entry> {
        let pairs = self.entries.iter().zip(&self.is_up);
        pairs
            .filter(|(_, up)| **up)
            .map(|(entry, _)| entry)
            .collect()
    }

    /// Runs one second and returns the calls to the platform.
    fn step(&mut self, view: &[Entry], digests: bool, platform: bool) -> usize {
        self.second += 1;
        let now = SECOND * self.second as u32;
        let live: Vec<&Entry> = view.iter().collect();
        let mut calls = 0;
        for number in 0..self.entries.len() {
            if !self.is_up[number] {
                continue;
            }
            let poller = &mut self.pollers[number];
            if digests {
                poller.record_digest(now);
            }
            let action = poller.next_action(now, &self.entries[number], &live);
            let is_held = self.watching[number].is_some_and(|end| self.second < end);
            if action == Action::Follow || action == Action::Watch && is_held {
                continue;
            }
            calls += 1;
            if !platform {
                poller.record_failure(now);
                continue;
            }
            poller.record_answer(now);
            poller.set_configured();
            if action == Action::Watch {
                self.watching[number] = Some(self.second + POLL);
            }
        }
        calls
    }

    fn watchers(&self) -> BTreeSet<usize> {
        let held = |number: &usize| self.watching[*number].is_some_and(|end| self.second < end);
        (0..self.entries.len()).filter(held).collect()
    }
}

/// Guards against a start, a loss of watchers, or a silence that floods the
/// platform, which serves 2,000 calls per second to everybody.
#[rstest::rstest]
fn calls_stay_far_below_what_the_platform_serves(#[values(1, 2, 3)] seed: u64) {
    let mut readers = Readers::new(340, seed);
    let all = readers.entries.clone();
    assert_eq!(
        readers.step(&all, true, true),
        340,
        "each host reads at once"
    );
    assert!(readers.step(&all, true, true) <= 22);
    let calm: usize = (0..300).map(|_| readers.step(&all, true, true)).sum();
    assert!(calm <= 300 * 22 / 25, "{calm} calls in 300 s");

    let watchers = readers.watchers();
    assert_eq!(watchers.len(), 22, "two in each of 11 data centres");
    for &number in watchers.iter().step_by(2) {
        readers.is_up[number] = false;
    }
    let unnoticed: usize = (0..6).map(|_| readers.step(&all, true, true)).sum();
    assert!(unnoticed <= 22);
    let view: Vec<Entry> = readers.live().into_iter().cloned().collect();
    let most = (0..60).map(|_| readers.step(&view, true, true)).max();
    assert!(most <= Some(22), "{most:?} calls in a second");
    let held = readers.watchers();
    assert!(held.iter().filter(|&&number| readers.is_up[number]).count() >= 22);
}

/// Guards against hosts that read all at once or too often when nothing reaches
/// them, and when the platform does not answer either.
#[rstest::rstest]
fn silent_hosts_spread_their_reads(#[values(1, 2, 3)] seed: u64, #[values(true, false)] up: bool) {
    let mut readers = Readers::new(340, seed);
    let all = readers.entries.clone();
    readers.step(&all, true, true);
    let calls: Vec<usize> = (0..300).map(|_| readers.step(&all, false, up)).collect();
    let most = calls.iter().max().copied().unwrap_or(0);
    // Reads fall into the 3 s of the jitter, so no second has half of the hosts.
    assert!(most <= 170, "{most} calls in a second");
    // The token bucket gives each host one read in 10 s after the first three.
    let late: usize = calls[60..].iter().sum();
    assert!(late <= 240 * (34 + 22), "{late} calls in 240 s");
}

/// Guards against a host without a configuration that waits for peers that
/// have none either, and against one that asks in a loop.
#[test]
fn a_bare_host_reads_at_once_and_again_with_backoff() {
    let own = sample::entry(0, 1, 1);
    let others: Vec<Entry> = (0..9).map(|number| sample::entry(number, 1, 1)).collect();
    let live: Vec<&Entry> = others.iter().collect();
    let mut poller = Poller::new(1);
    assert!(poller.is_unconfigured());
    assert_eq!(
        poller.next_action(Duration::ZERO, &own, &live),
        Action::Read
    );
    poller.record_failure(Duration::ZERO);
    let mut reads = 0;
    for second in 1..=60 {
        let now = SECOND * second;
        poller.record_digest(now);
        if poller.next_action(now, &own, &live) == Action::Read {
            reads += 1;
            poller.record_failure(now);
        }
    }
    assert!((2..=9).contains(&reads), "{reads} reads in a minute");
}
