//! Grants tokens from the parts of the quotas that daemons have delegated to this one.

use {
    super::{
        GROUPS, Quota,
        bucket::Bucket,
        message::{DelegationMessage, GroupSet, Sender, TokenMessage},
        node::Outgoing,
        view::{View, group_of},
    },
    crate::collections::HashMap,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Time constant of the average demand of an organisation.
const DEMAND_TAU_US: f64 = 1_000_000.0;

/// Demand for which tokens are borrowed at once, and which a lender keeps for itself.
const RESERVE_S: f64 = 0.25;

/// Time after which an allocator that was asked to lend tokens counts as unreachable: three times
/// the round trip between regions.
const BORROW_TIMEOUT_US: u64 = 75_000;

/// Time for which the withdrawal of a delegation is remembered; much longer than a delegation.
const WITHDRAWAL_MEMORY_US: u64 = 30_000_000;

/// Time for which nothing is borrowed after other regions had no tokens to lend.
const BORROW_BACKOFF_US: u64 = 200_000;

/// Time after which to ask an allocator again that has no part of the quota yet.
const ASK_AGAIN_US: u64 = 50_000;

/// Time since its first delegation for which an allocator is young: it has no tokens, and the
/// requests that waited for it come at once.
const YOUNG_US: u64 = 1_000_000;

/// Factor on the time for which requests wait at a young allocator.
const YOUNG_DELAY_FACTOR: u64 = 4;

/// Bounds of the advice when a request without a token may come back.
const RETRY_AFTER_MIN_MS: f64 = 100.0;
const RETRY_AFTER_MAX_MS: f64 = 2_000.0;

/// Largest number of allocators that may each keep one token of a quota with a smaller burst than
/// the number of allocators.
const MAX_SINGLE_TOKENS: f64 = 16.0;

/// Loss of delegated parts after which organisations without a bucket start empty.
const MAX_UNTRACKED_LOSS: f64 = 0.8;

/// Part of the quotas of one group that a daemon has delegated.
#[derive(Debug)]
struct Delegated {
    addr: SocketAddr,
    /// End by this daemon's clock.
    ends_us: u64,
    /// Number of parts, as the other daemon knows it.
    parts: u32,
}

/// Delegations of one group.
#[derive(Debug, Default)]
struct Group {
    delegated: HashMap<Sender, Delegated>,
    /// Time at which each daemon last withdrew its delegation. A delegation that quotes an earlier
    /// reading of the clock was sent before.
    withdrawn_us: HashMap<Sender, u64>,
    /// Share of each quota that is delegated to this daemon.
    share: f64,
    /// Share at the end of the previous update.
    accrued_share: f64,
    /// Integral of the share over time: seconds at the full rate.
    accrual_s: f64,
    accrued_us: u64,
    /// Accrual from which organisations without a bucket have their tokens.
    origin_s: f64,
    /// Highest share since that accrual.
    high_share: f64,
    /// Time since which the share has not been zero.
    shared_since_us: Option<u64>,
}

/// Ask that waits for borrowed tokens.
#[derive(Debug)]
struct HeldAsk {
    to: SocketAddr,
    ask: u64,
    needed: u32,
    max_delay_us: u64,
    since_us: u64,
}

/// State of one organisation that sends requests.
#[derive(Debug)]
struct Account {
    bucket: Bucket,
    group: usize,
    /// Tokens asked for per second.
    demand_per_s: f64,
    /// Tokens denied per second.
    denied_per_s: f64,
    rated_us: u64,
    held: Vec<HeldAsk>,
    /// Number of the latest loan, and the allocators that have not answered it.
    loan: u64,
    lenders: Vec<SocketAddr>,
    no_borrow_until_us: u64,
}

/// Allocator role of one daemon.
#[derive(Debug)]
pub(super) struct Allocator {
    groups: [Group; GROUPS],
    accounts: HashMap<SmolStr, Account>,
    has_resigned: bool,
}

impl Allocator {
    pub(super) fn new() -> Self {
        Self {
            groups: std::array::from_fn(|_| Group::default()),
            accounts: HashMap::default(),
            has_resigned: false,
        }
    }

    /// Counts a delegation from now on; one that has ended already counts for nothing.
    pub(super) fn delegate(
        &mut self,
        from: &Sender,
        addr: SocketAddr,
        terms: Terms,
        own_parts: u32,
        now_us: u64,
    ) {
        let ends_us = terms.clock_us.saturating_add(terms.life_us);
        if ends_us <= now_us || terms.clock_us > now_us || self.has_resigned {
            return;
        }
        for group in terms.groups.iter() {
            let delegations = &mut self.groups[group];
            let withdrawn_us = delegations.withdrawn_us.get(from);
            if withdrawn_us.is_some_and(|withdrawn_us| terms.clock_us <= *withdrawn_us) {
                continue;
            }
            let delegated = Delegated {
                addr,
                ends_us,
                parts: terms.parts,
            };
            delegations.delegated.insert(from.clone(), delegated);
            self.update_share(group, own_parts, now_us);
        }
    }

    /// Ends a delegation.
    pub(super) fn withdraw(
        &mut self,
        from: &Sender,
        groups: GroupSet,
        own_parts: u32,
        now_us: u64,
    ) {
        for group in groups.iter() {
            let delegations = &mut self.groups[group];
            delegations.delegated.remove(from);
            delegations.withdrawn_us.insert(from.clone(), now_us);
            self.update_share(group, own_parts, now_us);
        }
    }

    /// Gives up all delegations and tells the daemons that delegated.
    pub(super) fn resign(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        self.has_resigned = true;
        let mut delegators: HashMap<SocketAddr, GroupSet> = HashMap::default();
        for group in 0..GROUPS {
            for (_, delegated) in self.groups[group].delegated.drain() {
                delegators.entry(delegated.addr).or_default().insert(group);
            }
            self.update_share(group, 1, now_us);
        }
        for (to, groups) in delegators {
            out.push(Outgoing::new(to, DelegationMessage::Resign { groups }));
        }
    }

    /// Ends delegations whose time is over, and answers asks that have waited for borrowed tokens
    /// for too long.
    pub(super) fn tick(
        &mut self,
        quotas: &HashMap<SmolStr, Quota>,
        own_parts: u32,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        for group in 0..GROUPS {
            self.update_share(group, own_parts, now_us);
        }
        let overdue: Vec<SmolStr> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.has_waited(now_us))
            .map(|(name, _)| name.clone())
            .collect();
        for name in overdue {
            self.finish_borrowing(&name, quotas, now_us, out);
        }
        self.accounts.retain(|name, _| quotas.contains_key(name));
    }

    /// Share of the quotas of a group that is delegated to this daemon.
    pub(super) fn share(&self, group: usize) -> f64 {
        self.groups[group].share
    }

    /// Answers an ask, or holds it while tokens are borrowed.
    pub(super) fn ask(
        &mut self,
        from: SocketAddr,
        ask: &Ask<'_>,
        quotas: &HashMap<SmolStr, Quota>,
        view: &View,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(quota) = quotas.get(ask.organisation).copied() else {
            out.push(denial(from, ask.number, RETRY_AFTER_MIN_MS));
            return;
        };
        self.update_share(group_of(ask.organisation), view.parts(), now_us);
        let (account, group) = self.account(ask.organisation, quota, now_us);
        let Some(shared_since_us) = group.shared_since_us else {
            out.push(Outgoing::new(from, ask_again(ask.number)));
            return;
        };
        let is_young = now_us.saturating_sub(shared_since_us) < YOUNG_US;
        let delay_factor = if is_young { YOUNG_DELAY_FACTOR } else { 1 };
        let ask = &Ask {
            max_delay_us: ask.max_delay_us * delay_factor,
            ..*ask
        };
        account.record_demand(ask.needed + ask.extra, now_us);
        if account.held.is_empty()
            && let Some(grant) = account.grant(ask, quota, group.share)
        {
            out.push(Outgoing::new(from, grant));
            return;
        }
        if now_us >= account.no_borrow_until_us {
            account.hold(from, ask, now_us);
            if account.lenders.is_empty() {
                account.borrow(ask.organisation, view, now_us, out);
            }
            if !account.lenders.is_empty() {
                return;
            }
            account.held.pop();
        }
        let message = account.partial_grant(ask.number, ask.needed, quota, group.share);
        out.push(Outgoing::new(from, message));
    }

    /// Lends tokens that this region does not need itself.
    pub(super) fn lend(
        &mut self,
        to: SocketAddr,
        loan: &Loan<'_>,
        quotas: &HashMap<SmolStr, Quota>,
        own_parts: u32,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let organisation = loan.organisation;
        let mut lent = 0;
        if let Some(quota) = quotas.get(organisation).copied() {
            self.update_share(group_of(organisation), own_parts, now_us);
            let (account, _) = self.account(organisation, quota, now_us);
            account.record_demand(0, now_us);
            let reserve = account.demand_per_s * RESERVE_S;
            let spare = (account.bucket.tokens() - reserve).max(0.0) as u32;
            lent = loan.tokens.min(spare);
            account.bucket.subtract(lent);
        }
        let message = TokenMessage::Lend {
            loan: loan.number,
            organisation: organisation.clone(),
            tokens: lent,
        };
        out.push(Outgoing::new(to, message));
    }

    /// Receives lent tokens and answers the asks that wait for them.
    pub(super) fn receive_loan(
        &mut self,
        from: SocketAddr,
        loan: &Loan<'_>,
        quotas: &HashMap<SmolStr, Quota>,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let organisation = loan.organisation;
        let Some(account) = self.accounts.get_mut(organisation) else {
            return;
        };
        let lender = account.lenders.iter().position(|lender| *lender == from);
        let Some(lender) = lender.filter(|_| account.loan == loan.number) else {
            // A copy, or too late: the asks were answered.
            return;
        };
        account.lenders.swap_remove(lender);
        account.bucket.add(loan.tokens);
        if account.lenders.is_empty() {
            self.finish_borrowing(organisation, quotas, now_us, out);
        }
    }

    /// Answers all asks that wait for borrowed tokens.
    fn finish_borrowing(
        &mut self,
        organisation: &SmolStr,
        quotas: &HashMap<SmolStr, Quota>,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(quota) = quotas.get(organisation).copied() else {
            return;
        };
        let (account, group) = self.account(organisation, quota, now_us);
        account.lenders.clear();
        let mut has_denied = false;
        for held in std::mem::take(&mut account.held) {
            let ask = Ask {
                number: held.ask,
                organisation,
                needed: held.needed,
                extra: 0,
                max_delay_us: held.max_delay_us,
            };
            let grant = account.grant(&ask, quota, group.share);
            has_denied |= grant.is_none();
            let message = grant.unwrap_or_else(|| {
                account.partial_grant(held.ask, held.needed, quota, group.share)
            });
            out.push(Outgoing::new(held.to, message));
        }
        if has_denied {
            account.no_borrow_until_us = now_us + BORROW_BACKOFF_US;
        }
        account.bucket.truncate(capacity(quota, group.share));
    }

    /// Account of an organisation, refilled.
    fn account(
        &mut self,
        organisation: &SmolStr,
        quota: Quota,
        now_us: u64,
    ) -> (&mut Account, &Group) {
        let number = group_of(organisation);
        let group = &self.groups[number];
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account::new(number, group.origin_s, now_us));
        account.refill(quota, group);
        (account, group)
    }

    /// Ends overdue delegations of a group and recomputes its share.
    fn update_share(&mut self, number: usize, own_parts: u32, now_us: u64) {
        let group = &mut self.groups[number];
        let ends_us = group.delegated.values().map(|known| known.ends_us);
        let first_end_us = ends_us.min().unwrap_or(now_us);
        if first_end_us < now_us {
            // The share of the others accrues from the first end on.
            group.accrue(first_end_us);
            group.delegated.retain(|_, known| known.ends_us > now_us);
            group.share = group.share.min(group.delegated_share(own_parts));
        }
        group.accrue(now_us);
        group
            .withdrawn_us
            .retain(|_, since_us| now_us.saturating_sub(*since_us) < WITHDRAWAL_MEMORY_US);
        let before = group.accrued_share;
        let share = group.delegated_share(own_parts);
        group.share = share;
        group.accrued_share = share;
        group.shared_since_us = (share > 0.0).then(|| group.shared_since_us.unwrap_or(now_us));
        group.high_share = group.high_share.max(share);
        if share < group.high_share * MAX_UNTRACKED_LOSS {
            group.origin_s = group.accrual_s;
            group.high_share = share;
        }
        if share < before {
            self.truncate(number, before);
        }
    }

    /// Drops the tokens beyond the smaller capacities after a group has lost parts.
    fn truncate(&mut self, number: usize, share_before: f64) {
        let group = &self.groups[number];
        let accounts = self.accounts.values_mut();
        for account in accounts.filter(|account| account.group == number) {
            account.shrink(share_before, group);
        }
    }
}

