//! What is known of other data centres.

use {
    super::{
        message::{mix, stable_hash},
        news::Urgency,
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

/// Contact addresses kept for one data centre.
const MAX_CONTACTS: usize = 6;

/// Time without a sign of life after which a data centre counts as cut off.
pub const CUT_OFF_US: u64 = 12_000_000;

/// Sign of life of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// Region of the data centre.
    pub region: Region,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Gossip address of the speaker.
    pub contact: SocketAddr,
    /// Grows with each beat.
    pub beat: u64,
    /// Lowest configuration revision in force at a live member.
    pub revision_min: Revision,
    /// Highest configuration revision in force at a live member.
    pub revision_max: Revision,
    /// Some members below the highest revision.
    pub lagging: Vec<SmolStr>,
}

/// What one data centre offers of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Summary {
    /// Data centre.
    pub data_centre: DataCentre,
    /// Service.
    pub service: ServiceName,
    /// Grows with each change; an older one never overwrites a newer one.
    pub version: u64,
    /// Requests that all its workers may run at once.
    pub slots: u32,
    /// Requests in hand at all its workers.
    pub load: u32,
    /// Most open admission level of its workers.
    pub level: Level,
    /// A few workers that take new work.
    pub workers: Vec<SummaryWorker>,
}

/// One worker of another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct SummaryWorker {
    /// Place of its daemon.
    pub place: Place,
    /// Life of the backend server.
    pub incarnation: Incarnation,
    /// Requests that it may run at once.
    pub slots: u32,
}

/// Key of the record of a service in a data centre, the same at all daemons.
pub fn summary_key(data_centre: &DataCentre, service: &str) -> u64 {
    mix(stable_hash(&data_centre.0).rotate_left(17) ^ stable_hash(service))
}

impl Summary {
    /// Key of this record.
    pub fn key(&self) -> u64 {
        summary_key(&self.data_centre, &self.service)
    }

    /// Tells how soon the change to `next` has to be known.
    pub(super) fn urgency_of(&self, next: &Self) -> Urgency {
        if self.workers != next.workers {
            Urgency::High
        } else if self.level != next.level {
            Urgency::Normal
        } else {
            Urgency::Low
        }
    }
}

/// What is known of another data centre as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Centre {
    /// Region of the data centre.
    pub region: Region,
    /// Gossip addresses of some of its daemons, latest first.
    pub contacts: Vec<SocketAddr>,
    /// Highest beat seen.
    pub beat: u64,
    /// Time at which the beat last grew.
    pub heard_us: u64,
    /// Round trip to it, as learned from probes.
    pub rtt_us: Option<u32>,
    /// Lowest configuration revision in force there.
    pub revision_min: Revision,
    /// Highest configuration revision in force there.
    pub revision_max: Revision,
    /// Some members below the highest revision.
    pub lagging: Vec<SmolStr>,
}

impl Centre {
    fn new(region: Region) -> Self {
        Self {
            region,
            contacts: Vec::new(),
            beat: 0,
            heard_us: 0,
            rtt_us: None,
            revision_min: Revision(0),
            revision_max: Revision(0),
            lagging: Vec::new(),
        }
    }

    /// Tells whether nothing has been heard of it for long.
    pub fn is_cut_off(&self, now_us: u64) -> bool {
        self.beat == 0 || now_us.saturating_sub(self.heard_us) > CUT_OFF_US
    }

    fn add_contact(&mut self, contact: SocketAddr) {
        self.contacts.retain(|known| *known != contact);
        self.contacts.insert(0, contact);
        self.contacts.truncate(MAX_CONTACTS);
    }
}

/// Table of all other data centres.
#[derive(Debug, Default)]
pub struct Remote {
    centres: BTreeMap<DataCentre, Centre>,
    offers: HashMap<u64, Summary>,
    by_service: HashMap<ServiceName, Vec<u64>>,
}

impl Remote {
    /// Data centres heard of.
    pub fn centres(&self) -> &BTreeMap<DataCentre, Centre> {
        &self.centres
    }

    /// Offers of a service by other data centres.
    pub fn offers<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Summary> + use<'a> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.offers.get(key))
    }

    /// Offers by key.
    pub fn all_offers(&self) -> &HashMap<u64, Summary> {
        &self.offers
    }

    /// Notes a daemon of another data centre. Tells whether the data centre is new.
    pub(super) fn meet(
        &mut self,
        data_centre: &DataCentre,
        region: &Region,
        at: SocketAddr,
    ) -> bool {
        let is_new = !self.centres.contains_key(data_centre);
        self.centre(data_centre, region).add_contact(at);
        is_new
    }

    /// Notes a measured round trip.
    pub(super) fn note_rtt(&mut self, data_centre: &DataCentre, rtt_us: u32) {
        if let Some(centre) = self.centres.get_mut(data_centre) {
            centre.rtt_us = Some(smooth(centre.rtt_us, rtt_us));
        }
    }

    /// Tells whether anything is known of a data centre.
    pub(super) fn knows(&self, data_centre: &DataCentre) -> bool {
        self.centres.contains_key(data_centre)
    }

    /// Takes over a beat if it is newer. Tells whether it was.
    pub(super) fn take_beat(&mut self, beat: &Beat, now_us: u64) -> bool {
        let centre = self.centre(&beat.data_centre, &beat.region);
        if beat.beat <= centre.beat {
            return false;
        }
        centre.beat = beat.beat;
        centre.heard_us = now_us;
        centre.revision_min = beat.revision_min;
        centre.revision_max = centre.revision_max.max(beat.revision_max);
        centre.lagging.clone_from(&beat.lagging);
        centre.add_contact(beat.contact);
        true
    }

    /// Takes over a summary if it is newer. Tells how urgent that is, if it was: `unknown` for one
    /// that was not known at all.
    pub(super) fn take_summary(&mut self, summary: &Summary, unknown: Urgency) -> Option<Urgency> {
        let key = summary.key();
        let mut urgency = unknown;
        match self.offers.get_mut(&key) {
            Some(held) if held.version >= summary.version => return None,
            Some(held) => {
                urgency = held.urgency_of(summary);
                held.clone_from(summary);
            }
            None => {
                self.offers.insert(key, summary.clone());
                let keys = self.by_service.entry(summary.service.clone()).or_default();
                keys.push(key);
            }
        }
        Some(urgency)
    }

    /// Beat of a data centre as it can be passed on.
    pub(super) fn beat(&self, data_centre: &DataCentre) -> Option<Beat> {
        let centre = self.centres.get(data_centre)?;
        Some(Beat {
            region: centre.region.clone(),
            data_centre: data_centre.clone(),
            contact: *centre.contacts.first()?,
            beat: centre.beat,
            revision_min: centre.revision_min,
            revision_max: centre.revision_max,
            lagging: centre.lagging.clone(),
        })
    }

    /// Shifts all times after a pause of this process.
    pub(super) fn shift(&mut self, gap_us: u64) {
        for centre in self.centres.values_mut() {
            centre.heard_us += gap_us;
        }
    }

    fn centre(&mut self, data_centre: &DataCentre, region: &Region) -> &mut Centre {
        self.centres
            .entry(data_centre.clone())
            .or_insert_with(|| Centre::new(region.clone()))
    }
}

/// Exponentially smoothed time, with a weight of one eighth for the new sample.
pub(super) fn smooth(held_us: Option<u32>, sample_us: u32) -> u32 {
    held_us.map_or(sample_us, |held_us| {
        ((u64::from(held_us) * 7 + u64::from(sample_us)) / 8) as u32
    })
}
