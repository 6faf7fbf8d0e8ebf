//! What callers, backend servers and daemons say to each other, as the stand-ins see it.

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
/// Time that the caller still waits, in milliseconds.
pub const REQUEST_TIMEOUT: &str = "Request-Timeout";
/// One for the first send, counted up with each resend.
pub const REQUEST_ATTEMPT: &str = "Request-Attempt";
/// Ticket of a non-idempotent request.
pub const REQUEST_TICKET: &str = "Request-Ticket";
/// Absolute deadline that a backend server is told, in milliseconds since the Unix epoch.
pub const REQUEST_DEADLINE: &str = "Request-Deadline";
/// Outcome that a caller is told.
pub const REQUEST_OUTCOME: &str = "Request-Outcome";
/// Why a request has no answer of a backend server.
pub const REQUEST_REASON: &str = "Request-Reason";
/// Advice on when to send again, in seconds.
pub const RETRY_AFTER: &str = "Retry-After";
/// Advice on when to send again, in milliseconds.
pub const RETRY_AFTER_MS: &str = "Retry-After-Ms";
/// Handle by which a backend server's nested calls are tied to the call they belong to.
pub const CALL_ID: &str = "Call-Id";

/// Position of a call in the call tree; only the stand-ins read it.
pub const LAB_NODE: &str = "Lab-Node";
/// Run that made a nested call; only the stand-ins read it.
pub const LAB_PARENT: &str = "Lab-Parent";
/// Identity of an order, which a resend keeps; only the stand-ins read it.
pub const LAB_ORDER: &str = "Lab-Order";

/// Body text that ends the process of each backend server that runs it.
pub const CRASH_MARKER: &str = "lab-crash";

/// Path at a daemon under which tickets are made.
pub const TICKETS: &str = "/.shallotdeal/tickets";
/// Path at a daemon's worker address.
pub const WORKER: &str = "/worker";

/// Port of a daemon's callers.
pub const CALLERS_PORT: u16 = 7000;
/// Port of calls between daemons.
pub const CALLS_PORT: u16 = 7001;
/// Port of gossip.
pub const GOSSIP_PORT: u16 = 7002;
/// Port of operators.
pub const OPERATORS_PORT: u16 = 7003;
/// Port on which a daemon's own backend server announces itself.
pub const WORKER_PORT: u16 = 7004;
/// Port of the stand-in backend server.
pub const BACKEND_PORT: u16 = 7010;

/// Announcement of a backend server to its daemon, repeated as keep-alive.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the backend server runs.
    pub service: SmolStr,
    /// Address on which it takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// Identity of this life of the process.
    pub instance: SmolStr,
}

/// Answer of the daemon to an announcement.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Serialize, Deserialize)]
pub struct AnnouncementAnswer {
    /// No new work comes.
    #[serde(default)]
    pub draining: bool,
    /// The backend server may end itself.
    #[serde(default)]
    pub stop: bool,
}

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// Name of the daemon.
    pub name: SmolStr,
    /// Region that it stands in.
    pub region: SmolStr,
    /// Data centre that it stands in.
    pub data_centre: SmolStr,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it takes calls of other daemons.
    pub calls: SocketAddr,
    /// Where it gossips.
    pub gossip: SocketAddr,
    /// Where it takes operators.
    pub operators: SocketAddr,
    /// Where it takes its backend server's announcements.
    pub worker: SocketAddr,
    /// Where others reach its calls and gossip, if forwarders stand in front.
    pub advertised: Option<(SocketAddr, SocketAddr)>,
    /// Gossip addresses of first contacts.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store; each daemon keeps its own in memory if none.
    pub store: Option<SocketAddr>,
    /// Whether the daemon runs without the policy, as a comparison.
    pub baseline: bool,
}

impl DaemonSettings {
    /// Text of the daemon's settings file.
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

/// Classes that a daemon knows without any configuration.
const BUILTIN_CLASSES: [&str; 3] = ["default", "order", "read"];

/// Statements that configure a scenario's classes and services.
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

/// The same configuration as the document that the store holds.
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
