//! Callers, and the ingresses that they send requests to.

use {
    crate::{
        gates,
        spec::{AttemptResult, Op},
        world::{
            ATTEMPTS, EPOCH_MS, INGRESSES, LIFETIME_MS, Message, OrderIdentity, Reply, Shared,
        },
    },
    futures::pending,
    shallotdeal::{
        policy::{
            bind::{BindKey, CallerAttempt},
            outcome::{EarlierSends, GateReply, outcome_for_caller},
            ticket::Ticket,
        },
        request::{Outcome, Reason},
    },
    std::{cell::Cell, rc::Rc},
    todc_utils::Action,
};

/// Sends an order until its outcome is known or the attempts are used up; uses a new ticket or key
/// after a not-run outcome.
pub(crate) async fn caller(shared: Shared, identity: OrderIdentity, order: u32) {
    shared.delay(100).await;
    let mut first_sent_unix_ms = None;
    let mut key = String::from("key/0");
    let mut ticket = shared.mint(order);
    let mut is_first = true;
    let mut last = AttemptResult::NotRun;
    for attempt in 1..=ATTEMPTS {
        shared.world().tally.attempts += 1;
        first_sent_unix_ms.get_or_insert(EPOCH_MS + shared.now_ms());
        let caller_attempt = CallerAttempt {
            is_first,
            first_sent_unix_ms,
        };
        let message = Message {
            order,
            attempt,
            ticket: ticket.clone(),
            key: key.clone(),
        };
        last = make_attempt(&shared, identity, caller_attempt, message).await;
        match last {
            AttemptResult::Done(_) => break,
            AttemptResult::NotRun => {
                ticket = shared.mint(order);
                key = format!("key/{attempt}");
                first_sent_unix_ms = None;
                is_first = true;
            }
            AttemptResult::Unknown | AttemptResult::Nothing => is_first = false,
        }
        shared.delay(1 << (attempt + 2)).await;
    }
    let mut world = shared.world();
    let ran = world.runs[order as usize];
    let is_known = is_first || matches!(last, AttemptResult::Done(_) | AttemptResult::NotRun);
    let tally = &mut world.tally;
    tally.orders += 1;
    tally.done += u32::from(matches!(last, AttemptResult::Done(_)));
    tally.not_run += u32::from(is_known && last == AttemptResult::NotRun);
    tally.unknown += u32::from(!is_known);
    tally.unknown_but_ran += u32::from(!is_known && ran > 0);
}

/// Makes one attempt through an ingress, and records it in the history.
async fn make_attempt(
    shared: &Shared,
    identity: OrderIdentity,
    caller_attempt: CallerAttempt,
    message: Message,
) -> AttemptResult {
    let process = shared.new_process(message.order);
    let (order, attempt) = (message.order, message.attempt);
    let op = |result| Op::Attempt { attempt, result };
    shared.record(order, process, Action::Call(op(AttemptResult::Nothing)));
    let reply: Rc<Cell<Option<AttemptResult>>> = Rc::default();
    let task = {
        let (shared, reply) = (shared.clone(), Rc::clone(&reply));
        async move {
            reply.set(Some(
                ingress(&shared, identity, caller_attempt, message).await,
            ));
        }
    };
    shared.world().spawned.push(Box::pin(task));
    let timeout_ms = 10 + shared.draw(120);
    let until_ms = shared.now_ms() + timeout_ms;
    while reply.get().is_none() && shared.now_ms() < until_ms {
        pending!();
    }
    let result = reply.get().unwrap_or(AttemptResult::Nothing);
    shared.record(order, process, Action::Response(op(result)));
    result
}

async fn ingress(
    shared: &Shared,
    identity: OrderIdentity,
    caller_attempt: CallerAttempt,
    message: Message,
) -> AttemptResult {
    match identity {
        OrderIdentity::Ticket => attempt_result(caller_attempt, call(shared, &message).await),
        OrderIdentity::Key => send_with_key(shared, caller_attempt, message).await,
    }
}

