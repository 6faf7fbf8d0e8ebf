//! Quotas at one daemon: both roles, delegations and the exchange of messages.

use {
    super::{
        GROUPS, Quota, QuotaRules,
        allocator::{Allocator, Ask, Loan, Terms},
        delegation::{Delegation, Step, counted_us, life_us},
        message::{Datagram, DelegationMessage, GroupSet, Message, Sender, TokenMessage},
        requester::{Decision, Grant, RequestKey, Requester, Verdict},
        view::{QuotaMember, View, group_of},
    },
    crate::collections::HashMap,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Part of the renewal interval for each daemon that shares an allocator, so that the messages at one
/// allocator do not grow with the fleet.
const RENEW_PER_NEIGHBOUR_US: u64 = 3_500;

/// Longest renewal interval.
const MAX_RENEW_US: u64 = 2_000_000;

/// Message to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Address of the receiver, which may be this daemon.
    pub to: SocketAddr,
    /// Contents.
    pub message: Message,
}

impl Outgoing {
    pub(super) fn new(to: SocketAddr, message: impl Into<Message>) -> Self {
        Self {
            to,
            message: message.into(),
        }
    }
}

/// State for metrics and dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaCounters {
    /// Parts that each quota is divided into.
    pub parts: u32,
    /// Share of the quotas that other daemons have delegated to this one, in thousandths, summed over
    /// the groups.
    pub allocated_permille: u32,
}

/// Quotas at one daemon.
#[derive(Debug)]
pub struct QuotaNode {
    rules: QuotaRules,
    view: View,
    quotas: HashMap<SmolStr, Quota>,
    allocator: Allocator,
    requester: Requester,
    delegations: [Delegation; GROUPS],
    started_us: u64,
    is_stopping: bool,
}

impl QuotaNode {
    /// Creates the state of a daemon that has just started.
    pub fn new(rules: QuotaRules, own: QuotaMember, now_us: u64) -> Self {
        Self {
            rules,
            requester: Requester::new(rules, own.sender.generation),
            view: View::new(own, rules.scope, rules.lost_member_us),
            quotas: HashMap::default(),
            allocator: Allocator::new(),
            delegations: std::array::from_fn(|_| Delegation::default()),
            started_us: now_us,
            is_stopping: false,
        }
    }

    /// Replaces the quotas by those of a newer configuration.
    pub fn set_quotas(&mut self, quotas: impl Iterator<Item = (SmolStr, Quota)>) {
        self.quotas = quotas.collect();
    }

