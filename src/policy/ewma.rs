//! Exponentially weighted moving averages over irregularly spaced samples.

/// Weight of a sample that arrives `gap_us` after the previous one, in an average with the time
/// constant `tau_us`.
pub fn sample_weight(gap_us: u64, tau_us: f64) -> f64 {
    1.0 - (-(gap_us as f64) / tau_us).exp()
}
