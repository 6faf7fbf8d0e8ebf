//! Simulated daemons that enforce quotas over an unreliable network, with one clock each.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        place::Region,
        policy::quota::{
            Decision, Outgoing, Presence, Quota, QuotaMember, QuotaNode, QuotaRules, RequestKey,
            Verdict,
            message::{Datagram, DelegationMessage, Message, Sender},
        },
    },
    smol_str::{SmolStr, format_smolstr},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

pub(crate) const STEP_US: u64 = 5_000;
const TICK_US: u64 = 50_000;
const MEMBERS_US: u64 = 250_000;
/// Time until a daemon that is gone or out of reach is believed lost.
const DETECTION_US: u64 = 3_000_000;
/// Time until a started daemon knows the others.
const SETTLING_US: u64 = 300_000;
/// Time for which daemons have run before the schedule begins.
pub(crate) const WARM_UP_US: u64 = 4_000_000;

/// Faults of the network.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) duplicates: f64,
    /// Share of the messages that are delayed by up to a second.
    pub(crate) late: f64,
}

impl Network {
    pub(crate) const CALM: Self = Self {
        loss: 0.0,
        duplicates: 0.0,
        late: 0.0,
    };
}

/// Defects that the checks have to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// Allocators count delegations for much longer than the daemons that gave them.
    DelegationsWithoutEnd,
    /// Lost daemons are forgotten at once, so that each side of a partition has the whole quota.
    ForgottenMembers,
}

struct Daemon {
    node: QuotaNode,
    region: Region,
    generation: u64,
    /// Offset of its clock.
    offset_us: u64,
    started_us: u64,
    up_from_us: u64,
    paused_until_us: u64,
    /// Part of the network that it is in; daemons of different parts do not reach each other.
    partition: u32,
    /// Time at which it last reached each other daemon.
    reached_us: Vec<u64>,
    waiting: HashMap<RequestKey, SmolStr>,
    inbox: Vec<(u64, usize, Datagram)>,
    granted: Vec<(SmolStr, u64, u64)>,
}

/// Demand of one organisation.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    pub(crate) organisation: SmolStr,
    pub(crate) per_s: f64,
    /// Daemons that its clients call.
    pub(crate) daemons: Vec<usize>,
}

pub(crate) struct World {
    daemons: Vec<Daemon>,
    rules: QuotaRules,
    quotas: Vec<(SmolStr, Quota)>,
    pub(crate) network: Network,
    pub(crate) defect: Defect,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now_us: u64,
    /// Times at which requests were sent to workers.
    pub(crate) sent_us: BTreeMap<SmolStr, Vec<u64>>,
    pub(crate) refused: BTreeMap<SmolStr, u64>,
    pub(crate) messages: u64,
    pub(crate) messages_between_regions: u64,
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

fn index_of(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("an IPv4 address")
    };
    let [_, _, high, low] = addr.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl World {
    pub(crate) fn new(
        count: usize,
        regions: usize,
        rules: QuotaRules,
        quotas: &[(&str, f64, f64)],
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let quotas = quotas.iter().map(|(name, rate_per_s, burst)| {
            let quota = Quota::new(*rate_per_s, *burst).unwrap().unwrap();
            (SmolStr::from(*name), quota)
        });
        let mut world = Self {
            daemons: Vec::new(),
            rules,
            quotas: quotas.collect(),
            network: Network::CALM,
            defect: Defect::None,
            now_us: 0,
            sent_us: BTreeMap::new(),
            refused: BTreeMap::new(),
            messages: 0,
            messages_between_regions: 0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 1),
        };
        for index in 0..count {
            let region = Region(format_smolstr!("r{}", index % regions));
            let offset_us = 1_000_000 + rng.random_range(0..1_000_000_000);
            let daemon = world.daemon(index, region, offset_us, 1, count);
            world.daemons.push(daemon);
        }
        world
    }

