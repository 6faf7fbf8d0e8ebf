//! Choice of the daemons of a data centre that read the store.
//!
//! Each daemon decides from its own view of the membership. While views differ, there may be more
//! or fewer readers than intended, which is harmless.

use {foldhash::quality::FixedState, std::hash::BuildHasher};

/// Number of daemons of a data centre that watch the configuration in the store.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// Interval in which one of the other daemons of a data centre checks the store.
pub const CHECK_INTERVAL_MS: u64 = 30_000;

/// Seed of the rendezvous hash; all daemons must use the same one.
const SEED: u64 = 0x005e_ed0f_c0f1_9000;

/// Role of one daemon in reading the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// The daemon watches the store for changes.
    Watch,
    /// The daemon reads the store once in this interval, in case the watching daemons are cut off
    /// from it.
    Check {
        /// Number of the interval since the Unix epoch.
        interval: u64,
    },
    /// The daemon receives the configuration from its peers only.
    Idle,
}

impl ReaderRole {
    /// Role of the daemon `own` among the live daemons of its data centre.
    pub fn of<'a>(
        own: &str,
        members: impl IntoIterator<Item = &'a str> + Clone,
        now_unix_ms: u64,
    ) -> Self {
        if rank(own, members.clone(), 0) < READERS_PER_DATA_CENTRE {
            return Self::Watch;
        }
        let interval = now_unix_ms / CHECK_INTERVAL_MS;
        if rank(own, members, interval + 1) == 0 {
            return Self::Check { interval };
        }
        Self::Idle
    }
}

/// Rank of `own` by rendezvous hashing in this round; zero is first.
fn rank<'a>(own: &str, members: impl IntoIterator<Item = &'a str>, round: u64) -> usize {
    let own_weight = weight(own, round);
    members
        .into_iter()
        .filter(|name| (weight(name, round), *name) > (own_weight, own))
        .count()
}

fn weight(name: &str, round: u64) -> u64 {
    FixedState::with_seed(SEED ^ round).hash_one(name)
}
