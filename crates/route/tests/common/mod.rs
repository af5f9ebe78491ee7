//! Helpers for the tests of the table.

use core::time::Duration;

use route::{Need, Options, Request, Spec, Table};

pub const SECOND: Duration = Duration::from_secs(1);
pub const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns a table with `count` endpoints that have `slots` each.
pub fn table(count: u32, slots: u32) -> Table {
    let mut table = Table::new(Options {
        long_tokens: 1_000,
        long_share: 0.5,
        seed: 7,
    });
    table.set_endpoints(Duration::ZERO, &list(count, slots));
    table
}

/// Returns specs of `count` endpoints that are up.
pub fn list(count: u32, slots: u32) -> Vec<Spec> {
    let specs = (0..count).map(|id| Spec {
        id,
        is_up: true,
        slots,
    });
    specs.collect()
}

/// Returns a short request whose first token is wanted within a second.
pub fn request() -> Request {
    Request {
        need: Need::default(),
        class: 0,
        target_first: SECOND,
        target_gap: Some(40 * MILLISECOND),
        prefix_hash: 0,
        avoid: None,
    }
}
