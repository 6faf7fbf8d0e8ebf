//! What is known of one daemon of the own data centre.

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

/// One life of one daemon; a replaced VM gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Generation(pub u64);

impl Generation {
    /// Generation of a daemon that starts now; `salt` tells apart daemons of one millisecond.
    pub fn starting(now_unix_ms: u64, salt: u64) -> Self {
        Self((now_unix_ms << 20) | (salt & 0xf_ffff))
    }
}

/// Verdict on a member; a later one wins over an earlier one of the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    #[display("alive")]
    Alive,
    /// It did not answer and may still refute that.
    #[display("suspect")]
    Suspect,
    /// It did not answer for the whole time of suspicion.
    #[display("dead")]
    Dead,
    /// It said that it leaves.
    #[display("left")]
    Left,
}

impl Status {
    /// Tells whether the member still takes part.
    pub fn is_live(self) -> bool {
        self <= Self::Suspect
    }
}

/// What a daemon announces of the backend server behind it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerAd {
    /// Life of the backend server.
    pub incarnation: Incarnation,
    /// Service that it runs.
    pub service: ServiceName,
    /// Requests that it may run at once.
    pub slots: u32,
    /// Requests in hand.
    pub load: u16,
    /// Admission level of its gate.
    pub level: Level,
    /// Whether it takes no new work.
    pub draining: bool,
}

impl WorkerAd {
    /// Tells whether everything but load, level and drain is equal.
    pub(crate) fn same_body(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.service == other.service
            && self.slots == other.slots
    }
}

/// One member as its own daemon described it, and the verdict of others on it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Place and addresses.
    pub place: Place,
    /// Life of the daemon.
    pub generation: Generation,
    /// Counts the member's own changes and refutations.
    pub version: u32,
    /// Version at which anything but the light part last changed.
    pub body_version: u32,
    /// Verdict.
    pub status: Status,
    /// Backend server behind it, if one has announced itself.
    pub worker: Option<WorkerAd>,
    /// Configuration in force.
    pub revision: Revision,
    /// Digest of suspect requests; opaque here.
    pub suspects: Vec<u8>,
}

impl Member {
    /// Position in the order of all records of one generation.
    pub fn order(&self) -> u64 {
        order(self.version, self.status)
    }

    /// Tells whether its worker may get new work.
    pub fn takes_work(&self) -> bool {
        self.status.is_live() && self.worker.as_ref().is_some_and(|ad| !ad.draining)
    }

    /// Part that changes often.
    pub fn light(&self) -> Light {
        let ad = self.worker.as_ref();
        Light {
            generation: self.generation,
            version: self.version,
            body_version: self.body_version,
            status: self.status,
            draining: ad.is_some_and(|ad| ad.draining),
            load: ad.map_or(0, |ad| ad.load),
            level: ad.map_or(Level::OPEN, |ad| ad.level),
            revision: self.revision,
        }
    }

    /// Takes over a newer light part of the same body.
    pub(crate) fn apply(&mut self, light: &Light) {
        self.version = light.version;
        self.status = light.status;
        self.revision = self.revision.max(light.revision);
        if let Some(ad) = &mut self.worker {
            ad.draining = light.draining;
            ad.load = light.load;
            ad.level = light.level;
        }
    }
}

/// What changes often about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Light {
    /// Life of the daemon.
    pub generation: Generation,
    /// Version of this part.
    pub version: u32,
    /// Version at which the rest last changed.
    pub body_version: u32,
    /// Verdict.
    pub status: Status,
    /// Whether the worker takes no new work.
    pub draining: bool,
    /// Requests in hand.
    pub load: u16,
    /// Admission level of the gate.
    pub level: Level,
    /// Configuration in force.
    pub revision: Revision,
}

impl Light {
    /// Position in the order of all records of one generation.
    pub fn order(&self) -> u64 {
        order(self.version, self.status)
    }
}

fn order(version: u32, status: Status) -> u64 {
    (u64::from(version) << 2) | status as u64
}