    /// Returns whether any organisation has a quota.
    pub fn is_active(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Replaces the known daemons of the deployment.
    pub fn set_members(&mut self, others: impl Iterator<Item = QuotaMember>, now_us: u64) {
        self.view.update(others, now_us);
    }

    /// Takes a token for a request of an organisation, or asks for one. Without a quota, the request
    /// may be sent at any time. `patience` is the share of the longest delay that the request waits.
    pub fn request(
        &mut self,
        organisation: &SmolStr,
        patience: f64,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) -> Verdict {
        if !self.quotas.contains_key(organisation) {
            return Verdict::Decided(Decision::Granted {
                usable_us: now_us,
                expires_us: u64::MAX,
            });
        }
        let allocator = self.allocator_of(group_of(organisation), now_us);
        let max_delay_us = (self.rules.max_delay_us as f64 * patience) as u64;
        self.requester
            .request(organisation, max_delay_us, &allocator, now_us, out)
    }

    /// Forgets a request that no longer waits.
    pub fn cancel(&mut self, key: RequestKey) {
        self.requester.cancel(key);
    }

    /// Returns the token of a request that has certainly not run.
    pub fn restore(&mut self, organisation: &SmolStr, granted: Decision, now_us: u64) {
        if self.quotas.contains_key(organisation) {
            self.requester.restore(organisation, granted, now_us);
        }
    }

    /// Removes and returns the decisions on waiting requests since the last call.
    pub fn take_decisions(&mut self) -> Vec<(RequestKey, Decision)> {
        self.requester.take_decisions()
    }

    /// Renews delegations, and handles messages that got no answer. Before a daemon knows the others
    /// (`is_settled`), it delegates nothing.
    pub fn tick(&mut self, is_settled: bool, now_us: u64, out: &mut Vec<Outgoing>) {
        if !self.is_active() {
            return;
        }
        let parts = self.view.parts();
        self.allocator.tick(&self.quotas, parts, now_us, out);
        let allocators = self.allocators(now_us);
        for sender in self.requester.tick(&allocators, now_us, out) {
            self.view.avoid(&sender, now_us);
        }
        if is_settled && !self.is_stopping {
            self.delegate(now_us, out);
        }
    }

    /// Gives up the allocator role, as the daemon shuts down.
    pub fn stop(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        self.is_stopping = true;
        self.allocator.resign(now_us, out);
        let own = self.view.own().sender.clone();
        self.view.avoid_resigned(&own, now_us);
        for group in 0..GROUPS {
            if let Some((_, to)) = self.delegations[group].allocator() {
                let mut groups = GroupSet::default();
                groups.insert(group);
                out.push(Outgoing::new(*to, DelegationMessage::Withdraw { groups }));
            }
        }
    }

    /// Handles a message of another daemon, or of this one to itself.
    pub fn receive(
        &mut self,
        datagram: Datagram,
        from: SocketAddr,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let Datagram {
            from: sender,
            message,
        } = datagram;
        match message {
            Message::Delegation(message) => {
                self.receive_delegation(&sender, &message, from, now_us, out);
            }
            Message::Token(message) => self.receive_tokens(&message, from, now_us, out),
        }
    }

    /// Handles a message about the delegation of parts.
    fn receive_delegation(
        &mut self,
        sender: &Sender,
        message: &DelegationMessage,
        from: SocketAddr,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let own_parts = self.view.parts();
        match *message {
            DelegationMessage::Delegate {
                groups,
                allocator,
                clock_us,
                life_us,
                parts,
            } => {
                if allocator != self.view.own().sender.generation || self.is_stopping {
                    return;
                }
                let terms = Terms {
                    groups,
                    clock_us,
                    life_us,
                    parts,
                };
                self.allocator
                    .delegate(sender, from, terms, own_parts, now_us);
                let clock_us = now_us;
                out.push(Outgoing::new(
                    from,
                    DelegationMessage::Clock { groups, clock_us },
                ));
            }
            DelegationMessage::Clock { groups, clock_us } => {
                self.view.record_answer(sender);
                self.record_clock(sender, groups, clock_us, now_us, out);
            }
            DelegationMessage::Withdraw { groups } => {
                self.allocator.withdraw(sender, groups, own_parts, now_us);
                let clock_us = now_us;
                out.push(Outgoing::new(
                    from,
                    DelegationMessage::Withdrawn { groups, clock_us },
                ));
            }
            DelegationMessage::Withdrawn { groups, clock_us } => {
                self.record_end(sender, groups, clock_us, now_us);
                if !self.is_stopping {
                    self.delegate(now_us, out);
                }
            }
            DelegationMessage::Resign { groups } => {
                self.view.avoid_resigned(sender, now_us);
                self.record_end(sender, groups, u64::MAX, now_us);
                if !self.is_stopping {
                    self.delegate(now_us, out);
                }
                let allocators = self.allocators(now_us);
                self.requester.move_asks(sender, &allocators, now_us, out);
            }
        }
    }

    /// Handles a message about tokens.
    fn receive_tokens(
        &mut self,
        message: &TokenMessage,
        from: SocketAddr,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let quotas = &self.quotas;
        match message {
            TokenMessage::Ask {
                ask,
                organisation,
                needed,
                extra,
                max_delay_us,
            } => {
                let ask = Ask {
                    number: *ask,
                    organisation,
                    needed: *needed,
                    extra: *extra,
                    max_delay_us: *max_delay_us,
                };
                self.allocator
                    .ask(from, &ask, quotas, &self.view, now_us, out);
            }
            TokenMessage::Grant {
                ask,
                tokens,
                delay_us,
                retry_after_ms,
            } => {
                let grant = Grant {
                    tokens: *tokens,
                    delay_us: *delay_us,
                    retry_after_ms: *retry_after_ms,
                };
                self.requester.receive_grant(*ask, grant, now_us, out);
            }
            TokenMessage::Borrow {
                loan,
                organisation,
                tokens,
            } => {
                let loan = Loan {
                    number: *loan,
                    organisation,
                    tokens: *tokens,
                };
                let own_parts = self.view.parts();
                self.allocator
                    .lend(from, &loan, quotas, own_parts, now_us, out);
            }
            TokenMessage::Lend {
                loan,
                organisation,
                tokens,
            } => {
                let loan = Loan {
                    number: *loan,
                    organisation,
                    tokens: *tokens,
                };
                self.allocator
                    .receive_loan(from, &loan, quotas, now_us, out);
            }
        }
    }

    fn record_end(&mut self, sender: &Sender, groups: GroupSet, clock_us: u64, now_us: u64) {
        for group in groups.iter() {
            self.delegations[group].record_end(sender, clock_us, now_us);
        }
    }

    /// Datagram with a message of this daemon.
    pub fn datagram(&self, message: Message) -> Datagram {
        Datagram {
            from: self.view.own().sender.clone(),
            message,
        }
    }

    /// State for metrics.
    pub fn counters(&self) -> QuotaCounters {
        let shares = (0..GROUPS).map(|group| self.allocator.share(group));
        QuotaCounters {
            parts: self.view.parts(),
            allocated_permille: (shares.sum::<f64>() * 1_000.0) as u32,
        }
    }

    /// Allocator to ask for the tokens of a group: the one that holds this daemon's delegation.
    fn allocator_of(&self, group: usize, now_us: u64) -> (Sender, SocketAddr) {
        let delegated = self.delegations[group].allocator();
        delegated.cloned().unwrap_or_else(|| {
            let chosen = self.view.allocator(group, now_us);
            (chosen.sender.clone(), chosen.addr)
        })
    }

    fn allocators(&self, now_us: u64) -> Vec<(Sender, SocketAddr)> {
        let groups = 0..GROUPS;
        groups
            .map(|group| self.allocator_of(group, now_us))
            .collect()
    }

    fn renew_us(&self) -> u64 {
        let for_neighbours_us = self.view.neighbours() as u64 * RENEW_PER_NEIGHBOUR_US;
        for_neighbours_us.clamp(self.rules.min_renew_us, MAX_RENEW_US)
    }

    /// Takes the next step of each delegation; steps with the same allocator share a message.
    fn delegate(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        let renew_us = self.renew_us();
        if now_us < self.started_us + counted_us(renew_us) {
            // The previous run of this daemon may have delegated the part.
            return;
        }
        let mut steps: Vec<(Step, u64, GroupSet)> = Vec::new();
        for group in 0..GROUPS {
            if let Some(sender) = self.delegations[group].take_unreachable() {
                self.view.avoid(&sender, now_us);
            }
            let chosen = self.view.allocator(group, now_us);
            let generation = chosen.sender.generation;
            let step = self.delegations[group].step(chosen, renew_us, now_us);
            let same =
                |known: &&mut (Step, u64, GroupSet)| known.0 == step && known.1 == generation;
            if let Some((_, _, groups)) = steps.iter_mut().find(same) {
                groups.insert(group);
            } else {
                let mut groups = GroupSet::default();
                groups.insert(group);
                steps.push((step, generation, groups));
            }
        }
        for (step, generation, groups) in steps {
            self.push_step(step, generation, groups, renew_us, out);
        }
    }

    fn record_clock(
        &mut self,
        sender: &Sender,
        groups: GroupSet,
        clock_us: u64,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let renew_us = self.renew_us();
        let mut first = GroupSet::default();
        let mut first_step = Step::None;
        for group in groups.iter() {
            let delegation = &mut self.delegations[group];
            let step = delegation.record_clock(sender, clock_us, renew_us, now_us);
            if step != Step::None {
                first.insert(group);
                first_step = step;
            }
        }
        self.push_step(first_step, sender.generation, first, renew_us, out);
    }

    fn push_step(
        &self,
        step: Step,
        generation: u64,
        groups: GroupSet,
        renew_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        match step {
            Step::None => {}
            Step::Delegate { to, clock_us } => {
                let message = DelegationMessage::Delegate {
                    groups,
                    allocator: generation,
                    clock_us,
                    life_us: life_us(renew_us),
                    parts: self.view.parts(),
                };
                out.push(Outgoing::new(to, message));
            }
            Step::Withdraw { to } => {
                out.push(Outgoing::new(to, DelegationMessage::Withdraw { groups }));
            }
        }
    }
}
