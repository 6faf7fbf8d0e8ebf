//! Validation of values in the configuration.

use {
    crate::config::{ClassRule, EditCause, Rules, ServiceRule},
    smol_str::SmolStr,
    std::net::IpAddr,
};

/// Longest name of a service, class, worker or data centre.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest text of the statements of one change.
pub const MAX_TEXT_BYTES: usize = 32 << 10;

const MAX_SERVICES: usize = 1_024;
const MAX_CLASSES: usize = 64;
const MAX_TIMEOUT_MS: u32 = 600_000;
const MAX_STOP_LIMIT_MS: u32 = 3_600_000;
const MAX_IMPORTANCE: u8 = 15;
const MAX_RETRY_ALLOWANCE: u8 = 16;
const MAX_PERCENT: u8 = 100;

/// Whether a text is a valid name of a service, class, worker or data centre, or a fingerprint.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

pub(super) fn valid_name(name: &str) -> Result<SmolStr, EditCause> {
    is_valid_name(name)
        .then(|| SmolStr::new(name))
        .ok_or(EditCause::InvalidName)
}

/// Checks an IP address and returns it in its canonical form.
pub(super) fn valid_ip(ip: &str) -> Result<SmolStr, EditCause> {
    let ip: IpAddr = ip.parse().map_err(|_| EditCause::InvalidIp)?;
    Ok(SmolStr::from(ip.to_string()))
}

pub(super) fn service(rule: &ServiceRule) -> Result<(), EditCause> {
    in_range("retry-ratio", rule.retry_ratio_percent, 0, MAX_PERCENT)?;
    in_range("timeout", rule.timeout_ms, 1, MAX_TIMEOUT_MS)
}

pub(super) fn class(rule: &ClassRule) -> Result<(), EditCause> {
    in_range("importance", rule.importance.0, 0, MAX_IMPORTANCE)?;
    in_range("retries", rule.retry_allowance, 0, MAX_RETRY_ALLOWANCE)?;
    in_range("deadline", rule.deadline_ms, 1, MAX_TIMEOUT_MS)
}

pub(super) fn rules(rules: &Rules) -> Result<(), EditCause> {
    in_range("stop-limit", rules.stop_limit_ms, 1, MAX_STOP_LIMIT_MS)?;
    in_range(
        "recovery-weight",
        rules.recovery_weight_percent,
        0,
        MAX_PERCENT,
    )
}

pub(super) fn services(count: usize) -> Result<(), EditCause> {
    at_most("services", count, MAX_SERVICES)
}

pub(super) fn classes(count: usize) -> Result<(), EditCause> {
    at_most("classes", count, MAX_CLASSES)
}

pub(super) fn at_most(what: &'static str, count: usize, max: usize) -> Result<(), EditCause> {
    if count <= max {
        return Ok(());
    }
    Err(EditCause::TooMany { what, max })
}

fn in_range<T>(what: &'static str, value: T, min: T, max: T) -> Result<(), EditCause>
where
    T: Copy + PartialOrd + Into<u64>,
{
    if value >= min && value <= max {
        return Ok(());
    }
    Err(EditCause::OutOfRange {
        what,
        min: min.into(),
        max: max.into(),
    })
}
