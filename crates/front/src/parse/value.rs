use core::time;

use answer::{Kind, Refusal};

use crate::parse;

/// Maximum time until a deadline; later deadlines are reduced to it.
const DEADLINE_MAX: time::Duration = time::Duration::from_secs(24 * 60 * 60);
/// Length of a time offset such as `+02:00` in bytes.
const OFFSET_BYTES: usize = 6;
/// Length of a minute in milliseconds.
const MINUTE_MS: u64 = 60_000;

/// Parses the value of `Authorization` and returns the key.
///
/// # Errors
///
/// Refuses a value that is not `Bearer KEY` with [`Kind::UnknownKey`]. The scheme
/// is case-insensitive.
pub fn bearer(value: &str) -> Result<String, Refusal> {
    let (scheme, key) = value.split_once(' ').unwrap_or((value, ""));
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(Refusal::new(
            Kind::UnknownKey,
            "Authorization must be `Bearer KEY`",
        ));
    }
    Ok(key.to_owned())
}

/// Parses the value of `Request-Deadline` and returns the time until the deadline,
/// at most 24 hours.
///
/// # Errors
///
/// Refuses a value that is not a positive whole number of milliseconds.
pub fn deadline(value: &str) -> Result<time::Duration, Refusal> {
    match value.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(time::Duration::from_millis(millis).min(DEADLINE_MAX)),
        _ => Err(parse::bad_request(
            "Request-Deadline must be a positive whole number of milliseconds",
        )),
    }
}

/// Parses the value of `Request-Time` and returns the Unix time in milliseconds.
///
/// # Errors
///
/// Refuses a value that is neither RFC 3339 nor a whole number of Unix
/// milliseconds, and times before 1970.
pub fn request_time(value: &str) -> Result<u64, Refusal> {
    value
        .parse::<u64>()
        .ok()
        .or_else(|| rfc3339(value))
        .ok_or_else(|| {
            parse::bad_request("Request-Time must be an RFC 3339 time or Unix milliseconds")
        })
}

fn rfc3339(value: &str) -> Option<u64> {
    let upper = value.to_ascii_uppercase();
    if upper.ends_with('Z') {
        return utc(&upper);
    }
    let (local, offset) = upper.split_at_checked(upper.len().checked_sub(OFFSET_BYTES)?)?;
    let local = utc(&format!("{local}Z"))?;
    let (hours, minutes) = offset.get(1..)?.split_once(':')?;
    let offset_ms = (two_digits(hours, 23)? * 60 + two_digits(minutes, 59)?) * MINUTE_MS;
    match offset.as_bytes()[0] {
        b'+' => local.checked_sub(offset_ms),
        b'-' => local.checked_add(offset_ms),
        _ => None,
    }
}

fn utc(value: &str) -> Option<u64> {
    let time = humantime::parse_rfc3339(value).ok()?;
    let since = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    u64::try_from(since.as_millis()).ok()
}

fn two_digits(text: &str, max: u64) -> Option<u64> {
    let is_number = text.len() == 2 && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|_| is_number)?;
    (number <= max).then_some(number)
}
