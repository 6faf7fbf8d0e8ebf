//! Choice of a worker under unequal speed, failures, full data centres and outdated reports.

use {
    shallotdeal::{
        config::Revision,
        fleet::member::{AdvertisedWorker, Generation, Member, Status},
        mesh::{
            directory::{Choice, Directory, Reach},
            frame::GateLoad,
            known_worker::SendOutcome,
        },
        place::{DataCentre, Place, Region},
        request::{Incarnation, Level},
    },
    std::collections::BTreeMap,
};

const SECOND_US: u64 = 1_000_000;

fn member(vm: u8, centre: &str, region: &str) -> Member {
    let addr = format!("10.0.0.{vm}:1").parse().unwrap();
    Member {
        place: Place {
            name: format!("vm-{vm}").into(),
            region: Region(region.into()),
            data_centre: DataCentre(centre.into()),
            call_addr: addr,
            gossip_addr: addr,
        },
        generation: Generation(u64::from(vm)),
        version: 1,
        body_version: 1,
        status: Status::Alive,
        worker: Some(AdvertisedWorker {
            incarnation: Incarnation(u64::from(vm)),
            service: "s".into(),
            slots: 10,
            load: 0,
            level: Level::OPEN,
            draining: false,
        }),
        revision: Revision(0),
        suspects: Vec::new(),
    }
}

fn directory(places: &[(&str, &str)]) -> Directory {
    let mut directory = Directory::new(DataCentre("a".into()), Region("r".into()), 7);
    for (index, (centre, region)) in places.iter().enumerate() {
        directory.apply_member(&member(index as u8 + 1, centre, region));
    }
    directory
}

fn load(in_flight: u32, queued: u32, latency_us: u32) -> GateLoad {
    GateLoad {
        in_flight,
        queued,
        limit: 10,
        latency_us,
        failed_permille: 0,
    }
}