    fn daemon(
        &self,
        index: usize,
        region: Region,
        offset_us: u64,
        generation: u64,
        count: usize,
    ) -> Daemon {
        let own = QuotaMember {
            sender: Sender {
                name: format_smolstr!("vm-{index}"),
                generation,
            },
            region: region.clone(),
            addr: addr(index),
            presence: Presence::Live,
        };
        let mut node = QuotaNode::new(self.rules, own, self.now_us + offset_us);
        node.set_quotas(self.quotas.iter().cloned());
        Daemon {
            node,
            region,
            generation,
            offset_us,
            started_us: self.now_us,
            up_from_us: self.now_us,
            paused_until_us: 0,
            partition: 0,
            reached_us: vec![self.now_us; count],
            waiting: HashMap::new(),
            inbox: Vec::new(),
            granted: Vec::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Kills a daemon and starts it again after a while.
    pub(crate) fn restart(&mut self, index: usize, down_us: u64) {
        let before = &self.daemons[index];
        let (region, offset_us) = (before.region.clone(), before.offset_us);
        let (generation, partition) = (before.generation + 1, before.partition);
        let mut daemon = self.daemon(
            index,
            region,
            offset_us + down_us,
            generation,
            self.daemons.len(),
        );
        daemon.offset_us = offset_us;
        daemon.started_us = self.now_us + down_us;
        daemon.up_from_us = self.now_us + down_us;
        daemon.partition = partition;
        self.daemons[index] = daemon;
    }

    /// Shuts a daemon down in order, and starts it again.
    pub(crate) fn roll(&mut self, index: usize, down_us: u64) {
        let mut out = Vec::new();
        let daemon = &mut self.daemons[index];
        daemon.node.stop(self.now_us + daemon.offset_us, &mut out);
        self.dispatch(index, out);
        self.restart(index, down_us);
    }

    pub(crate) fn pause(&mut self, index: usize, for_us: u64) {
        self.daemons[index].paused_until_us = self.now_us + for_us;
    }

    /// Puts daemons into parts of the network; those of different parts do not reach each other.
    pub(crate) fn partition(&mut self, part_of: impl Fn(usize) -> u32) {
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.partition = part_of(index);
        }
    }

    /// Changes the quota of an organisation at all daemons.
    pub(crate) fn set_quota(&mut self, organisation: &str, rate_per_s: f64, burst: f64) {
        for (name, quota) in &mut self.quotas {
            if name == organisation {
                *quota = Quota::new(rate_per_s, burst).unwrap().unwrap();
            }
        }
        for daemon in &mut self.daemons {
            daemon.node.set_quotas(self.quotas.iter().cloned());
        }
    }

    fn is_up(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        self.now_us >= daemon.up_from_us && self.now_us >= daemon.paused_until_us
    }

    pub(crate) fn run(&mut self, for_us: u64, demands: &[Demand]) {
        let until_us = self.now_us + for_us;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            for index in 0..self.daemons.len() {
                if self.is_up(index) {
                    self.advance(index);
                }
            }
            for demand in demands {
                let mut expected = demand.per_s * STEP_US as f64 / 1e6;
                while expected > 0.0 {
                    if self.rng.random::<f64>() < expected {
                        let at = self.rng.random_range(0..demand.daemons.len());
                        self.request(demand.daemons[at], &demand.organisation);
                    }
                    expected -= 1.0;
                }
            }
        }
    }

    fn request(&mut self, index: usize, organisation: &SmolStr) {
        if !self.is_up(index) {
            return;
        }
        let mut out = Vec::new();
        let daemon = &mut self.daemons[index];
        let now_us = self.now_us + daemon.offset_us;
        match daemon.node.request(organisation, 1.0, now_us, &mut out) {
            Verdict::Decided(decision) => self.decide(index, organisation.clone(), decision),
            Verdict::Waits(key) => {
                daemon.waiting.insert(key, organisation.clone());
            }
        }
        self.dispatch(index, out);
    }

    fn decide(&mut self, index: usize, organisation: SmolStr, decision: Decision) {
        match decision {
            Decision::Granted {
                usable_us,
                expires_us,
            } => {
                let granted = &mut self.daemons[index].granted;
                granted.push((organisation, usable_us, expires_us));
            }
            Decision::Refused { .. } => *self.refused.entry(organisation).or_default() += 1,
        }
    }

    fn advance(&mut self, index: usize) {
        self.see_others(index);
        let mut inbox = std::mem::take(&mut self.daemons[index].inbox);
        let now_us = self.now_us;
        let (due, later): (Vec<_>, Vec<_>) = inbox
            .drain(..)
            .partition(|(due_us, _, _)| *due_us <= now_us);
        self.daemons[index].inbox = later;
        for (_, from, datagram) in due {
            let mut out = Vec::new();
            let daemon = &mut self.daemons[index];
            let node_us = now_us + daemon.offset_us;
            daemon.node.receive(datagram, addr(from), node_us, &mut out);
            self.dispatch(index, out);
        }
        if now_us.is_multiple_of(TICK_US) {
            let mut out = Vec::new();
            let daemon = &mut self.daemons[index];
            let is_settled = now_us >= daemon.started_us + SETTLING_US;
            daemon
                .node
                .tick(is_settled, now_us + daemon.offset_us, &mut out);
            self.dispatch(index, out);
        }
        self.use_tokens(index);
    }

