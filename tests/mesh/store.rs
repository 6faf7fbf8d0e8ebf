//! Outages of the store, compaction of its history and expired leases.

use {
    crate::harness::{Fleet, config, eventually, run},
    shallotdeal::{
        config::Revision,
        mesh::{entry, runtime::sleep_ms},
    },
};

#[test]
fn expired_entries_are_written_again_after_an_outage() {
    run(async {
        let fleet = Fleet::start(3).await;
        fleet.store.is_down.set(true);
        fleet.store.expire_leases();
        sleep_ms(2_500).await;
        assert_eq!(fleet.request("GET", "/read/x", "id").await.head.status, 200);
        fleet.store.is_down.set(false);
        eventually("all entries present", || fleet.store.keys().len() == 4).await;
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
fn a_daemon_whose_entry_stays_missing_is_removed() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.vms[1].kill();
        fleet.store.expire_leases();
        eventually("removal of the daemon", || {
            fleet.vms[0].mesh.directory.borrow().len() == 1
        })
        .await;
        assert_eq!(fleet.request("GET", "/read/x", "id").await.head.status, 200);
    });
}

#[test]
fn entries_are_listed_again_after_compaction() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet
            .store
            .write("op/config", config(2, 1_500).as_bytes(), 0);
        fleet.store.compact();
        eventually("version written before the compaction", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 2)
        })
        .await;
        fleet
            .store
            .write("op/config", config(3, 1_500).as_bytes(), 0);
        eventually("version written after the compaction", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 3)
        })
        .await;
    });
}

