//! Asks allocators for tokens on behalf of clients' requests.

use {
    super::{
        QuotaRules,
        message::{Sender, TokenMessage},
        node::Outgoing,
        view::group_of,
    },
    crate::collections::HashMap,
    smol_str::SmolStr,
    std::{collections::VecDeque, net::SocketAddr},
};

/// Time without an answer after which an ask is sent again: twice the time for which an allocator
/// holds it back.
const RESEND_US: u64 = 150_000;

/// Sends of an ask before the allocator counts as unreachable.
const MAX_SENDS: u32 = 3;

/// Advice when a request that got no token may come back if no allocator has answered.
const RETRY_AFTER_UNANSWERED_MS: u32 = 500;

/// Longest time for which a request waits for an allocator that has no part of the quota yet.
const MAX_WAIT_US: u64 = 700_000;

/// Time constant of the average number of requests of an organisation at this daemon.
const DEMAND_TAU_US: f64 = 1_000_000.0;

/// Demand for which an ask includes further tokens, as a share of their lifetime.
const EXTRA_SHARE: f64 = 0.5;

/// Request that waits for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey(u64);

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// A token is there.
    Granted {
        /// Time from which the request may be sent.
        usable_us: u64,
        /// Time from which it may no longer be sent with this token.
        expires_us: u64,
    },
    /// The quota is used up.
    Refused {
        /// Time from now after which it may come back.
        retry_after_ms: u32,
    },
}

/// Immediate result for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Decided.
    Decided(Decision),
    /// The decision follows.
    Waits(RequestKey),
}

/// Tokens in hand.
#[derive(Debug, Clone, Copy)]
struct Tokens {
    count: u32,
    usable_us: u64,
    expires_us: u64,
}

/// State of one organisation.
#[derive(Debug, Default)]
struct Holding {
    tokens: VecDeque<Tokens>,
    demand_per_s: f64,
    rated_us: u64,
}

/// Ask without an answer.
#[derive(Debug)]
struct OpenAsk {
    organisation: SmolStr,
    allocator: (Sender, SocketAddr),
    extra: u32,
    max_delay_us: u64,
    waiting: VecDeque<RequestKey>,
    /// Time of the first of successive asks.
    since_us: u64,
    first_sent_us: u64,
    sent_us: u64,
    sends: u32,
}

/// Requester role of one daemon.
#[derive(Debug)]
pub(super) struct Requester {
    token_life_us: u64,
    holdings: HashMap<SmolStr, Holding>,
    open: HashMap<u64, OpenAsk>,
    /// Asks to send at a time, as the allocator has no part of the quota yet.
    postponed: Vec<(u64, OpenAsk)>,
    next_ask: u64,
    next_request: u64,
    decided: Vec<(RequestKey, Decision)>,
}

impl Requester {
    /// Creates the requester; `first_ask` differs from the numbers that earlier runs of this daemon
    /// have used.
    pub(super) fn new(rules: QuotaRules, first_ask: u64) -> Self {
        Self {
            token_life_us: rules.token_life_us,
            holdings: HashMap::default(),
            open: HashMap::default(),
            postponed: Vec::new(),
            next_ask: first_ask,
            next_request: 0,
            decided: Vec::new(),
        }
    }

    /// Takes a token for a request, or asks for one.
    pub(super) fn request(
        &mut self,
        organisation: &SmolStr,
        max_delay_us: u64,
        allocator: &(Sender, SocketAddr),
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) -> Verdict {
        let holding = self.holdings.entry(organisation.clone()).or_default();
        holding.record_request(now_us);
        if let Some(granted) = holding.take(now_us) {
            return Verdict::Decided(granted);
        }
        let life_s = self.token_life_us as f64 / 1e6;
        let extra = (holding.demand_per_s * life_s * EXTRA_SHARE) as u32;
        let key = RequestKey(self.next_request);
        self.next_request += 1;
        let ask = OpenAsk {
            organisation: organisation.clone(),
            allocator: allocator.clone(),
            extra,
            max_delay_us,
            waiting: VecDeque::from([key]),
            since_us: now_us,
            first_sent_us: now_us,
            sent_us: now_us,
            sends: 1,
        };
        self.send_ask(ask, out);
        Verdict::Waits(key)
    }

    /// Forgets a request that no longer waits. Its token is kept for others.
    pub(super) fn cancel(&mut self, key: RequestKey) {
        let postponed = self.postponed.iter_mut().map(|(_, ask)| ask);
        for ask in self.open.values_mut().chain(postponed) {
            ask.waiting.retain(|waiting| *waiting != key);
        }
    }

    /// Returns the token of a request that was not sent to any worker.
    pub(super) fn restore(&mut self, organisation: &SmolStr, granted: Decision, now_us: u64) {
        let Decision::Granted {
            usable_us,
            expires_us,
        } = granted
        else {
            return;
        };
        if expires_us <= now_us {
            return;
        }
        let holding = self.holdings.entry(organisation.clone()).or_default();
        holding.tokens.push_back(Tokens {
            count: 1,
            usable_us,
            expires_us,
        });
    }

