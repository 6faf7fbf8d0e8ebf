//! Records of the daemons of one data centre.

use {
    crate::{
        config::Revision,
        place::Place,
        request::{Incarnation, Level, ServiceName},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
};

new_key_type! {
    /// Key of a member in the arena of one [`crate::fleet::Fleet`].
    pub struct MemberKey;
}

/// Identifies one incarnation of a daemon process; a restarted daemon gets a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Generation(pub u64);

impl Generation {
    /// Creates the generation of a daemon that starts now; `salt` distinguishes daemons started in
    /// the same millisecond.
    pub fn starting(now_unix_ms: u64, salt: u64) -> Self {
        Self((now_unix_ms << 20) | (salt & 0xf_ffff))
    }
}

/// Status of a member; at the same version a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub enum Status {
    /// It responds to probes.
    #[display("alive")]
    Alive,
    /// A probe failed; the member may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// It did not refute the suspicion in time.
    #[display("dead")]
    Dead,
    /// It announced that it leaves the fleet.
    #[display("left")]
    Left,
}

impl Status {
    /// Returns whether the member counts as part of the fleet.
    pub fn is_live(self) -> bool {
        self <= Self::Suspect
    }
}

/// Backend server as announced by the daemon in front of it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdvertisedWorker {
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Service that it runs.
    pub service: ServiceName,
    /// Number of requests that it may run at once.
    pub slots: u32,
    /// Number of requests in flight.
    pub load: u16,
    /// Admission level of its gate.
    pub level: Level,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
}

impl AdvertisedWorker {
    /// Returns whether all fields but load, level and drain state are equal.
    pub(crate) fn same_body(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.service == other.service
            && self.slots == other.slots
    }
}

/// Record of one member: what its daemon announced, and the status that others assigned to it.
///
/// Load, level, drain state, status and revision change often and are gossiped separately as
/// [`MemberState`]; the rest is the body of the record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Place and addresses.
    pub place: Place,
    /// Generation of the daemon.
    pub generation: Generation,
    /// Number that the member raises with each change and refutation.
    pub version: u32,
    /// Version at which the body last changed.
    pub body_version: u32,
    /// Status.
    pub status: Status,
    /// Backend server behind the daemon, if one has announced itself.
    pub worker: Option<AdvertisedWorker>,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Digest of crash suspects; opaque to this module.
    pub suspects: Vec<u8>,
}

impl Member {
    /// Returns the precedence of this record over others of the same generation.
    pub fn precedence(&self) -> u64 {
        precedence(self.version, self.status)
    }

    /// Returns whether it has a worker that accepts new requests.
    pub fn accepts_work(&self) -> bool {
        self.status.is_live() && self.worker.as_ref().is_some_and(|worker| !worker.draining)
    }

    /// Returns the frequently changing part of the record.
    pub fn state(&self) -> MemberState {
        let worker = self.worker.as_ref();
        MemberState {
            generation: self.generation,
            version: self.version,
            body_version: self.body_version,
            status: self.status,
            draining: worker.is_some_and(|worker| worker.draining),
            load: worker.map_or(0, |worker| worker.load),
            level: worker.map_or(Level::OPEN, |worker| worker.level),
            revision: self.revision,
        }
    }

    /// Applies a newer state of the same body.
    pub(crate) fn apply(&mut self, state: &MemberState) {
        self.version = state.version;
        self.status = state.status;
        self.revision = self.revision.max(state.revision);
        if let Some(worker) = &mut self.worker {
            worker.draining = state.draining;
            worker.load = state.load;
            worker.level = state.level;
        }
    }
}

/// Frequently changing part of a member's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberState {
    /// Generation of the daemon.
    pub generation: Generation,
    /// Version of this state.
    pub version: u32,
    /// Version at which the body of the record last changed.
    pub body_version: u32,
    /// Status.
    pub status: Status,
    /// Whether the worker is draining and accepts no new requests.
    pub draining: bool,
    /// Number of requests in flight.
    pub load: u16,
    /// Admission level of the gate.
    pub level: Level,
    /// Configuration revision in force.
    pub revision: Revision,
}

impl MemberState {
    /// Returns the precedence of this record over others of the same generation.
    pub fn precedence(&self) -> u64 {
        precedence(self.version, self.status)
    }
}

fn precedence(version: u32, status: Status) -> u64 {
    (u64::from(version) << 2) | status as u64
}
