//! What a daemon shows of its view: changes, counters and a dump.

use {
    super::{
        Fleet, Generation,
        member::{Member, Status},
        summary::{Centre, Summary},
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

/// Change of the view that is worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum Event {
    /// A member is known for the first time.
    #[display("member {name} joined")]
    Joined {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// A member does not answer.
    #[display("member {name} is suspected")]
    Suspected {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// A suspect or dead member has refuted the verdict.
    #[display("member {name} is back")]
    Refuted {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// A member is taken for dead.
    #[display("member {name} is dead")]
    Died {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// A member has said that it leaves.
    #[display("member {name} left")]
    Left {
        /// Name of its daemon.
        name: SmolStr,
    },
    /// The worker of a member is another one, starts or stops draining, or is gone.
    #[display("worker of {name} changed")]
    WorkerChanged {
        /// Name of its daemon.
        name: SmolStr,
        /// Worker before the change.
        before: Option<Incarnation>,
        /// Worker after the change.
        after: Option<Incarnation>,
    },
    /// Another data centre is known for the first time.
    #[display("data centre {data_centre} met")]
    CentreMet {
        /// Its name.
        data_centre: DataCentre,
    },
    /// An older life of this daemon was still known; this one has taken a newer generation.
    #[display("generation renewed")]
    Renewed,
}

impl Event {
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
        let worker = |member: &Member| {
            let ad = member.worker.as_ref();
            ad.map(|ad| (ad.incarnation, ad.draining))
        };
        let (was, is) = (worker(before), worker(after));
        (was != is).then(|| Self::WorkerChanged {
            name,
            before: was.map(|(incarnation, _)| incarnation),
            after: is.map(|(incarnation, _)| incarnation),
        })
    }
}

/// Totals since the start of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct Counters {
    /// Datagrams handed to the socket.
    pub messages_out: u64,
    /// Datagrams taken.
    pub messages_in: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes that nobody answered.
    pub failed_probes: u64,
    /// Digests sent.
    pub digests: u64,
    /// Members seen to become suspect.
    pub suspicions: u64,
    /// Members seen to die.
    pub deaths: u64,
    /// Wrong verdicts on this daemon that it has refuted.
    pub refutations: u64,
    /// Pauses of this process.
    pub pauses: u64,
}

impl Counters {
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
    /// This daemon.
    pub me: Member,
    /// Generation of this daemon, as others see it.
    pub generation: Generation,
    /// Other members of the data centre, by name.
    pub members: BTreeMap<SmolStr, MemberReport>,
    /// Other data centres.
    pub centres: BTreeMap<DataCentre, Centre>,
    /// What other data centres offer, by service.
    pub offers: BTreeMap<ServiceName, Vec<Summary>>,
    /// Data centres that this daemon speaks to.
    pub listeners: usize,
    /// Records still to be passed on.
    pub queued_news: usize,
    /// Totals.
    pub counters: Counters,
}

/// One other member in a dump.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct MemberReport {
    /// What is known of it.
    pub member: Member,
    /// Time since it was last heard directly.
    pub heard_ago_us: u64,
    /// Round trip to it.
    pub rtt_us: Option<u32>,
}

/// Configuration in force in one data centre, as far as known here.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct InForce {
    /// Lowest revision at a live member.
    pub min: Revision,
    /// Highest revision at a live member.
    pub max: Revision,
    /// Members known to be below the highest revision.
    pub lagging: Vec<SmolStr>,
    /// Whether nothing has been heard of the data centre for long.
    pub is_cut_off: bool,
}

impl Fleet {
    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Configuration in force, by data centre, the own one included.
    pub fn in_force(&self, now_us: u64) -> BTreeMap<DataCentre, InForce> {
        let beat = self.own_beat();
        let own = InForce {
            min: beat.revision_min,
            max: beat.revision_max,
            lagging: beat.lagging,
            is_cut_off: false,
        };
        let others = self.remote.centres().iter().map(|(name, centre)| {
            let in_force = InForce {
                min: centre.revision_min,
                max: centre.revision_max,
                lagging: centre.lagging.clone(),
                is_cut_off: centre.is_cut_off(now_us),
            };
            (name.clone(), in_force)
        });
        let own = (self.data_centre().clone(), own);
        others.chain(std::iter::once(own)).collect()
    }

    /// Live members of the own data centre at which `revision` is not in force yet.
    pub fn lagging(&self, revision: Revision) -> Vec<SmolStr> {
        let live = self.members().filter(|member| member.status.is_live());
        let behind = live.filter(|member| member.revision < revision);
        behind.map(|member| member.place.name.clone()).collect()
    }

    /// Daemons of the own region, taking its data centres to be of equal size.
    pub fn daemons_in_region(&self) -> usize {
        let region = &self.me.place.region;
        let others = self
            .remote
            .centres()
            .values()
            .filter(|centre| centre.region == *region);
        self.live_members().max(1) * (1 + others.count())
    }

    /// Dump of the view.
    pub fn report(&self, now_us: u64) -> Report {
        let members = self.peers.values().map(|peer| {
            let report = MemberReport {
                member: peer.member.clone(),
                heard_ago_us: now_us.saturating_sub(peer.heard_us),
                rtt_us: peer.rtt_us,
            };
            (peer.member.place.name.clone(), report)
        });
        let mut offers: BTreeMap<ServiceName, Vec<Summary>> = BTreeMap::new();
        for summary in self.remote.all_offers().values() {
            let held = offers.entry(summary.service.clone()).or_default();
            held.push(summary.clone());
        }
        Report {
            me: self.me.clone(),
            generation: self.me.generation,
            members: members.collect(),
            centres: self.remote.centres().clone(),
            offers,
            listeners: self.speaker.listeners(),
            queued_news: self.news.len(),
            counters: self.counters,
        }
    }
}
