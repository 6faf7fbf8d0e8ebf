//! Tickets, the deduplication table, the outcome reported to callers, and bindings of idempotency keys.

use {
    async_std::task::block_on,
    async_trait::async_trait,
    parking_lot::Mutex,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    shallotdeal::{
        policy::{
            bind::{BindError, BindKey, BindLimits, Binder, CallerAttempt},
            dedup::{DedupDecision, DedupLimits, DedupTable},
            outcome::{Denial, EarlierSends, GateReply, outcome_for_caller},
            suspect::Fingerprint,
            ticket::{MAX_TEXT_BYTES, Ticket},
        },
        request::{Incarnation, Reason},
        store::{Entry, LeaseId, Store, StoreError, Swap, Version},
    },
    std::{fmt::Write, sync::Arc},
};

const LOCAL: Incarnation = Incarnation(1);
const FINGERPRINT: Fingerprint = Fingerprint(7);
const LIFETIME_MS: u64 = 1_000;
const LIMITS: DedupLimits = DedupLimits {
    max_entries: 3,
    max_refused: 1,
    max_answer_bytes: 100,
    max_lifetime_ms: 1_000,
    max_skew_ms: 100,
};

fn ticket(serial: u64, minted_unix_ms: u64) -> Ticket {
    Ticket {
        call_addr: "10.0.0.1:7000".parse().unwrap(),
        incarnation: LOCAL,
        serial,
        service: "order-desk".into(),
        minted_unix_ms,
        expires_unix_ms: minted_unix_ms + LIFETIME_MS,
    }
}

fn run_to_end(
    table: &mut DedupTable<u8>,
    ticket: &Ticket,
    now_unix_ms: u64,
    answer: u8,
    bytes: usize,
) {
    let DedupDecision::Run(key) = table.admit(ticket, FINGERPRINT, LOCAL, now_unix_ms) else {
        panic!("not admitted");
    };
    assert!(table.start(key));
    table.finish(key, Arc::new(answer), bytes);
}

fn denied(reason: Reason) -> DedupDecision<u8> {
    DedupDecision::Deny(Denial::NotNow(reason))
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn ticket_survives_its_text_form(
        ip in any::<std::net::IpAddr>(), port: u16, incarnation: u64, serial: u64,
        minted_unix_ms: u64, expires_unix_ms: u64, service in "[!-:<-~]{1,64}",
    ) {
        let ticket = Ticket {
            call_addr: (ip, port).into(),
            incarnation: Incarnation(incarnation),
            serial,
            service: service.into(),
            minted_unix_ms,
            expires_unix_ms,
        };
        let text = ticket.to_string();
        prop_assert!(text.len() <= MAX_TEXT_BYTES, "{} bytes", text.len());
        prop_assert!(text.bytes().all(|byte| byte.is_ascii_graphic()));
        prop_assert_eq!(Ticket::try_from(text.as_str()), Ok(ticket));
    }

    #[test]
    fn any_text_is_a_ticket_or_an_error(text in ".{0,220}") {
        if let Ok(ticket) = Ticket::try_from(text.as_str()) {
            prop_assert_eq!(Ticket::try_from(ticket.to_string().as_str()), Ok(ticket));
        }
    }
}

