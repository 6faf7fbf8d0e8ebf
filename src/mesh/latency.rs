//! Latency histograms, exported with the metrics.

use {
    crate::collections::HashMap,
    hdrhistogram::Histogram,
    std::{cell::RefCell, fmt::Write},
};

/// Largest recorded time; longer times are recorded as this value.
const MAX_US: u64 = 60_000_000;

/// Precision in significant decimal digits; each digit costs a few kilobytes per histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Exported quantiles.
const QUANTILES: &[f64] = &[0.5, 0.9, 0.99, 0.999];

/// Latency histograms by name, since the start of the process.
#[derive(Debug, Default)]
pub struct Latencies {
    by_name: RefCell<HashMap<&'static str, Histogram<u32>>>,
}

impl Latencies {
    /// Records a latency.
    pub fn record(&self, name: &'static str, took_us: u64) {
        let mut by_name = self.by_name.borrow_mut();
        let histogram = by_name.entry(name).or_insert_with(|| {
            Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS).expect("constant bounds are valid")
        });
        histogram.saturating_record(took_us.min(MAX_US));
    }

    /// Appends all histograms as summaries in the Prometheus text format, in seconds.
    pub fn write(&self, text: &mut String) {
        for (name, histogram) in self.by_name.borrow().iter() {
            let name = name.replace('.', "_");
            // Writing to a string does not fail.
            let _ = writeln!(text, "# TYPE shallotdeal_{name}_seconds summary");
            for quantile in QUANTILES {
                let value_s = histogram.value_at_quantile(*quantile) as f64 / 1e6;
                let _ = writeln!(
                    text,
                    "shallotdeal_{name}_seconds{{quantile=\"{quantile}\"}} {value_s}"
                );
            }
            let sum_s = histogram.mean() * histogram.len() as f64 / 1e6;
            let _ = writeln!(text, "shallotdeal_{name}_seconds_sum {sum_s:.6}");
            let _ = writeln!(text, "shallotdeal_{name}_seconds_count {}", histogram.len());
        }
    }
}