impl Group {
    /// Advances the accrual at the present share.
    fn accrue(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.accrued_us);
        self.accrued_us = self.accrued_us.max(now_us);
        self.accrual_s += self.share * elapsed_us as f64 / 1e6;
    }

    /// Share of each quota that the present delegations add up to.
    fn delegated_share(&self, own_parts: u32) -> f64 {
        let count = self.delegated.len() as u32;
        let parts = self.delegated.values().map(|known| known.parts);
        let parts = parts.max().unwrap_or(1).max(own_parts).max(count);
        f64::from(count) / f64::from(parts)
    }
}

/// Terms of a delegation, as received.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms {
    pub(super) groups: GroupSet,
    /// Reading of this daemon's clock that the other one quotes.
    pub(super) clock_us: u64,
    pub(super) life_us: u64,
    pub(super) parts: u32,
}

/// Tokens to borrow or borrowed, as received.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loan<'a> {
    pub(super) number: u64,
    pub(super) organisation: &'a SmolStr,
    pub(super) tokens: u32,
}

/// Ask for tokens, as received.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ask<'a> {
    pub(super) number: u64,
    pub(super) organisation: &'a SmolStr,
    pub(super) needed: u32,
    pub(super) extra: u32,
    pub(super) max_delay_us: u64,
}

