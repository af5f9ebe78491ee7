use core::time;
use std::net;

use crate::schema::naming;
use crate::unit;
use crate::value;

/// Length of a SHA-256 hash.
const HASH_BYTES: usize = 32;

/// Type, unit and range of a value.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// One name of the form [`naming::Naming::Plain`].
    Name,
    /// List of names of the form [`naming::Naming::Plain`], separated by commas.
    Names,
    /// Name of a section of this kind, which must exist.
    Reference(&'static str),
    /// Address to listen on: IP address and port; port 0 selects a free one.
    Listen,
    /// Address to connect to: IP address, not unspecified, and port, not 0.
    Address,
    /// List of addresses to connect to, separated by commas.
    Addresses,
    /// Path of a file; its existence is not checked.
    Path,
    /// Whole number with the unit `us`, `ms`, `s`, `m`, `h` or `d`.
    Duration {
        /// Minimum, inclusive.
        min: time::Duration,
        /// Maximum, inclusive.
        max: time::Duration,
    },
    /// Whole number with the unit `B`, `KiB`, `MiB` or `GiB`.
    Size {
        /// Minimum in bytes, inclusive.
        min: u64,
        /// Maximum in bytes, inclusive.
        max: u64,
    },
    /// Whole number without a unit.
    Count {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// Decimal number without sign and exponent.
    Number {
        /// Minimum, inclusive.
        min: f64,
        /// Maximum, inclusive.
        max: f64,
    },
    /// `true` or `false`.
    Flag,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// List of SHA-256 hashes in hexadecimal, separated by commas.
    Hashes,
    /// List of shared keys in printable ASCII, separated by commas.
    Secrets {
        /// Minimum length of each key in characters.
        min: usize,
    },
}

impl Kind {
    /// Describes the accepted values as a phrase for problems and the settings
    /// reference.
    pub fn expected(&self) -> String {
        match self {
            Self::Name => naming::Naming::Plain.expected(),
            Self::Names => "a list of names separated by commas".to_owned(),
            Self::Reference(section) => format!("the name of a [{section} NAME] section"),
            Self::Listen => "an IP address and port such as 127.0.0.1:8080".to_owned(),
            Self::Address => "an IP address and port to connect to such as 127.0.0.1:8080".into(),
            Self::Addresses => "a list of IP addresses with ports, separated by commas".to_owned(),
            Self::Path => "a path".to_owned(),
            Self::Duration { min, max } => format!(
                "a duration from {} to {} such as 250ms or 30s",
                unit::format_duration(*min),
                unit::format_duration(*max)
            ),
            Self::Size { min, max } => format!(
                "a size from {} to {} such as 4KiB",
                unit::format_size(*min),
                unit::format_size(*max)
            ),
            Self::Count { min, max } => format!("a whole number from {min} to {max}"),
            Self::Number { min, max } => format!("a number from {min} to {max}"),
            Self::Flag => "true or false".to_owned(),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Hashes => "SHA-256 hashes of 64 hexadecimal digits, separated by commas".into(),
            Self::Secrets { min } => {
                format!("keys of at least {min} characters, separated by commas")
            }
        }
    }

    /// Returns whether valid values are secrets that output must mask.
    pub const fn is_secret(&self) -> bool {
        matches!(self, Self::Secrets { .. })
    }

    /// Returns whether an invalid value may be a secret, such as a bearer key in
    /// place of its hash.
    pub(crate) const fn may_be_secret(&self) -> bool {
        matches!(self, Self::Secrets { .. } | Self::Hashes)
    }

    /// Parses a value; `None` if it is not of this kind or out of range.
    pub(crate) fn parse(&self, text: &str) -> Option<value::Value> {
        match self {
            Self::Name => name(text).map(value::Value::Text),
            Self::Names => list(text, name).map(value::Value::Texts),
            Self::Reference(_) => reference(text).map(value::Value::Text),
            Self::Listen => text.parse().ok().map(value::Value::Address),
            Self::Address => address(text).map(value::Value::Address),
            Self::Addresses => list(text, address).map(value::Value::Addresses),
            Self::Path => (!text.is_empty()).then(|| value::Value::Text(text.to_owned())),
            Self::Duration { min, max } => unit::duration(text)
                .filter(|value| (min..=max).contains(&value))
                .map(value::Value::Duration),
            Self::Size { min, max } => unit::size(text)
                .filter(|value| (min..=max).contains(&value))
                .map(value::Value::Integer),
            Self::Count { min, max } => unit::integer(text)
                .filter(|value| (min..=max).contains(&value))
                .map(value::Value::Integer),
            Self::Number { min, max } => unit::number(text)
                .filter(|value| (min..=max).contains(&value))
                .map(value::Value::Number),
            Self::Flag => text.parse().ok().map(value::Value::Flag),
            Self::Choice(words) => words
                .contains(&text)
                .then(|| value::Value::Text(text.to_owned())),
            Self::Hashes => list(text, hash).map(value::Value::Hashes),
            Self::Secrets { min } => list(text, |key| secret(key, *min)).map(value::Value::Texts),
        }
    }
}

fn list<T>(text: &str, parse: impl Fn(&str) -> Option<T>) -> Option<Vec<T>> {
    text.split(',').map(|item| parse(item.trim())).collect()
}

fn name(text: &str) -> Option<String> {
    naming::Naming::Plain.accepts(text).then(|| text.to_owned())
}

fn reference(text: &str) -> Option<String> {
    naming::Naming::Model.accepts(text).then(|| text.to_owned())
}

fn address(text: &str) -> Option<net::SocketAddr> {
    let address: net::SocketAddr = text.parse().ok()?;
    let is_valid = address.port() != 0 && !address.ip().is_unspecified();
    is_valid.then_some(address)
}

fn secret(text: &str, min: usize) -> Option<String> {
    let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    (is_printable && text.len() >= min).then(|| text.to_owned())
}

fn hash(text: &str) -> Option<[u8; HASH_BYTES]> {
    if text.len() != 2 * HASH_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}
