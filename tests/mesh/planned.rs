//! Planned changes: departing workers, stopping daemons and new configurations.

use {
    crate::harness::{Behaviour, Client, Fleet, config, eventually, run},
    shallotdeal::mesh::{
        daemon,
        entry::{self, Entry},
        frame::WorkerIncarnation,
        runtime::{now_us, sleep_ms, spawn},
    },
    std::rc::Rc,
};

#[test]
fn a_draining_worker_receives_no_requests() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.vms[0].report(true);
        for number in 0..20 {
            let response = fleet
                .request("POST", "/order/x", &format!("id-{number}"))
                .await;
            assert_eq!(response.head.status, 200);
        }
        assert_eq!(fleet.vms[0].worker.count(), 0);
        // A later report without the drain flag does not reactivate this incarnation.
        fleet.vms[0].report(false);
        fleet.request("GET", "/read/x", "id").await;
        assert_eq!(fleet.vms[0].worker.count(), 0);
    });
}

#[test]
fn a_request_in_flight_at_a_draining_worker_is_answered() {
    run(async {
        let fleet = Rc::new(Fleet::start(1).await);
        fleet.set_behaviour(Behaviour::Answer { after_ms: 600 });
        let asking = Rc::clone(&fleet);
        let answer = spawn(async move { asking.request("POST", "/order/x", "id").await });
        eventually("request at the worker", || fleet.received_requests() == 1).await;
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
        let response = client.receive().await.unwrap();
        assert_eq!((response.head.status, response.head.closes), (200, true));
        sleep_ms(2_600).await;
        let received_requests = fleet.received_requests();
        let response = fleet.request("GET", "/read/x", "late").await;
        assert_eq!((response.head.status, response.head.closes), (503, true));
        assert!(response.head.field("Retry-After").is_some());
        assert_eq!(fleet.received_requests(), received_requests);
    });
}

// Guards against requests that are accepted so late that the daemon ends before their answers.
#[test]
fn a_stopping_daemon_answers_each_request_that_it_accepts() {
    for grace_ms in [1_500, 3_000, 6_000] {
        run(async {
            let fleet = Rc::new(Fleet::start_with_grace(2, grace_ms).await);
            fleet.set_behaviour(Behaviour::Answer { after_ms: 100 });
            let mesh = Rc::clone(&fleet.vms[0].mesh);
            let stopped = spawn(async move {
                daemon::shut_down(&mesh).await;
                // The process ends now.
                mesh.outstanding()
            });
            let mut requests = Vec::new();
            while !stopped.is_finished() {
                let fleet = Rc::clone(&fleet);
                let id = format!("id-{}", requests.len());
                let asking = async move { fleet.request("POST", "/order/x", &id).await };
                requests.push(spawn(asking));
                sleep_ms(20).await;
            }
            assert_eq!(stopped.await, 0, "grace of {grace_ms} ms");
            let mut statuses = Vec::new();
            for request in requests {
                statuses.push(request.await.head.status);
            }
            let count = |wanted| statuses.iter().filter(|status| **status == wanted).count();
            let (answered, refused) = (count(200), count(503));
            assert!(answered > 0 && refused > 0, "{statuses:?}");
            assert_eq!(answered + refused, statuses.len(), "{statuses:?}");
            assert_eq!(fleet.received_requests(), answered, "{statuses:?}");
        });
    }
}

#[test]
fn a_stopping_daemon_answers_requests_that_outlast_the_grace_time() {
    run(async {
        let fleet = Rc::new(Fleet::start_with_grace(2, 1_500).await);
        fleet
            .store
            .write("op/config", config(2, 10_000).as_bytes(), 0);
        let mesh = Rc::clone(&fleet.vms[0].mesh);
        eventually("longer timeout", || mesh.config_version().0 == 2).await;
        fleet.set_behaviour(Behaviour::Answer { after_ms: 2_800 });
        let asking = Rc::clone(&fleet);
        let request = spawn(async move { asking.request("POST", "/order/x", "id").await });
        eventually("request at a worker", || fleet.received_requests() == 1).await;
        daemon::shut_down(&mesh).await;
        assert_eq!(mesh.outstanding(), 0);
        // It may have run.
        assert_eq!(request.await.head.status, 502);
    });
}

#[test]
fn an_older_or_malformed_configuration_is_ignored() {
    run(async {
        let fleet = Fleet::start(1).await;
        let mesh = &fleet.vms[0].mesh;
        fleet
            .store
            .write("op/config", config(9, 1_500).as_bytes(), 0);
        eventually("new configuration version", || mesh.config_version().0 == 9).await;
        fleet
            .store
            .write("op/config", config(8, 1_500).as_bytes(), 0);
        fleet.store.write("op/config", b"{\"Version\":\"r10\"}", 0);
        sleep_ms(200).await;
        assert_eq!(mesh.config_version().0, 9);
        assert_eq!(fleet.request("GET", "/read/x", "id").await.head.status, 200);
        fleet
            .store
            .write("op/config", config(11, 1_500).as_bytes(), 0);
        eventually("next configuration version", || {
            mesh.config_version().0 == 11
        })
        .await;
    });
}

#[test]
fn a_daemon_without_configuration_is_not_ready_and_refuses_requests() {
    run(async {
        let fleet = Fleet::start(1).await;
        *fleet.vms[0].mesh.routes.borrow_mut() = None;
        assert!(!fleet.vms[0].mesh.is_ready());
        let response = fleet.request("POST", "/order/x", "id").await;
        assert_eq!(response.head.status, 503);
        assert_eq!(fleet.received_requests(), 0);
    });
}

#[test]
fn a_departure_applies_to_the_next_daemon_of_the_vm() {
    run(async {
        let fleet = Fleet::start(2).await;
        let (first, second) = (&fleet.vms[0], &fleet.vms[1]);
        let incarnation = WorkerIncarnation {
            id: first.worker.id.clone(),
            started_unix_ms: 1_000,
        };
        first
            .mesh
            .gate
            .borrow_mut()
            .leave(&incarnation.id, Some(1_000), now_us());
        first.mesh.publish();
        first.mesh.registry.wake();
        let key = entry::key("vm-0");
        eventually("entry with the departure", || {
            let items = fleet.store.entry(&key).unwrap_or_default();
            items.contains(r#""departed":[{"#) && items.contains(r#""draining":true"#)
        })
        .await;
        // The next daemon receives delayed reports of the departed worker, before and after it has
        // read the entry.
        let entry = fleet.store.entry(&key).unwrap();
        let mut previous: Entry = serde_json::from_str(&entry).unwrap();
        previous.departed[0].id = second.worker.id.clone();
        assert!(second.mesh.gate.borrow().worker_state().is_some());
        second.mesh.apply_previous_departures(&previous);
        assert!(second.mesh.gate.borrow().worker_state().is_none());
        second.report(false);
        assert!(second.mesh.gate.borrow().worker_state().is_none());
        assert_eq!(second.mesh.gate.borrow().departed().len(), 1);
        let response = fleet.request("GET", "/read/x", "id").await;
        assert_eq!(response.head.status, 503);
    });
}
