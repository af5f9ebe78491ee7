//! Upper bounds of messages and their fields.

/// Protocol version of datagrams and links.
pub const VERSION: u16 = 1;

/// Length of a datagram in bytes. It fits the smallest IPv6 MTU (1,280) with
/// the headers of IPv6 and UDP.
pub const DATAGRAM_BYTES: usize = 1_200;

/// Length of a handshake frame in bytes.
pub const FRAME_BYTES: usize = 1_024;

/// Length of a name (host, pool, class, endpoint, file) in bytes.
pub const NAME_BYTES: usize = 255;

/// Length of a sentence for the caller in bytes.
pub const REFUSAL_MESSAGE_BYTES: usize = 1_024;

/// Entries in a digest.
pub const ENTRIES: usize = 64;

/// Keys in a hello.
pub const KEYS: usize = 16;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;

/// Length of a request or answer body in bytes.
pub const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Headers of a request or an answer.
pub const HEADERS: usize = 256;

/// Length of a header's value, a path or an idempotency key in bytes.
pub const VALUE_BYTES: usize = 16 * 1024;

/// Length of all headers of a request or an answer in bytes.
pub const HEADER_BYTES: usize = 256 * 1024;

/// Files in a configuration.
pub const FILES: usize = 1_024;

/// Length of all names and texts of a configuration in bytes.
pub const CONFIGURATION_BYTES: usize = 1024 * 1024;

/// Length of an RPC message in 8-byte words: the largest body and room for
/// headers and other fields.
pub const MESSAGE_WORDS: usize = (BODY_BYTES + 2 * HEADER_BYTES) / 8;
