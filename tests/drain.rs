//! Leaving without cutting, under any order of events.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    shallotdeal::policy::drain::{Asked, Drain, DrainAction, Order, Stage},
    std::fmt::Write,
};

const STOP_LIMIT_MS: u32 = 1_000;
const LIMIT_US: u64 = 1_000_000;

#[derive(Debug, Clone, Copy)]
enum Event {
    Ask(Asked),
    Enter,
    Leave,
    EnterRelay,
    LeaveRelay,
    Tick,
}

fn asked() -> impl Strategy<Value = Asked> {
    let order = prop::sample::select(vec![Order::Serve, Order::Drain, Order::Stop]);
    (order, prop::bool::weighted(0.2), prop::bool::weighted(0.2)).prop_map(
        |(operator, backend, daemon)| Asked {
            operator,
            backend,
            daemon,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => asked().prop_map(Event::Ask),
        4 => Just(Event::Enter),
        4 => Just(Event::Leave),
        2 => Just(Event::EnterRelay),
        2 => Just(Event::LeaveRelay),
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
    fn stop_waits_for_all_in_flight_or_says_what_it_cut(
        events in prop::collection::vec((event(), 0..400_000_u64), 0..60),
    ) {
        let mut drain = Drain::new();
        let (mut in_flight, mut relayed, mut cut) = (0_u32, 0_u32, 0_u64);
        let (mut releases, mut exits) = (0, 0);
        let mut asked = Asked::default();
        let mut stops_since_us = None;
        let mut now_us = 0;
        for (event, after_us) in events {
            now_us += after_us;
            let actions = match event {
                Event::Ask(next) => {
                    asked = next;
                    stops_since_us = next.stops().then(|| stops_since_us.unwrap_or(now_us));
                    drain.ask(next, now_us)
                }
                Event::Enter => {
                    let is_in = drain.enter().is_ok();
                    prop_assert!(!is_in || (!asked.leaves() && releases == 0));
                    prop_assert!(is_in || asked.leaves() || releases == 1);
                    in_flight += u32::from(is_in);
                    Vec::new()
                }
                Event::Leave if in_flight > 0 => {
                    in_flight -= 1;
                    drain.leave()
                }
                Event::EnterRelay => {
                    let is_in = drain.enter_relay().is_ok();
                    prop_assert_eq!(is_in, !asked.daemon);
                    relayed += u32::from(is_in);
                    Vec::new()
                }
                Event::LeaveRelay if relayed > 0 => {
                    relayed -= 1;
                    drain.leave_relay()
                }
                Event::Leave | Event::LeaveRelay => Vec::new(),
                Event::Tick => drain.tick(STOP_LIMIT_MS, now_us),
            };
            for action in actions {
                match action {
                    DrainAction::Cut { count } => {
                        prop_assert!(now_us - stops_since_us.unwrap() >= LIMIT_US);
                        let all = in_flight + if asked.daemon { relayed } else { 0 };
                        prop_assert_eq!(count, all);
                        cut += u64::from(count);
                        in_flight = 0;
                        relayed = if asked.daemon { 0 } else { relayed };
                    }
                    DrainAction::ReleaseStop => {
                        prop_assert!(asked.stops() && in_flight == 0);
                        releases += 1;
                    }
                    DrainAction::Exit => {
                        prop_assert!(asked.daemon && releases == 1 && relayed == 0);
                        exits += 1;
                    }
                    DrainAction::AnnounceLeaving => prop_assert!(asked.leaves()),
                    DrainAction::AnnounceServing => prop_assert!(!asked.leaves()),
                }
            }
            let is_idle = in_flight == 0;
            prop_assert_eq!(releases == 1, drain.stage() == Stage::Stopped);
            prop_assert!(!(asked.stops() && is_idle) || releases == 1);
            prop_assert!(!(asked.daemon && is_idle && relayed == 0) || exits == 1);
            prop_assert_eq!(drain.report().cut, cut);
            prop_assert!(releases <= 1 && exits <= 1);
        }
    }
}

#[test]
fn one_way_out_and_back() {
    let mut drain = Drain::new();
    let mut story = String::new();
    let order = |operator| Asked {
        operator,
        ..Asked::default()
    };
    drain.enter().unwrap();
    let mut tell = |step: &str, drain: &Drain, actions: Vec<DrainAction>| {
        let names: Vec<String> = actions.iter().map(ToString::to_string).collect();
        let _ = writeln!(story, "{step}: {} [{}]", drain.stage(), names.join(", "));
    };
    let actions = drain.ask(order(Order::Drain), 0);
    tell("drain ordered", &drain, actions);
    let refusal = drain.enter().unwrap_err();
    tell(&refusal.to_string(), &drain, Vec::new());
    let actions = drain.tick(STOP_LIMIT_MS, 10 * LIMIT_US);
    tell("long after", &drain, actions);
    let actions = drain.ask(order(Order::Serve), 10 * LIMIT_US);
    tell("order withdrawn", &drain, actions);
    let actions = drain.ask(order(Order::Stop), 11 * LIMIT_US);
    tell("stop ordered", &drain, actions);
    let actions = drain.tick(STOP_LIMIT_MS, 12 * LIMIT_US);
    tell("limit passed", &drain, actions);
    insta::assert_snapshot!(story, @"
    drain ordered: draining [announce leaving]
    not-run: draining: draining []
    long after: draining []
    order withdrawn: serving [announce serving]
    stop ordered: draining [announce leaving]
    limit passed: stopped [cut 1, release stop]
    ");
}
