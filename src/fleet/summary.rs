//! Summaries of other data centres: heartbeats, configuration revisions and advertised capacity.

use {
    super::{
        message::{mix, stable_hash},
        update_queue::Priority,
    },
    crate::{
        collections::HashMap,
        config::Revision,
        place::{DataCentre, Place, Region},
        request::{Incarnation, Level, ServiceName},
    },
    serde::Serialize,
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Maximum number of contact addresses kept for one data centre.
const MAX_CONTACTS: usize = 6;

/// Time without a new heartbeat after which a data centre counts as unreachable.
pub const UNREACHABLE_AFTER_US: u64 = 12_000_000;

/// Heartbeat of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Region of the data centre.
    pub region: Region,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Gossip address of the member that published it.
    pub contact: SocketAddr,
    /// Number that grows with each heartbeat of the data centre.
    pub sequence: u64,
    /// Lowest configuration revision in force at a live member.
    pub revision_min: Revision,
    /// Highest configuration revision in force at a live member.
    pub revision_max: Revision,
    /// Names of some members below the highest revision.
    pub lagging: Vec<SmolStr>,
}

/// Advertised capacity of one service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Summary {
    /// Data centre.
    pub data_centre: DataCentre,
    /// Service.
    pub service: ServiceName,
    /// Number that grows with each change; an older version never overwrites a newer one.
    pub version: u64,
    /// Number of requests that all its workers may run at once.
    pub slots: u32,
    /// Number of requests in flight at all its workers.
    pub load: u32,
    /// Admission level of the worker that admits the most.
    pub level: Level,
    /// A few workers that accept new requests.
    pub workers: Vec<SummaryWorker>,
}

/// Worker of another data centre, as listed in a summary.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SummaryWorker {
    /// Place of its daemon.
    pub place: Place,
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Number of requests that it may run at once.
    pub slots: u32,
}

/// Returns the key of the summary of a service in a data centre, the same at all daemons.
pub fn summary_key(data_centre: &DataCentre, service: &str) -> u64 {
    mix(stable_hash(&data_centre.0).rotate_left(17) ^ stable_hash(service))
}

impl Summary {
    /// Returns the key of this summary.
    pub fn key(&self) -> u64 {
        summary_key(&self.data_centre, &self.service)
    }

    /// Returns the priority with which the change to `next` is published.
    pub(super) fn priority_of_change(&self, next: &Self) -> Priority {
        if self.workers != next.workers {
            Priority::High
        } else if self.level != next.level {
            Priority::Normal
        } else {
            Priority::Low
        }
    }
}

/// State of another data centre, apart from its summaries.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RemoteCentre {
    /// Region of the data centre.
    pub region: Region,
    /// Gossip addresses of some of its daemons, most recently seen first.
    pub contacts: Vec<SocketAddr>,
    /// Sequence number of the latest heartbeat.
    #[serde(rename = "beat")]
    pub sequence: u64,
    /// Local time at which the last newer heartbeat arrived.
    #[serde(rename = "heard_us")]
    pub last_heartbeat_us: u64,
    /// Smoothed round-trip time of probes to it.
    pub rtt_us: Option<u32>,
    /// Lowest configuration revision in force there.
    pub revision_min: Revision,
    /// Highest configuration revision in force there.
    pub revision_max: Revision,
    /// Names of some members below the highest revision.
    pub lagging: Vec<SmolStr>,
}

impl RemoteCentre {
    fn new(region: Region) -> Self {
        Self {
            region,
            contacts: Vec::new(),
            sequence: 0,
            last_heartbeat_us: 0,
            rtt_us: None,
            revision_min: Revision(0),
            revision_max: Revision(0),
            lagging: Vec::new(),
        }
    }

    /// Returns whether no new heartbeat has arrived for longer than [`UNREACHABLE_AFTER_US`].
    pub fn is_unreachable(&self, now_us: u64) -> bool {
        self.sequence == 0 || now_us.saturating_sub(self.last_heartbeat_us) > UNREACHABLE_AFTER_US
    }

    fn add_contact(&mut self, contact: SocketAddr) {
        self.contacts.retain(|known| *known != contact);
        self.contacts.insert(0, contact);
        self.contacts.truncate(MAX_CONTACTS);
    }
}