#[test]
fn an_idle_fleet_writes_nothing_to_the_store() {
    run(async {
        let fleet = Fleet::start(2).await;
        eventually("entries with workers", || {
            let keys = ["vm-0", "vm-1"].map(entry::key);
            let entries = keys.map(|key| fleet.store.entry(&key).unwrap_or_default());
            entries.iter().all(|entry| entry.contains(r#""worker":{"#))
        })
        .await;
        let before = fleet.store.writes.get();
        sleep_ms(6_500).await;
        assert_eq!(fleet.store.writes.get(), before);
    });
}

#[test]
fn a_daemon_without_store_access_receives_changes_from_its_peers() {
    run(async {
        let fleet = Fleet::start(3).await;
        // The requests open links from the first daemon to all others.
        for number in 0..60 {
            fleet
                .request("GET", "/read/x", &format!("id-{number}"))
                .await;
        }
        fleet.vms[0].store.is_unreachable.set(true);
        fleet
            .store
            .write("op/config", config(7, 1_500).as_bytes(), 0);
        eventually(
            "configuration version at the daemon without store access",
            || fleet.vms[0].mesh.config_version().0 == 7,
        )
        .await;
        fleet.vms[2].report(true);
        eventually("departure at the daemon without store access", || {
            fleet.vms[0].mesh.directory.borrow().workers("shop") == 2
        })
        .await;
        assert_eq!(fleet.request("GET", "/read/x", "id").await.head.status, 200);
    });
}

// Guards against a daemon that keeps an old configuration because the only peer it asks is gone.
#[test]
fn a_newer_configuration_is_fetched_although_its_first_reporter_has_died() {
    run(async {
        let fleet = Fleet::start(4).await;
        let behind = &fleet.vms[0];
        behind.store.is_unreachable.set(true);
        fleet.write_config(7);
        let reporter = || {
            let members = behind.mesh.fleet.borrow();
            let newest = members.newest_config()?;
            (newest.revision == Revision(7)).then_some(newest.call_addr)
        };
        eventually("a report of the newer configuration", || {
            reporter().is_some()
        })
        .await;
        let first = reporter().expect("reported above");
        let dead = fleet
            .vms
            .iter()
            .find(|vm| vm.mesh.settings.calls_addr == first);
        dead.expect("a daemon of the fleet").kill();
        eventually("the newer configuration in force", || {
            behind.mesh.config_version().0 == 7
        })
        .await;
    });
}

// Guards against a watch that transfers every version of an outage, which takes longer than the
// outage itself on a link that the whole region shares.
#[test]
fn versions_that_were_replaced_during_an_outage_are_not_transferred() {
    run(async {
        let fleet = Fleet::start(1).await;
        let vm = &fleet.vms[0];
        vm.store.is_unreachable.set(true);
        for version in 2..=40 {
            fleet.write_config(version);
        }
        eventually("failure of the watch", || {
            vm.mesh.metrics.get("config.watch_failed") > 0
        })
        .await;
        let before = vm.store.received_configs.get();
        vm.store.is_unreachable.set(false);
        eventually("the last version in force", || {
            vm.mesh.config_version().0 == 40
        })
        .await;
        assert_eq!(vm.store.received_configs.get() - before, 1);
    });
}

// Guards against a daemon that waits until the time limit of a watch whose request was lost, while
// it depends on its peers for each version.
#[test]
fn a_watch_without_an_answer_is_replaced_when_peers_report_a_newer_version() {
    run(async {
        let fleet = Fleet::start(3).await;
        let vm = &fleet.vms[0];
        vm.store.swallows_watches.set(true);
        fleet.write_config(2);
        eventually("a lost watch", || vm.store.swallowed_watches.get() > 0).await;
        vm.store.swallows_watches.set(false);
        let before = vm.store.received_configs.get();
        fleet.write_config(3);
        eventually("a version from the store", || {
            vm.store.received_configs.get() > before
        })
        .await;
        assert_eq!(vm.mesh.config_version().0, 3);
    });
}

// Guards against a whole fleet that is blind for half a minute: a store that falls silent during
// frequent changes takes the next watches of all daemons and answers none, so no peer can help.
#[test]
fn watches_that_all_daemons_lose_during_frequent_changes_end_soon() {
    run(async {
        let fleet = Fleet::start(2).await;
        let in_force = |version| {
            let vms = &fleet.vms;
            move || vms.iter().all(|vm| vm.mesh.config_version().0 == version)
        };
        fleet.write_config(2);
        eventually("the first change", in_force(2)).await;
        let stores = || fleet.vms.iter().map(|vm| &vm.store);
        stores().for_each(|store| store.swallows_watches.set(true));
        fleet.write_config(3);
        eventually("lost watches", || {
            stores().all(|store| store.swallowed_watches.get() > 0)
        })
        .await;
        stores().for_each(|store| store.swallows_watches.set(false));
        fleet.write_config(4);
        eventually("the change after the lost watches", in_force(4)).await;
    });
}

// Guards against a whole fleet that is blind for half a minute after a single change: the store falls
// silent just after it, so it takes the next watches of all daemons and answers none.
#[test]
fn watches_that_all_daemons_lose_after_a_single_change_are_replaced() {
    run(async {
        let fleet = Fleet::start(2).await;
        let in_force = |version| {
            let vms = &fleet.vms;
            move || vms.iter().all(|vm| vm.mesh.config_version().0 == version)
        };
        let stores = || fleet.vms.iter().map(|vm| &vm.store);
        // The next change is a single one.
        sleep_ms(6_000).await;
        stores().for_each(|store| store.is_silent.set(true));
        fleet.write_config(2);
        eventually("the single change", in_force(2)).await;
        eventually("lost watches", || {
            stores().all(|store| store.swallowed_watches.get() > 0)
        })
        .await;
        // Shorter than the interval of lease renewals.
        sleep_ms(500).await;
        stores().for_each(|store| store.is_silent.set(false));
        fleet.write_config(3);
        eventually("the change after the lost watches", in_force(3)).await;
    });
}

/// Changes the configuration to version 2 and loses the answer to the watch of the first daemon.
async fn lose_change(fleet: &Fleet) {
    let vm = &fleet.vms[0];
    eventually("a waiting watch", || vm.mesh.metrics.get("config.read") > 0).await;
    vm.store.loses_changes.set(true);
    fleet.write_config(2);
    eventually("the lost answer", || vm.store.lost_changes.get() > 0).await;
    vm.store.loses_changes.set(false);
}

// Guards against a daemon that trusts its watch although the store did not answer another call
// meanwhile: the store took the change and its answer to the watch was lost.
#[test]
fn a_watch_is_replaced_after_another_call_without_an_answer() {
    run(async {
        let fleet = Fleet::start(1).await;
        let vm = &fleet.vms[0];
        lose_change(&fleet).await;
        vm.store.is_silent.set(true);
        vm.leave_worker();
        sleep_ms(500).await;
        vm.store.is_silent.set(false);
        eventually("the change in force", || vm.mesh.config_version().0 == 2).await;
    });
}

// Guards against a daemon of a small fleet that calls the store so rarely that it misses a silence in
// which the answer to its watch was lost.
#[test]
fn a_silence_of_two_seconds_is_noticed_by_a_daemon_without_peers() {
    run(async {
        let fleet = Fleet::start(1).await;
        let vm = &fleet.vms[0];
        lose_change(&fleet).await;
        vm.store.is_silent.set(true);
        sleep_ms(2_000).await;
        vm.store.is_silent.set(false);
        eventually("the change in force", || vm.mesh.config_version().0 == 2).await;
    });
}

// Guards against a change that no call ever brings: a page of the store is no snapshot, so its revision
// may be that of a change which its entries do not include.
#[test]
fn a_change_during_a_read_is_in_force() {
    run(async {
        let fleet = Fleet::start(1).await;
        let vm = &fleet.vms[0];
        let waits = |reads| move || vm.mesh.metrics.get("config.read") >= reads;
        eventually("a waiting watch", waits(1)).await;
        vm.store.written_in_read.set(Some(2));
        vm.mesh.registry.replace_watch("test");
        eventually("the change in force", || vm.mesh.config_version().0 == 2).await;
    });
}

// Guards against calls without end: the entry of the configuration is older than the history that the
// store keeps, so no watch can continue after its revision.
#[test]
fn a_configuration_older_than_the_history_is_watched_after_a_second_read() {
    run(async {
        let mut fleet = Fleet::start(1).await;
        fleet.store.write("other", b"", 0);
        fleet.store.compact();
        fleet.restart(0);
        let vm = &fleet.vms[0];
        eventually("the configuration", || vm.mesh.config_version().0 == 1).await;
        sleep_ms(500).await;
        let reads = vm.mesh.metrics.get("config.read");
        assert!(reads <= 2, "{reads} reads");
        fleet.write_config(2);
        eventually("the change in force", || vm.mesh.config_version().0 == 2).await;
    });
}

#[test]
fn the_sources_of_configurations_are_counted() {
    run(async {
        let fleet = Fleet::start(2).await;
        let vm = &fleet.vms[0];
        let in_force = |version| move || vm.mesh.config_version().0 == version;
        fleet.write_config(2);
        eventually("the version from the store", in_force(2)).await;
        assert_eq!(vm.mesh.metrics.get("config.from_store"), 2);
        vm.store.is_unreachable.set(true);
        fleet.write_config(3);
        eventually("the version from the peer", in_force(3)).await;
        assert_eq!(vm.mesh.metrics.get("config.from_peer"), 1);
        assert!(vm.mesh.metrics.get("config.fetched") > 0);
        assert!(vm.mesh.metrics.get("config.watch_failed") > 0);
    });
}

#[test]
fn a_daemon_whose_entry_expired_stays_in_use_while_its_link_is_alive() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.vms[0].report(true);
        fleet.request("GET", "/read/x", "first").await;
        fleet.vms[1].store.is_unreachable.set(true);
        fleet.store.expire_leases();
        for number in 0..20 {
            sleep_ms(200).await;
            let response = fleet
                .request("GET", "/read/x", &format!("later-{number}"))
                .await;
            assert_eq!(response.head.status, 200, "{number}");
        }
        assert_eq!(fleet.vms[1].worker.count(), 21);
        fleet.vms[1].store.is_unreachable.set(false);
        eventually("entry written again", || fleet.store.keys().len() == 3).await;
    });
}

