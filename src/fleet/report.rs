//! Observable state of the fleet view: events, counters and a dump.

use {
    super::{
        Fleet, Generation,
        member::{Member, Status},
        summary::{RemoteCentre, Summary},
    },
    crate::{
        config::Revision,
        place::DataCentre,
        request::{Incarnation, ServiceName},
    },
    derive_more::Display,
    serde::Serialize,
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Change of the view that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum Event {
    /// A member was discovered.
    #[display("member {name} joined")]
    Joined {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// A member became suspect.
    #[display("member {name} is suspected")]
    Suspected {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// A suspect or dead member refuted its status.
    #[display("member {name} is back")]
    Refuted {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// A member was declared dead.
    #[display("member {name} is dead")]
    Died {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// A member announced that it leaves.
    #[display("member {name} left")]
    Left {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// The worker of a member was replaced, started or stopped draining, or is gone.
    #[display("worker of {name} changed")]
    WorkerChanged {
        /// Name of its daemon.
        name: SmolStr,
        /// Worker before the change.
        before: Option<Incarnation>,
        /// Worker after the change.
        after: Option<Incarnation>,
    },
    /// Another data centre was discovered.
    #[display("data centre {data_centre} discovered")]
    CentreDiscovered {
        /// Its name.
        data_centre: DataCentre,
    },
    /// Others held a record with a higher generation of this daemon, which raised its own.
    #[display("generation renewed")]
    GenerationRenewed,
}

impl Event {
    /// Returns the event for the change of a member's record, if it is logged.
    pub(super) fn of_change(before: &Member, after: &Member) -> Option<Self> {
        let name = after.place.name.clone();
        if before.status != after.status {
            return Some(match after.status {
                Status::Alive => Self::Refuted { name },
                Status::Suspect => Self::Suspected { name },
                Status::Dead => Self::Died { name },
                Status::Left => Self::Left { name },
            });
        }
        let worker_of = |member: &Member| {
            let worker = member.worker.as_ref();
            worker.map(|worker| (worker.incarnation, worker.draining))
        };
        let (worker_before, worker_after) = (worker_of(before), worker_of(after));
        (worker_before != worker_after).then(|| Self::WorkerChanged {
            name,
            before: worker_before.map(|(incarnation, _)| incarnation),
            after: worker_after.map(|(incarnation, _)| incarnation),
        })
    }
}

/// Totals since the daemon started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct Counters {
    /// Datagrams queued for sending.
    pub messages_out: u64,
    /// Datagrams received.
    pub messages_in: u64,
    /// Pings sent as probes.
    pub probes: u64,
    /// Probes of members that received no ack.
    pub failed_probes: u64,
    /// Digests sent.
    pub digests: u64,
    /// Members observed to become suspect.
    pub suspicions: u64,
    /// Members declared dead.
    pub deaths: u64,
    /// Wrong records of this daemon that it has refuted.
    pub refutations: u64,
    /// Pauses of this process.
    pub pauses: u64,
}

impl Counters {
    /// Counts a suspicion or death.
    pub(super) fn count(&mut self, event: &Event) {
        match event {
            Event::Suspected { .. } => self.suspicions += 1,
            Event::Died { .. } => self.deaths += 1,
            _ => (),
        }
    }
}

/// Dump of a daemon's view.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Report {
    /// Record of this daemon.
    #[serde(rename = "me")]
    pub local: Member,
    /// Generation of this daemon.
    pub generation: Generation,
    /// Other members of the data centre, by name.
    pub members: BTreeMap<SmolStr, MemberReport>,
    /// Other data centres, by name.
    pub centres: BTreeMap<DataCentre, RemoteCentre>,
    /// Capacity advertised by other data centres, by service.
    #[serde(rename = "offers")]
    pub summaries: BTreeMap<ServiceName, Vec<Summary>>,
    /// Number of data centres to which this daemon publishes summaries.
    #[serde(rename = "listeners")]
    pub publish_targets: usize,
    /// Number of updates queued for gossip.
    #[serde(rename = "queued_news")]
    pub queued_updates: usize,
    /// Totals since the daemon started.
    pub counters: Counters,
}

/// One other member in a dump.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct MemberReport {
    /// Its record.
    pub member: Member,
    /// Time since its last message, ack or successful call.
    #[serde(rename = "heard_ago_us")]
    pub last_seen_ago_us: u64,
    /// Smoothed round-trip time of direct probes.
    pub rtt_us: Option<u32>,
}

/// Configuration revisions in force in one data centre, as far as known to this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ConfigStatus {
    /// Lowest revision at a live member.
    pub min: Revision,
    /// Highest revision at a live member.
    pub max: Revision,
    /// Members known to be below the highest revision.
    pub lagging: Vec<SmolStr>,
    /// Whether no heartbeat of the data centre has arrived for some time.
    #[serde(rename = "is_cut_off")]
    pub is_unreachable: bool,
}

impl Fleet {
    /// Returns the totals since the daemon started.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the configuration revisions in force by data centre, including the local one.
    pub fn config_status(&self, now_us: u64) -> BTreeMap<DataCentre, ConfigStatus> {
        let heartbeat = self.local_heartbeat();
        let own = ConfigStatus {
            min: heartbeat.revision_min,
            max: heartbeat.revision_max,
            lagging: heartbeat.lagging,
            is_unreachable: false,
        };
        let others = self.remote.centres().iter().map(|(name, centre)| {
            let status = ConfigStatus {
                min: centre.revision_min,
                max: centre.revision_max,
                lagging: centre.lagging.clone(),
                is_unreachable: centre.is_unreachable(now_us),
            };
            (name.clone(), status)
        });
        let own = (self.data_centre().clone(), own);
        others.chain(std::iter::once(own)).collect()
    }

    /// Returns the live members of the local data centre whose revision is below `revision`.
    pub fn lagging(&self, revision: Revision) -> Vec<SmolStr> {
        let live = self.members().filter(|member| member.status.is_live());
        let behind = live.filter(|member| member.revision < revision);
        behind.map(|member| member.place.name.clone()).collect()
    }

    /// Estimates the number of daemons in the local region, assuming data centres of equal size.
    pub fn daemons_in_region(&self) -> usize {
        let region = &self.local.place.region;
        let others = self
            .remote
            .centres()
            .values()
            .filter(|centre| centre.region == *region);
        self.live_members().max(1) * (1 + others.count())
    }

    /// Returns a dump of the view.
    pub fn report(&self, now_us: u64) -> Report {
        let members = self.peers.values().map(|peer| {
            let report = MemberReport {
                member: peer.member.clone(),
                last_seen_ago_us: now_us.saturating_sub(peer.last_seen_us),
                rtt_us: peer.rtt_us,
            };
            (peer.member.place.name.clone(), report)
        });
        let mut summaries: BTreeMap<ServiceName, Vec<Summary>> = BTreeMap::new();
        for summary in self.remote.all_summaries().values() {
            let of_service = summaries.entry(summary.service.clone()).or_default();
            of_service.push(summary.clone());
        }
        Report {
            local: self.local.clone(),
            generation: self.local.generation,
            members: members.collect(),
            centres: self.remote.centres().clone(),
            summaries,
            publish_targets: self.publisher.target_count(),
            queued_updates: self.updates.len(),
            counters: self.counters,
        }
    }
}
