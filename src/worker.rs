//! The local backend server, as it announces itself.

use {
    crate::request::{Incarnation, ServiceName},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Time without an announcement after which a backend server counts as stopped.
pub const ANNOUNCEMENT_TIMEOUT_MS: u64 = 3_500;

/// Maximum number of slots in an announcement.
const MAX_SLOTS: u32 = 100_000;

/// Announcement as received.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct RawAnnouncement {
    service: SmolStr,
    address: SmolStr,
    slots: u32,
    connections: Option<u32>,
    instance: SmolStr,
}

/// Validated announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Announcement {
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
    /// Requests that it can run at the same time, as it states.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Identity of the process, different after each start.
    pub instance: SmolStr,
}

/// Why an announcement is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum AnnouncementError {
    /// The service's name is empty, contains a slash or starts with a dot.
    #[display("service: expected a name without '/', found '{found}'")]
    Service {
        /// What was found.
        found: SmolStr,
    },
    /// The address is not an IP address and port.
    #[display("address: expected IP:PORT, found '{found}'")]
    Address {
        /// What was found.
        found: SmolStr,
    },
    /// The number of slots is out of range.
    #[display("slots: expected 1 to {MAX_SLOTS}, found {found}")]
    Slots {
        /// What was found.
        found: u32,
    },
    /// The instance is empty.
    #[display("instance: expected a text that is new with each start of the server")]
    Instance,
}

impl TryFrom<RawAnnouncement> for Announcement {
    type Error = AnnouncementError;

    fn try_from(raw: RawAnnouncement) -> Result<Self, AnnouncementError> {
        let is_valid_name = !raw.service.is_empty() && !raw.service.contains('/');
        if !is_valid_name || raw.service.starts_with('.') {
            return Err(AnnouncementError::Service { found: raw.service });
        }
        if raw.slots == 0 || raw.slots > MAX_SLOTS {
            return Err(AnnouncementError::Slots { found: raw.slots });
        }
        if raw.instance.is_empty() {
            return Err(AnnouncementError::Instance);
        }
        let Ok(addr) = raw.address.parse() else {
            return Err(AnnouncementError::Address { found: raw.address });
        };
        let connections = raw.connections.unwrap_or(raw.slots).max(raw.slots);
        Ok(Self {
            service: raw.service,
            addr,
            slots: raw.slots,
            connections,
            instance: raw.instance,
        })
    }
}

/// The backend server on this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Worker {
    /// Latest announcement.
    pub announcement: Announcement,
    /// Current incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Time of the latest announcement.
    pub seen_us: u64,
}

/// Kind of an announcement, compared with the known worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementKind {
    /// The known backend server repeats its announcement.
    Renewal,
    /// A backend server announces itself for the first time or after a restart.
    NewIncarnation,
    /// Another backend server is still registered at this daemon.
    Conflict,
}

impl Worker {
    /// Compares an announcement with the worker known so far.
    pub fn classify(
        known: Option<&Self>,
        announcement: &Announcement,
        now_us: u64,
    ) -> AnnouncementKind {
        match known {
            Some(known) if known.announcement.instance == announcement.instance => {
                AnnouncementKind::Renewal
            }
            Some(known) if known.conflicts_with(announcement, now_us) => AnnouncementKind::Conflict,
            _ => AnnouncementKind::NewIncarnation,
        }
    }

    /// Tells whether no announcement has arrived in time.
    pub fn has_timed_out(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.seen_us) > ANNOUNCEMENT_TIMEOUT_MS * 1_000
    }

    // A new instance at the same address is no conflict: it has replaced the known one.
    fn conflicts_with(&self, announcement: &Announcement, now_us: u64) -> bool {
        self.announcement.addr != announcement.addr && !self.has_timed_out(now_us)
    }
}
