//! Planned work: workers that leave, daemons that stop, configurations that change.

use {
    crate::world::{Act, Client, Fleet, config, eventually, run},
    shallotdeal::mesh::{
        directory::Announcement,
        frame::WorkerLife,
        runtime::{now_us, sleep_ms, spawn},
    },
    std::rc::Rc,
};

#[test]
fn nothing_reaches_a_worker_that_is_draining() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.vms[0].report(true);
        for number in 0..20 {
            let got = fleet.ask("POST", "/order/x", &format!("id-{number}")).await;
            assert_eq!(got.head.status, 200);
        }
        assert_eq!(fleet.vms[0].worker.count(), 0);
        // A report that says otherwise, late or not, does not bring this life back.
        fleet.vms[0].report(false);
        fleet.ask("GET", "/read/x", "id").await;
        assert_eq!(fleet.vms[0].worker.count(), 0);
    });
}

#[test]
fn a_request_at_a_worker_that_drains_is_answered() {
    run(async {
        let fleet = Rc::new(Fleet::start(1).await);
        fleet.act(Act::Answer { after_ms: 600 });
        let asking = Rc::clone(&fleet);
        let answer = spawn(async move { asking.ask("POST", "/order/x", "id").await });
        eventually("the request at the worker", || fleet.runs() == 1).await;
        fleet.vms[0].report(true);
        fleet.vms[0].mesh.stop(now_us());
        assert_eq!(answer.await.head.status, 200);
    });
}

#[test]
fn a_stopping_daemon_refuses_late_requests_and_closes() {
    run(async {
        let fleet = Fleet::start(2).await;
        let mut client = Client::connect(&fleet.vms[0]).await;
        client.send("GET", "/read/x", "first", "", b"").await;
        assert_eq!(client.receive().await.unwrap().head.status, 200);
        fleet.vms[0].mesh.stop(now_us());
        assert!(!fleet.vms[0].mesh.is_ready());
        client.send("GET", "/read/x", "soon", "", b"").await;
        let got = client.receive().await.unwrap();
        assert_eq!((got.head.status, got.head.closes), (200, true));
        sleep_ms(2_600).await;
        let runs = fleet.runs();
        let got = fleet.ask("GET", "/read/x", "late").await;
        assert_eq!((got.head.status, got.head.closes), (503, true));
        assert!(got.head.field("Retry-After").is_some());
        assert_eq!(fleet.runs(), runs);
    });
}

#[test]
fn a_configuration_only_moves_forward() {
    run(async {
        let fleet = Fleet::start(1).await;
        let mesh = &fleet.vms[0].mesh;
        fleet
            .catalog
            .write("op/config", config(9, 1_500).as_bytes(), 0);
        eventually("the new version", || mesh.config_version().0 == 9).await;
        fleet
            .catalog
            .write("op/config", config(8, 1_500).as_bytes(), 0);
        fleet
            .catalog
            .write("op/config", b"{\"Version\":\"r10\"}", 0);
        sleep_ms(200).await;
        assert_eq!(mesh.config_version().0, 9);
        assert_eq!(fleet.ask("GET", "/read/x", "id").await.head.status, 200);
        fleet
            .catalog
            .write("op/config", config(11, 1_500).as_bytes(), 0);
        eventually("the next version", || mesh.config_version().0 == 11).await;
    });
}

#[test]
fn a_daemon_without_configuration_is_not_ready_and_says_not_run() {
    run(async {
        let fleet = Fleet::start(1).await;
        *fleet.vms[0].mesh.routes.borrow_mut() = None;
        assert!(!fleet.vms[0].mesh.is_ready());
        let got = fleet.ask("POST", "/order/x", "id").await;
        assert_eq!(got.head.status, 503);
        assert_eq!(fleet.runs(), 0);
    });
}

#[test]
fn a_departure_binds_the_next_daemon_of_the_vm() {
    run(async {
        let fleet = Fleet::start(2).await;
        let (first, second) = (&fleet.vms[0], &fleet.vms[1]);
        let life = WorkerLife {
            id: first.worker.id.clone(),
            born_unix_ms: 1_000,
        };
        first
            .mesh
            .gate
            .borrow_mut()
            .leave(&life.id, Some(1_000), now_us());
        first.mesh.publish();
        eventually("the entry of a VM whose worker has left", || {
            let items = fleet.catalog.entry("daemons/vm-0").unwrap_or_default();
            items.contains(r#""left":[{"#) && items.contains(r#""worker":null"#)
        })
        .await;
        // The next daemon hears a report that was held up, before or after it has read the entry.
        let entry = fleet.catalog.entry("daemons/vm-0").unwrap();
        let mut previous: Announcement = serde_json::from_str(&entry).unwrap();
        previous.vm = second.mesh.settings.name.clone();
        previous.daemon_born_unix_ms = 0;
        previous.left[0].id = second.worker.id.clone();
        assert!(second.mesh.gate.borrow().worker_state().is_some());
        second.mesh.learn(previous, "store");
        assert!(second.mesh.gate.borrow().worker_state().is_none());
        second.report(false);
        assert!(second.mesh.gate.borrow().worker_state().is_none());
        assert_eq!(second.mesh.own_announcement().left.len(), 1);
        let got = fleet.ask("GET", "/read/x", "id").await;
        assert_eq!(got.head.status, 503);
    });
}
