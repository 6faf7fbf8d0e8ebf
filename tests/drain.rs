//! Graceful drain and stop, under any order of events.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    shallotdeal::policy::drain::{Drain, DrainAction, DrainRequests, OperatorOrder, Stage},
    std::fmt::Write,
};

const STOP_LIMIT_MS: u32 = 1_000;
const LIMIT_US: u64 = 1_000_000;

#[derive(Debug, Clone, Copy)]
enum Event {
    SetRequests(DrainRequests),
    BeginRequest,
    EndRequest,
    BeginRelay,
    EndRelay,
    Tick,
}

fn drain_requests() -> impl Strategy<Value = DrainRequests> {
    let order = prop::sample::select(vec![
        OperatorOrder::Serve,
        OperatorOrder::Drain,
        OperatorOrder::Stop,
    ]);
    (order, prop::bool::weighted(0.2), prop::bool::weighted(0.2)).prop_map(
        |(operator, backend, daemon)| DrainRequests {
            operator,
            backend,
            daemon,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => drain_requests().prop_map(Event::SetRequests),
        4 => Just(Event::BeginRequest),
        4 => Just(Event::EndRequest),
        2 => Just(Event::BeginRelay),
        2 => Just(Event::EndRelay),
        2 => Just(Event::Tick),
    ]
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        cases: 2_000,
        ..Config::default()
    })]

    #[test]
    fn stop_waits_for_requests_in_flight_or_reports_how_many_it_cut(
        events in prop::collection::vec((event(), 0..400_000_u64), 0..60),
    ) {
        let mut drain = Drain::new();
        let (mut in_flight, mut relayed, mut cut) = (0_u32, 0_u32, 0_u64);
        let (mut releases, mut exits) = (0, 0);
        let mut requests = DrainRequests::default();
        let mut stop_since_us = None;
        let mut now_us = 0;
        for (event, after_us) in events {
            now_us += after_us;
            let actions = match event {
                Event::SetRequests(next) => {
                    requests = next;
                    stop_since_us = next.wants_stop().then(|| stop_since_us.unwrap_or(now_us));
                    drain.set_requests(next, now_us)
                }
                Event::BeginRequest => {
                    let is_accepted = drain.begin_request().is_ok();
                    prop_assert!(!is_accepted || (!requests.wants_drain() && releases == 0));
                    prop_assert!(is_accepted || requests.wants_drain() || releases == 1);
                    in_flight += u32::from(is_accepted);
                    Vec::new()
                }
                Event::EndRequest if in_flight > 0 => {
                    in_flight -= 1;
                    drain.end_request()
                }
                Event::BeginRelay => {
                    let is_accepted = drain.begin_relay().is_ok();
                    prop_assert_eq!(is_accepted, !requests.daemon);
                    relayed += u32::from(is_accepted);
                    Vec::new()
                }
                Event::EndRelay if relayed > 0 => {
                    relayed -= 1;
                    drain.end_relay()
                }
                Event::EndRequest | Event::EndRelay => Vec::new(),
                Event::Tick => drain.tick(STOP_LIMIT_MS, now_us),
            };
            for action in actions {
                match action {
                    DrainAction::Cut { count } => {
                        prop_assert!(now_us - stop_since_us.unwrap() >= LIMIT_US);
                        let all = in_flight + if requests.daemon { relayed } else { 0 };
                        prop_assert_eq!(count, all);
                        cut += u64::from(count);
                        in_flight = 0;
                        relayed = if requests.daemon { 0 } else { relayed };
                    }
                    DrainAction::ReleaseStop => {
                        prop_assert!(requests.wants_stop() && in_flight == 0);
                        releases += 1;
                    }
                    DrainAction::Exit => {
                        prop_assert!(requests.daemon && releases == 1 && relayed == 0);
                        exits += 1;
                    }
                    DrainAction::AnnounceLeaving => prop_assert!(requests.wants_drain()),
                    DrainAction::AnnounceServing => prop_assert!(!requests.wants_drain()),
                }
            }
            let is_idle = in_flight == 0;
            prop_assert_eq!(releases == 1, drain.stage() == Stage::Stopped);
            prop_assert!(!(requests.wants_stop() && is_idle) || releases == 1);
            prop_assert!(!(requests.daemon && is_idle && relayed == 0) || exits == 1);
            prop_assert_eq!(drain.report().cut, cut);
            prop_assert!(releases <= 1 && exits <= 1);
        }
    }
}

#[test]
fn drain_is_withdrawn_and_stop_completes() {
    let mut drain = Drain::new();
    let mut steps = String::new();
    let order = |operator| DrainRequests {
        operator,
        ..DrainRequests::default()
    };
    drain.begin_request().unwrap();
    let mut record = |step: &str, drain: &Drain, actions: Vec<DrainAction>| {
        let names: Vec<String> = actions.iter().map(ToString::to_string).collect();
        let _ = writeln!(steps, "{step}: {} [{}]", drain.stage(), names.join(", "));
    };
    let actions = drain.set_requests(order(OperatorOrder::Drain), 0);
    record("drain ordered", &drain, actions);
    let refusal = drain.begin_request().unwrap_err();
    record(&refusal.to_string(), &drain, Vec::new());
    let actions = drain.tick(STOP_LIMIT_MS, 10 * LIMIT_US);
    record("long after", &drain, actions);
    let actions = drain.set_requests(order(OperatorOrder::Serve), 10 * LIMIT_US);
    record("order withdrawn", &drain, actions);
    let actions = drain.set_requests(order(OperatorOrder::Stop), 11 * LIMIT_US);
    record("stop ordered", &drain, actions);
    let actions = drain.tick(STOP_LIMIT_MS, 12 * LIMIT_US);
    record("limit passed", &drain, actions);
    insta::assert_snapshot!(steps, @"
    drain ordered: draining [announce leaving]
    not-run: draining: draining []
    long after: draining []
    order withdrawn: serving [announce serving]
    stop ordered: draining [announce leaving]
    limit passed: stopped [cut 1, release stop]
    ");
}
