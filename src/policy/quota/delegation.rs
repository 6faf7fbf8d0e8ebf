//! Delegates this daemon's part of the quotas of one group to its allocator.

use {
    super::{message::Sender, view::QuotaMember},
    std::net::SocketAddr,
};

/// Lifetime of a delegation in renewal intervals; two renewals may be lost.
const LIFE_RENEWALS: f64 = 3.2;

/// Additional time for which this daemon counts its delegation, for the difference between clocks'
/// speeds and the interval at which the allocator checks for ended delegations.
const MARGIN_US: u64 = 60_000;

/// Interval between requests to end a delegation.
const WITHDRAW_INTERVAL_US: u64 = 60_000;

/// Renewals without an answer after which the allocator counts as unreachable.
const MAX_UNANSWERED: u32 = 2;

/// Lifetime of a delegation that is renewed at an interval.
pub(super) fn life_us(renew_us: u64) -> u64 {
    (renew_us as f64 * LIFE_RENEWALS) as u64
}

/// Time for which this daemon counts a delegation as not ended.
pub(super) fn counted_us(renew_us: u64) -> u64 {
    life_us(renew_us) + MARGIN_US
}

/// Step towards a delegation to the chosen allocator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing is due.
    None,
    /// Delegate, or renew the delegation.
    Delegate {
        /// Address of the allocator.
        to: SocketAddr,
        /// Reading of its clock to quote; zero if none is known.
        clock_us: u64,
    },
    /// End the delegation to an earlier allocator.
    Withdraw {
        /// Address of the earlier allocator.
        to: SocketAddr,
    },
}

/// Delegation of this daemon's part of one group.
#[derive(Debug, Default)]
pub(super) struct Delegation {
    allocator: Option<(Sender, SocketAddr)>,
    /// Latest reading of the allocator's clock, and when it arrived.
    clock: Option<(u64, u64)>,
    /// Time until which the part may be delegated, by this daemon's clock.
    ends_us: u64,
    sent_us: Option<u64>,
    unanswered: u32,
}

impl Delegation {
    /// Allocator that holds the delegation, if any does.
    pub(super) fn allocator(&self) -> Option<&(Sender, SocketAddr)> {
        self.allocator.as_ref()
    }

    /// Returns the allocator if it has not answered for so long that another one is to be chosen.
    pub(super) fn take_unreachable(&mut self) -> Option<Sender> {
        if self.unanswered <= MAX_UNANSWERED {
            return None;
        }
        self.unanswered = 0;
        self.allocator.as_ref().map(|(sender, _)| sender.clone())
    }

    /// Next step, which is assumed to be taken.
    pub(super) fn step(&mut self, chosen: &QuotaMember, renew_us: u64, now_us: u64) -> Step {
        let since_us = |sent_us: Option<u64>| sent_us.map(|sent_us| now_us.saturating_sub(sent_us));
        let is_chosen = |(sender, _): &(Sender, SocketAddr)| *sender == chosen.sender;
        if !self.allocator.as_ref().is_some_and(is_chosen) {
            if now_us < self.ends_us {
                let Some((_, to)) = self.allocator else {
                    return Step::None;
                };
                if since_us(self.sent_us).is_some_and(|since_us| since_us < WITHDRAW_INTERVAL_US) {
                    return Step::None;
                }
                self.sent_us = Some(now_us);
                return Step::Withdraw { to };
            }
            *self = Self {
                allocator: Some((chosen.sender.clone(), chosen.addr)),
                ..Self::default()
            };
        }
        if since_us(self.sent_us).is_some_and(|since_us| since_us < renew_us) {
            return Step::None;
        }
        self.unanswered += 1;
        self.delegate(chosen.addr, renew_us, now_us)
    }

    /// Records a reading of the allocator's clock; returns the delegation to send if this was the
    /// first one.
    pub(super) fn record_clock(
        &mut self,
        from: &Sender,
        clock_us: u64,
        renew_us: u64,
        now_us: u64,
    ) -> Step {
        let Some((sender, to)) = &self.allocator else {
            return Step::None;
        };
        if sender != from {
            return Step::None;
        }
        let to = *to;
        self.unanswered = 0;
        let is_first = self.clock.is_none();
        if self.clock.is_none_or(|(known_us, _)| clock_us > known_us) {
            self.clock = Some((clock_us, now_us));
        }
        if is_first {
            return self.delegate(to, renew_us, now_us);
        }
        Step::None
    }

    /// Records that an allocator no longer counts delegations that quote this reading of its clock
    /// or an earlier one.
    pub(super) fn record_end(&mut self, from: &Sender, clock_us: u64, now_us: u64) {
        let is_older = self
            .clock
            .is_none_or(|(quoted_us, _)| quoted_us <= clock_us);
        let is_allocator = self
            .allocator
            .as_ref()
            .is_some_and(|(sender, _)| sender == from);
        if is_older && is_allocator {
            self.ends_us = now_us;
            self.clock = None;
            self.sent_us = None;
        }
    }

    fn delegate(&mut self, to: SocketAddr, renew_us: u64, now_us: u64) -> Step {
        self.sent_us = Some(now_us);
        let clock_us = self.clock.map_or(0, |(clock_us, arrived_us)| {
            self.ends_us = self.ends_us.max(arrived_us + counted_us(renew_us));
            clock_us
        });
        Step::Delegate { to, clock_us }
    }
}
