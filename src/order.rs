//! Binding of non-idempotent requests to one life of one worker, before anything is sent.

use {
    crate::{
        directory::Wanted,
        entry::Outgoing,
        node::Node,
        policy::{
            bind::{BindKey, CallerAttempt},
            ticket::Ticket,
        },
        request::{Importance, Rank, Reason, Refusal, ServiceName},
    },
    std::sync::Arc,
};

/// Time for which a ticket can be used.
pub const TICKET_LIFETIME_MS: u32 = 120_000;

/// Time that a request under a new ticket may take, for the choice of the worker.
const TICKET_REMAINING_US: u64 = 1_000_000;

impl Node {
    /// Mints a ticket for a worker of the service.
    pub fn mint(&self, service: &ServiceName) -> Result<Ticket, Refusal> {
        let wanted = Wanted {
            service,
            rank: Rank::from_parts(Importance(0), 0),
            remaining_us: TICKET_REMAINING_US,
            tried: &[],
            transfer_bytes: 0,
        };
        let target = self.directory.choose(&wanted, self.clock.now_us());
        let target = target.ok_or_else(|| {
            let is_known = self.live.config().services.contains_key(service);
            let reason = if is_known {
                Reason::NoWorker
            } else {
                Reason::UnknownService
            };
            Refusal::not_run(reason)
        })?;
        self.metrics.count("ticket.minted");
        Ok(Ticket::mint(
            target.call_addr,
            target.incarnation,
            service.clone(),
            TICKET_LIFETIME_MS,
            self.clock.now_unix_ms(),
            &mut *self.rng.lock(),
        ))
    }

    /// Gives a non-idempotent request the ticket that it runs under.
    pub async fn bind(self: &Arc<Self>, out: &mut Outgoing) -> Result<(), Refusal> {
        if out.ticket.is_some() {
            return Ok(());
        }
        let fresh = self.mint(&out.service)?;
        if let Some(key) = out.key.clone() {
            let ticket = self.bind_key(out, &key, &fresh).await?;
            out.ticket = Some(ticket);
            return Ok(());
        }
        if out.is_resend {
            // Without a ticket or key, the earlier send cannot be recognised.
            return Err(Refusal::unknown(Reason::TicketRequired));
        }
        out.first_attempt = true;
        out.ticket = Some(fresh);
        Ok(())
    }

    async fn bind_key(&self, out: &Outgoing, key: &str, fresh: &Ticket) -> Result<Ticket, Refusal> {
        let now = self.now();
        let attempt = CallerAttempt {
            is_first: out.first_attempt,
            first_sent_unix_ms: out.first_sent_unix_ms.or(Some(now.unix_ms)),
        };
        let limits = *self.binder.limits();
        let fault = |error: crate::policy::bind::BindError| {
            tracing::debug!(%error, "request not bound");
            self.metrics.count("bind.failed");
            error.refusal(attempt, &limits)
        };
        let key = BindKey::new(&out.service, key).map_err(fault)?;
        let bound = self
            .binder
            .bind(
                self.store.as_ref(),
                &key,
                fresh,
                attempt,
                now.us,
                now.unix_ms,
            )
            .await
            .map_err(fault)?;
        self.metrics.count("bind.done");
        Ok(bound.ticket)
    }
}
