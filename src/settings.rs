//! Settings of one daemon: INI text in, checked types out.
//!
//! Every fault of a file is reported at once, each with its section, key and line.

mod reader;

pub(crate) use reader::line_of;

use {
    crate::{ask::secret::Secret, place::Place},
    derive_more::{Display, Error},
    ini::Ini,
    reader::Reader,
    smol_str::SmolStr,
    std::{fmt, net::SocketAddr},
};

/// Checked settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, region, data centre and advertised addresses.
    pub place: Place,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Gossip addresses of first contacts.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StoreKind,
    /// Logging.
    pub log: LogSettings,
    /// Where metrics go, if anywhere.
    pub metrics: Option<MetricsSettings>,
    /// Bounds on input and memory.
    pub limits: Limits,
    /// Operators' token, if one is required.
    pub token: Option<Secret>,
    /// Which policy decides.
    pub policy: PolicyKind,
}

/// Addresses that one daemon listens on.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// Callers, and nested calls of the backend server.
    pub callers_addr: SocketAddr,
    /// Calls of other daemons.
    pub calls_addr: SocketAddr,
    /// Gossip of other daemons.
    pub gossip_addr: SocketAddr,
    /// Operators.
    pub operators_addr: SocketAddr,
    /// Announcements of the backend server.
    pub worker_addr: SocketAddr,
}

/// Which store adapter is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreKind {
    /// In the process itself; nothing outlives it.
    Memory,
    /// The platform's service at this address.
    Http(SocketAddr),
}

/// Settings of logging.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: tracing::Level,
    /// Whether lines are JSON objects.
    pub is_json: bool,
}

/// Settings of metrics.
#[derive(Debug, Clone)]
pub struct MetricsSettings {
    /// `StatsD` address (UDP).
    pub statsd_addr: SocketAddr,
    /// Prefix of each metric.
    pub prefix: SmolStr,
}

/// Bounds on input and memory.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections of callers at one time.
    pub max_connections: usize,
    /// Size of a request's or an answer's body.
    pub max_body_bytes: usize,
    /// Time in which a sender has to finish a head, and then a body.
    pub read_timeout_ms: u64,
    /// Longest deadline that a request may ask for.
    pub max_deadline_ms: u64,
    /// Records of non-idempotent requests kept at one time.
    pub order_records: usize,
    /// Memory for answers kept for resends.
    pub answer_memory_bytes: usize,
    /// Bytes that all daemons of the region may send to other regions each second.
    pub region_link_bytes_per_s: u64,
    /// Store calls that this daemon may make in a minute to bind callers' own keys.
    pub store_calls_per_min: u32,
}

/// Which policy decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum PolicyKind {
    /// The product.
    #[display("shallotdeal")]
    Full,
    /// No shedding and naive retries, for comparison.
    #[display("baseline")]
    Baseline,
}

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
#[display("line {line}: [{section}] {key}: {detail}")]
pub struct Fault {
    /// Line, counted from one; zero if the key is missing.
    pub line: usize,
    /// Section.
    pub section: SmolStr,
    /// Key.
    pub key: SmolStr,
    /// What is wrong, and what was expected.
    pub detail: String,
}

/// All faults of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl TryFrom<&str> for Settings {
    type Error = Faults;

    fn try_from(text: &str) -> Result<Self, Faults> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            Faults(vec![Fault {
                line: error.line,
                section: SmolStr::default(),
                key: SmolStr::default(),
                detail: error.msg.to_string(),
            }])
        })?;
        let mut reader = Reader::new(text, &ini);
        reader.check_names();
        let settings = reader.settings();
        let faults = reader.faults();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Faults(faults)),
        }
    }
}