#[test]
fn the_number_of_calls_does_not_grow_with_the_fleet() {
    run(async {
        // Two pages of entries, a lease, two writes, the configuration and its watch; renewals and
        // stale listings cost a tenth.
        const CALLS_OF_ONE_DAEMON: u32 = 8;
        for count in [2, 12] {
            let fleet = Fleet::start(count).await;
            sleep_ms(8_000).await;
            let price = fleet.store.price.get();
            assert!(
                price <= count as u32 * CALLS_OF_ONE_DAEMON * 10,
                "{price} tenths of a call by {count} daemons"
            );
        }
    });
}

#[test]
fn daemons_that_were_all_killed_find_each_other_again() {
    run(async {
        let mut fleet = Fleet::start(3).await;
        for index in 0..3 {
            fleet.restart(index);
        }
        fleet.vms.iter().for_each(|vm| vm.report(false));
        eventually("discovery of all daemons", || {
            let mut vms = fleet.vms.iter();
            vms.all(|vm| vm.mesh.is_ready() && vm.mesh.directory.borrow().workers("shop") == 3)
        })
        .await;
        assert_eq!(fleet.request("GET", "/read/x", "id").await.head.status, 200);
    });
}

#[test]
fn a_daemon_that_starts_while_the_store_is_down_is_found_by_its_peers() {
    run(async {
        let mut fleet = Fleet::start(3).await;
        fleet
            .store
            .write("op/config", config(4, 1_500).as_bytes(), 0);
        eventually("new configuration version", || {
            fleet.vms.iter().all(|vm| vm.mesh.config_version().0 == 4)
        })
        .await;
        fleet.store.is_down.set(true);
        fleet.restart(0);
        fleet.vms[0].report(false);
        eventually("readiness with the peers' configuration", || {
            let mesh = &fleet.vms[0].mesh;
            mesh.is_ready() && mesh.config_version().0 == 4
        })
        .await;
        assert_eq!(fleet.request("GET", "/read/x", "id").await.head.status, 200);
    });
}

#[test]
fn the_lease_is_renewed_after_lost_answers_while_the_watch_waits() {
    run(async {
        let fleet = Fleet::start(2).await;
        let vm = &fleet.vms[0];
        vm.store.lost_answers.set(2);
        vm.leave_worker();
        eventually("both answers lost", || vm.store.lost_answers.get() == 0).await;
        let price = fleet.store.price.get();
        // The watch of the configuration still waits; it would return after 30 s.
        eventually("the entry is written or its lease renewed", || {
            fleet.store.price.get() >= price + 10
        })
        .await;
        fleet.store.expire_leases();
        eventually("entry written again", || fleet.store.keys().len() == 3).await;
    });
}
