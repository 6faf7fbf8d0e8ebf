//! Entry of a daemon in the platform's store, through which started daemons find each other.
//!
//! The entries are contacts only: the state of the daemons and their workers comes from gossip.

use {
    crate::{fleet::member::Member, mesh::frame::WorkerIncarnation},
    foldhash::quality::FixedState,
    serde::{Deserialize, Serialize},
    smol_str::{SmolStr, format_smolstr},
    std::hash::BuildHasher,
};

/// Key prefix of the entries.
pub const PREFIX: &str = "members/";

/// Seed of the hash in the keys.
const KEY_SEED: u64 = 0x6b65_7973;

/// Value of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Record of the daemon, as of the time of the write.
    pub member: Member,
    /// Worker incarnations whose departure the daemon has recently acknowledged. The next
    /// incarnation of the VM's daemon reads them from here, as the acknowledgement binds it too.
    #[serde(default)]
    pub departed: Vec<WorkerIncarnation>,
}

impl Entry {
    /// Returns whether an entry has to be written in place of this one.
    pub fn differs(&self, other: &Self) -> bool {
        let significant = |entry: &Self| {
            let Member {
                place,
                generation,
                worker,
                ..
            } = &entry.member;
            (place.clone(), *generation, worker.clone())
        };
        self.departed != other.departed || significant(self) != significant(other)
    }
}

/// Key of a VM's entry. It begins with a hash, so that a page from any position holds a random part
/// of the fleet.
pub fn key(vm: &str) -> SmolStr {
    format_smolstr!("{}-{vm}", position(vm))
}

/// Key from which a page begins with the entry of this VM.
pub fn position(vm: &str) -> SmolStr {
    let hash = FixedState::with_seed(KEY_SEED).hash_one(vm);
    format_smolstr!("{PREFIX}{hash:016x}")
}