/// Sends requests one after the other and records the outcome of each; returns the number of
/// requests by VM.
fn send_requests(
    directory: &mut Directory,
    requests: u64,
    end: impl Fn(&Choice) -> (SendOutcome, GateLoad),
) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for number in 0..requests {
        let now_us = SECOND_US + number * 1_000;
        let choice = directory.choose("s", &[], Reach::Anywhere, now_us).unwrap();
        directory.record_send(choice.key);
        let (outcome, load) = end(&choice);
        directory.record_outcome(choice.key, outcome, Some(load), now_us + 500);
        *counts.entry(choice.vm.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn the_local_data_centre_is_preferred() {
    let mut directory = directory(&[("a", "r"), ("b", "r"), ("c", "q")]);
    let counts = send_requests(&mut directory, 100, |_| {
        (SendOutcome::Answered { took_us: 5_000 }, load(2, 0, 5_000))
    });
    assert_eq!(counts.get("vm-1"), Some(&100), "{counts:?}");
}

#[test]
fn requests_of_a_full_data_centre_stay_in_the_region() {
    let mut directory = directory(&[("a", "r"), ("b", "r"), ("c", "q")]);
    let counts = send_requests(&mut directory, 200, |choice| {
        let is_local = choice.vm == "vm-1";
        let load = if is_local {
            load(10, 20, 30_000)
        } else {
            load(2, 0, 30_000)
        };
        (SendOutcome::Answered { took_us: 30_000 }, load)
    });
    assert!(counts["vm-2"] > 150, "{counts:?}");
    assert_eq!(counts.get("vm-3"), None, "{counts:?}");
}

#[test]
fn requests_leave_the_region_if_its_worker_fails_many_of_them() {
    let mut directory = directory(&[("a", "r"), ("c", "q")]);
    let counts = send_requests(&mut directory, 400, |choice| {
        if choice.vm == "vm-1" {
            return (SendOutcome::Failed, load(1, 0, 5_000));
        }
        (SendOutcome::Answered { took_us: 30_000 }, load(1, 0, 5_000))
    });
    assert!(counts["vm-2"] > 300, "{counts:?}");
}

#[test]
fn a_worker_that_failed_is_tried_again_later() {
    let mut directory = directory(&[("a", "r"), ("c", "q")]);
    send_requests(&mut directory, 100, |choice| {
        let is_local = choice.vm == "vm-1";
        let outcome = if is_local {
            SendOutcome::Failed
        } else {
            SendOutcome::Answered { took_us: 30_000 }
        };
        (outcome, load(1, 0, 5_000))
    });
    let choice = directory
        .choose("s", &[], Reach::Anywhere, 20 * SECOND_US)
        .unwrap();
    assert_eq!(choice.vm, "vm-1");
}

#[test]
fn sends_without_a_reply_count_as_load() {
    let mut directory = directory(&[("a", "r"), ("a", "r")]);
    let mut counts = BTreeMap::new();
    for _ in 0..40 {
        let choice = directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .unwrap();
        directory.record_send(choice.key);
        *counts.entry(choice.vm.to_string()).or_insert(0_u32) += 1;
    }
    assert!(counts["vm-1"].abs_diff(counts["vm-2"]) <= 6, "{counts:?}");
}

#[test]
fn a_worker_that_was_tried_is_not_chosen_again() {
    let mut directory = directory(&[("a", "r"), ("b", "r")]);
    let first = directory
        .choose("s", &[], Reach::Anywhere, SECOND_US)
        .unwrap();
    let second = directory
        .choose(
            "s",
            std::slice::from_ref(&first.incarnation),
            Reach::Anywhere,
            SECOND_US,
        )
        .unwrap();
    assert_ne!(first.incarnation, second.incarnation);
    assert!(
        directory
            .choose(
                "s",
                &[first.incarnation, second.incarnation],
                Reach::Anywhere,
                SECOND_US
            )
            .is_none()
    );
}

#[test]
fn a_draining_worker_is_not_chosen() {
    let mut directory = directory(&[("a", "r")]);
    let mut draining = member(1, "a", "r");
    draining.worker.as_mut().unwrap().draining = true;
    directory.apply_member(&draining);
    assert!(
        directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .is_none()
    );
    assert_eq!(directory.workers("s"), 0);
    directory.apply_member(&member(1, "a", "r"));
    assert!(
        directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .is_some()
    );
    directory.remove("vm-1");
    assert!(directory.is_empty());
}

#[test]
fn a_worker_whose_daemon_is_suspected_is_chosen_last() {
    let mut directory = directory(&[("a", "r"), ("b", "r")]);
    let mut suspect = member(1, "a", "r");
    suspect.status = Status::Suspect;
    directory.apply_member(&suspect);
    let counts = send_requests(&mut directory, 50, |_| {
        (SendOutcome::Answered { took_us: 500 }, load(0, 0, 500))
    });
    assert_eq!(counts.get("vm-2"), Some(&50));
    let choice = directory.choose("s", &[Incarnation(2)], Reach::Anywhere, 2 * SECOND_US);
    assert_eq!(choice.unwrap().vm, "vm-1");
}

#[test]
fn an_incarnation_refused_by_its_gate_is_not_chosen_until_it_is_replaced() {
    let mut directory = directory(&[("a", "r")]);
    let choice = directory
        .choose("s", &[], Reach::Anywhere, SECOND_US)
        .unwrap();
    directory.mark_refused(choice.key, choice.incarnation);
    assert!(
        directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .is_none()
    );
    let mut replacement = member(1, "a", "r");
    directory.apply_member(&replacement);
    assert!(
        directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .is_none()
    );
    replacement.worker.as_mut().unwrap().incarnation = Incarnation(9);
    directory.apply_member(&replacement);
    assert!(
        directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .is_some()
    );
}

#[test]
fn the_load_of_a_service_counts_idle_workers_of_the_region() {
    let mut directory = directory(&[("a", "r"), ("b", "r"), ("c", "q")]);
    let choice = directory
        .choose("s", &[], Reach::Anywhere, SECOND_US)
        .unwrap();
    directory.record_send(choice.key);
    let outcome = SendOutcome::Answered { took_us: 5_000 };
    directory.record_outcome(choice.key, outcome, Some(load(10, 8, 5_000)), SECOND_US);
    // One of two workers with ten slots each has 18 requests; the other region is not counted.
    assert_eq!(directory.load_permille("s", SECOND_US + 1_000), 900);
}

#[test]
fn an_outdated_report_does_not_exclude_a_worker() {
    let mut directory = directory(&[("a", "r"), ("b", "r")]);
    let choice = directory
        .choose("s", &[], Reach::Anywhere, SECOND_US)
        .unwrap();
    directory.record_send(choice.key);
    let outcome = SendOutcome::Answered { took_us: 5_000 };
    directory.record_outcome(choice.key, outcome, Some(load(10, 100, 5_000)), SECOND_US);
    let soon = directory
        .choose("s", &[], Reach::Anywhere, SECOND_US + 1_000)
        .unwrap();
    assert_ne!(soon.vm, choice.vm);
    let later = directory
        .choose("s", &[], Reach::Anywhere, 2 * SECOND_US)
        .unwrap();
    assert_eq!(later.vm, choice.vm);
    assert_eq!(directory.load_permille("s", 2 * SECOND_US), 0);
}

#[test]
fn overload_is_no_reason_to_leave_the_region() {
    let mut directory = directory(&[("a", "r"), ("c", "q")]);
    let first = directory
        .choose("s", &[], Reach::Anywhere, SECOND_US)
        .unwrap();
    assert_eq!(first.vm, "vm-1");
    let tried = [first.incarnation];
    assert!(
        directory
            .choose("s", &tried, Reach::Region, SECOND_US)
            .is_none()
    );
    assert!(
        directory
            .choose("s", &tried, Reach::Anywhere, SECOND_US)
            .is_some()
    );
}

/// Load pattern: requests take several hundred milliseconds, and each daemon sends few of them. No
/// worker of another region has been tried, or its data is old.
#[test]
fn slow_work_is_no_reason_to_leave_the_region() {
    let mut directory = directory(&[("a", "r"), ("b", "r"), ("c", "q"), ("d", "q")]);
    let mut open = Vec::new();
    for number in 0..400 {
        let now_us = SECOND_US + number * 100_000;
        let choice = directory.choose("s", &[], Reach::Anywhere, now_us).unwrap();
        assert!(
            choice.vm == "vm-1" || choice.vm == "vm-2",
            "request {number}"
        );
        directory.record_send(choice.key);
        open.push(choice);
        if open.len() > 6 {
            let took_us = [500_000, 1_300_000][usize::from(open[0].vm == "vm-2")];
            let outcome = SendOutcome::Answered { took_us };
            let key = open.remove(0).key;
            directory.record_outcome(key, outcome, Some(load(3, 0, took_us as u32)), now_us);
        }
    }
}

/// Load pattern: a fleet with far more workers in other regions than are compared for one choice.
#[test]
fn a_worker_of_the_region_is_found_among_many_far_ones() {
    let mut places = vec![("c", "q"); 200];
    places[137] = ("a", "r");
    let mut directory = directory(&places);
    for number in 0..100 {
        let now_us = SECOND_US + number * 1_000;
        let choice = directory.choose("s", &[], Reach::Anywhere, now_us).unwrap();
        assert_eq!(choice.vm, "vm-138");
    }
}

/// Load pattern: all workers of the region become many times slower than usual.
#[test]
fn requests_leave_a_region_whose_workers_are_all_slow() {
    let mut directory = directory(&[("a", "r"), ("b", "r"), ("c", "q")]);
    let serve = |slow_from: u64| {
        move |number: u64, vm: &str| match vm {
            "vm-3" => 200_000,
            _ if number >= slow_from => 4_000_000,
            _ => 200_000,
        }
    };
    let took_us = serve(500);
    let mut far = 0;
    for number in 0..700 {
        let now_us = SECOND_US + number * 20_000;
        let choice = directory.choose("s", &[], Reach::Anywhere, now_us).unwrap();
        directory.record_send(choice.key);
        let took_us = took_us(number, &choice.vm);
        let outcome = SendOutcome::Answered { took_us };
        directory.record_outcome(
            choice.key,
            outcome,
            Some(load(2, 0, took_us as u32)),
            now_us,
        );
        far += u32::from(choice.vm == "vm-3" && number >= 600);
        assert!(choice.vm != "vm-3" || number >= 500, "request {number}");
    }
    assert!(far > 50, "{far} of the last 100 requests left the region");
}
