//! Settings of a daemon on the platform, decoded from INI text and validated.

use {
    crate::{
        place::{DataCentre, Region},
        policy::{quota::QuotaRules, retry_budget::RetryBudgetRules},
        request::ServiceName,
        settings::{SettingsError, SettingsErrors, line_of},
    },
    ini::Ini,
    smol_str::{SmolStr, format_smolstr},
    std::{net::SocketAddr, str::FromStr},
};

/// Name of the section with all settings of a daemon on the platform.
pub const SECTION: &str = "mesh";

/// Window in which the requests of an organisation are counted, unless set.
const DEFAULT_QUOTA_WINDOW_S: f64 = 5.0;

/// Share by which the requests in a window may exceed a quota, unless set.
const DEFAULT_QUOTA_OVERAGE: f64 = 0.1;

/// Time within which a change of the configuration must be in force, unless set.
const DEFAULT_PROPAGATION_MS: f64 = 2_000.0;

/// Returns whether a settings file is for a daemon on the platform.
pub fn is_mesh(text: &str) -> bool {
    Ini::load_from_str(text).is_ok_and(|ini| ini.section(Some(SECTION)).is_some())
}

/// Longest part of the grace time reserved for the exit of the process, which takes time on a slow
/// VM.
const GRACE_RESERVE_MAX_MS: u64 = 1_000;

/// Part of a short grace time reserved for the exit, as a divisor.
const GRACE_RESERVE_DIVISOR: u64 = 6;

/// Validated settings.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshSettings {
    /// Name of the VM.
    pub name: SmolStr,
    /// Region of the VM.
    pub region: Region,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Listening address for clients, and for downstream calls of the local worker.
    pub clients_addr: SocketAddr,
    /// Listening address for reports of the local worker.
    pub control_addr: SocketAddr,
    /// Listening address for readiness probes.
    pub ready_addr: SocketAddr,
    /// Listening address for calls from other daemons.
    pub calls_addr: SocketAddr,
    /// Listening address for metrics.
    pub metrics_addr: SocketAddr,
    /// Address of the local worker.
    pub worker_addr: SocketAddr,
    /// Service of the local worker.
    pub service: ServiceName,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Shortest lease that the store grants.
    pub lease_min_ms: u64,
    /// Time within which an acknowledged change of the configuration must be in force.
    pub propagation_ms: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace_ms: u64,
    /// Limit on retries to a service.
    pub retry_budget: RetryBudgetRules,
    /// Limits on what organisations send.
    pub quota: QuotaRules,
    /// Lowest level that is logged.
    pub log_level: tracing::Level,
}

impl MeshSettings {
    /// Part of the grace time in which requests may finish.
    pub fn usable_grace_ms(&self) -> u64 {
        let reserve_ms = (self.grace_ms / GRACE_RESERVE_DIVISOR).min(GRACE_RESERVE_MAX_MS);
        self.grace_ms - reserve_ms
    }
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
            errors: Vec::new(),
        };
        let settings = reader.settings();
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors(reader.errors)),
        }
    }
}

struct Reader<'a> {
    text: &'a str,
    ini: &'a Ini,
    errors: Vec<SettingsError>,
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
        let propagation_ms = self.positive_or("propagation-ms", DEFAULT_PROPAGATION_MS);
        let grace_s = self.positive("grace-s");
        let ratio = self.positive("retry-ratio");
        let window_s = self.positive("retry-window-s");
        let quota_window_s = self.positive_or("quota-window-s", DEFAULT_QUOTA_WINDOW_S);
        let quota_overage = self.positive_or("quota-overage", DEFAULT_QUOTA_OVERAGE);
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
            propagation_ms: propagation_ms? as u64,
            grace_ms: (grace_s? * 1_000.0) as u64,
            retry_budget: RetryBudgetRules {
                ratio: ratio?,
                window_us: (window_s? * 1e6) as u64,
            },
            quota: QuotaRules::new((quota_window_s? * 1e6) as u64, quota_overage?),
            log_level: log_level?,
        })
    }

    fn positive(&mut self, key: &'static str) -> Option<f64> {
        let value: f64 = self.get(key)?;
        if value.is_finite() && value > 0.0 {
            return Some(value);
        }
        self.record_error(key, format_smolstr!("{value} is not a positive number"));
        None
    }

    /// Value of a key that may be missing or empty, as on platforms without quotas.
    fn positive_or(&mut self, key: &'static str, default: f64) -> Option<f64> {
        let text = self.ini.get_from(Some(SECTION), key).map(str::trim);
        if text.unwrap_or_default().is_empty() {
            return Some(default);
        }
        self.positive(key)
    }

    fn get<T: FromStr>(&mut self, key: &'static str) -> Option<T> {
        let text = self
            .ini
            .get_from(Some(SECTION), key)
            .map(str::trim)
            .unwrap_or_default();
        if text.is_empty() {
            self.record_error(key, "missing".into());
            return None;
        }
        let value = text.parse().ok();
        if value.is_none() {
            self.record_error(key, format_smolstr!("{text} is not a valid value"));
        }
        value
    }

    fn record_error(&mut self, key: &'static str, detail: SmolStr) {
        self.errors.push(SettingsError {
            line: line_of(self.text, SECTION, key),
            section: SECTION.into(),
            key: key.into(),
            detail: detail.into(),
        });
    }
}
