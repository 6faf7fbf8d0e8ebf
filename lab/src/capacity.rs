//! Capacity tables: predicted costs at the planned size, computed from measured slopes.

pub mod bounds;
pub mod daemon;
pub mod failures;
pub mod link;
pub mod page;
pub mod roles;
pub mod store;

/// Seconds in a day.
pub const S_PER_DAY: f64 = 86_400.0;

/// Size of a fleet and of its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Number of daemons, each with its worker.
    pub daemons: f64,
    /// Number of services.
    pub services: f64,
    /// Calls per second, including nested calls.
    pub calls_per_s: f64,
    /// Longest chain of calls.
    pub depth: f64,
    /// Number of data centres in each region.
    pub data_centres_by_region: Vec<f64>,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// VMs that fail per day.
    pub failures_per_day: f64,
    /// VMs restarted or replaced per day.
    pub replaced_per_day: f64,
    /// VMs in a rack; an assumption, as the plan gives no value.
    pub vms_per_rack: f64,
    /// Time of a call at its backend server; an assumption, as the plan gives no value.
    pub call_ms: f64,
}

impl Plan {
    /// Returns the size planned for two years.
    pub fn planned() -> Self {
        Self {
            daemons: 1_500.0,
            services: 160.0,
            calls_per_s: 160_000.0,
            depth: 29.0,
            data_centres_by_region: vec![3.0, 3.0, 2.0, 2.0],
            changes_per_day: 2_900.0,
            failures_per_day: 5.0,
            replaced_per_day: 370.0,
            vms_per_rack: 20.0,
            call_ms: 50.0,
        }
    }

    /// Returns the planned size with twice the daemons, services, calls and changes in the same
    /// data centres.
    pub fn doubled() -> Self {
        let plan = Self::planned();
        Self {
            daemons: plan.daemons * 2.0,
            services: plan.services * 2.0,
            calls_per_s: plan.calls_per_s * 2.0,
            changes_per_day: plan.changes_per_day * 2.0,
            failures_per_day: plan.failures_per_day * 2.0,
            replaced_per_day: plan.replaced_per_day * 2.0,
            ..plan
        }
    }

    /// Number of data centres.
    pub fn data_centres(&self) -> f64 {
        self.data_centres_by_region.iter().sum()
    }

    /// Daemons per data centre.
    pub fn members(&self) -> f64 {
        self.daemons / self.data_centres()
    }

    /// Services per data centre, limited by its number of workers.
    pub fn services_per_data_centre(&self) -> f64 {
        self.services.min(self.members())
    }

    /// Summaries of other data centres that a daemon holds.
    pub fn summaries(&self) -> f64 {
        self.services_per_data_centre() * (self.data_centres() - 1.0)
    }

    /// Calls per second that one daemon handles as ingress; it handles as many as gate.
    pub fn calls_per_s_per_daemon(&self) -> f64 {
        self.calls_per_s / self.daemons
    }

    /// Configuration changes per second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / S_PER_DAY
    }

    /// Calls in flight at one worker.
    pub fn in_flight(&self) -> f64 {
        self.calls_per_s_per_daemon() * self.call_ms / 1_000.0
    }

    /// Number of ordered pairs of data centres in different regions.
    pub fn region_pairs(&self) -> f64 {
        let all = self.data_centres();
        self.data_centres_by_region
            .iter()
            .map(|own| own * (all - own))
            .sum()
    }
}