    /// Distributes granted tokens to the requests that wait for them.
    pub(super) fn receive_grant(
        &mut self,
        number: u64,
        grant: Grant,
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(mut ask) = self.open.remove(&number) else {
            return;
        };
        let may_wait = now_us.saturating_sub(ask.since_us) < MAX_WAIT_US;
        if grant.tokens == 0 && grant.delay_us > 0 && may_wait {
            self.postponed.push((now_us + grant.delay_us, ask));
            return;
        }
        let tokens = Tokens {
            count: grant.tokens,
            usable_us: now_us + grant.delay_us,
            expires_us: ask.first_sent_us + self.token_life_us + grant.delay_us,
        };
        let holding = self.holdings.entry(ask.organisation.clone()).or_default();
        if tokens.count > 0 && tokens.expires_us > tokens.usable_us {
            holding.tokens.push_back(tokens);
        } else if grant.tokens > 0 && may_wait {
            // The answer is older than its tokens may become.
            ask.restart(now_us);
            self.send_ask(ask, out);
            return;
        }
        while let Some(key) = ask.waiting.pop_front() {
            let decision = holding.take(now_us).unwrap_or(Decision::Refused {
                retry_after_ms: grant.retry_after_ms,
            });
            self.decided.push((key, decision));
        }
    }

    /// Sends postponed asks and unanswered ones again, and returns the allocators that have not
    /// answered. `allocators` are those of all groups.
    pub(super) fn tick(
        &mut self,
        allocators: &[(Sender, SocketAddr)],
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) -> Vec<Sender> {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.postponed)
            .into_iter()
            .partition(|(at_us, _)| *at_us <= now_us);
        self.postponed = later;
        for (_, mut ask) in due {
            ask.allocator = allocators[group_of(&ask.organisation)].clone();
            ask.restart(now_us);
            self.send_ask(ask, out);
        }
        let overdue = |ask: &OpenAsk| now_us.saturating_sub(ask.sent_us) >= RESEND_US;
        let numbers: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, ask)| overdue(ask))
            .map(|(number, _)| *number)
            .collect();
        let mut unreachable = Vec::new();
        for number in numbers {
            let Some(ask) = self.open.get_mut(&number) else {
                continue;
            };
            if ask.sends < MAX_SENDS && !ask.waiting.is_empty() {
                ask.sends += 1;
                ask.sent_us = now_us;
                out.push(ask.message(number));
                continue;
            }
            if let Some(ask) = self.open.remove(&number) {
                let refused = Decision::Refused {
                    retry_after_ms: RETRY_AFTER_UNANSWERED_MS,
                };
                let keys = ask.waiting.into_iter();
                self.decided.extend(keys.map(|key| (key, refused)));
                if ask.sends >= MAX_SENDS {
                    unreachable.push(ask.allocator.0);
                }
            }
        }
        self.holdings.retain(|_, holding| {
            holding.tokens.retain(|tokens| tokens.expires_us > now_us);
            !holding.tokens.is_empty() || !holding.is_idle(now_us)
        });
        unreachable
    }

    /// Sends the asks that an allocator has not answered to the next ones, by group, as it shuts
    /// down.
    pub(super) fn move_asks(
        &mut self,
        from: &Sender,
        allocators: &[(Sender, SocketAddr)],
        now_us: u64,
        out: &mut Vec<Outgoing>,
    ) {
        for (number, ask) in &mut self.open {
            if ask.allocator.0 == *from {
                ask.allocator = allocators[group_of(&ask.organisation)].clone();
                ask.first_sent_us = now_us;
                ask.sent_us = now_us;
                out.push(ask.message(*number));
            }
        }
    }

    /// Removes and returns the decisions made since the last call.
    pub(super) fn take_decisions(&mut self) -> Vec<(RequestKey, Decision)> {
        std::mem::take(&mut self.decided)
    }

    fn send_ask(&mut self, ask: OpenAsk, out: &mut Vec<Outgoing>) {
        let number = self.next_ask;
        self.next_ask = self.next_ask.wrapping_add(1);
        out.push(ask.message(number));
        self.open.insert(number, ask);
    }
}

/// Answer to an ask, as received.
#[derive(Debug, Clone, Copy)]
pub(super) struct Grant {
    pub(super) tokens: u32,
    pub(super) delay_us: u64,
    pub(super) retry_after_ms: u32,
}

impl Holding {
    fn record_request(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.rated_us) as f64;
        self.rated_us = now_us;
        let kept = (-elapsed_us / DEMAND_TAU_US).exp();
        self.demand_per_s = self.demand_per_s * kept + 1e6 / DEMAND_TAU_US;
    }

    fn is_idle(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.rated_us) as f64 > 5.0 * DEMAND_TAU_US
    }

    /// Takes the token that is usable first.
    fn take(&mut self, now_us: u64) -> Option<Decision> {
        self.tokens
            .retain(|tokens| tokens.count > 0 && tokens.expires_us > now_us);
        let first = self
            .tokens
            .iter_mut()
            .min_by_key(|tokens| tokens.usable_us)?;
        first.count -= 1;
        Some(Decision::Granted {
            usable_us: first.usable_us.max(now_us),
            expires_us: first.expires_us,
        })
    }
}

impl OpenAsk {
    /// Begins another ask for the same requests.
    fn restart(&mut self, now_us: u64) {
        self.first_sent_us = now_us;
        self.sent_us = now_us;
        self.sends = 1;
    }

    fn message(&self, number: u64) -> Outgoing {
        let message = TokenMessage::Ask {
            ask: number,
            organisation: self.organisation.clone(),
            needed: self.waiting.len().max(1) as u32,
            extra: self.extra,
            max_delay_us: self.max_delay_us,
        };
        Outgoing::new(self.allocator.1, message)
    }
}
