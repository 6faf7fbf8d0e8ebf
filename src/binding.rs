//! Binding of non-idempotent requests to one incarnation of one worker, before anything is sent.

use {
    crate::{
        directory::WorkerQuery,
        node::Node,
        policy::{
            bind::{BindKey, CallerAttempt},
            ticket::Ticket,
        },
        request::{Importance, Rank, Reason, Refusal, ServiceName},
        validation::OutgoingRequest,
    },
    std::sync::Arc,
};

/// Validity period of a ticket.
pub const TICKET_LIFETIME_MS: u32 = 120_000;

/// Remaining time assumed for the choice of a new ticket's worker.
const TICKET_REMAINING_US: u64 = 1_000_000;

impl Node {
    /// Mints a ticket for a worker of the service.
    pub fn mint_ticket(&self, service: &ServiceName) -> Result<Ticket, Refusal> {
        let query = WorkerQuery {
            service,
            rank: Rank::from_parts(Importance(0), 0),
            remaining_us: TICKET_REMAINING_US,
            tried: &[],
            transfer_bytes: 0,
        };
        let target = self.directory.choose(&query, self.clock.now_us());
        let target = target.ok_or_else(|| {
            let is_known = self.live_config.config().services.contains_key(service);
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

    /// Makes sure that a non-idempotent request has a ticket.
    ///
    /// A request without one gets the ticket bound to its key, or a new one if it has no key.
    pub async fn bind(self: &Arc<Self>, outgoing: &mut OutgoingRequest) -> Result<(), Refusal> {
        if outgoing.ticket.is_some() {
            return Ok(());
        }
        let new_ticket = self.mint_ticket(&outgoing.service)?;
        if let Some(key) = outgoing.key.clone() {
            let ticket = self.bind_key(outgoing, &key, &new_ticket).await?;
            outgoing.ticket = Some(ticket);
            return Ok(());
        }
        if outgoing.is_resend {
            // Without a ticket or key, the earlier send cannot be identified.
            return Err(Refusal::unknown(Reason::TicketRequired));
        }
        outgoing.first_attempt = true;
        outgoing.ticket = Some(new_ticket);
        Ok(())
    }

    async fn bind_key(
        &self,
        outgoing: &OutgoingRequest,
        key: &str,
        new_ticket: &Ticket,
    ) -> Result<Ticket, Refusal> {
        let now = self.now();
        let attempt = CallerAttempt {
            is_first: outgoing.first_attempt,
            first_sent_unix_ms: outgoing.first_sent_unix_ms.or(Some(now.unix_ms)),
        };
        let limits = *self.binder.limits();
        let to_refusal = |error: crate::policy::bind::BindError| {
            tracing::debug!(%error, "request could not be bound to a ticket");
            self.metrics.count("bind.failed");
            error.refusal(attempt, &limits)
        };
        let key = BindKey::new(&outgoing.service, key).map_err(to_refusal)?;
        let bound = self
            .binder
            .bind(
                self.store.as_ref(),
                &key,
                new_ticket,
                attempt,
                now.us,
                now.unix_ms,
            )
            .await
            .map_err(to_refusal)?;
        self.metrics.count("bind.done");
        Ok(bound.ticket)
    }
}
