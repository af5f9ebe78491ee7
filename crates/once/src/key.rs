//! Minted keys: each names the one lifetime that may dispatch its request.

use core::time;
use std::fmt::Write;

use hmac::{KeyInit, Mac};

/// Start of every minted key; no caller's own key may begin with it.
pub const PREFIX: &str = "cbk1.";

/// Separates these codes from other uses of the shared keys.
const DOMAIN: &[u8] = b"carobbay minted key 1\0";

/// Bytes of a code.
const CODE_BYTES: usize = 32;

type Code = hmac::Hmac<sha2::Sha256>;

/// What a verified key says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Minted {
    /// Name of the host that minted it.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Serial number within the lifetime.
    pub serial: u64,
    /// When it was minted, since the start of the lifetime; whole
    /// milliseconds.
    pub minted_at: time::Duration,
}

impl Minted {
    /// Returns the text form, a header value signed with the shared key.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts keys of every length.
    pub fn sign(&self, shared: &[u8]) -> String {
        let mut text = self.body();
        let tag = code(shared, &text).finalize().into_bytes();
        text.push('.');
        for byte in tag {
            push_hex(&mut text, byte);
        }
        text
    }

    /// Returns whether this lifetime, which minted the key, may dispatch it.
    ///
    /// `max_age` is `resend_max_age`. A key that is used later may have been
    /// used before and forgotten.
    ///
    /// # Errors
    ///
    /// `OutcomeUnknown` when the key is too old, `BadKey` when it is from the
    /// future.
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

/// Returns whether the text claims to be a minted key.
pub fn is_minted(text: &str) -> bool {
    text.starts_with(PREFIX)
}

/// Verifies a minted key against every shared key that is accepted.
///
/// A shared key stays accepted for `resend_max_age + clock_skew` after it
/// last signed: a key that ran would otherwise be refused as if it had not.
///
/// # Errors
///
/// `BadKey` when the text is malformed or no shared key signed it.
pub fn verify<K: AsRef<[u8]>>(text: &str, shared: &[K]) -> Result<Minted, answer::Kind> {
    split(text, shared).ok_or(answer::Kind::BadKey)
}

fn split<K: AsRef<[u8]>>(text: &str, shared: &[K]) -> Option<Minted> {
    let (body, tag) = text.rsplit_once('.')?;
    let tag = parse_code(tag)?;
    // Every shared key is tried, so that the time does not tell which one fits.
    let signed = shared
        .iter()
        .filter(|key| code(key.as_ref(), body).verify_slice(&tag).is_ok())
        .count();
    if signed == 0 {
        return None;
    }
    let mut parts = body.strip_prefix(PREFIX)?.split('.');
    let minted = Minted {
        host: unescape(parts.next()?)?,
        incarnation: parts.next()?.parse().ok()?,
        serial: parts.next()?.parse().ok()?,
        minted_at: time::Duration::from_millis(parts.next()?.parse().ok()?),
    };
    // Numbers have several spellings; only one is the key.
    (minted.body() == body).then_some(minted)
}

fn code(shared: &[u8], text: &str) -> Code {
    let mut code = Code::new_from_slice(shared).expect("HMAC accepts keys of every length");
    code.update(DOMAIN);
    code.update(text.as_bytes());
    code
}

fn parse_code(text: &str) -> Option<[u8; CODE_BYTES]> {
    let digits = text.as_bytes();
    if digits.len() != 2 * CODE_BYTES {
        return None;
    }
    let mut code = [0; CODE_BYTES];
    for (byte, pair) in code.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
    }
    Some(code)
}

/// Accepts lower case only, because a key has one spelling.
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

/// Replaces bytes that separate fields or are not safe in a header.
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