#[test]
fn errors_of_malformed_tickets_name_the_field() {
    let mut errors = String::new();
    for text in [
        "",
        "2;x",
        "1;10.0.0.1",
        "1;10.0.0.1:1;+1;1;1;1;a",
        "1;10.0.0.1:1;1;1;1;1",
        "1;10.0.0.1:1;1;1;1;1;a b",
        "1;10.0.0.1:1;1;1;1;1;a;b",
    ] {
        let _ = writeln!(errors, "{}", Ticket::try_from(text).unwrap_err());
    }
    insta::assert_snapshot!(errors, @"
    ticket: version  is not known
    ticket: version 2 is not known
    ticket: address 10.0.0.1 is malformed
    ticket: incarnation +1 is malformed
    ticket: service is missing
    ticket: service a b is malformed
    ticket: end b is malformed
    ");
}

#[test]
fn full_table_refuses_new_tickets_and_keeps_unexpired_ones() {
    let mut table = DedupTable::new(LIMITS);
    for serial in 0..3 {
        run_to_end(&mut table, &ticket(serial, 0), 10, 5, 1);
    }
    assert_eq!(
        table.admit(&ticket(3, 0), FINGERPRINT, LOCAL, 999),
        denied(Reason::WorkerFull)
    );
    assert_eq!(
        table.admit(&ticket(0, 0), FINGERPRINT, LOCAL, 999),
        DedupDecision::Replay(Arc::new(5))
    );
    let fresh = ticket(4, 500);
    assert!(matches!(
        table.admit(&fresh, FINGERPRINT, LOCAL, 1_000),
        DedupDecision::Run(_)
    ));
}

#[test]
fn ticket_with_a_dropped_record_is_denied_when_the_clock_goes_back() {
    let mut table = DedupTable::new(LIMITS);
    let first = ticket(1, 0);
    run_to_end(&mut table, &first, 10, 5, 1);
    table.sweep(1_000_000, 10);
    assert_eq!(table.report().entries, 0);
    assert_eq!(
        table.admit(&first, FINGERPRINT, LOCAL, 10),
        denied(Reason::TicketVoid)
    );
    let later = ticket(2, 1);
    assert!(matches!(
        table.admit(&later, FINGERPRINT, LOCAL, 10),
        DedupDecision::Run(_)
    ));
}

#[test]
fn expired_ticket_without_a_record_never_runs_later() {
    let mut table: DedupTable<u8> = DedupTable::new(LIMITS);
    let late = ticket(1, 0);
    let never = DedupDecision::Deny(Denial::Never(Reason::TicketVoid));
    assert_eq!(table.admit(&late, FINGERPRINT, LOCAL, 1_000), never);
    assert_eq!(
        table.admit(&late, FINGERPRINT, LOCAL, 10),
        denied(Reason::TicketVoid)
    );
    let ahead = ticket(2, 5_000);
    assert_eq!(
        table.admit(&ahead, FINGERPRINT, LOCAL, 1_000),
        denied(Reason::TicketVoid)
    );
}

#[test]
fn ticket_does_not_run_again_after_its_answer_was_dropped() {
    let mut table = DedupTable::new(LIMITS);
    run_to_end(&mut table, &ticket(1, 0), 10, 5, 60);
    run_to_end(&mut table, &ticket(2, 0), 10, 6, 60);
    let ran = DedupDecision::Deny(Denial::Maybe(Reason::Broken));
    assert_eq!(table.admit(&ticket(1, 0), FINGERPRINT, LOCAL, 20), ran);
    let kept = DedupDecision::Replay(Arc::new(6));
    assert_eq!(table.admit(&ticket(2, 0), FINGERPRINT, LOCAL, 20), kept);
    assert_eq!(table.report().answer_bytes, 60);
}

#[test]
fn recorded_refusal_holds_for_a_late_duplicate() {
    let mut table: DedupTable<u8> = DedupTable::new(LIMITS);
    let DedupDecision::Run(first) = table.admit(&ticket(1, 0), FINGERPRINT, LOCAL, 0) else {
        panic!("not admitted");
    };
    let never = Denial::Never(Reason::Overload);
    assert_eq!(table.refuse(first, Reason::Overload), never);
    assert!(!table.start(first));
    assert_eq!(
        table.admit(&ticket(1, 0), FINGERPRINT, LOCAL, 5),
        DedupDecision::Deny(never)
    );
    let DedupDecision::Run(second) = table.admit(&ticket(2, 0), FINGERPRINT, LOCAL, 5) else {
        panic!("not admitted");
    };
    let unrecorded = Denial::NotNow(Reason::Overload);
    assert_eq!(table.refuse(second, Reason::Overload), unrecorded);
}

#[test]
fn started_request_is_never_reported_as_not_run() {
    let mut table: DedupTable<u8> = DedupTable::new(LIMITS);
    let DedupDecision::Run(key) = table.admit(&ticket(1, 0), FINGERPRINT, LOCAL, 0) else {
        panic!("not admitted");
    };
    assert!(table.start(key));
    assert!(!table.start(key));
    let maybe = Denial::Maybe(Reason::Cancelled);
    assert_eq!(table.refuse(key, Reason::Cancelled), maybe);
    assert_eq!(
        table.mark_lost(key, Reason::Broken),
        Denial::Maybe(Reason::Broken)
    );
}

#[test]
fn tickets_of_other_incarnations_do_not_run() {
    let mut table = DedupTable::new(LIMITS);
    run_to_end(&mut table, &ticket(1, 0), 10, 5, 1);
    let next = Incarnation(2);
    let admit = |table: &mut DedupTable<u8>, serial, incarnation| {
        let ticket = Ticket {
            incarnation,
            ..ticket(serial, 0)
        };
        table.admit(&ticket, FINGERPRINT, next, 20)
    };
    assert_eq!(
        admit(&mut table, 1, LOCAL),
        DedupDecision::Replay(Arc::new(5))
    );
    let never = DedupDecision::Deny(Denial::Never(Reason::TicketVoid));
    assert_eq!(admit(&mut table, 2, LOCAL), never);
    assert_eq!(
        admit(&mut table, 3, Incarnation(9)),
        denied(Reason::TicketVoid)
    );
}

#[test]
fn ticket_replays_its_answer_only_to_the_same_request() {
    let mut table = DedupTable::new(LIMITS);
    run_to_end(&mut table, &ticket(1, 0), 10, 5, 1);
    let other = Fingerprint(8);
    assert_eq!(
        table.admit(&ticket(1, 0), other, LOCAL, 20),
        denied(Reason::BadRequest)
    );
}

#[test]
fn outcome_reported_to_the_caller() {
    let replies = [
        GateReply::Answer,
        GateReply::Denial(Denial::Never(Reason::Overload)),
        GateReply::Denial(Denial::NotNow(Reason::WorkerFull)),
        GateReply::Denial(Denial::Maybe(Reason::Broken)),
        GateReply::Nothing(Reason::Unreachable),
    ];
    let mut table = String::new();
    for reply in replies {
        for (is_first, sent) in [
            (true, EarlierSends::Nothing),
            (true, EarlierSends::MayHaveArrived),
            (false, EarlierSends::Nothing),
            (false, EarlierSends::MayHaveArrived),
        ] {
            let outcome = outcome_for_caller(is_first, sent, reply)
                .map_or_else(|refusal| refusal.to_string(), |()| "done".into());
            let _ = writeln!(table, "{reply:?} first={is_first} sent={sent}: {outcome}");
        }
    }
    insta::assert_snapshot!(table, @"
    Answer first=true sent=nothing: done
    Answer first=true sent=may-have: done
    Answer first=false sent=nothing: done
    Answer first=false sent=may-have: done
    Denial(Never(Overload)) first=true sent=nothing: not-run: overload
    Denial(Never(Overload)) first=true sent=may-have: not-run: overload
    Denial(Never(Overload)) first=false sent=nothing: not-run: overload
    Denial(Never(Overload)) first=false sent=may-have: not-run: overload
    Denial(NotNow(WorkerFull)) first=true sent=nothing: not-run: worker-full
    Denial(NotNow(WorkerFull)) first=true sent=may-have: unknown: worker-full
    Denial(NotNow(WorkerFull)) first=false sent=nothing: unknown: worker-full
    Denial(NotNow(WorkerFull)) first=false sent=may-have: unknown: worker-full
    Denial(Maybe(Broken)) first=true sent=nothing: unknown: broken
    Denial(Maybe(Broken)) first=true sent=may-have: unknown: broken
    Denial(Maybe(Broken)) first=false sent=nothing: unknown: broken
    Denial(Maybe(Broken)) first=false sent=may-have: unknown: broken
    Nothing(Unreachable) first=true sent=nothing: not-run: unreachable
    Nothing(Unreachable) first=true sent=may-have: unknown: unreachable
    Nothing(Unreachable) first=false sent=nothing: unknown: unreachable
    Nothing(Unreachable) first=false sent=may-have: unknown: unreachable
    ");
}

/// Store with one key that does not return the answers to its first writes.
struct OneKeyStore {
    entry: Mutex<Option<Entry>>,
    answers_to_lose: Mutex<u32>,
    swaps: Mutex<u32>,
}

impl OneKeyStore {
    fn new(answers_to_lose: u32) -> Self {
        Self {
            entry: Mutex::default(),
            answers_to_lose: Mutex::new(answers_to_lose),
            swaps: Mutex::default(),
        }
    }
}

#[async_trait]
impl Store for OneKeyStore {
    async fn get(&self, _key: &str) -> Result<Option<Entry>, StoreError> {
        Ok(self.entry.lock().clone())
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<Entry>, StoreError> {
        Ok(Vec::new())
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        _lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        *self.swaps.lock() += 1;
        let mut entry = self.entry.lock();
        let version = entry
            .as_ref()
            .map_or(Version::ABSENT, |entry| entry.version);
        if version != expected {
            return Ok(Swap::Conflict(entry.clone()));
        }
        let version = Version(version.0 + 1);
        *entry = Some(Entry {
            key: key.into(),
            version,
            value,
        });
        let mut answers_to_lose = self.answers_to_lose.lock();
        if *answers_to_lose == 0 {
            return Ok(Swap::Applied(version));
        }
        *answers_to_lose -= 1;
        Err(StoreError::Uncertain {
            step: "swap",
            peer: "store".into(),
            detail: "answer lost".into(),
        })
    }

    async fn remove(&self, _key: &str, _expected: Version) -> Result<Swap, StoreError> {
        Ok(Swap::Conflict(None))
    }

    async fn watch(
        &self,
        _key: &str,
        _after: Version,
        _wait_ms: u32,
    ) -> Result<Option<Entry>, StoreError> {
        Ok(None)
    }

    async fn grant(&self, _ttl_ms: u32) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(1))
    }

    async fn renew(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}

const FIRST: CallerAttempt = CallerAttempt {
    is_first: true,
    first_sent_unix_ms: None,
};
const RESEND: CallerAttempt = CallerAttempt {
    is_first: false,
    first_sent_unix_ms: None,
};

#[test]
fn later_calls_and_uncertain_writes_return_the_bound_ticket() {
    let binder = Binder::new(BindLimits::default());
    let key = BindKey::new("order-desk", "Wien/7").unwrap();
    insta::assert_snapshot!(key, @"bind/order-desk/Wien%2f7");
    let store = OneKeyStore::new(1);
    let first = ticket(1, 0);
    let bound = block_on(binder.bind(&store, &key, &first, FIRST, 0, 0)).unwrap();
    assert_eq!(bound.ticket, first);
    assert_eq!(*store.swaps.lock(), 1);
    for attempt in [FIRST, RESEND] {
        let other = block_on(binder.bind(&store, &key, &ticket(2, 0), attempt, 0, 0)).unwrap();
        assert_eq!(other, bound);
    }
}

#[test]
fn binding_is_replaced_only_if_its_gate_states_that_it_never_runs() {
    let binder = Binder::new(BindLimits::default());
    let key = BindKey::new("order-desk", "7").unwrap();
    let store = OneKeyStore::new(0);
    let bound = block_on(binder.bind(&store, &key, &ticket(1, 0), FIRST, 0, 0)).unwrap();
    for denial in [
        Denial::NotNow(Reason::WorkerFull),
        Denial::Maybe(Reason::Broken),
    ] {
        assert_eq!(
            bound.replaceable(denial),
            Err(BindError::Unproven { denial })
        );
    }
    let replaceable = bound.replaceable(Denial::Never(Reason::Overload)).unwrap();
    let second = block_on(binder.rebind(&store, &key, replaceable, &ticket(2, 0), 0, 0)).unwrap();
    let third = block_on(binder.rebind(&store, &key, replaceable, &ticket(3, 0), 0, 0)).unwrap();
    assert_eq!(second.ticket.serial, 2);
    assert_eq!(third, second);
}

#[test]
fn resend_without_binding_is_bound_only_while_none_can_have_expired() {
    let binder = Binder::new(BindLimits::default());
    let key = BindKey::new("order-desk", "7").unwrap();
    let recent = CallerAttempt {
        first_sent_unix_ms: Some(1_000_000),
        ..RESEND
    };
    for (attempt, now_unix_ms, is_bound) in [
        (RESEND, 1_000_001, false),
        (recent, 1_599_999, true),
        (recent, 1_600_000, false),
    ] {
        let store = OneKeyStore::new(0);
        let fresh = ticket(1, now_unix_ms);
        let bound = block_on(binder.bind(&store, &key, &fresh, attempt, 0, now_unix_ms));
        assert_eq!(bound.is_ok(), is_bound, "{attempt:?} at {now_unix_ms}");
        assert_eq!(*store.swaps.lock(), u32::from(is_bound));
    }
}

#[test]
fn store_calls_stay_within_their_rate() {
    let limits = BindLimits {
        calls_per_min: 60,
        burst: 2,
        ..BindLimits::default()
    };
    let binder = Binder::new(limits);
    let store = OneKeyStore::new(0);
    let key = BindKey::new("order-desk", "7").unwrap();
    let bind = |now_us| block_on(binder.bind(&store, &key, &ticket(1, 0), FIRST, now_us, 0));
    assert!(bind(0).is_ok());
    let refusal = bind(999_999).unwrap_err().refusal(FIRST, &limits);
    insta::assert_snapshot!(refusal, @"not-run: store-unavailable");
    assert!(bind(1_000_000).is_ok());
    let refusal = bind(1_000_000).unwrap_err().refusal(RESEND, &limits);
    insta::assert_snapshot!(refusal, @"unknown: store-unavailable");
}
