//! Quotas of organisations at this daemon, see [`crate::policy::quota`]: tokens for clients' requests,
//! and datagrams to and from other daemons.

use {
    crate::{
        collections::HashMap,
        fleet::member::{Member, Status},
        mesh::{
            Mesh,
            forward::RoutedRequest,
            organisations::Organisations,
            runtime::{now_us, sleep_until},
        },
        policy::quota::{
            Decision, Outgoing, Presence, QuotaMember, QuotaNode, QuotaRules, RequestKey, Verdict,
            message::{Datagram, Sender},
        },
        request::{Reason, Refusal},
    },
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    rand::RngExt,
    smol_str::SmolStr,
    std::{
        cell::{Cell, RefCell},
        cmp::Reverse,
        fmt::Write,
        net::SocketAddr,
        rc::Rc,
    },
};

/// Interval at which the members are read from the gossip membership.
const MEMBERS_INTERVAL_US: u64 = 250_000;

/// Tokens asked for again by one request, as they had expired before they could be used.
const MAX_EXPIRED: usize = 2;

/// Organisations in the metrics, those with most requests.
const MAX_LISTED: usize = 20;

/// Requests of one organisation since the start.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    admitted: u64,
    refused: u64,
}

impl Usage {
    fn requests(&self) -> u64 {
        self.admitted + self.refused
    }
}

/// State of the quotas.
pub struct Quotas {
    node: RefCell<QuotaNode>,
    waiting: RefCell<HashMap<RequestKey, oneshot::Sender<Decision>>>,
    usage: RefCell<HashMap<SmolStr, Usage>>,
    members_read_us: Cell<u64>,
}

/// Token of an admitted request.
#[derive(Debug)]
pub(super) struct Token {
    organisation: SmolStr,
    granted: Decision,
}

impl Quotas {
    /// Creates the state of a daemon that has just started.
    pub fn new(rules: QuotaRules, own: &Member, now_us: u64) -> Self {
        Self {
            node: RefCell::new(QuotaNode::new(rules, quota_member(own), now_us)),
            waiting: RefCell::default(),
            usage: RefCell::default(),
            members_read_us: Cell::new(0),
        }
    }

    /// Applies the quotas of a newer configuration.
    pub(super) fn apply(&self, organisations: &Organisations) {
        let quotas = organisations
            .iter()
            .filter_map(|known| Some((known.name.clone(), known.quota?)));
        self.node.borrow_mut().set_quotas(quotas);
        let is_known = |name: &SmolStr| organisations.iter().any(|known| known.name == *name);
        self.usage.borrow_mut().retain(|name, _| is_known(name));
    }

    /// Writes the metrics: state of the allocator, and requests of the organisations with most of
    /// them.
    pub(super) fn write_metrics(&self, text: &mut String) {
        let counters = self.node.borrow().counters();
        let usage = self.usage.borrow();
        let mut listed: Vec<_> = usage.iter().collect();
        listed.sort_by_key(|(name, usage)| (Reverse(usage.requests()), *name));
        listed.truncate(MAX_LISTED);
        let mut write = |name: &str, kind: &str, values: &[(String, u64)]| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "# TYPE shallotdeal_{name} {kind}");
            for (labels, value) in values {
                let _ = writeln!(text, "shallotdeal_{name}{labels} {value}");
            }
        };
        let plain = |value: u32| [(String::new(), u64::from(value))];
        write("quota_parts", "gauge", &plain(counters.parts));
        let allocated = plain(counters.allocated_permille);
        write("quota_allocated_permille", "gauge", &allocated);
        let of_listed = |value: fn(&Usage) -> u64| -> Vec<(String, u64)> {
            let lines = listed.iter().map(|(name, usage)| {
                let labels = format!("{{organisation=\"{}\"}}", name.escape_default());
                (labels, value(usage))
            });
            lines.collect()
        };
        write(
            "quota_admitted_total",
            "counter",
            &of_listed(|usage| usage.admitted),
        );
        write(
            "quota_refused_total",
            "counter",
            &of_listed(|usage| usage.refused),
        );
    }

    fn record(&self, organisation: &SmolStr, is_admitted: bool) {
        let mut usage = self.usage.borrow_mut();
        let usage = usage.entry(organisation.clone()).or_default();
        usage.admitted += u64::from(is_admitted);
        usage.refused += u64::from(!is_admitted);
    }
}

impl Mesh {
    /// Waits for a token for a request; `None` if its organisation has no quota.
    ///
    /// # Errors
    ///
    /// Refuses the request if its organisation has used up its quota.
    pub(super) async fn take_token(
        self: &Rc<Self>,
        request: &RoutedRequest,
    ) -> Result<Option<Token>, Refusal> {
        let Some(key) = request.organisation else {
            return Ok(None);
        };
        let organisation = request.table.organisations.get(key);
        if organisation.quota.is_none() {
            return Ok(None);
        }
        let name = &organisation.name;
        let patience = request.table.route_precedence(request.root_importance);
        let mut refused_ms = 0;
        for _ in 0..=MAX_EXPIRED {
            match self
                .decide_quota(name, patience, request.deadline_us)
                .await?
            {
                granted @ Decision::Granted {
                    usable_us,
                    expires_us,
                } => {
                    sleep_until(usable_us).await;
                    if now_us() < expires_us {
                        self.quotas.record(name, true);
                        let organisation = name.clone();
                        return Ok(Some(Token {
                            organisation,
                            granted,
                        }));
                    }
                    self.metrics.count("quota.expired");
                }
                Decision::Refused { retry_after_ms } => {
                    refused_ms = retry_after_ms;
                    break;
                }
            }
        }
        self.quotas.record(name, false);
        self.metrics.count("quota.refused");
        let jitter: f64 = self.rng.borrow_mut().random_range(0.75..1.5);
        let after_ms = request.bounded_retry_after_ms(f64::from(refused_ms) * jitter, now_us());
        tracing::info!(attempt = %request.metadata.attempt_id, route = %request.route.name,
            organisation = %name, after_ms, "quota of the organisation used up");
        Err(Refusal::not_run(Reason::QuotaExceeded).retry_after_ms(after_ms))
    }

