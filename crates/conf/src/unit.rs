//! Parsing and formatting of numbers, durations and sizes.

use core::time;

/// Duration units with their length in nanoseconds, longest first.
const DURATION_UNITS_NS: [(&str, u64); 6] = [
    ("d", 86_400_000_000_000),
    ("h", 3_600_000_000_000),
    ("m", 60_000_000_000),
    ("s", 1_000_000_000),
    ("ms", 1_000_000),
    ("us", 1_000),
];

/// Size units with their size in bytes, largest first.
const SIZE_UNITS_BYTES: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Parses a whole number with a duration unit, such as `250ms`.
pub(crate) fn duration(text: &str) -> Option<time::Duration> {
    scaled(text, &DURATION_UNITS_NS).map(time::Duration::from_nanos)
}

/// Parses a whole number with a size unit, such as `4KiB`; returns bytes.
pub(crate) fn size(text: &str) -> Option<u64> {
    scaled(text, &SIZE_UNITS_BYTES)
}

/// Parses a whole number without a unit.
pub(crate) fn integer(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

/// Parses a decimal number without sign and exponent.
pub(crate) fn number(text: &str) -> Option<f64> {
    let plain = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    let decimal = text.starts_with(|first: char| first.is_ascii_digit()) && text.bytes().all(plain);
    decimal.then(|| text.parse().ok()).flatten()
}

/// Formats a duration in the longest unit that gives a whole number.
pub(crate) fn format_duration(value: time::Duration) -> String {
    let nanos = u64::try_from(value.as_nanos()).unwrap_or(u64::MAX);
    match nanos {
        0 => "0ms".to_owned(),
        _ => format(nanos, &DURATION_UNITS_NS),
    }
}

/// Formats a size in the largest unit that gives a whole number.
pub(crate) fn format_size(bytes: u64) -> String {
    format(bytes, &SIZE_UNITS_BYTES)
}

fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(split);
    let (_, scale) = units.iter().find(|(name, _)| *name == unit)?;
    integer(digits)?.checked_mul(*scale)
}

fn format(value: u64, units: &[(&str, u64)]) -> String {
    let fits = |scale: u64| value >= scale && value.is_multiple_of(scale);
    match units.iter().find(|(_, scale)| fits(*scale)) {
        Some((name, scale)) => format!("{}{name}", value / scale),
        None => format!("{value}{}", units.last().map_or("", |(name, _)| name)),
    }
}
