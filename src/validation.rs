//! Validation of an incoming request against the configuration in force.

use {
    crate::{
        call::Request,
        config::{Config, DEFAULT_CLASS, ServiceRule},
        ingress::{IncomingRequest, Origin},
        local::CallId,
        node::Node,
        policy::{retry::TokenPoolKey, suspect::Fingerprint, ticket::Ticket},
        request::{ClassName, Importance, Rank, Reason, Refusal, RequestId, ServiceName},
    },
    smol_str::SmolStr,
    std::{net::IpAddr, sync::Arc},
};

/// Maximum number of hops from the caller; a longer path is taken for a loop.
const MAX_DEPTH: u8 = 64;

/// Delay advised to a caller while the daemon has no configuration yet.
const NO_CONFIG_RETRY_AFTER_MS: u32 = 500;

/// Maximum ratio of one caller's resends to its first sends.
const RESEND_RATIO_PERCENT: u8 = 100;

/// Delay advised to a caller that resends too much.
const RESEND_RETRY_AFTER_MS: u32 = 1_000;

/// A request that may be sent to a worker.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Client request that it belongs to.
    pub request_id: RequestId,
    /// Called service.
    pub service: ServiceName,
    /// Rule in force for the service.
    pub service_rule: ServiceRule,
    /// Class of the request.
    pub class: ClassName,
    /// Importance of the class.
    pub importance: Importance,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Deadline on the monotonic clock.
    pub deadline_us: u64,
    /// Hops from the caller.
    pub depth: u8,
    /// Retry token pool of the request.
    pub token_pool: TokenPoolKey,
    /// Call that it is nested in.
    pub parent: Option<CallId>,
    /// Whether this is the first send of the request, as far as the caller states.
    pub first_attempt: bool,
    /// Ticket of a non-idempotent request.
    pub ticket: Option<Ticket>,
    /// Caller's own key.
    pub key: Option<SmolStr>,
    /// Whether the caller states that it sent the request before.
    pub is_resend: bool,
    /// Time of the caller's first send, on its clock.
    pub first_sent_unix_ms: Option<u64>,
    /// Hash of the request for the backend server.
    pub fingerprint: Fingerprint,
    /// Request for the backend server.
    pub request: Arc<Request>,
}

impl OutgoingRequest {
    /// Order in which the request is shed.
    pub fn rank(&self) -> Rank {
        Rank::new(self.importance, self.request_id)
    }

    /// Tells whether the request needs a ticket.
    pub fn needs_ticket(&self) -> bool {
        !self.idempotent && self.parent.is_none()
    }
}

impl Node {
    /// Validates a request and opens its retry token pool.
    pub fn accept(
        &self,
        incoming: IncomingRequest,
        now_us: u64,
    ) -> Result<OutgoingRequest, Refusal> {
        if !self.live_config.may_serve() {
            let refusal = Refusal::not_run(Reason::StoreUnavailable);
            return Err(refusal.retry_after_ms(NO_CONFIG_RETRY_AFTER_MS));
        }
        let config = self.config();
        let service_rule = self.service_rule(&config, &incoming.service)?;
        match incoming.origin.clone() {
            Origin::Nested(call_id) => self.accept_nested(incoming, &call_id, service_rule),
            Origin::Caller(ip) => {
                self.accept_from_caller(incoming, ip, service_rule, &config, now_us)
            }
        }
    }

    /// Rule of a service that is configured, or that may be served because a worker announced it.
    fn service_rule(&self, config: &Config, service: &str) -> Result<ServiceRule, Refusal> {
        if let Some(rule) = config.services.get(service) {
            return Ok(rule.clone());
        }
        // A data centre that starts without access to the store serves all announced services.
        let may_be_unlisted =
            config.rules.unlisted_services || !self.live_config.is_authoritative();
        if may_be_unlisted && self.directory.has_worker(service) {
            return Ok(ServiceRule::default());
        }
        Err(Refusal::not_run(Reason::UnknownService))
    }

