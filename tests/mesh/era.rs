//! A store that comes back from an older copy.

use {
    crate::harness::{Fleet, config, eventually, run},
    shallotdeal::mesh::{entry, runtime::sleep_ms},
};

fn entries(fleet: &Fleet) -> usize {
    let keys = fleet.store.keys();
    keys.iter()
        .filter(|key| key.starts_with(entry::PREFIX))
        .count()
}

#[test]
fn entries_and_departures_that_the_store_has_lost_are_written_again() {
    run(async {
        let fleet = Fleet::start(3).await;
        *fleet.store.era.borrow_mut() = Some("4".into());
        let copy = fleet.store.copy();
        let left = &fleet.vms[0];
        left.leave_worker();
        let key = entry::key("vm-0");
        let has_departure = || {
            let entry = fleet.store.entry(&key).unwrap_or_default();
            entry.contains(r#""departed":[{"#)
        };
        eventually("entry with the departure", has_departure).await;
        fleet.store.restore(copy, "5");
        assert!(!has_departure());
        eventually("departure written again", has_departure).await;
        assert_eq!(entries(&fleet), 3);
        assert_eq!(fleet.vms[1].mesh.directory.borrow().workers("shop"), 2);
    });
}

#[test]
fn a_store_that_comes_back_empty_twice_is_filled_twice() {
    run(async {
        let fleet = Fleet::start(3).await;
        *fleet.store.era.borrow_mut() = Some("1".into());
        for era in ["2", "3"] {
            fleet
                .store
                .restore(fleet.store.copy().without_leased(), era);
            assert_eq!(entries(&fleet), 0);
            eventually("all entries", || entries(&fleet) == 3).await;
            assert_eq!(fleet.vms[0].mesh.directory.borrow().workers("shop"), 3);
        }
    });
}

#[test]
fn a_watch_is_not_continued_from_a_revision_that_is_given_out_again() {
    run(async {
        let fleet = Fleet::start(2).await;
        *fleet.store.era.borrow_mut() = Some("1".into());
        fleet
            .store
            .write("op/config", config(2, 1_500).as_bytes(), 0);
        let copy = fleet.store.copy();
        // The watches continue from a revision after the copy.
        for _ in 0..3 {
            fleet
                .store
                .write("op/config", config(3, 1_500).as_bytes(), 0);
        }
        eventually("configuration version 3", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 3)
        })
        .await;
        fleet.store.restore(copy, "2");
        // The revision of this version is lower than the one that the watches continue from, and
        // the others raise the counter beyond it.
        fleet
            .store
            .write("op/config", config(5, 1_500).as_bytes(), 0);
        for number in 0..4 {
            fleet.store.write(&format!("other/{number}"), b"", 0);
        }
        eventually("configuration version 5", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 5)
        })
        .await;
    });
}

#[test]
fn an_older_configuration_of_the_copy_is_not_applied_by_running_and_started_daemons() {
    run(async {
        let mut fleet = Fleet::start(3).await;
        *fleet.store.era.borrow_mut() = Some("1".into());
        let copy = fleet.store.copy();
        fleet
            .store
            .write("op/config", config(8, 1_500).as_bytes(), 0);
        eventually("configuration version 8", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 8)
        })
        .await;
        fleet.store.restore(copy, "2");
        fleet.restart(0);
        let mesh = fleet.vms[0].mesh.clone();
        for _ in 0..100 {
            sleep_ms(20).await;
            assert!(!mesh.is_ready() || mesh.config_version().0 == 8);
        }
        assert!(mesh.is_ready());
        assert!(fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 8));
    });
}

#[test]
fn an_absent_falling_or_malformed_era_loses_nothing() {
    run(async {
        let fleet = Fleet::start(2).await;
        for era in [Some("7"), None, Some("seven"), Some("6"), Some("7")] {
            *fleet.store.era.borrow_mut() = era.map(Into::into);
            sleep_ms(800).await;
            assert_eq!(fleet.request("GET", "/read/x", "id").await.head.status, 200);
            assert_eq!(entries(&fleet), 2);
        }
        fleet
            .store
            .write("op/config", config(9, 1_500).as_bytes(), 0);
        eventually("new configuration version", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 9)
        })
        .await;
    });
}
