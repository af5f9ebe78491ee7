//! Minted keys: signed idempotency keys that hosts hand out in advance.
//!
//! Each names the one process lifetime that may dispatch its request, so it
//! needs no lease.

use core::time;
use std::fmt::Write;

use hmac::{KeyInit, Mac};

/// Prefix of every minted key; no caller's own key may begin with it.
pub const PREFIX: &str = "cbk1.";

/// Separates these signatures from other uses of the shared keys.
const DOMAIN: &[u8] = b"carobbay minted key 1\0";

/// Size of a signature, an HMAC-SHA-256.
const TAG_BYTES: usize = 32;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// The contents of a minted key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Minted {
    /// Name of the host that minted the key.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Serial number within that lifetime.
    pub serial: u64,
    /// Time of minting since the start of that lifetime, in whole milliseconds.
    pub minted_at: time::Duration,
}

impl Minted {
    /// Returns the key as a header value, signed with the shared key.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts keys of every length.
    pub fn sign(&self, shared_key: &[u8]) -> String {
        let mut text = self.body();
        let tag = mac(shared_key, &text).finalize().into_bytes();
        text.push('.');
        for byte in tag {
            push_hex(&mut text, byte);
        }
        text
    }

    /// Returns whether the lifetime that minted the key may dispatch it.
    ///
    /// The host must have checked that it is that lifetime. `now` is the time
    /// since its start and `max_age` is `resend_max_age`. An older key may have
    /// run already, with a ledger entry that has expired since.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` if the key is older than `max_age`, `BadKey` if it is
    /// from the future.
    pub fn may_dispatch(
        &self,
        now: time::Duration,
        max_age: time::Duration,
    ) -> Result<(), answer::Kind> {
        let age = now
            .checked_sub(self.minted_at)
            .ok_or(answer::Kind::BadKey)?;
        if age > max_age {
            return Err(answer::Kind::OutcomeUnknown);
        }
        Ok(())
    }

    fn body(&self) -> String {
        format!(
            "{PREFIX}{}.{}.{}.{}",
            escape(&self.host),
            self.incarnation,
            self.serial,
            self.minted_at.as_millis()
        )
    }
}

/// Returns whether the text has the prefix of minted keys; it may still be forged.
pub fn is_minted(text: &str) -> bool {
    text.starts_with(PREFIX)
}

/// Verifies a minted key against every shared key that is accepted.
///
/// A shared key must stay accepted for `resend_max_age + clock_skew` after its
/// last signature: a key that ran would otherwise be refused as `BadKey`, which
/// states that it did not run.
///
/// # Errors
///
/// `BadKey` if the text is malformed or no shared key signed it.
pub fn verify<K: AsRef<[u8]>>(text: &str, shared_keys: &[K]) -> Result<Minted, answer::Kind> {
    parse(text, shared_keys).ok_or(answer::Kind::BadKey)
}

fn parse<K: AsRef<[u8]>>(text: &str, shared_keys: &[K]) -> Option<Minted> {
    let (body, tag) = text.rsplit_once('.')?;
    let tag = parse_tag(tag)?;
    // Every shared key is tried, so that timing does not reveal which one matches.
    let matches = shared_keys
        .iter()
        .filter(|key| mac(key.as_ref(), body).verify_slice(&tag).is_ok())
        .count();
    if matches == 0 {
        return None;
    }
    let mut parts = body.strip_prefix(PREFIX)?.split('.');
    let minted = Minted {
        host: unescape(parts.next()?)?,
        incarnation: parts.next()?.parse().ok()?,
        serial: parts.next()?.parse().ok()?,
        minted_at: time::Duration::from_millis(parts.next()?.parse().ok()?),
    };
    // Only the canonical form is accepted: numbers have several spellings.
    (minted.body() == body).then_some(minted)
}

fn mac(shared_key: &[u8], text: &str) -> HmacSha256 {
    let mut mac =
        HmacSha256::new_from_slice(shared_key).expect("HMAC accepts keys of every length");
    mac.update(DOMAIN);
    mac.update(text.as_bytes());
    mac
}

fn parse_tag(text: &str) -> Option<[u8; TAG_BYTES]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * TAG_BYTES {
        return None;
    }
    let mut tag = [0; TAG_BYTES];
    for (byte, pair) in tag.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
    }
    Some(tag)
}

/// Parses a hexadecimal digit; only lower case, because a key has one spelling.
fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

fn push_hex(text: &mut String, byte: u8) {
    write!(text, "{byte:02x}").expect("writing to a string succeeds");
}

/// Percent-encodes bytes that separate fields or are not safe in a header.
fn escape(name: &str) -> String {
    let mut text = String::new();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_' {
            text.push(char::from(byte));
        } else {
            text.push('%');
            push_hex(&mut text, byte);
        }
    }
    text
}

fn unescape(text: &str) -> Option<String> {
    let mut bytes = text.bytes();
    let mut name = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            name.push(nibble(bytes.next()?)? << 4 | nibble(bytes.next()?)?);
        } else {
            name.push(byte);
        }
    }
    String::from_utf8(name).ok()
}
