//! Gates and the backend servers behind them.

use {
    crate::world::{EPOCH_MS, LIFETIME_MS, Message, Reply, SKEW_MS, Shared},
    futures::pending,
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::{
            dedup::{DedupDecision, DedupKey, DedupLimits, DedupTable, TicketState},
            outcome::{Denial, GateReply},
            suspect::Fingerprint,
            ticket::Ticket,
        },
        request::{Incarnation, Reason},
    },
};

/// Port of the first gate.
pub(crate) const PORT: u16 = 7_000;

pub(crate) struct Gate {
    pub(crate) dedup: DedupTable<u64>,
    pub(crate) incarnation: Incarnation,
    /// Number of restarts of the daemon.
    pub(crate) generation: u32,
    /// Number of restarts of the backend server.
    pub(crate) backend_generation: u32,
    pub(crate) paused_until_ms: u64,
    pub(crate) cut_until_ms: u64,
    pub(crate) busy_until_ms: u64,
    pub(crate) offset_ms: u64,
}

impl Gate {
    pub(crate) fn new(rng: &mut ChaCha8Rng) -> Self {
        Self {
            dedup: DedupTable::new(limits()),
            incarnation: Incarnation(rng.random()),
            generation: 0,
            backend_generation: 0,
            paused_until_ms: 0,
            cut_until_ms: 0,
            busy_until_ms: 0,
            offset_ms: rng.random_range(0..u64::from(SKEW_MS)),
        }
    }
}

pub(crate) fn limits() -> DedupLimits {
    DedupLimits {
        max_entries: 5,
        max_refused: 2,
        max_answer_bytes: 40,
        max_lifetime_ms: LIFETIME_MS,
        max_skew_ms: SKEW_MS,
    }
}

pub(crate) fn index(ticket: &Ticket) -> usize {
    usize::from(ticket.call_addr.port() - PORT)
}

/// Serves one message at its gate.
pub(crate) async fn serve(shared: Shared, message: Message, reply: Reply) {
    let at = index(&message.ticket);
    let generation = shared.read(at, |gate, _| gate.generation);
    let is_running = || shared.read(at, |gate, _| gate.generation) == generation;
    wait_while_paused(&shared, at).await;
    if !is_running() {
        return;
    }
    let fingerprint = Fingerprint::new(&message.ticket.service, "POST", "/", b"flour");
    let admission = {
        let mut world = shared.world();
        let now_ms = world.now_ms;
        let gate = &mut world.gates[at];
        let now_unix_ms = EPOCH_MS + gate.offset_ms + now_ms;
        let local = gate.incarnation;
        gate.dedup
            .admit(&message.ticket, fingerprint, local, now_unix_ms)
    };
    let answer = match admission {
        DedupDecision::Run(key) => run_order(&shared, at, generation, key, &message).await,
        DedupDecision::Join(key) => join(&shared, at, generation, key).await,
        DedupDecision::Replay(answer) => Some((GateReply::Answer, *answer)),
        DedupDecision::Deny(denial) => Some((GateReply::Denial(denial), 0)),
    };
    if let Some(answer) = answer {
        wait_while_paused(&shared, at).await;
        reply.set(Some(answer));
    }
}

/// Waits for a random time, and until the daemon is no longer paused.
async fn wait_while_paused(shared: &Shared, at: usize) {
    shared.delay(10).await;
    while shared.read(at, |gate, now_ms| now_ms < gate.paused_until_ms) {
        pending!();
    }
}

/// Runs an admitted request at the backend server.
async fn run_order(
    shared: &Shared,
    at: usize,
    generation: u32,
    key: DedupKey,
    message: &Message,
) -> Option<(GateReply, u64)> {
    let deny = |denial: Denial| Some((GateReply::Denial(denial), 0));
    wait_while_paused(shared, at).await;
    let backend_generation = {
        let mut world = shared.world();
        let is_busy = world.now_ms < world.gates[at].busy_until_ms;
        let is_shed = world.rng.random_ratio(if is_busy { 9 } else { 1 }, 12);
        let gate = &mut world.gates[at];
        if gate.generation != generation {
            return None;
        }
        if is_shed || gate.incarnation != message.ticket.incarnation {
            return deny(gate.dedup.refuse(key, Reason::Overload));
        }
        if !gate.dedup.start(key) {
            return None;
        }
        gate.backend_generation
    };
    shared.delay(20).await;
    let has_crashed = shared.read(at, |gate, _| gate.backend_generation) != backend_generation;
    let is_run = !has_crashed || shared.draw(2) == 0;
    let answer = if is_run { shared.run(message) } else { 0 };
    wait_while_paused(shared, at).await;
    let mut world = shared.world();
    let gate = &mut world.gates[at];
    if gate.generation != generation {
        return None;
    }
    if gate.backend_generation != backend_generation {
        return deny(gate.dedup.mark_lost(key, Reason::Broken));
    }
    gate.dedup.finish(key, answer.into(), 10);
    Some((GateReply::Answer, answer))
}

/// Waits for the answer to another send of the same ticket.
async fn join(
    shared: &Shared,
    at: usize,
    generation: u32,
    key: DedupKey,
) -> Option<(GateReply, u64)> {
    loop {
        pending!();
        let world = shared.world();
        let gate = &world.gates[at];
        if gate.generation != generation {
            return None;
        }
        let denial = match gate.dedup.state(key) {
            Some(TicketState::Admitted | TicketState::Started) => continue,
            Some(TicketState::Done(answer)) => return Some((GateReply::Answer, **answer)),
            Some(TicketState::Refused(reason)) => Denial::Never(*reason),
            Some(TicketState::AnswerDropped) => Denial::Maybe(Reason::Broken),
            Some(TicketState::Lost(reason)) => Denial::Maybe(*reason),
            None => Denial::NotNow(Reason::TicketVoid),
        };
        return Some((GateReply::Denial(denial), 0));
    }
}