    fn accept_nested(
        &self,
        incoming: IncomingRequest,
        call_id: &str,
        service_rule: ServiceRule,
    ) -> Result<OutgoingRequest, Refusal> {
        let call_id =
            CallId::try_from(call_id).map_err(|_| Refusal::not_run(Reason::BadRequest))?;
        let local = self.local.lock();
        let parent = local
            .running
            .get(&call_id)
            .ok_or(Refusal::not_run(Reason::Cancelled))?;
        let depth = parent.depth.saturating_add(1);
        if depth > MAX_DEPTH {
            return Err(Refusal::not_run(Reason::BadRequest));
        }
        let fingerprint = incoming.fingerprint();
        Ok(OutgoingRequest {
            request_id: parent.request_id,
            service: incoming.service,
            service_rule,
            class: parent.class.clone(),
            importance: parent.importance,
            idempotent: parent.idempotent || is_safe(&incoming.request.method),
            deadline_us: parent.deadline_us,
            depth,
            token_pool: parent.token_pool,
            parent: Some(call_id),
            first_attempt: true,
            ticket: None,
            key: None,
            is_resend: false,
            first_sent_unix_ms: None,
            fingerprint,
            request: Arc::new(incoming.request),
        })
    }

    fn accept_from_caller(
        &self,
        incoming: IncomingRequest,
        caller: IpAddr,
        service_rule: ServiceRule,
        config: &Config,
        now_us: u64,
    ) -> Result<OutgoingRequest, Refusal> {
        let is_first = incoming.is_first();
        let fingerprint = incoming.fingerprint();
        let class = incoming.class.unwrap_or_else(|| DEFAULT_CLASS.into());
        let rule = config.class(&class);
        let idempotent = is_idempotent(config, &class, &incoming.request.method);
        let timeout_ms = incoming.timeout_ms.unwrap_or(u64::from(rule.deadline_ms));
        if timeout_ms == 0 {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        let timeout_ms = timeout_ms.min(self.settings.limits.max_deadline_ms);
        self.count_send(caller, incoming.attempt, now_us)?;
        let ticket = incoming
            .ticket
            .as_deref()
            .map(Ticket::try_from)
            .transpose()
            .map_err(|_| Refusal::not_run(Reason::BadRequest))?;
        if ticket
            .as_ref()
            .is_some_and(|ticket| ticket.service != incoming.service)
        {
            return Err(Refusal::not_run(Reason::BadRequest));
        }
        let key = incoming.key.or_else(|| {
            incoming
                .is_id_from_caller
                .then(|| incoming.request_id.to_string().into())
        });
        let tokens = self.retry_tokens(rule.retry_allowance, idempotent, incoming.attempt)?;
        let token_pool = self.local.lock().token_pools.open(tokens);
        Ok(OutgoingRequest {
            request_id: incoming.request_id,
            service: incoming.service,
            service_rule,
            class,
            importance: rule.importance,
            idempotent,
            deadline_us: now_us + timeout_ms * 1_000,
            depth: 0,
            token_pool,
            parent: None,
            first_attempt: is_first,
            ticket,
            key,
            is_resend: incoming.attempt > 1,
            first_sent_unix_ms: incoming.first_sent_unix_ms,
            fingerprint,
            request: Arc::new(incoming.request),
        })
    }

    /// Retry tokens for one send of a request.
    ///
    /// Part of the allowance is reserved for the caller's own resends, so that all sends and
    /// retries together stay within it, whichever daemons receive them.
    fn retry_tokens(&self, allowance: u8, idempotent: bool, attempt: u32) -> Result<u8, Refusal> {
        if !idempotent || self.is_baseline() {
            return Ok(allowance);
        }
        let reserved = allowance / 2;
        let resends = attempt.saturating_sub(1);
        if resends == 0 {
            return Ok(allowance - reserved);
        }
        if resends > u32::from(reserved) {
            let refusal = Refusal::unknown(Reason::RetriesSpent);
            return Err(refusal.retry_after_ms(RESEND_RETRY_AFTER_MS));
        }
        Ok(0)
    }

    /// Counts a caller's send, and refuses it if the caller resends too much.
    fn count_send(&self, caller: IpAddr, attempt: u32, now_us: u64) -> Result<(), Refusal> {
        if self.is_baseline() {
            return Ok(());
        }
        let mut callers = self.callers.lock();
        if attempt <= 1 {
            callers.count_first(caller, now_us);
            return Ok(());
        }
        if callers.try_resend(caller, RESEND_RATIO_PERCENT, now_us) {
            return Ok(());
        }
        let refusal = Refusal::unknown(Reason::RetriesSpent);
        Err(refusal.retry_after_ms(RESEND_RETRY_AFTER_MS))
    }
}

fn is_idempotent(config: &Config, class: &str, method: &str) -> bool {
    let is_configured = config.classes.contains_key(class) && class != DEFAULT_CLASS;
    config.class(class).idempotent || (!is_configured && is_safe(method))
}

/// Safe methods are idempotent whatever the class.
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}
