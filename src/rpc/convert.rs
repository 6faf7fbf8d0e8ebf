//! Conversion of calls and replies to and from their Cap'n Proto form.

use {
    crate::{
        call::{Answer, Call, Header, Reply, Request},
        call_capnp,
        request::{Importance, Incarnation, Level, Outcome, Reason, Refusal, RequestId},
    },
    capnp::Error,
    smol_str::SmolStr,
    std::sync::Arc,
};

/// Reasons by their numbers on the wire; new ones are appended.
const REASONS: &[Reason] = &[
    Reason::Internal,
    Reason::Overload,
    Reason::WorkerFull,
    Reason::Deadline,
    Reason::Draining,
    Reason::Quarantined,
    Reason::RetriesSpent,
    Reason::NoWorker,
    Reason::UnknownService,
    Reason::BadRequest,
    Reason::TooLarge,
    Reason::TicketRequired,
    Reason::TicketVoid,
    Reason::Unreachable,
    Reason::Broken,
    Reason::Cancelled,
    Reason::StoreUnavailable,
    Reason::Crashed,
];

/// Wire number of [`Outcome::NotRun`].
const NOT_RUN: u8 = 1;

/// Wire number of [`Outcome::Unknown`].
const UNKNOWN: u8 = 2;

impl Call {
    /// Writes the Cap'n Proto form.
    pub(super) fn write(&self, mut to: call_capnp::call::Builder<'_>) {
        to.set_request_id_high((self.request_id.0 >> 64) as u64);
        to.set_request_id_low(self.request_id.0 as u64);
        to.set_service(&self.service);
        to.set_class(&self.class);
        to.set_importance(self.importance.0);
        to.set_idempotent(self.idempotent);
        to.set_incarnation(self.incarnation.0);
        to.set_remaining_us(self.remaining_us);
        to.set_retry_tokens(self.retry_tokens);
        to.set_depth(self.depth);
        to.set_ticket(self.ticket.as_deref().unwrap_or_default());
        to.set_first_attempt(self.first_attempt);
        to.set_exclusive(self.exclusive);
        to.set_method(&self.request.method);
        to.set_target(&self.request.target);
        write_message(to.init_request(), &self.request.headers, &self.request.body);
    }

    /// Reads the Cap'n Proto form.
    pub(super) fn read(from: call_capnp::call::Reader<'_>) -> Result<Self, Error> {
        let high = u128::from(from.get_request_id_high()) << 64;
        let message = from.get_request()?;
        let request = Request {
            method: text(from.get_method()?)?,
            target: text(from.get_target()?)?,
            headers: read_headers(message)?,
            body: message.get_body()?.to_vec(),
        };
        Ok(Self {
            request_id: RequestId(high | u128::from(from.get_request_id_low())),
            service: text(from.get_service()?)?,
            class: text(from.get_class()?)?,
            importance: Importance(from.get_importance()),
            idempotent: from.get_idempotent(),
            incarnation: Incarnation(from.get_incarnation()),
            remaining_us: from.get_remaining_us(),
            retry_tokens: from.get_retry_tokens(),
            depth: from.get_depth(),
            ticket: Some(text(from.get_ticket()?)?).filter(|ticket| !ticket.is_empty()),
            first_attempt: from.get_first_attempt(),
            exclusive: from.get_exclusive(),
            request: Arc::new(request),
        })
    }
}

impl Reply {
    /// Writes the Cap'n Proto form.
    pub(super) fn write(&self, mut to: call_capnp::reply::Builder<'_>) {
        to.set_retry_tokens(self.retry_tokens);
        to.set_path_level(self.path_level.0);
        to.set_is_final(self.is_final);
        match &self.result {
            Ok(answer) => write_answer(to.init_answer(), answer),
            Err(refusal) => write_refusal(to.init_refusal(), *refusal),
        }
    }

    /// Reads the Cap'n Proto form.
    pub(super) fn read(from: call_capnp::reply::Reader<'_>) -> Result<Self, Error> {
        let result = match from.which()? {
            call_capnp::reply::Answer(answer) => Ok(Arc::new(read_answer(answer?)?)),
            call_capnp::reply::Refusal(refusal) => Err(read_refusal(refusal?)),
        };
        Ok(Self {
            result,
            retry_tokens: from.get_retry_tokens(),
            path_level: Level(from.get_path_level()),
            is_final: from.get_is_final(),
        })
    }
}

fn write_answer(mut to: call_capnp::answer::Builder<'_>, answer: &Answer) {
    to.set_status(answer.status);
    write_message(to.init_message(), &answer.headers, &answer.body);
}

fn read_answer(from: call_capnp::answer::Reader<'_>) -> Result<Answer, Error> {
    let message = from.get_message()?;
    Ok(Answer {
        status: from.get_status(),
        headers: read_headers(message)?,
        body: message.get_body()?.to_vec(),
    })
}

fn write_refusal(mut to: call_capnp::refusal::Builder<'_>, refusal: Refusal) {
    let reason = REASONS.iter().position(|known| *known == refusal.reason);
    to.set_outcome(if refusal.outcome == Outcome::NotRun {
        NOT_RUN
    } else {
        UNKNOWN
    });
    to.set_reason(reason.unwrap_or_default() as u8);
    to.set_retry_after_ms(refusal.retry_after_ms.unwrap_or_default());
}

fn read_refusal(from: call_capnp::refusal::Reader<'_>) -> Refusal {
    let reason = REASONS.get(usize::from(from.get_reason())).copied();
    let is_not_run = from.get_outcome() == NOT_RUN;
    Refusal {
        outcome: if is_not_run {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        },
        reason: reason.unwrap_or(Reason::Internal),
        retry_after_ms: Some(from.get_retry_after_ms()).filter(|after_ms| *after_ms > 0),
    }
}

fn write_message(mut to: call_capnp::message::Builder<'_>, headers: &[Header], body: &[u8]) {
    to.set_body(body);
    let mut list = to.init_headers(headers.len() as u32);
    for (index, header) in headers.iter().enumerate() {
        let mut item = list.reborrow().get(index as u32);
        item.set_name(&header.name);
        item.set_value(&header.value);
    }
}

fn read_headers(from: call_capnp::message::Reader<'_>) -> Result<Vec<Header>, Error> {
    let list = from.get_headers()?;
    list.iter()
        .map(|item| {
            Ok(Header {
                name: text(item.get_name()?)?,
                value: text(item.get_value()?)?,
            })
        })
        .collect()
}

fn text(from: capnp::text::Reader<'_>) -> Result<SmolStr, Error> {
    Ok(from.to_str()?.into())
}
