//! Sections whose values concern the cooperation of hosts.

use core::time;

use crate::schema::key::Key;
use crate::schema::kind::Kind;
use crate::schema::naming;
use crate::schema::section;

/// Minimum length of a shared key in characters: 128 bits in hexadecimal.
const PEER_KEY_CHARS_MIN: usize = 32;

pub(super) const ONCE: section::Section = section::Section {
    name: "once",
    naming: naming::Naming::None,
    doc: "At-most-once execution.",
    keys: &[
        Key::optional(
            "owners",
            Kind::Names,
            "Names of the hosts that own callers' own keys; at most 15. Each needs the acknowledgement of more than half of the others, so that of two or three owners none may fail, and of four one may.",
        ),
        Key::optional(
            "previous_owners",
            Kind::Names,
            "Owners before the change in progress; at most 15.",
        ),
        Key::default(
            "epoch",
            Kind::Count {
                min: 1,
                max: 1_000_000_000,
            },
            "1",
            "Number of the owner set; grows with each change of `owners`.",
        ),
        Key::default(
            "lease",
            Kind::Duration {
                min: time::Duration::from_millis(500),
                max: time::Duration::from_secs(30),
            },
            "2s",
            "How long an acknowledgement is valid; shorter than `resend_max_age`.",
        ),
        Key::default(
            "clock_skew",
            Kind::Duration {
                min: time::Duration::ZERO,
                max: time::Duration::from_secs(60),
            },
            "500ms",
            "Largest difference between two clocks; shorter than `resend_max_age`.",
        ),
        Key::default(
            "resend_max_age",
            Kind::Duration {
                min: time::Duration::from_secs(1),
                max: time::Duration::from_secs(86_400),
            },
            "60s",
            "Longest time after the first attempt at which a caller sends again.",
        ),
        Key::default(
            "kept_max",
            Kind::Count {
                min: 1,
                max: 10_000_000,
            },
            "100000",
            "Upper bound of kept results, in entries.",
        ),
    ],
};

pub(super) const FLEET: section::Section = section::Section {
    name: "fleet",
    naming: naming::Naming::None,
    doc: "The fleet.",
    keys: &[
        Key::optional(
            "seeds",
            Kind::Addresses,
            "Peer addresses of hosts to contact first.",
        ),
        Key::optional(
            "peer_keys",
            Kind::Secrets {
                min: PEER_KEY_CHARS_MIN,
            },
            "Shared keys; the first signs, all are accepted. Needed with `seeds` or with several owners.",
        ),
        Key::optional(
            "platform",
            Kind::Addresses,
            "Addresses of the platform's services.",
        ),
    ],
};
