//! Helpers for the tests of the queue.

use core::time::Duration;

use sched::{Class, Job, Lane, Options};

/// Returns settings with one class per tier.
pub fn options(tiers: u8, floor: f64, window: Duration, queue_max: usize) -> Options {
    let classes = (0..tiers).map(|tier| Class {
        tier,
        floor,
        starvation_window: window,
    });
    Options {
        classes: classes.collect(),
        queue_max,
        ..Options::default()
    }
}

/// Returns a job that costs 100 tokens and whose target is its deadline.
pub fn job(data: u64, class: u16, team: u32, deadline: Duration) -> Job<u64> {
    Job {
        class,
        team,
        caller: 0,
        cost: 100.0,
        target: deadline,
        deadline,
        lane: Lane::new(0),
        ready_at: Duration::ZERO,
        data,
    }
}
