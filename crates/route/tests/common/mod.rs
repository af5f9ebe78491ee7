//! Helpers shared by the tests of the table.

use core::time::Duration;

use route::{Need, Options, Request, Spec, Table};

pub const SECOND: Duration = Duration::from_secs(1);
pub const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns a table with endpoints 0 to `count` that have `slots` each.
pub fn table(count: u32, slots: u32) -> Table {
    let mut table = Table::new(Options {
        long_tokens: 1_000,
        long_share: 0.5,
        seed: 7,
    });
    table.set_endpoints(Duration::ZERO, &list(count, slots));
    table
}

/// Returns settings of endpoints 0 to `count` that are up.
pub fn list(count: u32, slots: u32) -> Vec<Spec> {
    let settings = (0..count).map(|id| Spec {
        id,
        is_up: true,
        slots,
    });
    settings.collect()
}

/// Returns a short request whose first token is wanted within a second.
pub fn work() -> Request {
    Request {
        need: Need::default(),
        class: 0,
        target_first: SECOND,
        target_gap: Some(40 * MILLISECOND),
        prefix_hash: 0,
        avoid: None,
    }
}
