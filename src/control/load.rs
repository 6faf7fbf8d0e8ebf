//! Estimate of the store calls that the configuration causes, from the size of the fleet.

use crate::control::{
    election::{CHECK_INTERVAL_MS, READERS_PER_DATA_CENTRE},
    watcher::WATCH_WAIT_MS,
};

const MS_PER_S: f64 = 1_000.0;
const S_PER_DAY: f64 = 86_400.0;

/// Size of a fleet and rate of its changes.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of data centres.
    pub data_centres: u32,
    /// Number of daemons in all data centres.
    pub daemons: u32,
    /// Daemons started in a day; each reads the configuration once.
    pub starts_per_day: u32,
    /// Configuration changes in a day.
    pub changes_per_day: u32,
}

/// Load that the configuration puts on the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLoad {
    /// Reads and watches started in a second.
    pub reads_per_s: f64,
    /// Writes in a second.
    pub writes_per_s: f64,
    /// Watches that are open at any time.
    pub waiting_watches: u32,
}

impl FleetSize {
    /// Upper bound on the load without faults. A watch ended by a change is counted twice: once for
    /// the change and once as if it had run into its timeout.
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
