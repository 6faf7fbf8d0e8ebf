//! Calls to the store as a function of the fleet's size.

use crate::control::{
    election::{CHECK_INTERVAL_MS, READERS_PER_DATA_CENTRE},
    watcher::WATCH_WAIT_MS,
};

const MS_PER_S: f64 = 1_000.0;
const S_PER_DAY: f64 = 86_400.0;

/// Size of a fleet, as far as the store's load depends on it.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Data centres.
    pub data_centres: u32,
    /// Daemons in all of them.
    pub daemons: u32,
    /// Daemons that start in a day; each reads once.
    pub starts_per_day: u32,
    /// Changes of the configuration in a day.
    pub changes_per_day: u32,
}

/// Calls that the configuration costs the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLoad {
    /// Reads and watches begun in a second.
    pub reads_per_s: f64,
    /// Writes in a second.
    pub writes_per_s: f64,
    /// Watches that wait at any time.
    pub waiting_watches: u32,
}

impl Fleet {
    /// Load without faults, at most: a watch that a change ends is counted as if it had also waited
    /// to its end.
    pub fn store_load(&self) -> StoreLoad {
        let waiting_watches = self.watchers();
        let changes_per_s = f64::from(self.changes_per_day) / S_PER_DAY;
        let starts_per_s = f64::from(self.starts_per_day) / S_PER_DAY;
        let watches_per_s =
            f64::from(waiting_watches) * (MS_PER_S / f64::from(WATCH_WAIT_MS) + changes_per_s);
        let checks_per_s = f64::from(self.data_centres) * MS_PER_S / CHECK_INTERVAL_MS as f64;
        StoreLoad {
            reads_per_s: watches_per_s + checks_per_s + changes_per_s + starts_per_s,
            writes_per_s: changes_per_s,
            waiting_watches,
        }
    }

    fn watchers(&self) -> u32 {
        let elected = self.data_centres * READERS_PER_DATA_CENTRE as u32;
        elected.min(self.daemons)
    }
}