    fn use_tokens(&mut self, index: usize) {
        let now_us = self.now_us;
        let daemon = &mut self.daemons[index];
        let node_us = now_us + daemon.offset_us;
        let granted = std::mem::take(&mut daemon.granted);
        for (organisation, usable_us, expires_us) in granted {
            if node_us < usable_us {
                daemon.granted.push((organisation, usable_us, expires_us));
            } else if node_us < expires_us {
                self.sent_us.entry(organisation).or_default().push(now_us);
            } else {
                *self.refused.entry(organisation).or_default() += 1;
            }
        }
    }

    /// What the gossip membership would tell.
    fn see_others(&mut self, index: usize) {
        let now_us = self.now_us;
        if !now_us.is_multiple_of(MEMBERS_US) {
            return;
        }
        let partition = self.daemons[index].partition;
        let mut members = Vec::new();
        for other in 0..self.daemons.len() {
            let is_reached = self.daemons[other].partition == partition && self.is_up(other);
            if is_reached {
                self.daemons[index].reached_us[other] = now_us;
            }
            let since_us = now_us - self.daemons[index].reached_us[other];
            let presence = if since_us < DETECTION_US {
                Presence::Live
            } else {
                Presence::Lost
            };
            members.push(QuotaMember {
                sender: Sender {
                    name: format_smolstr!("vm-{other}"),
                    generation: self.daemons[other].generation,
                },
                region: self.daemons[other].region.clone(),
                addr: addr(other),
                presence,
            });
        }
        let daemon = &mut self.daemons[index];
        daemon
            .node
            .set_members(members.into_iter(), now_us + daemon.offset_us);
    }

    fn dispatch(&mut self, from: usize, mut out: Vec<Outgoing>) {
        while let Some(Outgoing { to, message }) = out.pop() {
            let to = index_of(to);
            let datagram = self.daemons[from].node.datagram(message);
            if to == from {
                let daemon = &mut self.daemons[from];
                let node_us = self.now_us + daemon.offset_us;
                daemon.node.receive(datagram, addr(from), node_us, &mut out);
            } else {
                self.send(from, to, &datagram);
            }
        }
        let decisions = self.daemons[from].node.take_decisions();
        for (key, decision) in decisions {
            let organisation = self.daemons[from].waiting.remove(&key);
            if let Some(organisation) = organisation {
                self.decide(from, organisation, decision);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Datagram) {
        let is_far = self.daemons[from].region != self.daemons[to].region;
        self.messages += 1;
        self.messages_between_regions += u64::from(is_far);
        let is_cut = self.daemons[from].partition != self.daemons[to].partition;
        let is_down = self.now_us < self.daemons[to].up_from_us;
        if is_cut || is_down || self.rng.random::<f64>() < self.network.loss {
            return;
        }
        let mut datagram = Datagram::decode(&datagram.encode()).expect("own datagrams are decoded");
        if let Message::Delegation(DelegationMessage::Delegate { life_us, .. }) =
            &mut datagram.message
            && self.defect == Defect::DelegationsWithoutEnd
        {
            *life_us *= 20;
        }
        let copies = 1 + u32::from(self.rng.random::<f64>() < self.network.duplicates);
        for _ in 0..copies {
            let mut delay_us = if is_far { 12_000 } else { 500 };
            if self.rng.random::<f64>() < self.network.late {
                delay_us += self.rng.random_range(0..1_000_000);
            }
            let datagram = datagram.clone();
            let due_us = self.now_us + delay_us;
            self.daemons[to].inbox.push((due_us, from, datagram));
        }
    }

    /// Largest number of requests of an organisation in any window, and when it began.
    pub(crate) fn worst_window(&self, organisation: &str, window_us: u64) -> (usize, u64) {
        let Some(times) = self.sent_us.get(organisation) else {
            return (0, 0);
        };
        let mut times = times.clone();
        times.sort_unstable();
        let mut first = 0;
        let mut worst = (0, 0);
        for last in 0..times.len() {
            while times[last] - times[first] > window_us {
                first += 1;
            }
            if last + 1 - first > worst.0 {
                worst = (last + 1 - first, times[first]);
            }
        }
        worst
    }
}