impl Account {
    fn new(group: usize, origin_s: f64, now_us: u64) -> Self {
        Self {
            bucket: Bucket::empty(origin_s),
            group,
            demand_per_s: 0.0,
            denied_per_s: 0.0,
            rated_us: now_us,
            held: Vec::new(),
            loan: now_us,
            lenders: Vec::new(),
            no_borrow_until_us: 0,
        }
    }

    fn refill(&mut self, quota: Quota, group: &Group) {
        let capacity = capacity(quota, group.share).max(self.bucket.tokens());
        self.bucket
            .refill(quota.rate_per_s, capacity, group.accrual_s);
    }

    /// Keeps the part of the tokens that the remaining share stands for.
    fn shrink(&mut self, share_before: f64, group: &Group) {
        let kept = self.bucket.tokens().max(0.0) * group.share / share_before;
        self.bucket.truncate(kept);
    }

    fn record_demand(&mut self, tokens: u32, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.rated_us) as f64;
        self.rated_us = now_us;
        let kept = (-elapsed_us / DEMAND_TAU_US).exp();
        self.demand_per_s = self.demand_per_s * kept + f64::from(tokens) * 1e6 / DEMAND_TAU_US;
        self.denied_per_s *= kept;
    }

    /// Grants all tokens that an ask needs, if they are there or will be soon.
    fn grant(&mut self, ask: &Ask<'_>, quota: Quota, share: f64) -> Option<TokenMessage> {
        let available = self.bucket.whole_tokens();
        let mut delay_us = 0;
        let mut tokens = ask.needed + ask.extra;
        if available < tokens {
            tokens = available.max(ask.needed);
            let missing = f64::from(tokens) - self.bucket.tokens();
            let rate_per_us = quota.rate_per_s * share / 1e6;
            if missing > 0.0 && rate_per_us <= 0.0 {
                return None;
            }
            if missing > 0.0 {
                delay_us = (missing / rate_per_us) as u64;
            }
        }
        if delay_us > ask.max_delay_us {
            return None;
        }
        self.bucket.subtract(tokens);
        Some(TokenMessage::Grant {
            ask: ask.number,
            tokens,
            delay_us,
            retry_after_ms: 0,
        })
    }

    /// Grants the tokens that are there, and advises the remaining requests when to come back.
    fn partial_grant(&mut self, ask: u64, needed: u32, quota: Quota, share: f64) -> TokenMessage {
        let tokens = self.bucket.whole_tokens().min(needed);
        self.bucket.subtract(tokens);
        self.denied_per_s += f64::from(needed - tokens) * 1e6 / DEMAND_TAU_US;
        let rate_per_s = (quota.rate_per_s * share).max(f64::MIN_POSITIVE);
        let behind = (1.0 - self.bucket.tokens()).max(0.0) + self.denied_per_s;
        let retry_after_ms =
            (behind / rate_per_s * 1_000.0).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS) as u32;
        TokenMessage::Grant {
            ask,
            tokens,
            delay_us: 0,
            retry_after_ms,
        }
    }

    fn hold(&mut self, to: SocketAddr, ask: &Ask<'_>, now_us: u64) {
        self.held.push(HeldAsk {
            to,
            ask: ask.number,
            needed: ask.needed,
            max_delay_us: ask.max_delay_us,
            since_us: now_us,
        });
    }

    fn has_waited(&self, now_us: u64) -> bool {
        let first = self.held.first();
        first.is_some_and(|first| now_us.saturating_sub(first.since_us) >= BORROW_TIMEOUT_US)
    }

    /// Asks the allocators of the other regions for what the held asks lack and for the demand of
    /// the near future.
    fn borrow(
        &mut self,
        organisation: &SmolStr,
        view: &View,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let needed: u32 = self.held.iter().map(|held| held.needed).sum();
        let soon = (self.demand_per_s * RESERVE_S).ceil() as u32;
        let owed = (-self.bucket.tokens()).max(0.0).ceil() as u32;
        let lenders = view.remote_allocators(self.group, now_us);
        self.loan += 1;
        self.lenders = lenders.iter().map(|lender| lender.addr).collect();
        for lender in lenders {
            let message = TokenMessage::Borrow {
                loan: self.loan,
                organisation: organisation.clone(),
                tokens: needed + soon + owed,
            };
            out.push(Outgoing::new(lender.addr, message));
        }
    }
}

/// Tokens that may accumulate at an allocator with this share of a quota.
fn capacity(quota: Quota, share: f64) -> f64 {
    let single = if share * MAX_SINGLE_TOKENS >= 1.0 {
        1.0
    } else {
        0.0
    };
    (quota.burst * share).max(single)
}

fn ask_again(ask: u64) -> TokenMessage {
    TokenMessage::Grant {
        ask,
        tokens: 0,
        delay_us: ASK_AGAIN_US,
        retry_after_ms: RETRY_AFTER_MIN_MS as u32,
    }
}

fn denial(to: SocketAddr, ask: u64, retry_after_ms: f64) -> Outgoing {
    let message = TokenMessage::Grant {
        ask,
        tokens: 0,
        delay_us: 0,
        retry_after_ms: retry_after_ms as u32,
    };
    Outgoing::new(to, message)
}
