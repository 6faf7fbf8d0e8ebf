//! Settings of a daemon on the platform: INI text in, checked types out.

use {
    crate::{
        place::{DataCentre, Region},
        policy::retry_budget::RetryBudgetRules,
        request::ServiceName,
        settings::{SettingsError, SettingsErrors, line_of},
    },
    ini::Ini,
    smol_str::{SmolStr, format_smolstr},
    std::{net::SocketAddr, str::FromStr},
};

/// Section that holds all settings of a daemon on the platform.
pub const SECTION: &str = "mesh";

/// Tells whether a settings file is for a daemon on the platform.
pub fn is_mesh(text: &str) -> bool {
    Ini::load_from_str(text).is_ok_and(|ini| ini.section(Some(SECTION)).is_some())
}

/// Checked settings.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshSettings {
    /// Name of the VM.
    pub name: SmolStr,
    /// Region of the VM.
    pub region: Region,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Clients, and calls of the local worker.
    pub clients_addr: SocketAddr,
    /// Reports of the local worker.
    pub control_addr: SocketAddr,
    /// Readiness.
    pub ready_addr: SocketAddr,
    /// Other daemons.
    pub calls_addr: SocketAddr,
    /// Metrics.
    pub metrics_addr: SocketAddr,
    /// The local worker.
    pub worker_addr: SocketAddr,
    /// Service of the local worker.
    pub service: ServiceName,
    /// The platform's store.
    pub store_addr: SocketAddr,
    /// Shortest lease that the store grants.
    pub lease_min_ms: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace_ms: u64,
    /// Bound on extra sends.
    pub allowance: RetryBudgetRules,
    /// Lowest level that is logged.
    pub log_level: tracing::Level,
}

impl TryFrom<&str> for MeshSettings {
    type Error = SettingsErrors;

    fn try_from(text: &str) -> Result<Self, SettingsErrors> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            SettingsErrors(vec![SettingsError {
                line: error.line,
                section: SECTION.into(),
                key: SmolStr::default(),
                detail: error.to_string(),
            }])
        })?;
        let mut reader = Reader {
            text,
            ini: &ini,
            faults: Vec::new(),
        };
        let settings = reader.settings();
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(SettingsErrors(reader.faults)),
        }
    }
}

struct Reader<'a> {
    text: &'a str,
    ini: &'a Ini,
    faults: Vec<SettingsError>,
}

impl Reader<'_> {
    fn settings(&mut self) -> Option<MeshSettings> {
        let name = self.get::<SmolStr>("name");
        let region = self.get::<SmolStr>("region");
        let data_centre = self.get::<SmolStr>("data-centre");
        let clients_addr = self.get("listen-clients");
        let control_addr = self.get("listen-control");
        let ready_addr = self.get("listen-ready");
        let calls_addr = self.get("listen-calls");
        let metrics_addr = self.get("listen-metrics");
        let worker_addr = self.get("worker");
        let service = self.get::<SmolStr>("service");
        let store_addr = self.get("store");
        let lease_min_ms = self.get("lease-min-ms");
        let grace_s = self.positive("grace-s");
        let ratio = self.positive("retry-ratio");
        let window_s = self.positive("retry-window-s");
        let log_level = self.get("log-level");
        Some(MeshSettings {
            name: name?,
            region: Region(region?),
            data_centre: DataCentre(data_centre?),
            clients_addr: clients_addr?,
            control_addr: control_addr?,
            ready_addr: ready_addr?,
            calls_addr: calls_addr?,
            metrics_addr: metrics_addr?,
            worker_addr: worker_addr?,
            service: service?,
            store_addr: store_addr?,
            lease_min_ms: lease_min_ms?,
            grace_ms: (grace_s? * 1_000.0) as u64,
            allowance: RetryBudgetRules {
                ratio: ratio?,
                window_us: (window_s? * 1e6) as u64,
            },
            log_level: log_level?,
        })
    }

    fn positive(&mut self, key: &'static str) -> Option<f64> {
        let value: f64 = self.get(key)?;
        if value.is_finite() && value > 0.0 {
            return Some(value);
        }
        self.fault(key, format_smolstr!("{value} is not above zero"));
        None
    }

    fn get<T: FromStr>(&mut self, key: &'static str) -> Option<T> {
        let text = self
            .ini
            .get_from(Some(SECTION), key)
            .map(str::trim)
            .unwrap_or_default();
        if text.is_empty() {
            self.fault(key, "missing".into());
            return None;
        }
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(key, format_smolstr!("{text} cannot be read"));
        }
        value
    }

    fn fault(&mut self, key: &'static str, detail: SmolStr) {
        self.faults.push(SettingsError {
            line: line_of(self.text, SECTION, key),
            section: SECTION.into(),
            key: key.into(),
            detail: detail.into(),
        });
    }
}