/// Binds the caller's key to a ticket and sends the request; binds the key again if the bound
/// ticket certainly never runs.
async fn send_with_key(
    shared: &Shared,
    caller_attempt: CallerAttempt,
    mut message: Message,
) -> AttemptResult {
    let at = shared.draw(INGRESSES as u64) as usize;
    let binder = Rc::clone(&shared.world().binders[at]);
    let service = message.ticket.service.clone();
    let Ok(key) = BindKey::new(&service, &message.key) else {
        return AttemptResult::Nothing;
    };
    let store = &*shared.store;
    let (fresh, now_us) = mint(shared, message.order);
    let bound = binder
        .bind(
            store,
            &key,
            &fresh,
            caller_attempt,
            now_us,
            fresh.minted_unix_ms,
        )
        .await;
    let found = match bound {
        Ok(found) => found,
        Err(error) => return from_outcome(error.refusal(caller_attempt, binder.limits()).outcome),
    };
    message.ticket = found.ticket.clone();
    let sent = call(shared, &message).await;
    let GateReply::Denial(denial) = sent.0.0 else {
        return attempt_result(caller_attempt, sent);
    };
    let Ok(replaceable) = found.replaceable(denial) else {
        return attempt_result(caller_attempt, sent);
    };
    let (fresh, now_us) = mint(shared, message.order);
    match binder
        .rebind(
            store,
            &key,
            replaceable,
            &fresh,
            now_us,
            fresh.minted_unix_ms,
        )
        .await
    {
        Ok(bound) => message.ticket = bound.ticket,
        Err(error) => return from_outcome(error.refusal(caller_attempt, binder.limits()).outcome),
    }
    attempt_result(caller_attempt, call(shared, &message).await)
}

/// Mints a ticket on the store's clock; also returns the present time in microseconds.
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

fn attempt_result(
    caller_attempt: CallerAttempt,
    ((reply, answer), sent): ((GateReply, u64), EarlierSends),
) -> AttemptResult {
    match outcome_for_caller(caller_attempt.is_first, sent, reply) {
        Ok(()) => AttemptResult::Done(answer),
        Err(refusal) => from_outcome(refusal.outcome),
    }
}

/// Sends to the ticket's gate, and once more if there is no reply.
async fn call(shared: &Shared, message: &Message) -> ((GateReply, u64), EarlierSends) {
    let (first, first_send) = deliver(shared, message).await;
    if !matches!(first.0, GateReply::Nothing(_)) {
        return (first, first_send);
    }
    let (second, second_send) = deliver(shared, message).await;
    match first_send {
        EarlierSends::Nothing => (second, second_send),
        EarlierSends::MayHaveArrived => (second, first_send),
    }
}

fn from_outcome(outcome: Outcome) -> AttemptResult {
    match outcome {
        Outcome::NotRun => AttemptResult::NotRun,
        _ => AttemptResult::Unknown,
    }
}

/// Sends once to a gate. Returns its reply, and whether the send may have reached it without a
/// reply.
async fn deliver(shared: &Shared, message: &Message) -> ((GateReply, u64), EarlierSends) {
    let gate = gates::index(&message.ticket);
    let is_cut = || shared.read(gate, |gate, now_ms| now_ms < gate.cut_until_ms);
    shared.delay(6).await;
    if is_cut() {
        return (
            (GateReply::Nothing(Reason::Unreachable), 0),
            EarlierSends::Nothing,
        );
    }
    let broken = (
        (GateReply::Nothing(Reason::Broken), 0),
        EarlierSends::MayHaveArrived,
    );
    if shared.loses_message() {
        return broken;
    }
    let generation = shared.read(gate, |gate, _| gate.generation);
    let reply: Reply = Rc::default();
    let task = gates::serve(shared.clone(), message.clone(), Rc::clone(&reply));
    shared.world().spawned.push(Box::pin(task));
    loop {
        pending!();
        let has_restarted = shared.read(gate, |gate, _| gate.generation) != generation;
        if has_restarted || is_cut() {
            return broken;
        }
        if let Some(answer) = reply.get() {
            let is_lost = shared.loses_message();
            return if is_lost {
                broken
            } else {
                (answer, EarlierSends::Nothing)
            };
        }
    }
}
