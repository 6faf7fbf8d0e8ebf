//! Counters, sent as `StatsD` datagrams and kept for the dump.
//!
//! An unreachable or slow sink never delays a request: datagrams are queued without waiting and
//! dropped when the queue is full.

use {
    crate::{collections::HashMap, settings::MetricsSettings},
    cadence::{Counted, Gauged, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink},
    parking_lot::Mutex,
    std::{collections::BTreeMap, io, net::UdpSocket},
};

/// Maximum number of datagrams queued for the sink.
const QUEUE_DATAGRAMS: usize = 4_096;

/// Counters of one process.
#[derive(Debug)]
pub struct Metrics {
    /// Client of the sink, if one is configured.
    client: Option<StatsdClient>,
    counts: Mutex<HashMap<&'static str, u64>>,
}

impl Metrics {
    /// Counters that are only kept for the dump.
    pub fn local() -> Self {
        Self {
            client: None,
            counts: Mutex::default(),
        }
    }

    /// Counters that are also sent to a sink.
    ///
    /// # Errors
    ///
    /// Fails if no local UDP socket can be opened.
    pub fn statsd(settings: &MetricsSettings) -> io::Result<Self> {
        let unspecified_addr = if settings.statsd_addr.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(unspecified_addr)?;
        socket.set_nonblocking(true)?;
        let udp = UdpMetricSink::from(settings.statsd_addr, socket)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let sink = QueuingMetricSink::with_capacity(udp, QUEUE_DATAGRAMS);
        let client = StatsdClient::from_sink(&settings.prefix, sink);
        Ok(Self {
            client: Some(client),
            counts: Mutex::default(),
        })
    }

    /// Counts one event.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Counts several events.
    pub fn add(&self, name: &'static str, events: u64) {
        *self.counts.lock().entry(name).or_default() += events;
        if let Some(client) = &self.client {
            // A failure to send must not affect the request that is counted.
            let _ = client.count(name, events);
        }
    }

    /// Reports the current value of a quantity.
    pub fn gauge(&self, name: &'static str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
    }

    /// Reports a duration.
    pub fn time_us(&self, name: &'static str, duration_us: u64) {
        if let Some(client) = &self.client {
            let _ = client.time(name, duration_us / 1_000);
        }
    }

    /// Current value of a counter.
    pub fn get(&self, name: &str) -> u64 {
        self.counts.lock().get(name).copied().unwrap_or_default()
    }

    /// All counters, by name.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.counts
            .lock()
            .iter()
            .map(|(name, count)| (*name, *count))
            .collect()
    }
}