    /// Returns the token of a request that has certainly not run.
    pub(super) fn restore_token(&self, token: &Token) {
        let mut node = self.quotas.node.borrow_mut();
        node.restore(&token.organisation, token.granted, now_us());
    }

    /// Handles a datagram about quotas.
    pub(super) fn receive_quota(self: &Rc<Self>, bytes: &[u8], from: SocketAddr) {
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                tracing::debug!(%from, %error, "quota datagram ignored");
                self.metrics.count("quota.malformed");
                return;
            }
        };
        self.update_quotas(|node, out| node.receive(datagram, from, now_us(), out));
    }

    /// Renews delegations and reads the members.
    pub(super) fn tick_quotas(self: &Rc<Self>) {
        let now_us = now_us();
        if !self.quotas.node.borrow().is_active() {
            return;
        }
        let since_us = now_us.saturating_sub(self.quotas.members_read_us.get());
        if since_us >= MEMBERS_INTERVAL_US {
            self.quotas.members_read_us.set(now_us);
            let fleet = self.fleet.borrow();
            let members = fleet.members().map(quota_member);
            self.quotas.node.borrow_mut().set_members(members, now_us);
        }
        let is_settled = self.is_ready() || self.is_stopping();
        self.update_quotas(|node, out| node.tick(is_settled, now_us, out));
    }

    /// Gives up the allocator role, as the daemon shuts down.
    pub(super) fn resign_quotas(self: &Rc<Self>, now_us: u64) {
        self.update_quotas(|node, out| node.stop(now_us, out));
    }

    /// Gets the decision on one token.
    async fn decide_quota(
        self: &Rc<Self>,
        organisation: &SmolStr,
        patience: f64,
        deadline_us: u64,
    ) -> Result<Decision, Refusal> {
        let mut out = Vec::new();
        let verdict = {
            let mut node = self.quotas.node.borrow_mut();
            node.request(organisation, patience, now_us(), &mut out)
        };
        let key = match verdict {
            Verdict::Decided(decision) => return Ok(decision),
            Verdict::Waits(key) => key,
        };
        let (sender, receiver) = oneshot::channel();
        self.quotas.waiting.borrow_mut().insert(key, sender);
        let _guard = Waiting { mesh: self, key };
        self.finish_quota_update(out);
        match select(receiver, sleep_until(deadline_us)).await {
            Either::Left((Ok(decision), _)) => Ok(decision),
            Either::Left((Err(_), _)) => Err(Refusal::not_run(Reason::Internal)),
            Either::Right(_) => Err(Refusal::not_run(Reason::Deadline)),
        }
    }

    /// Applies a change, and sends the messages and delivers the decisions that result from it.
    fn update_quotas(&self, change: impl FnOnce(&mut QuotaNode, &mut Vec<Outgoing>)) {
        let mut out = Vec::new();
        change(&mut self.quotas.node.borrow_mut(), &mut out);
        self.finish_quota_update(out);
    }

    /// Sends messages, handles those to this daemon, and delivers the decisions that result from
    /// them.
    fn finish_quota_update(&self, mut out: Vec<Outgoing>) {
        let own_addr = self.settings.calls_addr;
        while let Some(Outgoing { to, message }) = out.pop() {
            let mut node = self.quotas.node.borrow_mut();
            let datagram = node.datagram(message);
            if to == own_addr {
                node.receive(datagram, own_addr, now_us(), &mut out);
            } else {
                // A lost datagram is sent again or loses tokens, see `policy::quota`.
                self.send_datagram(to, &datagram.encode());
            }
        }
        self.deliver_quota_decisions();
    }

    /// Delivers the decisions on requests that are registered as waiting.
    fn deliver_quota_decisions(&self) {
        let decisions = self.quotas.node.borrow_mut().take_decisions();
        for (key, decision) in decisions {
            let sender = self.quotas.waiting.borrow_mut().remove(&key);
            if let Some(sender) = sender {
                // The request may have been dropped.
                let _ = sender.send(decision);
            }
        }
    }
}

/// Guard of a request that waits for a token.
struct Waiting<'a> {
    mesh: &'a Mesh,
    key: RequestKey,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.mesh.quotas.waiting.borrow_mut().remove(&self.key);
        self.mesh.quotas.node.borrow_mut().cancel(self.key);
    }
}

fn quota_member(member: &Member) -> QuotaMember {
    QuotaMember {
        sender: Sender {
            name: member.place.name.clone(),
            generation: member.generation.0,
        },
        region: member.place.region.clone(),
        addr: member.place.gossip_addr,
        presence: match member.status {
            Status::Alive | Status::Suspect => Presence::Live,
            Status::Dead => Presence::Lost,
            Status::Left => Presence::Left,
        },
    }
}
