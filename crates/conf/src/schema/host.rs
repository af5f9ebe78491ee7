//! Sections whose values concern one host.

use core::time;

use crate::schema::key::Key;
use crate::schema::kind::Kind;
use crate::schema::naming;
use crate::schema::section;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

pub(super) const HOST: section::Section = section::Section {
    name: "host",
    naming: naming::Naming::None,
    doc: "This host. The command line may override each value.",
    keys: &[
        Key::optional("name", Kind::Name, "Name, unique in the fleet."),
        Key::optional("data_centre", Kind::Name, "Data centre of this host."),
        Key::optional("region", Kind::Name, "Region of this host."),
        Key::optional("listen", Kind::Listen, "Address of the caller interface."),
        Key::optional(
            "peer_listen",
            Kind::Listen,
            "Address for other hosts, TCP and UDP.",
        ),
        Key::optional(
            "admin_listen",
            Kind::Listen,
            "Address of the administration API.",
        ),
    ],
};

pub(super) const LIMITS: section::Section = section::Section {
    name: "limits",
    naming: naming::Naming::None,
    doc: "Limits of the caller interface.",
    keys: &[
        Key::default(
            "body_max",
            Kind::Size {
                min: KIB,
                max: 64 * MIB,
            },
            "4MiB",
            "Upper bound of a request body.",
        ),
        Key::default(
            "header_max",
            Kind::Size { min: KIB, max: MIB },
            "32KiB",
            "Upper bound of all headers of a request.",
        ),
        Key::optional(
            "memory_max",
            Kind::Size {
                min: 16 * MIB,
                max: MIB * MIB,
            },
            "Upper bound of the memory that callers can fill, 35 % of the machine's by \
             default; bodies use up to four sevenths of it.",
        ),
        Key::default(
            "queue_max",
            Kind::Count {
                min: 1,
                max: 1_000_000,
            },
            "10000",
            "Upper bound of queued requests per shard.",
        ),
        Key::default(
            "idle_timeout",
            Kind::Duration {
                min: time::Duration::from_millis(100),
                max: time::Duration::from_secs(600),
            },
            "10s",
            "Longest pause of a caller while it sends its request.",
        ),
        Key::default(
            "shutdown_max",
            Kind::Duration {
                min: time::Duration::from_secs(1),
                max: time::Duration::from_secs(3_600),
            },
            "60s",
            "Longest graceful shutdown; streams that are still open then are cut off.",
        ),
    ],
};

pub(super) const METRICS: section::Section = section::Section {
    name: "metrics",
    naming: naming::Naming::None,
    doc: "Metrics.",
    keys: &[Key::optional(
        "statsd",
        Kind::Address,
        "StatsD address; without it no metrics are sent.",
    )],
};

pub(super) const LOG: section::Section = section::Section {
    name: "log",
    naming: naming::Naming::None,
    doc: "Logs.",
    keys: &[
        Key::default(
            "format",
            Kind::Choice(&["text", "json"]),
            "text",
            "Format of log lines: one sentence or one JSON object per line.",
        ),
        Key::default(
            "level",
            Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
            "info",
            "Least severe level that is logged.",
        ),
    ],
};

pub(super) const TLS: section::Section = section::Section {
    name: "tls",
    naming: naming::Naming::None,
    doc: "Certificate of the listeners. Without both keys the listeners are plain.",
    keys: &[
        Key::optional(
            "certificate",
            Kind::Path,
            "PEM file with the certificate chain.",
        ),
        Key::optional("key", Kind::Path, "PEM file with the private key."),
    ],
};

pub(super) const ADMIN: section::Section = section::Section {
    name: "admin",
    naming: naming::Naming::None,
    doc: "Keys of the administration API. Several hashes allow rotation.",
    keys: &[
        Key::optional(
            "read_key_hash",
            Kind::Hashes,
            "SHA-256 of each key that may read.",
        ),
        Key::optional(
            "operate_key_hash",
            Kind::Hashes,
            "SHA-256 of each key that may also operate.",
        ),
    ],
};
