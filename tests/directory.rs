//! Choice of a worker under unequal speed, failures, full data centres and stale views.

use {
    shallotdeal::{
        mesh::{
            directory::{Announcement, Choice, Directory, Ended, Reach, WorkerState},
            frame::{GateLoad, WorkerLife},
        },
        place::{DataCentre, Region},
    },
    std::collections::BTreeMap,
};

const SECOND_US: u64 = 1_000_000;

fn announcement(vm: u8, centre: &str, region: &str) -> Announcement {
    Announcement {
        vm: format!("vm-{vm}").into(),
        daemon_born_unix_ms: 1,
        sequence: 1,
        addr: format!("10.0.0.{vm}:1").parse().unwrap(),
        data_centre: DataCentre(centre.into()),
        region: Region(region.into()),
        worker: Some(WorkerState {
            life: WorkerLife {
                id: format!("w-{vm}").into(),
                born_unix_ms: 1,
            },
            service: "s".into(),
            slots: 10,
        }),
        left: Vec::new(),
    }
}

fn directory(places: &[(&str, &str)]) -> Directory {
    let mut directory = Directory::new(DataCentre("a".into()), Region("r".into()), 7);
    for (index, (centre, region)) in places.iter().enumerate() {
        assert!(directory.learn(announcement(index as u8 + 1, centre, region)));
    }
    directory
}

fn load(in_flight: u32, queued: u32, latency_us: u32) -> GateLoad {
    GateLoad {
        in_flight,
        queued,
        limit: 10,
        latency_us,
    }
}

/// Sends requests one after the other and reports each end; returns the requests by VM.
fn play(
    directory: &mut Directory,
    requests: u64,
    end: impl Fn(&Choice) -> (Ended, GateLoad),
) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for number in 0..requests {
        let now_us = SECOND_US + number * 1_000;
        let choice = directory.choose("s", &[], Reach::Anywhere, now_us).unwrap();
        directory.sent(choice.key);
        let (ended, load) = end(&choice);
        directory.ended(choice.key, ended, Some(load), now_us + 500);
        *counts.entry(choice.vm.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn the_own_data_centre_comes_first() {
    let mut directory = directory(&[("a", "r"), ("b", "r"), ("c", "q")]);
    let counts = play(&mut directory, 100, |_| {
        (Ended::Answered { took_us: 5_000 }, load(2, 0, 5_000))
    });
    assert_eq!(counts.get("vm-1"), Some(&100), "{counts:?}");
}

#[test]
fn a_full_data_centre_spills_to_its_region_first() {
    let mut directory = directory(&[("a", "r"), ("b", "r"), ("c", "q")]);
    let counts = play(&mut directory, 200, |choice| {
        let is_own = choice.vm == "vm-1";
        let load = if is_own {
            load(10, 20, 30_000)
        } else {
            load(2, 0, 30_000)
        };
        (Ended::Answered { took_us: 30_000 }, load)
    });
    assert!(counts["vm-2"] > 150, "{counts:?}");
    assert_eq!(counts.get("vm-3"), None, "{counts:?}");
}

#[test]
fn a_worker_that_fails_many_requests_is_left_for_another_region() {
    let mut directory = directory(&[("a", "r"), ("c", "q")]);
    let counts = play(&mut directory, 400, |choice| {
        if choice.vm == "vm-1" {
            return (Ended::Failed, load(1, 0, 5_000));
        }
        (Ended::Answered { took_us: 30_000 }, load(1, 0, 5_000))
    });
    assert!(counts["vm-2"] > 300, "{counts:?}");
}

#[test]
fn a_worker_that_failed_is_tried_again_later() {
    let mut directory = directory(&[("a", "r"), ("c", "q")]);
    play(&mut directory, 100, |choice| {
        let is_own = choice.vm == "vm-1";
        let ended = if is_own {
            Ended::Failed
        } else {
            Ended::Answered { took_us: 30_000 }
        };
        (ended, load(1, 0, 5_000))
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
        directory.sent(choice.key);
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
            std::slice::from_ref(&first.life),
            Reach::Anywhere,
            SECOND_US,
        )
        .unwrap();
    assert_ne!(first.life, second.life);
    assert!(
        directory
            .choose("s", &[first.life, second.life], Reach::Anywhere, SECOND_US)
            .is_none()
    );
}

#[test]
fn older_news_of_a_vm_changes_nothing() {
    let mut directory = directory(&[("a", "r")]);
    let mut leaving = announcement(1, "a", "r");
    leaving.sequence = 3;
    leaving.worker = None;
    assert!(directory.learn(leaving));
    let mut stale = announcement(1, "a", "r");
    stale.sequence = 2;
    assert!(!directory.learn(stale.clone()));
    assert!(
        directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .is_none()
    );
    stale.daemon_born_unix_ms = 2;
    stale.sequence = 1;
    assert!(directory.learn(stale));
    assert!(
        directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .is_some()
    );
}

#[test]
fn a_life_that_its_gate_refused_is_not_chosen_until_another_one_comes() {
    let mut directory = directory(&[("a", "r")]);
    let choice = directory
        .choose("s", &[], Reach::Anywhere, SECOND_US)
        .unwrap();
    directory.refuse_life(choice.key, &choice.life);
    assert!(
        directory
            .choose("s", &[], Reach::Anywhere, SECOND_US)
            .is_none()
    );
    let mut reborn = announcement(1, "a", "r");
    reborn.sequence = 2;
    reborn.worker.as_mut().unwrap().life.born_unix_ms = 9;
    assert!(directory.learn(reborn));
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
    directory.sent(choice.key);
    let ended = Ended::Answered { took_us: 5_000 };
    directory.ended(choice.key, ended, Some(load(10, 8, 5_000)), SECOND_US);
    // 18 in hand at one worker of two with ten slots each; the other region does not count.
    assert_eq!(directory.load_permille("s", SECOND_US + 1_000), 900);
}

#[test]
fn an_old_report_does_not_keep_a_worker_out() {
    let mut directory = directory(&[("a", "r"), ("b", "r")]);
    let choice = directory
        .choose("s", &[], Reach::Anywhere, SECOND_US)
        .unwrap();
    directory.sent(choice.key);
    let ended = Ended::Answered { took_us: 5_000 };
    directory.ended(choice.key, ended, Some(load(10, 100, 5_000)), SECOND_US);
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
    let tried = [first.life];
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
