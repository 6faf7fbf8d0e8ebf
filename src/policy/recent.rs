//! Averages that forget by time.

/// Weight of a sample that comes so long after the one before it, in an average that forgets over
/// `tau_us`.
pub fn sample_weight(gap_us: u64, tau_us: f64) -> f64 {
    1.0 - (-(gap_us as f64) / tau_us).exp()
}
