//! Load pattern: several classes of requests meet at one small service deep in the call graph.

use {
    shallotdeal::{
        policy::admission::{Admission, Met, Verdict},
        request::{Importance, ServiceName},
    },
    smol_str::SmolStr,
};

/// One class of requests: name, importance, arrivals each second, runs at the scarce service.
type Class = (&'static str, u8, u32, u32);

/// Small model: admitted work of the last 300 ms over the capacity is the load that answers report.
fn play(classes: &[Class], capacity_per_s: f64, seconds: u32) -> Vec<f64> {
    let mut admission = Admission::default();
    let scarce = ServiceName::from("scarce");
    let mut recent = std::collections::VecDeque::from(vec![0.0; 30]);
    let mut admitted = vec![0_u32; classes.len()];
    let mut asked = vec![0_u32; classes.len()];
    let mut credit = vec![0.0; classes.len()];
    for step in 0..seconds * 100 {
        let now_us = 1_000_000 + u64::from(step) * 10_000;
        let mut work = 0.0;
        let load: f64 = recent.iter().sum::<f64>() / (capacity_per_s * 0.3);
        for (index, (name, importance, per_s, runs)) in classes.iter().enumerate() {
            credit[index] += f64::from(*per_s) / 100.0;
            while credit[index] >= 1.0 {
                credit[index] -= 1.0;
                let draw = f64::from((step * 37 + index as u32 * 11) % 100) / 100.0;
                let verdict = admission.decide(name, draw, now_us);
                let counts = step >= seconds * 50;
                asked[index] += u32::from(counts);
                if verdict == Verdict::Admit {
                    admitted[index] += u32::from(counts);
                    work += f64::from(*runs);
                    let class = SmolStr::from(*name);
                    let load_permille = (load * 1_000.0) as u32;
                    let met = Met {
                        service: &scarce,
                        load_permille,
                        calls: *runs,
                    };
                    admission.report(&class, Importance(*importance), met, now_us);
                }
            }
        }
        recent.pop_front();
        recent.push_back(work);
    }
    let shares = admitted.iter().zip(&asked);
    shares
        .map(|(admitted, asked)| f64::from(*admitted) / f64::from(*asked))
        .collect()
}

#[test]
fn with_room_everything_is_admitted() {
    let shares = play(&[("read", 2, 100, 8), ("order", 0, 100, 4)], 3_000.0, 20);
    assert!(shares.iter().all(|&share| share > 0.99), "{shares:?}");
}

#[test]
fn the_least_important_class_gives_way_first() {
    let classes = [
        ("read", 2, 200, 8),
        ("order", 0, 100, 4),
        ("direct", 1, 100, 1),
    ];
    let shares = play(&classes, 1_300.0, 40);
    assert!(shares[1] > 0.97 && shares[2] > 0.95, "{shares:?}");
    // 800 of the 1,300 runs a second are left for 1,600 wanted.
    assert!((0.3..0.75).contains(&shares[0]), "{shares:?}");
}

#[test]
fn the_scarce_service_is_kept_busy() {
    let shares = play(&[("read", 1, 300, 10)], 1_500.0, 40);
    assert!((0.4..0.65).contains(&shares[0]), "{shares:?}");
}

#[test]
fn a_burst_is_cut_when_it_arrives() {
    let mut admission = Admission::default();
    let (read, scarce) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let mut now_us = 1_000_000;
    let mut admit = |admission: &mut Admission, requests: u32, interval_us: u64| {
        let mut admitted = 0;
        for number in 0..requests {
            now_us += interval_us;
            let draw = f64::from(number * 37 % 100) / 100.0;
            admitted += u32::from(admission.decide("read", draw, now_us) == Verdict::Admit);
            // The load stays what it was: a service shows its load late.
            let met = Met {
                service: &scarce,
                load_permille: 700,
                calls: 8,
            };
            admission.report(&read, Importance(1), met, now_us);
        }
        admitted
    };
    assert_eq!(admit(&mut admission, 1_000, 10_000), 1_000);
    // Three times as many, of which the service has room for 920 / 700.
    let admitted = admit(&mut admission, 300, 3_333);
    assert!((120..240).contains(&admitted), "{admitted}");
}

#[test]
fn a_class_that_is_refused_is_still_probed_and_comes_back() {
    let mut admission = Admission::default();
    let (read, scarce) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let met = Met {
        service: &scarce,
        load_permille: 3_000,
        calls: 1,
    };
    for step in 0..600 {
        let now_us = 1_000_000 + step * 10_000;
        let draw = (step % 10) as f64 / 10.0;
        if admission.decide("read", draw, now_us) == Verdict::Admit {
            admission.report(&read, Importance(1), met, now_us);
        }
    }
    let now_us = 7_000_000;
    assert!(matches!(
        admission.decide("read", 0.9, now_us),
        Verdict::Refuse { .. }
    ));
    assert_eq!(admission.decide("read", 0.01, now_us), Verdict::Admit);
    // Nothing is heard for a while.
    assert_eq!(
        admission.decide("read", 0.9, now_us + 4_000_000),
        Verdict::Admit
    );
}

#[test]
fn the_first_requests_of_a_class_are_admitted() {
    let mut admission = Admission::default();
    let (read, scarce) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let met = Met {
        service: &scarce,
        load_permille: 900,
        calls: 1,
    };
    // Ten a second from the start, while the service has room for them.
    for number in 0..100_u64 {
        let now_us = 1_000_000 + number * 100_000;
        let draw = (number * 37 % 100) as f64 / 100.0;
        assert_eq!(
            admission.decide("read", draw, now_us),
            Verdict::Admit,
            "{number}"
        );
        admission.report(&read, Importance(1), met, now_us);
    }
}

#[test]
fn a_daemon_that_starts_into_overload_refuses_within_a_second() {
    // As when all daemons were killed: twice what the scarce service can take, from the start.
    let mut admission = Admission::default();
    let (read, scarce) = (SmolStr::from("read"), ServiceName::from("scarce"));
    let mut recent = std::collections::VecDeque::from(vec![0.0; 30]);
    let mut admitted = 0.0;
    for step in 0..200_u64 {
        let now_us = 1_000_000 + step * 10_000;
        let load: f64 = recent.iter().sum::<f64>() / (1_500.0 * 0.3);
        let mut work = 0.0;
        for number in 0..3 {
            let draw = ((step * 37 + number * 11) % 100) as f64 / 100.0;
            if admission.decide("read", draw, now_us) == Verdict::Admit {
                work += 10.0;
                let met = Met {
                    service: &scarce,
                    load_permille: (load * 1_000.0) as u32,
                    calls: 10,
                };
                admission.report(&read, Importance(1), met, now_us);
            }
        }
        if step >= 100 {
            admitted += work;
        }
        recent.pop_front();
        recent.push_back(work);
    }
    // Over the second second; the service can take 1,500.
    assert!((900.0..1_950.0).contains(&admitted), "{admitted}");
}
