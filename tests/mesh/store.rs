//! The store is away, forgets its history, or loses leases.

use {
    crate::world::{Fleet, config, eventually, run},
    shallotdeal::mesh::runtime::sleep_ms,
};

#[test]
fn entries_that_lapsed_are_back_after_an_outage() {
    run(async {
        let fleet = Fleet::start(3).await;
        fleet.catalog.is_down.set(true);
        fleet.catalog.lapse();
        sleep_ms(2_500).await;
        assert_eq!(fleet.ask("GET", "/read/x", "id").await.head.status, 200);
        fleet.catalog.is_down.set(false);
        eventually("all entries", || fleet.catalog.keys().len() == 4).await;
        sleep_ms(3_500).await;
        assert!(
            fleet
                .vms
                .iter()
                .all(|vm| vm.mesh.directory.borrow().len() == 3)
        );
    });
}

#[test]
fn a_daemon_whose_entry_stays_away_is_gone() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.vms[1].kill();
        fleet.catalog.lapse();
        eventually("one daemon", || {
            fleet.vms[0].mesh.directory.borrow().len() == 1
        })
        .await;
        assert_eq!(fleet.ask("GET", "/read/x", "id").await.head.status, 200);
    });
}

#[test]
fn a_lost_history_is_read_anew() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet
            .catalog
            .write("op/config", config(2, 1_500).as_bytes(), 0);
        fleet.catalog.compact();
        eventually("the version of the gap", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 2)
        })
        .await;
        fleet
            .catalog
            .write("op/config", config(3, 1_500).as_bytes(), 0);
        eventually("the version after it", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 3)
        })
        .await;
    });
}

#[test]
fn a_quiet_fleet_writes_nothing() {
    run(async {
        let fleet = Fleet::start(2).await;
        let before = fleet.catalog.writes.get();
        sleep_ms(4_500).await;
        assert_eq!(fleet.catalog.writes.get(), before);
    });
}

#[test]
fn a_daemon_that_the_store_turns_away_hears_of_changes_from_its_peers() {
    run(async {
        let fleet = Fleet::start(3).await;
        // A link from the first daemon to each other one.
        for number in 0..60 {
            fleet.ask("GET", "/read/x", &format!("id-{number}")).await;
        }
        fleet.vms[0].catalog.is_cut.set(true);
        fleet
            .catalog
            .write("op/config", config(7, 1_500).as_bytes(), 0);
        eventually("the version at the daemon that is cut off", || {
            fleet.vms[0].mesh.config_version().0 == 7
        })
        .await;
        fleet.vms[2].report(true);
        eventually("the departure at the daemon that is cut off", || {
            fleet.vms[0].mesh.directory.borrow().workers("shop") == 2
        })
        .await;
        assert_eq!(fleet.ask("GET", "/read/x", "id").await.head.status, 200);
    });
}

#[test]
fn a_daemon_whose_entry_was_taken_stays_in_use_while_it_answers() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.vms[0].report(true);
        fleet.ask("GET", "/read/x", "first").await;
        fleet.vms[1].catalog.is_cut.set(true);
        fleet.catalog.lapse();
        for number in 0..20 {
            sleep_ms(200).await;
            let got = fleet
                .ask("GET", "/read/x", &format!("later-{number}"))
                .await;
            assert_eq!(got.head.status, 200, "{number}");
        }
        assert_eq!(fleet.vms[1].worker.count(), 21);
        fleet.vms[1].catalog.is_cut.set(false);
        eventually("its entry", || fleet.catalog.keys().len() == 3).await;
    });
}
