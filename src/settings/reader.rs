//! Reads the keys of a settings file one by one.

use {
    super::{
        Limits, Listen, LogSettings, MetricsSettings, PolicyKind, Settings, SettingsError,
        StoreKind,
    },
    crate::{
        ask::secret::Secret,
        place::{DataCentre, Place, Region},
    },
    ini::{Ini, Properties},
    smol_str::SmolStr,
    std::{net::SocketAddr, str::FromStr},
};

/// Sections and keys that a file may contain.
const KNOWN_KEYS: &[(&str, &[&str])] = &[
    (
        "daemon",
        &[
            "name",
            "region",
            "data-centre",
            "listen-callers",
            "listen-calls",
            "listen-gossip",
            "listen-operators",
            "listen-worker",
            "advertise-calls",
            "advertise-gossip",
            "seeds",
        ],
    ),
    ("store", &["kind", "address"]),
    ("log", &["level", "format"]),
    ("metrics", &["statsd", "prefix"]),
    (
        "limits",
        &[
            "max-connections",
            "max-body-bytes",
            "read-timeout-ms",
            "max-deadline-ms",
            "order-records",
            "answer-memory-bytes",
            "store-calls-per-minute",
            "region-link-bytes-per-s",
        ],
    ),
    ("operators", &["token", "token-env"]),
    ("policy", &["kind"]),
];

