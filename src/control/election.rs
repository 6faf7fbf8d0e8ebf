//! Which daemons of a data centre read the store, chosen by each from its own view.
//!
//! Views that differ for a moment give one reader more or less, which is harmless.

use {foldhash::quality::FixedState, std::hash::BuildHasher};

/// Daemons of a data centre that watch the configuration.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// Time between two checks of the store by daemons that do not watch it.
pub const CHECK_INTERVAL_MS: u64 = 30_000;

const SEED: u64 = 0x005e_ed0f_c0f1_9000;

/// Part of one daemon in reading the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// It waits for each change.
    Watch,
    /// It looks once in this interval, should the readers be cut off from the store.
    Check {
        /// Number of the interval.
        interval: u64,
    },
    /// It relies on its peers.
    Idle,
}

impl Duty {
    /// Duty of `own` among the live daemons of its data centre.
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

/// Number of members that come before `own` in the order of this round.
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
