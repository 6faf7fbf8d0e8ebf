//! Gates and the backend servers behind them.

use {
    crate::world::{EPOCH_MS, LIFETIME_MS, Message, Reply, SKEW_MS, Shared},
    futures::pending,
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::{
            once::{Admission, Fate, Once, OnceKey, OnceLimits},
            suspect::Fingerprint,
            ticket::Ticket,
            verdict::{Denial, Heard},
        },
        request::{Incarnation, Reason},
    },
};

/// Port of the first gate.
pub(crate) const PORT: u16 = 7_000;

pub(crate) struct Gate {
    pub(crate) once: Once<u64>,
    pub(crate) incarnation: Incarnation,
    /// Counts the daemon's lives.
    pub(crate) life: u32,
    /// Counts the backend server's lives.
    pub(crate) backend_life: u32,
    pub(crate) paused_until_ms: u64,
    pub(crate) cut_until_ms: u64,
    pub(crate) busy_until_ms: u64,
    pub(crate) offset_ms: u64,
}

impl Gate {
    pub(crate) fn new(rng: &mut ChaCha8Rng) -> Self {
        Self {
            once: Once::new(limits()),
            incarnation: Incarnation(rng.random()),
            life: 0,
            backend_life: 0,
            paused_until_ms: 0,
            cut_until_ms: 0,
            busy_until_ms: 0,
            offset_ms: rng.random_range(0..u64::from(SKEW_MS)),
        }
    }
}

pub(crate) fn limits() -> OnceLimits {
    OnceLimits {
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

/// The gate's side of one message.
pub(crate) async fn serve(shared: Shared, message: Message, reply: Reply) {
    let at = index(&message.ticket);
    let life = shared.read(at, |gate, _| gate.life);
    let is_alive = || shared.read(at, |gate, _| gate.life) == life;
    rest(&shared, at).await;
    if !is_alive() {
        return;
    }
    let fingerprint = Fingerprint::new(&message.ticket.service, "POST", "/", b"flour");
    let admission = {
        let mut world = shared.world();
        let now_ms = world.now_ms;
        let gate = &mut world.gates[at];
        let now_unix_ms = EPOCH_MS + gate.offset_ms + now_ms;
        let local = gate.incarnation;
        gate.once
            .admit(&message.ticket, fingerprint, local, now_unix_ms)
    };
    let answer = match admission {
        Admission::Run(key) => work(&shared, at, life, key, &message).await,
        Admission::Join(key) => wait(&shared, at, life, key).await,
        Admission::Replay(answer) => Some((Heard::Answer, *answer)),
        Admission::Deny(denial) => Some((Heard::Denial(denial), 0)),
    };
    if let Some(answer) = answer {
        rest(&shared, at).await;
        reply.set(Some(answer));
    }
}

/// A pause of the daemon, and some time on top.
async fn rest(shared: &Shared, at: usize) {
    shared.delay(10).await;
    while shared.read(at, |gate, now_ms| now_ms < gate.paused_until_ms) {
        pending!();
    }
}

async fn work(
    shared: &Shared,
    at: usize,
    life: u32,
    key: OnceKey,
    message: &Message,
) -> Option<(Heard, u64)> {
    let deny = |denial: Denial| Some((Heard::Denial(denial), 0));
    rest(shared, at).await;
    let backend_life = {
        let mut world = shared.world();
        let is_busy = world.now_ms < world.gates[at].busy_until_ms;
        let is_shed = world.rng.random_ratio(if is_busy { 9 } else { 1 }, 12);
        let gate = &mut world.gates[at];
        if gate.life != life {
            return None;
        }
        if is_shed || gate.incarnation != message.ticket.incarnation {
            return deny(gate.once.refuse(key, Reason::Overload));
        }
        if !gate.once.start(key) {
            return None;
        }
        gate.backend_life
    };
    shared.delay(20).await;
    let has_died = shared.read(at, |gate, _| gate.backend_life) != backend_life;
    let is_run = !has_died || shared.draw(2) == 0;
    let answer = if is_run { shared.run(message) } else { 0 };
    rest(shared, at).await;
    let mut world = shared.world();
    let gate = &mut world.gates[at];
    if gate.life != life {
        return None;
    }
    if gate.backend_life != backend_life {
        return deny(gate.once.lose(key, Reason::Broken));
    }
    gate.once.finish(key, answer.into(), 10);
    Some((Heard::Answer, answer))
}

async fn wait(shared: &Shared, at: usize, life: u32, key: OnceKey) -> Option<(Heard, u64)> {
    loop {
        pending!();
        let world = shared.world();
        let gate = &world.gates[at];
        if gate.life != life {
            return None;
        }
        let denial = match gate.once.fate(key) {
            Some(Fate::Admitted | Fate::Started) => continue,
            Some(Fate::Done(answer)) => return Some((Heard::Answer, **answer)),
            Some(Fate::Refused(reason)) => Denial::Never(*reason),
            Some(Fate::Ran) => Denial::Maybe(Reason::Broken),
            Some(Fate::Lost(reason)) => Denial::Maybe(*reason),
            None => Denial::NotNow(Reason::TicketVoid),
        };
        return Some((Heard::Denial(denial), 0));
    }
}