/// Reads keys one by one and collects errors.
pub(super) struct Reader<'a> {
    text: &'a str,
    ini: &'a Ini,
    errors: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    /// Creates a reader without errors.
    pub(super) fn new(text: &'a str, ini: &'a Ini) -> Self {
        Self {
            text,
            ini,
            errors: Vec::new(),
        }
    }

    /// Errors found so far, sorted by line.
    pub(super) fn errors(mut self) -> Vec<SettingsError> {
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }

    /// Reads all settings; `None` if a required one is missing or invalid.
    pub(super) fn settings(&mut self) -> Option<Settings> {
        let listen = self.listen();
        let place = self.place(listen);
        let seeds = self.address_list("daemon", "seeds");
        let store = self.store();
        let log = self.log();
        let metrics = self.metrics();
        let limits = self.limits();
        let token = self.token(listen);
        let policy = self.policy();
        Some(Settings {
            place: place?,
            listen: listen?,
            seeds,
            store: store?,
            log: log?,
            metrics,
            limits,
            token,
            policy: policy?,
        })
    }

    fn place(&mut self, listen: Option<Listen>) -> Option<Place> {
        let name = self.required_name("daemon", "name");
        let region = self.required_name("daemon", "region");
        let data_centre = self.required_name("daemon", "data-centre");
        let calls = self.optional("daemon", "advertise-calls");
        let gossip = self.optional("daemon", "advertise-gossip");
        let listen = listen?;
        Some(Place {
            name: name?,
            region: Region(region?),
            data_centre: DataCentre(data_centre?),
            call_addr: calls.unwrap_or(listen.calls_addr),
            gossip_addr: gossip.unwrap_or(listen.gossip_addr),
        })
    }

    fn listen(&mut self) -> Option<Listen> {
        let callers = self.required("daemon", "listen-callers");
        let calls = self.required("daemon", "listen-calls");
        let gossip = self.required("daemon", "listen-gossip");
        let operators = self.required("daemon", "listen-operators");
        let worker = self.required("daemon", "listen-worker");
        self.check_distinct(&[
            ("listen-callers", callers),
            ("listen-calls", calls),
            ("listen-operators", operators),
            ("listen-worker", worker),
        ]);
        Some(Listen {
            callers_addr: callers?,
            calls_addr: calls?,
            gossip_addr: gossip?,
            operators_addr: operators?,
            worker_addr: worker?,
        })
    }

    /// Reports TCP addresses that are used twice. Gossip uses UDP, so its port number may equal
    /// that of another listener.
    fn check_distinct(&mut self, named: &[(&str, Option<SocketAddr>)]) {
        for (index, (key, addr)) in named.iter().enumerate() {
            let Some(addr) = addr else {
                continue;
            };
            let duplicate = named[..index]
                .iter()
                .find(|(_, other)| *other == Some(*addr));
            if let Some((other, _)) = duplicate {
                self.report(
                    "daemon",
                    key,
                    format!("{addr} is already the address of {other}"),
                );
            }
        }
    }

    fn store(&mut self) -> Option<StoreKind> {
        match self.value("store", "kind").unwrap_or("memory") {
            "memory" => Some(StoreKind::Memory),
            "http" => self.required("store", "address").map(StoreKind::Http),
            other => {
                self.report(
                    "store",
                    "kind",
                    format!("expected memory or http, found {other}"),
                );
                None
            }
        }
    }

    fn log(&mut self) -> Option<LogSettings> {
        let level = self
            .optional("log", "level")
            .unwrap_or(tracing::Level::INFO);
        match self.value("log", "format").unwrap_or("human") {
            "human" => Some(LogSettings {
                level,
                is_json: false,
            }),
            "json" => Some(LogSettings {
                level,
                is_json: true,
            }),
            other => {
                self.report(
                    "log",
                    "format",
                    format!("expected human or json, found {other}"),
                );
                None
            }
        }
    }

    fn metrics(&mut self) -> Option<MetricsSettings> {
        let statsd_addr = self.optional("metrics", "statsd")?;
        let prefix = self
            .value("metrics", "prefix")
            .unwrap_or("shallotdeal")
            .into();
        Some(MetricsSettings {
            statsd_addr,
            prefix,
        })
    }

    fn limits(&mut self) -> Limits {
        Limits {
            max_connections: self.limit("max-connections", 4_096, 1..=1_000_000) as usize,
            max_body_bytes: self.limit("max-body-bytes", 1 << 20, 0..=1 << 30) as usize,
            read_timeout_ms: self.limit("read-timeout-ms", 10_000, 10..=600_000),
            max_deadline_ms: self.limit("max-deadline-ms", 60_000, 1..=3_600_000),
            order_records: self.limit("order-records", 100_000, 1..=10_000_000) as usize,
            answer_memory_bytes: self.limit("answer-memory-bytes", 32 << 20, 0..=1 << 32) as usize,
            region_link_bytes_per_s: self.limit("region-link-bytes-per-s", 3_000_000, 0..=1 << 40),
            store_calls_per_min: self.limit("store-calls-per-minute", 10, 0..=60_000) as u32,
        }
    }

    fn token(&mut self, listen: Option<Listen>) -> Option<Secret> {
        let literal = self.value("operators", "token").map(SmolStr::from);
        let variable = self.value("operators", "token-env").map(str::to_owned);
        match (literal, variable) {
            (Some(_), Some(_)) => {
                self.report(
                    "operators",
                    "token-env",
                    "cannot be combined with token".to_owned(),
                );
                None
            }
            (Some(text), None) if text.is_empty() => {
                self.report(
                    "operators",
                    "token",
                    "expected a text that is not empty".to_owned(),
                );
                None
            }
            (Some(text), None) => Some(Secret::new(text)),
            (None, Some(name)) => self.token_from_env(&name),
            (None, None) => {
                let is_exposed =
                    listen.is_some_and(|listen| !listen.operators_addr.ip().is_loopback());
                if is_exposed {
                    let detail = "missing; required unless listen-operators is a loopback address"
                        .to_owned();
                    self.report("operators", "token", detail);
                }
                None
            }
        }
    }

    fn token_from_env(&mut self, name: &str) -> Option<Secret> {
        let token = std::env::var(name).ok().filter(|text| !text.is_empty());
        if token.is_none() {
            let detail = format!("environment variable {name} is not set");
            self.report("operators", "token-env", detail);
        }
        token.map(Secret::new)
    }

    fn policy(&mut self) -> Option<PolicyKind> {
        match self.value("policy", "kind").unwrap_or("shallotdeal") {
            "shallotdeal" => Some(PolicyKind::Full),
            "baseline" => Some(PolicyKind::Baseline),
            other => {
                let detail = format!("expected shallotdeal or baseline, found {other}");
                self.report("policy", "kind", detail);
                None
            }
        }
    }

    /// Reports sections and keys that are unknown, and keys that are given more than once.
    pub(super) fn check_names(&mut self) {
        let ini = self.ini;
        for (section, properties) in ini {
            self.check_section(section.unwrap_or_default(), properties);
        }
    }

    fn check_section(&mut self, section: &str, properties: &Properties) {
        let known = KNOWN_KEYS.iter().find(|(name, _)| *name == section);
        for (key, _) in properties {
            match known {
                Some((_, keys)) if keys.contains(&key) => {}
                Some((_, keys)) => {
                    let detail = format!("unknown key; expected one of {}", keys.join(", "));
                    self.report(section, key, detail);
                }
                None => self.report(section, key, "unknown section".to_owned()),
            }
            if properties.get_all(key).count() > 1 {
                self.report(section, key, "given more than once".to_owned());
            }
        }
    }

    fn value(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key)
    }

    fn required_name(&mut self, section: &str, key: &str) -> Option<SmolStr> {
        let text = self.value(section, key).map(SmolStr::from);
        match text {
            Some(text) if is_valid_name(&text) => Some(text),
            Some(text) => {
                let detail = format!("expected letters, digits, '-', '_' or '.', found '{text}'");
                self.report(section, key, detail);
                None
            }
            None => {
                self.report(section, key, "missing".to_owned());
                None
            }
        }
    }

    fn required<T: FromStr>(&mut self, section: &str, key: &str) -> Option<T> {
        if self.value(section, key).is_none() {
            self.report(section, key, "missing".to_owned());
        }
        self.optional(section, key)
    }

    fn optional<T: FromStr>(&mut self, section: &str, key: &str) -> Option<T> {
        let text = self.value(section, key)?.to_owned();
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let detail = format!("expected {}, found '{text}'", expected_form::<T>());
            self.report(section, key, detail);
        }
        parsed
    }

    fn address_list(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        let text = self.value(section, key).unwrap_or_default().to_owned();
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        let mut addrs = Vec::new();
        for item in items {
            match item.parse() {
                Ok(addr) if addrs.contains(&addr) => {
                    self.report(section, key, format!("{addr} is listed twice"));
                }
                Ok(addr) => addrs.push(addr),
                Err(_) => {
                    let detail = format!("expected IP:PORT, found '{item}'");
                    self.report(section, key, detail);
                }
            }
        }
        addrs
    }

    fn limit(&mut self, key: &str, default: u64, range: std::ops::RangeInclusive<u64>) -> u64 {
        let Some(text) = self.value("limits", key).map(str::to_owned) else {
            return default;
        };
        match text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = range.into_inner();
                let detail =
                    format!("expected a whole number from {low} to {high}, found '{text}'");
                self.report("limits", key, detail);
                default
            }
        }
    }

    fn report(&mut self, section: &str, key: &str, detail: String) {
        let line = line_of(self.text, section, key);
        let error = SettingsError {
            line,
            section: section.into(),
            key: key.into(),
            detail,
        };
        if !self.errors.contains(&error) {
            self.errors.push(error);
        }
    }
}

/// Expected form of a value of this type, for error messages.
fn expected_form<T>() -> &'static str {
    if std::any::type_name::<T>() == std::any::type_name::<SocketAddr>() {
        "IP:PORT"
    } else {
        "one of error, warn, info, debug, trace"
    }
}

fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(is_allowed)
}

/// Line of a key, or of its section if the key is missing; zero if neither is in the file.
pub(crate) fn line_of(text: &str, section: &str, key: &str) -> usize {
    let header = format!("[{section}]");
    let mut in_section = section.is_empty();
    let mut section_line = 0;
    for (index, line) in text.lines().map(str::trim).enumerate() {
        if line.starts_with('[') {
            in_section = line == header;
            if in_section && section_line == 0 {
                section_line = index + 1;
            }
        }
        let line_key = line.split(['=', ':']).next().map(str::trim);
        if in_section && line_key == Some(key) {
            return index + 1;
        }
    }
    section_line
}
