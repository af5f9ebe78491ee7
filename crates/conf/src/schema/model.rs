//! Sections about classes, callers, pools and endpoints.

use core::time;

use crate::schema::key::Key;
use crate::schema::kind::Kind;
use crate::schema::naming;
use crate::schema::section;

/// Range of durations that concern one request.
const REQUEST: Kind = Kind::Duration {
    min: time::Duration::from_millis(1),
    max: crate::settings::DEADLINE_MAX,
};

/// Range of weights. It allows a ratio of a million, at which the lighter side is
/// already starved, so a wider range has no use.
const WEIGHT: Kind = Kind::Number {
    min: 0.001,
    max: 1000.0,
};

pub(super) const CLASS: section::Section = section::Section {
    name: "class",
    naming: naming::Naming::Plain,
    doc: "A set of requests with the same targets and tier.",
    keys: &[
        Key::required(
            "tier",
            Kind::Count { min: 0, max: 3 },
            "Tier; 0 is the highest.",
        ),
        Key::required(
            "target_first",
            REQUEST,
            "Target for the time to the first token or, for services, to the answer.",
        ),
        Key::optional(
            "target_gap",
            Kind::Duration {
                min: time::Duration::from_millis(1),
                max: time::Duration::from_secs(60),
            },
            "Target for the time between tokens.",
        ),
        Key::required(
            "deadline",
            REQUEST,
            "Time after which an answer is of no use, unless the request sets its own.",
        ),
        Key::default(
            "floor",
            Kind::Number {
                min: 0.0,
                max: 0.99,
            },
            "0.02",
            "Share of service that the class gets when it starves; above 0 outside of tier 0.",
        ),
        Key::default(
            "starvation_window",
            Kind::Duration {
                min: time::Duration::from_millis(10),
                max: crate::settings::DEADLINE_MAX,
            },
            "2s",
            "Longest wait before the floor applies; outside of tier 0 shorter than the deadline.",
        ),
        Key::default(
            "attainment",
            Kind::Number {
                min: 0.5,
                max: 0.9999,
            },
            "0.95",
            "Share of requests that must meet the targets.",
        ),
        Key::default(
            "idempotent",
            Kind::Flag,
            "true",
            "Whether a request may run more than once, unless the pool sets it. A request can withdraw this permission but not grant it.",
        ),
    ],
};

pub(super) const TEAM: section::Section = section::Section {
    name: "team",
    naming: naming::Naming::Plain,
    doc: "A team of callers, recognised by its bearer keys. `anonymous` and `other` are reserved names.",
    keys: &[
        Key::required(
            "key_hash",
            Kind::Hashes,
            "SHA-256 of each accepted bearer key; several allow rotation.",
        ),
        Key::default("weight", WEIGHT, "1", "Weight against other teams."),
        Key::required(
            "class",
            Kind::Reference("class"),
            "Class of the team's requests, unless the pool sets one.",
        ),
    ],
};

pub(super) const ANONYMOUS: section::Section = section::Section {
    name: "anonymous",
    naming: naming::Naming::None,
    doc: "Callers without a key.",
    keys: &[
        Key::required(
            "class",
            Kind::Reference("class"),
            "Class of requests without a key, unless the pool sets one.",
        ),
        Key::default(
            "weight",
            WEIGHT,
            "1",
            "Weight of all anonymous callers together.",
        ),
    ],
};

pub(super) const POOL: section::Section = section::Section {
    name: "pool",
    naming: naming::Naming::Model,
    doc: "The endpoints that serve one model or one plain service. The name is the model or the service; the name of a service has no `/` and no `:`.",
    keys: &[
        Key::required(
            "kind",
            Kind::Choice(&["model", "service"]),
            "Whether the endpoints are engines of a model or a plain HTTP service.",
        ),
        Key::default(
            "shard_endpoints",
            Kind::Count { min: 1, max: 256 },
            "32",
            "Upper bound of endpoints per shard.",
        ),
        Key::optional(
            "class",
            Kind::Reference("class"),
            "Class of every request of the pool, before the team's.",
        ),
        Key::default(
            "long_tokens",
            Kind::Count {
                min: 1,
                max: 1_000_000,
            },
            "1024",
            "Output length in tokens above which a request counts as long.",
        ),
        Key::default(
            "long_share",
            Kind::Number {
                min: 0.05,
                max: 1.0,
            },
            "0.5",
            "Share of an endpoint's slots that long requests may hold.",
        ),
        Key::optional(
            "idempotent",
            Kind::Flag,
            "Whether a request may run more than once, whatever its class sets; without it the class decides.",
        ),
        Key::default(
            "resume",
            Kind::Flag,
            "false",
            "Whether the engines continue a partial answer (`continue_final_message` for chat, the extended prompt otherwise), so that a stream that an engine interrupted is resumed at another one. A stream whose events have a `system_fingerprint` is resumed only at an engine with the same one.",
        ),
    ],
};

pub(super) const ENDPOINT: section::Section = section::Section {
    name: "endpoint",
    naming: naming::Naming::Plain,
    doc: "One engine or one instance of a plain service.",
    keys: &[
        Key::required("pool", Kind::Reference("pool"), "Pool that it serves."),
        Key::required("address", Kind::Address, "Address."),
        Key::required("data_centre", Kind::Name, "Data centre of the endpoint."),
        Key::required(
            "slots",
            Kind::Count {
                min: 1,
                max: 100_000,
            },
            "Upper bound of concurrent requests.",
        ),
        Key::default(
            "fencing",
            Kind::Choice(&["checked", "ignored"]),
            "ignored",
            "Whether the endpoint refuses an order with an older fencing number.",
        ),
        Key::default(
            "leaving",
            Kind::Flag,
            "false",
            "Whether the endpoint is leaving and takes no new work.",
        ),
    ],
};