/// Table of all other data centres and their summaries.
#[derive(Debug, Default)]
pub struct RemoteCentres {
    centres: BTreeMap<DataCentre, RemoteCentre>,
    summaries: HashMap<u64, Summary>,
    by_service: HashMap<ServiceName, Vec<u64>>,
}

impl RemoteCentres {
    /// Returns the known data centres by name.
    pub fn centres(&self) -> &BTreeMap<DataCentre, RemoteCentre> {
        &self.centres
    }

    /// Iterates over the summaries of a service in other data centres.
    pub fn summaries<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Summary> + use<'a> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.summaries.get(key))
    }

    /// Returns all summaries by key.
    pub fn all_summaries(&self) -> &HashMap<u64, Summary> {
        &self.summaries
    }

    /// Adds a contact of another data centre; returns whether the data centre was unknown.
    pub(super) fn add_contact(
        &mut self,
        data_centre: &DataCentre,
        region: &Region,
        contact: SocketAddr,
    ) -> bool {
        let is_new = !self.centres.contains_key(data_centre);
        self.centre_mut(data_centre, region).add_contact(contact);
        is_new
    }

    /// Records a measured round-trip time.
    pub(super) fn record_rtt(&mut self, data_centre: &DataCentre, rtt_us: u32) {
        if let Some(centre) = self.centres.get_mut(data_centre) {
            centre.rtt_us = Some(smooth(centre.rtt_us, rtt_us));
        }
    }

    /// Returns whether a data centre is known.
    pub(super) fn contains(&self, data_centre: &DataCentre) -> bool {
        self.centres.contains_key(data_centre)
    }

    /// Applies a heartbeat if it is newer; returns whether it was.
    pub(super) fn merge_heartbeat(&mut self, heartbeat: &Heartbeat, now_us: u64) -> bool {
        let centre = self.centre_mut(&heartbeat.data_centre, &heartbeat.region);
        if heartbeat.sequence <= centre.sequence {
            return false;
        }
        centre.sequence = heartbeat.sequence;
        centre.last_heartbeat_us = now_us;
        centre.revision_min = heartbeat.revision_min;
        centre.revision_max = centre.revision_max.max(heartbeat.revision_max);
        centre.lagging.clone_from(&heartbeat.lagging);
        centre.add_contact(heartbeat.contact);
        true
    }

    /// Applies a summary if it is newer, and then returns the priority with which to pass it on:
    /// `unknown_priority` for a summary that was unknown before.
    pub(super) fn merge_summary(
        &mut self,
        summary: &Summary,
        unknown_priority: Priority,
    ) -> Option<Priority> {
        let key = summary.key();
        let mut priority = unknown_priority;
        match self.summaries.get_mut(&key) {
            Some(held) if held.version >= summary.version => return None,
            Some(held) => {
                priority = held.priority_of_change(summary);
                held.clone_from(summary);
            }
            None => {
                self.summaries.insert(key, summary.clone());
                let keys = self.by_service.entry(summary.service.clone()).or_default();
                keys.push(key);
            }
        }
        Some(priority)
    }

    /// Returns the latest heartbeat of a data centre, to be passed on.
    pub(super) fn heartbeat(&self, data_centre: &DataCentre) -> Option<Heartbeat> {
        let centre = self.centres.get(data_centre)?;
        Some(Heartbeat {
            region: centre.region.clone(),
            data_centre: data_centre.clone(),
            contact: *centre.contacts.first()?,
            sequence: centre.sequence,
            revision_min: centre.revision_min,
            revision_max: centre.revision_max,
            lagging: centre.lagging.clone(),
        })
    }

    /// Shifts all times by the length of a pause of this process.
    pub(super) fn shift_times(&mut self, gap_us: u64) {
        for centre in self.centres.values_mut() {
            centre.last_heartbeat_us += gap_us;
        }
    }

    fn centre_mut(&mut self, data_centre: &DataCentre, region: &Region) -> &mut RemoteCentre {
        self.centres
            .entry(data_centre.clone())
            .or_insert_with(|| RemoteCentre::new(region.clone()))
    }
}

/// Returns the exponentially smoothed time, with a weight of one eighth for the new sample.
pub(super) fn smooth(held_us: Option<u32>, sample_us: u32) -> u32 {
    held_us.map_or(sample_us, |held_us| {
        ((u64::from(held_us) * 7 + u64::from(sample_us)) / 8) as u32
    })
}
