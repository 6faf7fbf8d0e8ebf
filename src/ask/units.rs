//! Durations, percentages and numbers in the operators' language.

const MS_PER_S: u32 = 1_000;
const MS_PER_MIN: u32 = 60 * MS_PER_S;

const DURATION_UNITS: [(&str, u32); 3] = [("ms", 1), ("s", MS_PER_S), ("m", MS_PER_MIN)];

/// Parses a duration such as `500ms`, `2s` or `1m`.
pub fn read_duration_ms(word: &str) -> Option<u32> {
    let digits = word.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = &word[digits.len()..];
    let (_, unit_ms) = DURATION_UNITS.iter().find(|(name, _)| *name == unit)?;
    read_number::<u32>(digits)?.checked_mul(*unit_ms)
}

/// Parses a percentage such as `10%`.
pub fn read_percent(word: &str) -> Option<u8> {
    read_number(word.strip_suffix('%')?)
}

/// Parses a number without a sign.
pub fn read_number<T: std::str::FromStr>(word: &str) -> Option<T> {
    let digits = word.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| word.parse().ok()).flatten()
}

/// Formats a duration in the largest unit of which it is a whole multiple.
pub fn write_duration_ms(duration_ms: u32) -> String {
    let is_whole_multiple =
        |unit_ms: u32| duration_ms >= unit_ms && duration_ms.is_multiple_of(unit_ms);
    let unit = DURATION_UNITS
        .iter()
        .rev()
        .find(|(_, unit_ms)| is_whole_multiple(*unit_ms));
    let (name, unit_ms) = unit.unwrap_or(&DURATION_UNITS[0]);
    format!("{}{name}", duration_ms / unit_ms)
}
