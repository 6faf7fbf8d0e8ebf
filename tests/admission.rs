//! Load pattern: several classes of requests call the same small service deep in the call graph.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::admission::{Admission, BottleneckLoad, Verdict},
        request::{Importance, ServiceName},
    },
    smol_str::SmolStr,
    std::collections::VecDeque,
};

/// Class of requests: name, importance, arrivals per second, calls per request to the bottleneck.
type Class = (&'static str, u8, u32, u32);

/// Simulates one edge and returns the admitted share of each class over the second half of the run.
/// The load that answers report is the work admitted in the last 300 ms divided by the capacity.
fn admitted_shares(classes: &[Class], capacity_per_s: f64, seconds: u32) -> Vec<f64> {
    let mut admission = Admission::default();
    let bottleneck = ServiceName::from("scarce");
    let mut recent = VecDeque::from(vec![0.0; 30]);
    let mut admitted = vec![0_u32; classes.len()];
    let mut offered = vec![0_u32; classes.len()];
    let mut credit = vec![0.0; classes.len()];
    for step in 0..seconds * 100 {
        let now_us = 1_000_000 + u64::from(step) * 10_000;
        let mut work = 0.0;
        let load: f64 = recent.iter().sum::<f64>() / (capacity_per_s * 0.3);
        for (index, (name, importance, per_s, calls)) in classes.iter().enumerate() {
            credit[index] += f64::from(*per_s) / 100.0;
            while credit[index] >= 1.0 {
                credit[index] -= 1.0;
                let draw = f64::from((step * 37 + index as u32 * 11) % 100) / 100.0;
                let verdict = admission.decide(name, draw, now_us);
                let is_counted = step >= seconds * 50;
                offered[index] += u32::from(is_counted);
                if verdict == Verdict::Admit {
                    admitted[index] += u32::from(is_counted);
                    work += f64::from(*calls);
                    let class = SmolStr::from(*name);
                    let load_permille = (load * 1_000.0) as u32;
                    let report = BottleneckLoad {
                        service: &bottleneck,
                        load_permille,
                        calls: *calls,
                        has_failed: false,
                    };
                    admission.report(&class, Importance(*importance), report, now_us);
                }
            }
        }
        recent.pop_front();
        recent.push_back(work);
    }
    let shares = admitted.iter().zip(&offered);
    shares
        .map(|(admitted, offered)| f64::from(*admitted) / f64::from(*offered))
        .collect()
}

#[test]
fn all_requests_are_admitted_below_capacity() {
    let shares = admitted_shares(&[("read", 2, 100, 8), ("order", 0, 100, 4)], 3_000.0, 20);
    assert!(shares.iter().all(|&share| share > 0.99), "{shares:?}");
}

#[test]
fn least_important_class_is_refused_first() {
    let classes = [
        ("read", 2, 200, 8),
        ("order", 0, 100, 4),
        ("direct", 1, 100, 1),
    ];
    let shares = admitted_shares(&classes, 1_300.0, 40);
    assert!(shares[1] > 0.97 && shares[2] > 0.95, "{shares:?}");
    // Of the capacity of 1,300 calls per second, 800 remain for the 1,600 that "read" requests.
    assert!((0.3..0.75).contains(&shares[0]), "{shares:?}");
}

#[test]
fn bottleneck_service_is_fully_used() {
    let shares = admitted_shares(&[("read", 1, 300, 10)], 1_500.0, 40);
    assert!((0.4..0.65).contains(&shares[0]), "{shares:?}");
}

#[test]
fn burst_is_limited_when_it_arrives() {
    let mut admission = Admission::default();
    let (read, bottleneck) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let mut now_us = 1_000_000;
    let mut admit = |admission: &mut Admission, requests: u32, interval_us: u64| {
        let mut admitted = 0;
        for number in 0..requests {
            now_us += interval_us;
            let draw = f64::from(number * 37 % 100) / 100.0;
            admitted += u32::from(admission.decide("read", draw, now_us) == Verdict::Admit);
            // The reported load does not change, since it lags behind the admitted work.
            let report = BottleneckLoad {
                service: &bottleneck,
                load_permille: 700,
                calls: 8,
                has_failed: false,
            };
            admission.report(&read, Importance(1), report, now_us);
        }
        admitted
    };
    assert_eq!(admit(&mut admission, 1_000, 10_000), 1_000);
    // Three times the arrival rate; the service has capacity for 920 / 700 of the previous rate.
    let admitted = admit(&mut admission, 300, 3_333);
    assert!((120..240).contains(&admitted), "{admitted}");
}

#[test]
fn refused_class_is_probed_and_admitted_again_without_reports() {
    let mut admission = Admission::default();
    let (read, bottleneck) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let report = BottleneckLoad {
        service: &bottleneck,
        load_permille: 3_000,
        calls: 1,
        has_failed: false,
    };
    for step in 0..600 {
        let now_us = 1_000_000 + step * 10_000;
        let draw = (step % 10) as f64 / 10.0;
        if admission.decide("read", draw, now_us) == Verdict::Admit {
            admission.report(&read, Importance(1), report, now_us);
        }
    }
    let now_us = 7_000_000;
    assert!(matches!(
        admission.decide("read", 0.9, now_us),
        Verdict::Refuse { .. }
    ));
    assert_eq!(admission.decide("read", 0.01, now_us), Verdict::Admit);
    // No reports for longer than they are valid.
    assert_eq!(
        admission.decide("read", 0.9, now_us + 4_000_000),
        Verdict::Admit
    );
}

#[test]
fn first_requests_of_a_class_are_admitted() {
    let mut admission = Admission::default();
    let (read, bottleneck) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let report = BottleneckLoad {
        service: &bottleneck,
        load_permille: 900,
        calls: 1,
        has_failed: false,
    };
    // Ten requests per second from the start, below the capacity of the service.
    for number in 0..100_u64 {
        let now_us = 1_000_000 + number * 100_000;
        let draw = (number * 37 % 100) as f64 / 100.0;
        assert_eq!(
            admission.decide("read", draw, now_us),
            Verdict::Admit,
            "{number}"
        );
        admission.report(&read, Importance(1), report, now_us);
    }
}

#[test]
fn daemon_that_starts_during_overload_refuses_within_a_second() {
    // All daemons have restarted under load: arrivals are twice the bottleneck's capacity from the
    // start.
    let mut admission = Admission::default();
    let (read, bottleneck) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let mut recent = VecDeque::from(vec![0.0; 30]);
    let mut admitted = 0.0;
    for step in 0..200_u64 {
        let now_us = 1_000_000 + step * 10_000;
        let load: f64 = recent.iter().sum::<f64>() / (1_500.0 * 0.3);
        let mut work = 0.0;
        for number in 0..3 {
            let draw = ((step * 37 + number * 11) % 100) as f64 / 100.0;
            if admission.decide("read", draw, now_us) == Verdict::Admit {
                work += 10.0;
                let report = BottleneckLoad {
                    service: &bottleneck,
                    load_permille: (load * 1_000.0) as u32,
                    calls: 10,
                    has_failed: false,
                };
                admission.report(&read, Importance(1), report, now_us);
            }
        }
        if step >= 100 {
            admitted += work;
        }
        recent.pop_front();
        recent.push_back(work);
    }
    // Admitted during the second second; the capacity of the service is 1,500.
    assert!((900.0..1_950.0).contains(&admitted), "{admitted}");
}

/// Requests that make eight calls to a service that refuses some calls when it is nearly full: each
/// lost call fails the whole request. Most of the admitted requests must succeed, and the service
/// must be used.
#[test]
fn requests_that_would_lose_a_call_downstream_are_refused_at_the_edge() {
    const CALLS: u32 = 8;
    const CAPACITY_PER_STEP: f64 = 40.0;
    const REQUESTS_PER_STEP: u32 = 10;
    let mut admission = Admission::default();
    let (read, bottleneck) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut recent = VecDeque::from(vec![0.0; 30]);
    let (mut admitted, mut failed, mut used) = (0.0, 0.0, 0.0);
    for step in 0..3_000_u64 {
        let now_us = 1_000_000 + step * 10_000;
        let load = recent.iter().sum::<f64>() / (CAPACITY_PER_STEP * 30.0);
        let refused_call_share = f64::max(load - 0.8, 0.0);
        let mut work = 0.0;
        for _ in 0..REQUESTS_PER_STEP {
            if admission.decide(&read, rng.random(), now_us) != Verdict::Admit {
                continue;
            }
            let calls_until_loss = (0..CALLS)
                .take_while(|_| rng.random::<f64>() >= refused_call_share)
                .count() as u32;
            let has_failed = calls_until_loss < CALLS;
            work += f64::from(calls_until_loss);
            if step >= 1_500 {
                admitted += 1.0;
                failed += f64::from(u8::from(has_failed));
            }
            let report = BottleneckLoad {
                service: &bottleneck,
                load_permille: (load * 1_000.0) as u32,
                calls: CALLS,
                has_failed,
            };
            admission.report(&read, Importance(2), report, now_us);
        }
        if step >= 1_500 {
            used += work / (CAPACITY_PER_STEP * 1_500.0);
        }
        recent.pop_front();
        recent.push_back(work);
    }
    let failed_share = failed / admitted;
    assert!(failed_share < 0.25, "failed {failed_share}, used {used}");
    assert!(used > 0.7, "failed {failed_share}, used {used}");
}
