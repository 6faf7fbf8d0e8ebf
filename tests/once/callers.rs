//! Callers, and the ingresses that they send to.

use {
    crate::{
        gates,
        spec::{Op, Told},
        world::{ATTEMPTS, EPOCH_MS, INGRESSES, LIFETIME_MS, Message, Naming, Reply, Shared},
    },
    futures::pending,
    shallotdeal::{
        policy::{
            bind::{Attempt, BindKey},
            ticket::Ticket,
            verdict::{Heard, Sent, verdict},
        },
        request::{Outcome, Reason},
    },
    std::{cell::Cell, rc::Rc},
    todc_utils::Action,
};

/// Sends until it knows, or has tried often enough; takes a new ticket when told not-run.
pub(crate) async fn caller(shared: Shared, naming: Naming, order: u32) {
    shared.delay(100).await;
    let mut first_sent_unix_ms = None;
    let mut name = String::from("key/0");
    let mut ticket = shared.mint(order);
    let mut is_first = true;
    let mut last = Told::NotRun;
    for attempt in 1..=ATTEMPTS {
        shared.world().tally.attempts += 1;
        first_sent_unix_ms.get_or_insert(EPOCH_MS + shared.now_ms());
        let names = Attempt {
            is_first,
            first_sent_unix_ms,
        };
        let message = Message {
            order,
            attempt,
            ticket: ticket.clone(),
            name: name.clone(),
        };
        last = ask(&shared, naming, names, message).await;
        match last {
            Told::Done(_) => break,
            Told::NotRun => {
                ticket = shared.mint(order);
                name = format!("key/{attempt}");
                first_sent_unix_ms = None;
                is_first = true;
            }
            Told::Unknown | Told::Nothing => is_first = false,
        }
        shared.delay(1 << (attempt + 2)).await;
    }
    let mut world = shared.world();
    let ran = world.runs[order as usize];
    let is_known = is_first || matches!(last, Told::Done(_) | Told::NotRun);
    let tally = &mut world.tally;
    tally.orders += 1;
    tally.done += u32::from(matches!(last, Told::Done(_)));
    tally.not_run += u32::from(is_known && last == Told::NotRun);
    tally.unknown += u32::from(!is_known);
    tally.unknown_but_ran += u32::from(!is_known && ran > 0);
}

/// One attempt, as the caller sees it.
async fn ask(shared: &Shared, naming: Naming, names: Attempt, message: Message) -> Told {
    let process = shared.process(message.order);
    let (order, attempt) = (message.order, message.attempt);
    let op = |told| Op::Attempt { attempt, told };
    shared.record(order, process, Action::Call(op(Told::Nothing)));
    let reply: Rc<Cell<Option<Told>>> = Rc::default();
    let task = {
        let (shared, reply) = (shared.clone(), Rc::clone(&reply));
        async move { reply.set(Some(ingress(&shared, naming, names, message).await)) }
    };
    shared.world().spawned.push(Box::pin(task));
    let patience_ms = 10 + shared.draw(120);
    let until_ms = shared.now_ms() + patience_ms;
    while reply.get().is_none() && shared.now_ms() < until_ms {
        pending!();
    }
    let told = reply.get().unwrap_or(Told::Nothing);
    shared.record(order, process, Action::Response(op(told)));
    told
}

async fn ingress(shared: &Shared, naming: Naming, names: Attempt, message: Message) -> Told {
    match naming {
        Naming::Ticket => judge(names, call(shared, &message).await),
        Naming::Key => keyed(shared, names, message).await,
    }
}

/// Binds the caller's key, and binds it anew if the bound ticket certainly never runs.
async fn keyed(shared: &Shared, names: Attempt, mut message: Message) -> Told {
    let at = shared.draw(INGRESSES as u64) as usize;
    let binder = Rc::clone(&shared.world().binders[at]);
    let service = message.ticket.service.clone();
    let Ok(key) = BindKey::new(&service, &message.name) else {
        return Told::Nothing;
    };
    let store = &*shared.store;
    let (fresh, now_us) = mint(shared, message.order);
    let bound = binder
        .bind(store, &key, &fresh, names, now_us, fresh.minted_unix_ms)
        .await;
    let found = match bound {
        Ok(found) => found,
        Err(error) => return told(error.refusal(names, binder.limits()).outcome),
    };
    message.ticket = found.ticket.clone();
    let heard = call(shared, &message).await;
    let Heard::Denial(denial) = heard.0.0 else {
        return judge(names, heard);
    };
    let Ok(spent) = found.spent(denial) else {
        return judge(names, heard);
    };
    let (fresh, now_us) = mint(shared, message.order);
    match binder
        .rebind(store, &key, spent, &fresh, now_us, fresh.minted_unix_ms)
        .await
    {
        Ok(bound) => message.ticket = bound.ticket,
        Err(error) => return told(error.refusal(names, binder.limits()).outcome),
    }
    judge(names, call(shared, &message).await)
}

/// A ticket minted on the store clock of this moment, and the moment.
fn mint(shared: &Shared, order: u32) -> (Ticket, u64) {
    let now_ms = shared.now_ms();
    let minted_unix_ms = EPOCH_MS + now_ms;
    let ticket = Ticket {
        minted_unix_ms,
        expires_unix_ms: minted_unix_ms + u64::from(LIFETIME_MS),
        ..shared.mint(order)
    };
    (ticket, now_ms * 1_000)
}

fn judge(names: Attempt, ((heard, answer), sent): ((Heard, u64), Sent)) -> Told {
    match verdict(names.is_first, sent, heard) {
        Ok(()) => Told::Done(answer),
        Err(refusal) => told(refusal.outcome),
    }
}

/// Sends to the ticket's gate, once more if there is no answer.
async fn call(shared: &Shared, message: &Message) -> ((Heard, u64), Sent) {
    let (heard, before) = deliver(shared, message).await;
    if !matches!(heard.0, Heard::Nothing(_)) {
        return (heard, before);
    }
    let (again, after) = deliver(shared, message).await;
    match before {
        Sent::Nothing => (again, after),
        Sent::MayHave => (again, before),
    }
}

fn told(outcome: Outcome) -> Told {
    match outcome {
        Outcome::NotRun => Told::NotRun,
        _ => Told::Unknown,
    }
}

/// One send to a gate; tells what it may have left behind if it has no answer.
async fn deliver(shared: &Shared, message: &Message) -> ((Heard, u64), Sent) {
    let gate = gates::index(&message.ticket);
    let is_cut = || shared.read(gate, |gate, now_ms| now_ms < gate.cut_until_ms);
    shared.delay(6).await;
    if is_cut() {
        return ((Heard::Nothing(Reason::Unreachable), 0), Sent::Nothing);
    }
    let broken = ((Heard::Nothing(Reason::Broken), 0), Sent::MayHave);
    if shared.loses() {
        return broken;
    }
    let life = shared.read(gate, |gate, _| gate.life);
    let reply: Reply = Rc::default();
    let task = gates::serve(shared.clone(), message.clone(), Rc::clone(&reply));
    shared.world().spawned.push(Box::pin(task));
    loop {
        pending!();
        let is_dead = shared.read(gate, |gate, _| gate.life) != life;
        if is_dead || is_cut() {
            return broken;
        }
        if let Some(answer) = reply.get() {
            let is_lost = shared.loses();
            return if is_lost {
                broken
            } else {
                (answer, Sent::Nothing)
            };
        }
    }
}
