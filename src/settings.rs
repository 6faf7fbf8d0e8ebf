//! Settings of one daemon, parsed from an INI file and validated.
//!
//! All errors of a file are reported together, each with its section, key and line.

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

/// Validated settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, region, data centre and advertised addresses.
    pub place: Place,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Gossip addresses of the daemons to contact at start.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StoreKind,
    /// Logging.
    pub log: LogSettings,
    /// Metrics, if they are sent.
    pub metrics: Option<MetricsSettings>,
    /// Limits on input and memory.
    pub limits: Limits,
    /// Token that operators must send, if one is required.
    pub token: Option<Secret>,
    /// Overload control policy.
    pub policy: PolicyKind,
}

/// Addresses that one daemon listens on.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// Requests of callers, and nested calls of the backend server.
    pub callers_addr: SocketAddr,
    /// Calls of other daemons.
    pub calls_addr: SocketAddr,
    /// Gossip of other daemons.
    pub gossip_addr: SocketAddr,
    /// Requests of operators.
    pub operators_addr: SocketAddr,
    /// Announcements of the backend server.
    pub worker_addr: SocketAddr,
}

/// Kind of store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreKind {
    /// In the daemon's memory; the content is lost when the process ends.
    Memory,
    /// The platform's key-value service at this address.
    Http(SocketAddr),
}

/// Settings of logging.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Least severe level that is logged.
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

/// Limits on input and memory.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest number of concurrent connections from callers.
    pub max_connections: usize,
    /// Largest body of a request or response.
    pub max_body_bytes: usize,
    /// Time within which a sender must finish a head, and then a body.
    pub read_timeout_ms: u64,
    /// Longest deadline that a request may set.
    pub max_deadline_ms: u64,
    /// Largest number of records of non-idempotent requests kept at one time.
    pub order_records: usize,
    /// Memory for responses kept to answer resent requests.
    pub answer_memory_bytes: usize,
    /// Bytes per second that all daemons of the region together may exchange with other regions.
    pub region_link_bytes_per_s: u64,
    /// Store calls per minute that this daemon may make to bind keys chosen by callers.
    pub store_calls_per_min: u32,
}

/// Kind of overload control policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum PolicyKind {
    /// The complete overload control of this project.
    #[display("shallotdeal")]
    Full,
    /// No load shedding and naive retries, as a baseline for comparisons.
    #[display("baseline")]
    Baseline,
}

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
#[display("line {line}: [{section}] {key}: {detail}")]
pub struct SettingsError {
    /// Line, from one; zero if neither the key nor its section is in the file.
    pub line: usize,
    /// Section.
    pub section: SmolStr,
    /// Key.
    pub key: SmolStr,
    /// Description of the error and of the expected value.
    pub detail: String,
}

/// All errors in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub struct SettingsErrors(#[error(not(source))] pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{error}")?;
        }
        Ok(())
    }
}

impl TryFrom<&str> for Settings {
    type Error = SettingsErrors;

    fn try_from(text: &str) -> Result<Self, SettingsErrors> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            SettingsErrors(vec![SettingsError {
                line: error.line,
                section: SmolStr::default(),
                key: SmolStr::default(),
                detail: error.msg.to_string(),
            }])
        })?;
        let mut reader = Reader::new(text, &ini);
        reader.check_names();
        let settings = reader.settings();
        let errors = reader.errors();
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors(errors)),
        }
    }
}
