//! Tickets, the memory of them, the word given to callers, and bindings of keys.

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
            bind::{Attempt, BindError, BindKey, BindLimits, Binder},
            once::{Admission, Once, OnceLimits},
            suspect::Fingerprint,
            ticket::{MAX_TEXT_BYTES, Ticket},
            verdict::{Denial, Heard, Sent, verdict},
        },
        request::{Incarnation, Reason},
        store::{Entry, LeaseId, Store, StoreError, Swap, Version},
    },
    std::{fmt::Write, sync::Arc},
};

const LOCAL: Incarnation = Incarnation(1);
const PRINT: Fingerprint = Fingerprint(7);
const LIFETIME_MS: u64 = 1_000;
const LIMITS: OnceLimits = OnceLimits {
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

fn run(once: &mut Once<u8>, ticket: &Ticket, now_unix_ms: u64, answer: u8, bytes: usize) {
    let Admission::Run(key) = once.admit(ticket, PRINT, LOCAL, now_unix_ms) else {
        panic!("not admitted");
    };
    assert!(once.start(key));
    once.finish(key, Arc::new(answer), bytes);
}

fn denied(reason: Reason) -> Admission<u8> {
    Admission::Deny(Denial::NotNow(reason))
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
fn malformed_tickets_say_what_is_wrong() {
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
fn full_memory_refuses_new_tickets_and_forgets_none_that_may_come_back() {
    let mut once = Once::new(LIMITS);
    for serial in 0..3 {
        run(&mut once, &ticket(serial, 0), 10, 5, 1);
    }
    assert_eq!(
        once.admit(&ticket(3, 0), PRINT, LOCAL, 999),
        denied(Reason::WorkerFull)
    );
    assert_eq!(
        once.admit(&ticket(0, 0), PRINT, LOCAL, 999),
        Admission::Replay(Arc::new(5))
    );
    let fresh = ticket(4, 500);
    assert!(matches!(
        once.admit(&fresh, PRINT, LOCAL, 1_000),
        Admission::Run(_)
    ));
}

#[test]
fn forgotten_ticket_stays_dead_when_the_clock_goes_back() {
    let mut once = Once::new(LIMITS);
    let first = ticket(1, 0);
    run(&mut once, &first, 10, 5, 1);
    once.sweep(1_000_000, 10);
    assert_eq!(once.report().entries, 0);
    assert_eq!(
        once.admit(&first, PRINT, LOCAL, 10),
        denied(Reason::TicketVoid)
    );
    let later = ticket(2, 1);
    assert!(matches!(
        once.admit(&later, PRINT, LOCAL, 10),
        Admission::Run(_)
    ));
}

#[test]
fn unseen_expired_ticket_never_runs_later() {
    let mut once: Once<u8> = Once::new(LIMITS);
    let late = ticket(1, 0);
    let never = Admission::Deny(Denial::Never(Reason::TicketVoid));
    assert_eq!(once.admit(&late, PRINT, LOCAL, 1_000), never);
    assert_eq!(
        once.admit(&late, PRINT, LOCAL, 10),
        denied(Reason::TicketVoid)
    );
    let ahead = ticket(2, 5_000);
    assert_eq!(
        once.admit(&ahead, PRINT, LOCAL, 1_000),
        denied(Reason::TicketVoid)
    );
}

#[test]
fn dropped_answer_does_not_make_it_run_again() {
    let mut once = Once::new(LIMITS);
    run(&mut once, &ticket(1, 0), 10, 5, 60);
    run(&mut once, &ticket(2, 0), 10, 6, 60);
    let ran = Admission::Deny(Denial::Maybe(Reason::Broken));
    assert_eq!(once.admit(&ticket(1, 0), PRINT, LOCAL, 20), ran);
    let kept = Admission::Replay(Arc::new(6));
    assert_eq!(once.admit(&ticket(2, 0), PRINT, LOCAL, 20), kept);
    assert_eq!(once.report().answer_bytes, 60);
}

#[test]
fn refusal_holds_for_a_late_duplicate() {
    let mut once: Once<u8> = Once::new(LIMITS);
    let Admission::Run(first) = once.admit(&ticket(1, 0), PRINT, LOCAL, 0) else {
        panic!("not admitted");
    };
    let never = Denial::Never(Reason::Overload);
    assert_eq!(once.refuse(first, Reason::Overload), never);
    assert!(!once.start(first));
    assert_eq!(
        once.admit(&ticket(1, 0), PRINT, LOCAL, 5),
        Admission::Deny(never)
    );
    let Admission::Run(second) = once.admit(&ticket(2, 0), PRINT, LOCAL, 5) else {
        panic!("not admitted");
    };
    let unrecorded = Denial::NotNow(Reason::Overload);
    assert_eq!(once.refuse(second, Reason::Overload), unrecorded);
}

#[test]
fn started_request_is_never_called_not_run() {
    let mut once: Once<u8> = Once::new(LIMITS);
    let Admission::Run(key) = once.admit(&ticket(1, 0), PRINT, LOCAL, 0) else {
        panic!("not admitted");
    };
    assert!(once.start(key));
    assert!(!once.start(key));
    let maybe = Denial::Maybe(Reason::Cancelled);
    assert_eq!(once.refuse(key, Reason::Cancelled), maybe);
    assert_eq!(
        once.lose(key, Reason::Broken),
        Denial::Maybe(Reason::Broken)
    );
}

#[test]
fn other_incarnations_do_not_run_here() {
    let mut once = Once::new(LIMITS);
    run(&mut once, &ticket(1, 0), 10, 5, 1);
    let next = Incarnation(2);
    let admit = |once: &mut Once<u8>, serial, incarnation| {
        let ticket = Ticket {
            incarnation,
            ..ticket(serial, 0)
        };
        once.admit(&ticket, PRINT, next, 20)
    };
    assert_eq!(admit(&mut once, 1, LOCAL), Admission::Replay(Arc::new(5)));
    let never = Admission::Deny(Denial::Never(Reason::TicketVoid));
    assert_eq!(admit(&mut once, 2, LOCAL), never);
    assert_eq!(
        admit(&mut once, 3, Incarnation(9)),
        denied(Reason::TicketVoid)
    );
}

#[test]
fn ticket_answers_only_the_request_that_it_ran() {
    let mut once = Once::new(LIMITS);
    run(&mut once, &ticket(1, 0), 10, 5, 1);
    let other = Fingerprint(8);
    assert_eq!(
        once.admit(&ticket(1, 0), other, LOCAL, 20),
        denied(Reason::BadRequest)
    );
}

#[test]
fn word_to_the_caller() {
    let heard = [
        Heard::Answer,
        Heard::Denial(Denial::Never(Reason::Overload)),
        Heard::Denial(Denial::NotNow(Reason::WorkerFull)),
        Heard::Denial(Denial::Maybe(Reason::Broken)),
        Heard::Nothing(Reason::Unreachable),
    ];
    let mut table = String::new();
    for heard in heard {
        for (is_first, sent) in [
            (true, Sent::Nothing),
            (true, Sent::MayHave),
            (false, Sent::Nothing),
            (false, Sent::MayHave),
        ] {
            let word = verdict(is_first, sent, heard)
                .map_or_else(|refusal| refusal.to_string(), |()| "done".into());
            let _ = writeln!(table, "{heard:?} first={is_first} sent={sent}: {word}");
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

/// Store with one key, which loses the answers to its first writes.
struct OneKey {
    entry: Mutex<Option<Entry>>,
    lost: Mutex<u32>,
    swaps: Mutex<u32>,
}

impl OneKey {
    fn new(lost: u32) -> Self {
        Self {
            entry: Mutex::default(),
            lost: Mutex::new(lost),
            swaps: Mutex::default(),
        }
    }
}

#[async_trait]
impl Store for OneKey {
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
        let mut lost = self.lost.lock();
        if *lost == 0 {
            return Ok(Swap::Applied(version));
        }
        *lost -= 1;
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

const FIRST: Attempt = Attempt {
    is_first: true,
    first_sent_unix_ms: None,
};
const RESEND: Attempt = Attempt {
    is_first: false,
    first_sent_unix_ms: None,
};

#[test]
fn losers_and_lost_answers_get_the_bound_ticket() {
    let binder = Binder::new(BindLimits::default());
    let key = BindKey::new("order-desk", "Wien/7").unwrap();
    insta::assert_snapshot!(key, @"bind/order-desk/Wien%2f7");
    let store = OneKey::new(1);
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
fn binding_is_replaced_only_on_its_gates_word() {
    let binder = Binder::new(BindLimits::default());
    let key = BindKey::new("order-desk", "7").unwrap();
    let store = OneKey::new(0);
    let bound = block_on(binder.bind(&store, &key, &ticket(1, 0), FIRST, 0, 0)).unwrap();
    for denial in [
        Denial::NotNow(Reason::WorkerFull),
        Denial::Maybe(Reason::Broken),
    ] {
        assert_eq!(bound.spent(denial), Err(BindError::Unproven { denial }));
    }
    let spent = bound.spent(Denial::Never(Reason::Overload)).unwrap();
    let second = block_on(binder.rebind(&store, &key, spent, &ticket(2, 0), 0, 0)).unwrap();
    let third = block_on(binder.rebind(&store, &key, spent, &ticket(3, 0), 0, 0)).unwrap();
    assert_eq!(second.ticket.serial, 2);
    assert_eq!(third, second);
}

#[test]
fn resend_without_binding_is_bound_only_while_none_can_have_lapsed() {
    let binder = Binder::new(BindLimits::default());
    let key = BindKey::new("order-desk", "7").unwrap();
    let young = Attempt {
        first_sent_unix_ms: Some(1_000_000),
        ..RESEND
    };
    for (attempt, now_unix_ms, is_bound) in [
        (RESEND, 1_000_001, false),
        (young, 1_599_999, true),
        (young, 1_600_000, false),
    ] {
        let store = OneKey::new(0);
        let fresh = ticket(1, now_unix_ms);
        let bound = block_on(binder.bind(&store, &key, &fresh, attempt, 0, now_unix_ms));
        assert_eq!(bound.is_ok(), is_bound, "{attempt:?} at {now_unix_ms}");
        assert_eq!(*store.swaps.lock(), u32::from(is_bound));
    }
}

#[test]
fn store_calls_keep_to_their_rate() {
    let limits = BindLimits {
        calls_per_min: 60,
        burst: 2,
        ..BindLimits::default()
    };
    let binder = Binder::new(limits);
    let store = OneKey::new(0);
    let key = BindKey::new("order-desk", "7").unwrap();
    let bind = |now_us| block_on(binder.bind(&store, &key, &ticket(1, 0), FIRST, now_us, 0));
    assert!(bind(0).is_ok());
    let refusal = bind(999_999).unwrap_err().refusal(FIRST, &limits);
    insta::assert_snapshot!(refusal, @"not-run: store-unavailable");
    assert!(bind(1_000_000).is_ok());
    let refusal = bind(1_000_000).unwrap_err().refusal(RESEND, &limits);
    insta::assert_snapshot!(refusal, @"unknown: store-unavailable");
}
