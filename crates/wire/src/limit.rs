//! Protocol version, and limits of messages and their fields.

/// Protocol version of datagrams and links. Hosts accept only this one.
pub const VERSION: u16 = 1;

/// Maximum length of a datagram. With the headers of IPv6 and UDP it fits the minimum
/// IPv6 MTU of 1,280 bytes.
pub const DATAGRAM_BYTES: usize = 1_200;

/// Maximum length of a handshake frame.
pub const FRAME_BYTES: usize = 1_024;

/// Maximum length of a name, such as that of a host, data centre, pool, class,
/// endpoint, file, header, error kind or HTTP method.
pub const NAME_BYTES: usize = 255;

/// Maximum length of the message in a refusal.
pub const REFUSAL_MESSAGE_BYTES: usize = 1_024;

/// Maximum number of entries in a digest.
pub const ENTRIES: usize = 64;

/// Maximum number of key ids in a hello.
pub const KEYS: usize = 16;

/// Length of a nonce.
pub const NONCE_BYTES: usize = 32;

/// Maximum length of the body of a request or an answer.
pub const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of headers of a request or an answer.
pub const HEADERS: usize = 256;

/// Maximum length of a header value, a path or an idempotency key.
pub const VALUE_BYTES: usize = 16 * 1024;

/// Maximum total length of the headers of a request or an answer.
pub const HEADER_BYTES: usize = 256 * 1024;

/// Maximum number of files in a configuration.
pub const FILES: usize = 1_024;

/// Maximum total length of the names and contents of the files in a configuration.
pub const CONFIGURATION_BYTES: usize = 1024 * 1024;

/// Maximum length of an RPC message in 8-byte words: the longest body, with space for
/// headers and other fields.
pub const MESSAGE_WORDS: usize = (BODY_BYTES + 2 * HEADER_BYTES) / 8;
