//! Headers, ports, announcements and settings that stand-ins share with daemons.

use {
    crate::scenario::Scenario,
    serde::{Deserialize, Serialize},
    shallotdeal::{
        config::{ClassRule, Config, Revision, ServiceRule},
        request::Importance,
    },
    smol_str::SmolStr,
    std::{fmt::Write, net::SocketAddr},
};

/// Identity of a client request, 32 hex digits.
pub const REQUEST_ID: &str = "Request-Id";
/// Class of a client request.
pub const REQUEST_CLASS: &str = "Request-Class";
/// Remaining time of the caller, in milliseconds.
pub const REQUEST_TIMEOUT: &str = "Request-Timeout";
/// Number of the send: one for the first, increased by each resend.
pub const REQUEST_ATTEMPT: &str = "Request-Attempt";
/// Ticket of a non-idempotent request.
pub const REQUEST_TICKET: &str = "Request-Ticket";
/// Deadline passed to a backend server, in milliseconds since the Unix epoch.
pub const REQUEST_DEADLINE: &str = "Request-Deadline";
/// Outcome of a request without an answer of a backend server.
pub const REQUEST_OUTCOME: &str = "Request-Outcome";
/// Reason why a request has no answer of a backend server.
pub const REQUEST_REASON: &str = "Request-Reason";
/// Recommended delay before a resend, in seconds.
pub const RETRY_AFTER: &str = "Retry-After";
/// Recommended delay before a resend, in milliseconds.
pub const RETRY_AFTER_MS: &str = "Retry-After-Ms";
/// Identity that ties a backend server's nested calls to the call that caused them.
pub const CALL_ID: &str = "Call-Id";

/// Position of a call in the call tree; read only by the stand-ins.
pub const LAB_NODE: &str = "Lab-Node";
/// Run that made a nested call; read only by the stand-ins.
pub const LAB_PARENT: &str = "Lab-Parent";
/// Identity of an order, the same for all its sends; read only by the stand-ins.
pub const LAB_ORDER: &str = "Lab-Order";

/// Body text that makes a backend server exit when it runs the request.
pub const CRASH_MARKER: &str = "lab-crash";

/// Path of a daemon under which it mints tickets.
pub const TICKETS: &str = "/.shallotdeal/tickets";
/// Path of announcements at a daemon's worker address.
pub const WORKER: &str = "/worker";

/// Port of a daemon for callers.
pub const CALLERS_PORT: u16 = 7000;
/// Port of a daemon for calls of other daemons.
pub const CALLS_PORT: u16 = 7001;
/// Port of a daemon for gossip.
pub const GOSSIP_PORT: u16 = 7002;
/// Port of a daemon for operators.
pub const OPERATORS_PORT: u16 = 7003;
/// Port of a daemon for announcements of its backend server.
pub const WORKER_PORT: u16 = 7004;
/// Port of the stand-in backend server.
pub const BACKEND_PORT: u16 = 7010;

/// Announcement of a backend server to its daemon, repeated as a keep-alive.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the backend server runs.
    pub service: SmolStr,
    /// Address on which it accepts calls.
    pub address: SocketAddr,
    /// Calls that it runs concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Identity of this incarnation of the process.
    pub instance: SmolStr,
}

/// Answer of the daemon to an announcement.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Serialize, Deserialize)]
pub struct AnnouncementAnswer {
    /// Whether the daemon sends no new work.
    #[serde(default)]
    pub draining: bool,
    /// Whether the backend server may exit.
    #[serde(default)]
    pub stop: bool,
}

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// Name of the daemon.
    pub name: SmolStr,
    /// Region of the daemon.
    pub region: SmolStr,
    /// Data centre of the daemon.
    pub data_centre: SmolStr,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for calls of other daemons.
    pub calls: SocketAddr,
    /// Listen address for gossip.
    pub gossip: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for announcements of its backend server.
    pub worker: SocketAddr,
    /// Advertised addresses for calls and gossip, if forwarders are in between.
    pub advertised: Option<(SocketAddr, SocketAddr)>,
    /// Gossip addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store; `None` uses a store in the daemon's memory.
    pub store: Option<SocketAddr>,
    /// Whether the daemon runs the baseline policy.
    pub baseline: bool,
}

impl DaemonSettings {
    /// Returns the text of the daemon's settings file.
    pub fn ini(&self) -> String {
        let mut ini = String::new();
        self.write(&mut ini).ok();
        ini
    }

    fn write(&self, ini: &mut String) -> std::fmt::Result {
        writeln!(ini, "[daemon]\nname = {}", self.name)?;
        writeln!(ini, "region = {}", self.region)?;
        writeln!(ini, "data-centre = {}", self.data_centre)?;
        writeln!(ini, "listen-callers = {}", self.callers)?;
        writeln!(ini, "listen-calls = {}", self.calls)?;
        writeln!(ini, "listen-gossip = {}", self.gossip)?;
        writeln!(ini, "listen-operators = {}", self.operators)?;
        writeln!(ini, "listen-worker = {}", self.worker)?;
        if let Some((calls, gossip)) = self.advertised {
            writeln!(ini, "advertise-calls = {calls}")?;
            writeln!(ini, "advertise-gossip = {gossip}")?;
        }
        let seeds: Vec<_> = self.seeds.iter().map(SocketAddr::to_string).collect();
        writeln!(ini, "seeds = {}", seeds.join(", "))?;
        match self.store {
            Some(address) => writeln!(ini, "[store]\nkind = http\naddress = {address}")?,
            None => writeln!(ini, "[store]\nkind = memory")?,
        }
        if self.baseline {
            writeln!(ini, "[policy]\nkind = baseline")?;
        }
        writeln!(ini, "[log]\nlevel = info\nformat = human")
    }
}

/// Classes that exist without any configuration.
const BUILTIN_CLASSES: [&str; 3] = ["default", "order", "read"];

/// Returns operators' statements that configure a scenario's classes and services.
pub fn statements(scenario: &Scenario) -> String {
    let mut text = String::new();
    for class in &scenario.classes {
        let builtin = BUILTIN_CLASSES.contains(&class.name.as_str());
        writeln!(
            text,
            "{} class {} importance {} retries {} {} deadline {}ms",
            if builtin { "change" } else { "create" },
            class.name,
            class.importance,
            class.retry_allowance,
            if class.idempotent {
                "idempotent"
            } else {
                "not-idempotent"
            },
            class.deadline_ms,
        )
        .ok();
    }
    for service in &scenario.services {
        writeln!(text, "create service {}", service.name).ok();
    }
    text
}

/// Returns the same configuration as the document kept in the store.
pub fn configuration(scenario: &Scenario) -> Config {
    let mut config = Config::initial();
    config.revision = Revision(1);
    for class in &scenario.classes {
        let rule = ClassRule {
            importance: Importance(class.importance),
            retry_allowance: class.retry_allowance as u8,
            idempotent: class.idempotent,
            deadline_ms: class.deadline_ms as u32,
        };
        config.classes.insert(class.name.clone(), rule);
    }
    for service in &scenario.services {
        config
            .services
            .insert(service.name.clone(), ServiceRule::default());
    }
    config
}
