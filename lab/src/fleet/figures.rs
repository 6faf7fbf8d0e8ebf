//! Measured figures of a fleet, as a table and as JSON.

use {
    serde::Serialize,
    smol_str::SmolStr,
    std::{collections::BTreeMap, fmt::Write, fs, thread, time::Duration},
};

/// Figures of one fleet.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Figures {
    /// Number of daemons, without those that join later.
    pub daemons: usize,
    /// Number of data centres that the daemons are spread over.
    pub data_centres: usize,
    /// Cores and load average of the machine.
    pub machine: SmolStr,
    /// Median interval between two polls of all dumps, which bounds the error of each time.
    #[serde(rename = "look_ms")]
    pub poll_interval_ms: f64,
    /// Times, one row for each kind of change.
    pub rows: Vec<Row>,
    /// Costs while idle.
    pub costs: Costs,
}

/// Times of one kind of change.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the change and of the event that ends the measured time.
    pub name: &'static str,
    /// Times, in order.
    pub times_ms: Vec<f64>,
    /// Number of changes that were not seen within the limit.
    pub missed: usize,
    /// Median of the times.
    pub median_ms: Option<f64>,
    /// Longest time.
    pub worst_ms: Option<f64>,
}

/// Costs while nothing changes; means over the daemons unless stated otherwise.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Costs {
    /// Gossip bytes sent by a daemon.
    pub sent_bytes_per_s: f64,
    /// Gossip bytes received by a daemon.
    pub received_bytes_per_s: f64,
    /// Gossip datagrams sent by a daemon.
    pub sent_datagrams_per_s: f64,
    /// Processor time of a daemon.
    pub processor_ms_per_s: f64,
    /// Resident memory of a daemon.
    pub resident_bytes: f64,
    /// Calls of the whole fleet to the store, by name.
    pub store_calls_per_s: BTreeMap<String, f64>,
    /// Watches that wait at the store at the end of the measurement.
    pub waiting_watches: u64,
}

impl Row {
    pub(super) fn new(name: &'static str) -> Self {
        Self {
            name,
            times_ms: Vec::new(),
            missed: 0,
            median_ms: None,
            worst_ms: None,
        }
    }

    pub(super) fn add(&mut self, sample: Option<Duration>) {
        let Some(time) = sample else {
            self.missed += 1;
            return;
        };
        self.times_ms.push(time.as_secs_f64() * 1_000.0);
        self.median_ms = median(&self.times_ms);
        self.worst_ms = self.times_ms.iter().copied().reduce(f64::max);
    }

    fn text(&self) -> String {
        let show = |time: Option<f64>| time.map_or("-".into(), |time| format!("{time:.0}"));
        format!(
            "  {:<38} {:>3} {:>7} ms {:>7} ms {:>6}\n",
            self.name,
            self.times_ms.len(),
            show(self.median_ms),
            show(self.worst_ms),
            self.missed
        )
    }
}

impl Figures {
    /// Formats the figures as a table.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{} daemons in {} data centres; {}; a look at all dumps every {:.0} ms\n  \
             {:<38} {:>3} {:>10} {:>10} {:>6}\n",
            self.daemons,
            self.data_centres,
            self.machine,
            self.poll_interval_ms,
            "time",
            "n",
            "median",
            "worst",
            "missed"
        );
        text.extend(self.rows.iter().map(Row::text));
        self.costs.write(&mut text).ok();
        text
    }
}

impl Costs {
    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "  at rest, per daemon: gossip {:.0} B/s out, {:.0} B/s in, {:.1} datagrams/s out; \
             {:.1} ms/s of a core; {:.1} MB resident",
            self.sent_bytes_per_s,
            self.received_bytes_per_s,
            self.sent_datagrams_per_s,
            self.processor_ms_per_s,
            self.resident_bytes / 1e6
        )?;
        write!(text, "  at rest, store calls/s:")?;
        for (name, rate) in &self.store_calls_per_s {
            write!(text, " {name} {rate:.2}")?;
        }
        writeln!(text, "; {} watches wait", self.waiting_watches)
    }
}

/// Returns the cores and the current load average of the machine.
pub(super) fn machine() -> SmolStr {
    let cores = thread::available_parallelism().map_or(0, usize::from);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().unwrap_or("unknown");
    format!("{cores} shared cores, load average {load}").into()
}

/// Median; the mean of the two middle values if their number is even. `None` without values.
pub(super) fn median(values: &[f64]) -> Option<f64> {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let upper = values.get(values.len() / 2)?;
    let lower = values.get((values.len() - 1) / 2)?;
    Some(f64::midpoint(*lower, *upper))
}
