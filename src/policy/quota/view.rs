//! Daemons of the deployment as one daemon knows them, and the choice of allocators.

use {
    super::{AllocatorScope, message::Sender},
    crate::{
        collections::HashMap,
        fleet::message::{mix, stable_hash},
        place::Region,
    },
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Time for which a daemon that did not answer is not chosen as allocator; doubled each time.
const MIN_AVOID_US: u64 = 1_000_000;

/// Longest time for which a daemon is not chosen.
const MAX_AVOID_US: u64 = 60_000_000;

/// What is known of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It is believed to run.
    Live,
    /// It is out of reach and may still run.
    Lost,
    /// It announced that it ends.
    Left,
}

/// Daemon of the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaMember {
    /// Identity of its present run.
    pub sender: Sender,
    /// Region.
    pub region: Region,
    /// Address for datagrams.
    pub addr: SocketAddr,
    /// What is known of it.
    pub presence: Presence,
}

/// Interval in which a daemon is not chosen as allocator.
#[derive(Debug, Clone, Copy)]
struct Avoidance {
    until_us: u64,
    span_us: u64,
}

/// Known daemons.
#[derive(Debug)]
pub(super) struct View {
    own: QuotaMember,
    scope: AllocatorScope,
    lost_member_us: u64,
    members: Vec<QuotaMember>,
    /// Time at which each known daemon was last believed to run.
    seen_us: HashMap<SmolStr, u64>,
    avoided: HashMap<Sender, Avoidance>,
}

impl View {
    pub(super) fn new(own: QuotaMember, scope: AllocatorScope, lost_member_us: u64) -> Self {
        Self {
            members: vec![own.clone()],
            own,
            scope,
            lost_member_us,
            seen_us: HashMap::default(),
            avoided: HashMap::default(),
        }
    }

    pub(super) fn own(&self) -> &QuotaMember {
        &self.own
    }

    /// Replaces the known daemons, other than this one.
    pub(super) fn update(&mut self, others: impl Iterator<Item = QuotaMember>, now_us: u64) {
        let own_name = self.own.sender.name.clone();
        self.members = vec![self.own.clone()];
        for member in others.filter(|member| member.sender.name != own_name) {
            match member.presence {
                Presence::Live => self.members.push(member),
                Presence::Lost => {}
                Presence::Left => {
                    self.seen_us.remove(&member.sender.name);
                }
            }
        }
        for member in &self.members {
            self.seen_us.insert(member.sender.name.clone(), now_us);
        }
        let lost_member_us = self.lost_member_us;
        self.seen_us
            .retain(|_, seen_us| now_us.saturating_sub(*seen_us) < lost_member_us);
        self.avoided
            .retain(|_, avoidance| now_us < avoidance.until_us + avoidance.span_us);
    }

    /// Number of parts that each quota is divided into: all daemons that run or were lost recently.
    pub(super) fn parts(&self) -> u32 {
        self.seen_us.len().max(1) as u32
    }

    /// Number of live daemons that share allocators with this one.
    pub(super) fn neighbours(&self) -> usize {
        self.members
            .iter()
            .filter(|member| self.shares_allocator(member))
            .count()
    }

    /// Allocator of a group that this daemon delegates to.
    pub(super) fn allocator(&self, group: usize, now_us: u64) -> &QuotaMember {
        let near = self.members.iter();
        let near = near.filter(|member| self.shares_allocator(member));
        self.best(near, group, now_us).unwrap_or(&self.own)
    }

    /// Allocators of a group in the other regions.
    pub(super) fn remote_allocators(&self, group: usize, now_us: u64) -> Vec<&QuotaMember> {
        if self.scope != AllocatorScope::Region {
            return Vec::new();
        }
        let mut regions: Vec<&Region> = self.members.iter().map(|member| &member.region).collect();
        regions.sort_unstable();
        regions.dedup();
        let others = regions
            .into_iter()
            .filter(|region| **region != self.own.region);
        let allocators = others.filter_map(|region| {
            let members = self.members.iter();
            let members = members.filter(move |member| member.region == *region);
            self.best(members, group, now_us)
        });
        allocators.collect()
    }

    /// Excludes a daemon from the choice of allocators for a while, as it does not answer.
    pub(super) fn avoid(&mut self, sender: &Sender, now_us: u64) {
        let before = self.avoided.get(sender).map_or(0, |before| before.span_us);
        let span_us = (before * 2).clamp(MIN_AVOID_US, MAX_AVOID_US);
        self.avoid_for(sender, span_us, now_us);
    }

    /// Excludes a daemon that shuts down.
    pub(super) fn avoid_resigned(&mut self, sender: &Sender, now_us: u64) {
        self.avoid_for(sender, MAX_AVOID_US, now_us);
    }

    /// Records that a daemon answers.
    pub(super) fn record_answer(&mut self, sender: &Sender) {
        self.avoided.remove(sender);
    }

    fn avoid_for(&mut self, sender: &Sender, span_us: u64, now_us: u64) {
        let avoidance = Avoidance {
            until_us: now_us + span_us,
            span_us,
        };
        self.avoided.insert(sender.clone(), avoidance);
    }

    fn shares_allocator(&self, member: &QuotaMember) -> bool {
        match self.scope {
            AllocatorScope::Daemon => member.sender == self.own.sender,
            AllocatorScope::Region => member.region == self.own.region,
            AllocatorScope::Deployment => true,
        }
    }

    /// Member with the highest rendezvous weight for a group.
    fn best<'a>(
        &self,
        members: impl Iterator<Item = &'a QuotaMember>,
        group: usize,
        now_us: u64,
    ) -> Option<&'a QuotaMember> {
        let usable = members.filter(|member| {
            let avoidance = self.avoided.get(&member.sender);
            avoidance.is_none_or(|avoidance| now_us >= avoidance.until_us)
        });
        usable.max_by_key(|member| weight(&member.sender.name, group))
    }
}

/// Group of an organisation; the same at all daemons.
pub(super) fn group_of(organisation: &str) -> usize {
    (mix(stable_hash(organisation)) % super::GROUPS as u64) as usize
}

/// Rendezvous weight of a daemon for a group; the same at all daemons.
fn weight(name: &str, group: usize) -> u64 {
    mix(stable_hash(name) ^ mix(group as u64 + 1))
}
