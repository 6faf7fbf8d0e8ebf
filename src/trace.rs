//! Events of recent requests, for operators who ask what happened to one.

use {
    crate::{
        ask::view::EventRow,
        request::{Refusal, RequestId},
    },
    derive_more::Display,
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::collections::VecDeque,
};

/// Maximum number of events kept; the oldest are dropped.
const MAX_EVENTS: usize = 16_384;

/// Something that happened to a request at this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Event {
    /// The whole answer was sent to the caller.
    #[display("answered")]
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// A refusal was sent to the caller.
    #[display("refused")]
    Refused(Refusal),
    /// The local worker's gate, or a check before it, refused the call.
    #[display("turned away")]
    RefusedByGate(Refusal),
    /// A call was sent again.
    #[display("retried")]
    Retried(Refusal),
}

impl Event {
    fn detail(self) -> SmolStr {
        match self {
            Self::Answered { status } => format_smolstr!("status {status}"),
            Self::Refused(refusal) | Self::RefusedByGate(refusal) | Self::Retried(refusal) => {
                refusal.to_smolstr()
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    request_id: RequestId,
    at_unix_ms: u64,
    event: Event,
}

/// Recent events of one daemon.
#[derive(Debug, Default)]
pub struct Traces {
    entries: VecDeque<Entry>,
}

impl Traces {
    /// Adds an event.
    pub fn add(&mut self, request_id: RequestId, event: Event, at_unix_ms: u64) {
        if self.entries.len() == MAX_EVENTS {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry {
            request_id,
            at_unix_ms,
            event,
        });
    }

    /// Events of one request, oldest first.
    pub fn events_of(&self, request_id: RequestId, daemon: &SmolStr) -> Vec<EventRow> {
        let own = self
            .entries
            .iter()
            .filter(|entry| entry.request_id == request_id);
        own.map(|entry| EventRow {
            at_unix_ms: entry.at_unix_ms,
            daemon: daemon.clone(),
            event: entry.event.to_smolstr(),
            detail: entry.event.detail(),
        })
        .collect()
    }
}
