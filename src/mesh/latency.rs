//! Latency histograms, served with the counters.

use {
    crate::collections::HashMap,
    hdrhistogram::Histogram,
    std::{cell::RefCell, fmt::Write},
};

/// Longest time that is told apart; longer ones count as this.
const MAX_US: u64 = 60_000_000;

/// Decimal digits that are kept; one costs a few kilobytes a histogram.
const DIGITS: u8 = 2;

/// Quantiles that are served.
const QUANTILES: &[f64] = &[0.5, 0.9, 0.99, 0.999];

/// Times since the start of the process, by what was timed.
#[derive(Debug, Default)]
pub struct Latencies {
    by_name: RefCell<HashMap<&'static str, Histogram<u32>>>,
}

impl Latencies {
    /// Takes one time.
    pub fn record(&self, name: &'static str, took_us: u64) {
        let mut by_name = self.by_name.borrow_mut();
        let histogram = by_name.entry(name).or_insert_with(|| {
            Histogram::new_with_max(MAX_US, DIGITS).expect("constant bounds are valid")
        });
        histogram.saturating_record(took_us.min(MAX_US));
    }

    /// Appends all histograms as summaries in the text format of Prometheus, in seconds.
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
