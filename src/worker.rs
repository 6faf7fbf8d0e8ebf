//! The local backend server, as it announces itself.

use {
    crate::request::{Incarnation, ServiceName},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Time without an announcement after which a backend server counts as gone.
pub const ANNOUNCE_LAPSE_MS: u64 = 3_500;

/// Most slots that an announcement may claim.
const MAX_SLOTS: u32 = 100_000;

/// Announcement as it comes in.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct RawAnnouncement {
    service: SmolStr,
    address: SmolStr,
    slots: u32,
    connections: Option<u32>,
    instance: SmolStr,
}

/// Checked announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Announcement {
    /// Service that the backend server offers.
    pub service: ServiceName,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Requests that it says to run at one time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Identity of the process, new with each start.
    pub instance: SmolStr,
}

/// What is wrong with an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum AnnouncementError {
    /// The service's name is empty or holds a slash.
    #[display("service: expected a name without '/', found '{found}'")]
    Service {
        /// What was found.
        found: SmolStr,
    },
    /// The address is not an IP number and port.
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
        let is_service = !raw.service.is_empty() && !raw.service.contains('/');
        if !is_service || raw.service.starts_with('.') {
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
    /// Identity of this life of the backend server.
    pub incarnation: Incarnation,
    /// Time of the latest announcement.
    pub seen_us: u64,
}

/// What an announcement means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
    /// The known backend server is still there.
    Known,
    /// It is there for the first time, or in a new life.
    New,
    /// Another backend server holds the place.
    Occupied,
}

impl Worker {
    /// Judges an announcement against the worker known so far.
    pub fn judge(known: Option<&Self>, announcement: &Announcement, now_us: u64) -> Announced {
        match known {
            Some(known) if known.announcement.instance == announcement.instance => Announced::Known,
            Some(known) if known.is_other_alive(announcement, now_us) => Announced::Occupied,
            _ => Announced::New,
        }
    }

    /// Tells whether the announcements have stopped.
    pub fn has_lapsed(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.seen_us) > ANNOUNCE_LAPSE_MS * 1_000
    }

    // A server that comes back at the same address has replaced the one that was there.
    fn is_other_alive(&self, announcement: &Announcement, now_us: u64) -> bool {
        self.announcement.addr != announcement.addr && !self.has_lapsed(now_us)
    }
}
