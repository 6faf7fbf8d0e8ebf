//! Unusual and malformed documents of the configuration and reports of workers.

use {
    crate::harness::{Client, Fleet, config, eventually, run},
    serde_json::{Value, json},
    shallotdeal::mesh::{
        conn::Conn,
        entry, http,
        runtime::{sleep_ms, within},
    },
};

/// Levels of a deeply nested value, enough to overflow the stack of a recursive decoder.
const NESTED_LEVELS: usize = 200_000;

/// Levels in a report, whose length is limited.
const NESTED_REPORT_LEVELS: usize = 10_000;

/// Time in which probes find out whether a member is alive.
const PROBES_MS: u64 = 5_000;

/// Wait for an answer under an unusual configuration.
const ODD_ANSWER_MS: u64 = 100;

/// Wait for an unusual configuration to come into force.
const ODD_CONFIG_MS: u64 = 60;

/// Unusual values for a number.
fn numbers() -> [Value; 7] {
    [
        json!(0),
        json!(-1),
        json!(0.5),
        json!(1e308),
        json!(u32::MAX),
        json!(i64::MAX),
        json!(u64::MAX),
    ]
}

/// Pointers to all numbers in a document.
fn pointers(value: &Value, at: &str) -> Vec<String> {
    match value {
        Value::Number(_) => vec![at.to_owned()],
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items
                .flat_map(|(index, item)| pointers(item, &format!("{at}/{index}")))
                .collect()
        }
        Value::Object(fields) => {
            let fields = fields.iter();
            fields
                .flat_map(|(name, field)| pointers(field, &format!("{at}/{name}")))
                .collect()
        }
        _ => Vec::new(),
    }
}

/// Copies of a document in which the number at this place is replaced by an unusual value.
fn variants(document: &Value, pointer: &str) -> impl Iterator<Item = (String, Value)> {
    numbers().into_iter().map(move |number| {
        let mut variant = document.clone();
        let name = format!("{pointer} = {number}");
        *variant.pointer_mut(pointer).unwrap() = number;
        (name, variant)
    })
}

/// Texts that neither a configuration nor a report nor an entry can be decoded from.
fn unreadable(levels: usize) -> Vec<(String, Vec<u8>)> {
    let nested = |open: &str, close: &str| {
        open.repeat(levels)
            .into_bytes()
            .into_iter()
            .chain(close.repeat(levels).into_bytes())
            .collect::<Vec<u8>>()
    };
    vec![
        ("empty".into(), Vec::new()),
        ("no UTF-8".into(), vec![0xff, 0xfe, b'{']),
        ("number".into(), b"1e999".to_vec()),
        ("deep array".into(), nested("[", "]")),
        ("deep object".into(), nested(r#"{"a":"#, "}")),
        ("unfinished".into(), b"{\"Version\":".to_vec()),
    ]
}

/// Configuration with all kinds of numbers, as a value.
fn document(version: u64) -> Value {
    let mut document: Value = serde_json::from_str(&config(version, 1_500)).unwrap();
    document["Tenants"] = json!([
        {"Name": "a", "ApiKeys": ["key"], "Priority": 0, "RatePerS": 10, "Burst": 20},
    ]);
    document["VirtualHosts"][0]["Paths"][0]["Public"] = json!(true);
    let route = &mut document["VirtualHosts"][0]["Paths"][1];
    route["Service"] = json!(null);
    route["TrafficSplit"] = json!([
        {"Service": "shop", "Weight": 1}, {"Service": "shop", "Weight": u32::MAX},
    ]);
    document
}

async fn follows_after(fleet: &Fleet, name: &str, odd: &[u8], version: u64) {
    let vm = &fleet.vms[0];
    fleet.store.write("op/config", odd, 0);
    // A refused document never comes into force.
    let before = vm.mesh.config_version();
    let changed = async {
        while vm.mesh.config_version() == before {
            sleep_ms(5).await;
        }
    };
    let _ = within(ODD_CONFIG_MS, changed).await;
    let fields = "Authorization: Token key\r\n";
    for (path, id) in [("/read/x", "a"), ("/order/x", "b")] {
        let mut client = Client::connect(vm).await;
        client.send("GET", path, id, fields, b"").await;
        // The limits of the configuration may forbid the request.
        let _ = within(ODD_ANSWER_MS, client.receive()).await;
    }
    fleet
        .store
        .write("op/config", document(version).to_string().as_bytes(), 0);
    eventually(name, || vm.mesh.config_version().0 == version).await;
    let response = fleet.request("GET", "/read/x", "id").await;
    assert_eq!(response.head.status, 200, "{name}");
}

#[test]
fn a_daemon_follows_the_configuration_after_an_unreadable_document() {
    run(async {
        let fleet = Fleet::start(1).await;
        for (index, (name, odd)) in unreadable(NESTED_LEVELS).into_iter().enumerate() {
            follows_after(&fleet, &name, &odd, 10 + index as u64).await;
        }
        let mut nested = document(100).to_string();
        let deep = format!(r#","Deep":{}"#, "[".repeat(NESTED_LEVELS));
        nested.insert_str(nested.len() - 1, &(deep + &"]".repeat(NESTED_LEVELS)));
        follows_after(&fleet, "deep field", nested.as_bytes(), 101).await;
    });
}

#[test]
fn a_daemon_follows_the_configuration_after_one_with_an_unusual_number() {
    for pointer in pointers(&document(0), "") {
        run(async {
            let fleet = Fleet::start(1).await;
            for (index, (name, mut odd)) in variants(&document(0), &pointer).enumerate() {
                let version = 10 + 2 * index as u64;
                odd["Version"] = json!(format!("r{version}"));
                follows_after(&fleet, &name, odd.to_string().as_bytes(), version + 1).await;
            }
        });
    }
}

#[test]
fn a_long_timeout_of_a_route_is_bounded_by_the_time_of_the_client() {
    run(async {
        let fleet = Fleet::start(1).await;
        for (version, timeout_ms) in [(2, u64::from(u32::MAX)), (3, u64::MAX)] {
            let document = config(version, timeout_ms);
            fleet.store.write("op/config", document.as_bytes(), 0);
            eventually("configuration", || {
                fleet.vms[0].mesh.config_version().0 == version
            })
            .await;
            for remaining in ["5000", "18446744073709551615", "18446744073709551616", "-1"] {
                let request = format!(
                    "GET /read/x HTTP/1.1\r\nHost: h\r\nX-Shallotdeal-Attempt-Id: id\r\n\
                     X-Shallotdeal-Deadline-Remaining: {remaining}\r\n\r\n"
                );
                let mut client = Client::connect(&fleet.vms[0]).await;
                client.conn.write_all(request.as_bytes()).await.unwrap();
                let response = client.receive().await.expect(remaining);
                assert_eq!(response.head.status, 200, "{timeout_ms}, {remaining}");
            }
        }
    });
}

#[test]
fn a_daemon_serves_after_unusual_and_unreadable_reports() {
    run(async {
        let fleet = Fleet::start(1).await;
        let vm = &fleet.vms[0];
        let report = |sequence: u64| {
            json!({
                "Service": "shop", "Address": vm.worker.addr, "Zone": "d", "Version": "v1",
                "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Sequence": sequence,
                "born": 1_000,
            })
        };
        let mut bodies: Vec<(String, Vec<u8>)> = unreadable(NESTED_REPORT_LEVELS);
        let usual = report(2);
        for pointer in pointers(&usual, "") {
            let variants = variants(&usual, &pointer);
            bodies.extend(variants.map(|(name, variant)| (name, variant.to_string().into_bytes())));
        }
        for addr in [
            "127.0.0.1:65536",
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "127.0.0.1",
            "x:1",
            "",
        ] {
            let mut variant = report(2);
            variant["Address"] = json!(addr);
            bodies.push((addr.into(), variant.to_string().into_bytes()));
        }
        for (name, body) in bodies {
            let mut conn = Conn::connect(vm.mesh.settings.control_addr).await.unwrap();
            let id = format!("w-{}", name.len());
            let head = format!(
                "POST /shallotdeal/Instances.Heartbeat/{id} HTTP/1.1\r\nHost: h\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            conn.write_all(&[head.as_bytes(), &body].concat())
                .await
                .unwrap();
            let answer = http::read_answer(&mut conn, 65_536, false).await;
            assert!(
                answer.is_ok_and(|head| [200, 400].contains(&head.status)),
                "{name}"
            );
            fleet.request("GET", "/read/x", "id").await;
        }
    });
}

#[test]
fn a_daemon_starts_and_follows_the_configuration_beside_unusual_entries() {
    run(async {
        let mut fleet = Fleet::start(2).await;
        let key = entry::key("vm-1");
        eventually("entry", || fleet.store.entry(&key).is_some()).await;
        let usual: Value = serde_json::from_str(&fleet.store.entry(&key).unwrap()).unwrap();
        let mut odd: Vec<Vec<u8>> = Vec::new();
        odd.extend(unreadable(NESTED_LEVELS).into_iter().map(|(_, text)| text));
        for pointer in pointers(&usual, "") {
            let variants = variants(&usual, &pointer);
            odd.extend(variants.map(|(_, variant)| variant.to_string().into_bytes()));
        }
        for port in ["0", "65536", "-1", "99999999999999999999", ""] {
            let addr = fleet.vms[1].mesh.settings.calls_addr.to_string();
            let odd_addr = format!("127.0.0.1:{port}");
            odd.push(usual.to_string().replace(&addr, &odd_addr).into_bytes());
        }
        let mut nested = usual.to_string();
        let deep = "[".repeat(NESTED_LEVELS) + &"]".repeat(NESTED_LEVELS);
        nested.insert_str(nested.len() - 1, &format!(r#","deep":{deep}"#));
        odd.push(nested.into_bytes());
        // Before and after all usual entries, and in place of that of the daemon itself.
        for (index, value) in odd.iter().enumerate() {
            let position = ["0", "f"][index % 2];
            let key = format!("{}{}-odd-{index}", entry::PREFIX, position.repeat(16));
            fleet.store.write(&key, value, 0);
        }
        let own = usual.to_string().replace("vm-1", "vm-0");
        fleet.store.write(&entry::key("vm-0"), own.as_bytes(), 0);
        fleet.restart(0);
        fleet.vms[0].report(false);
        fleet.write_config(7);
        eventually("readiness and configuration", || {
            let mesh = &fleet.vms[0].mesh;
            mesh.is_ready() && mesh.config_version().0 == 7
        })
        .await;
        let response = fleet.request("GET", "/read/x", "id").await;
        assert_eq!(response.head.status, 200);
        assert!(fleet.vms[0].mesh.metrics.get("store.bad_entry") > 0);
        // The other daemon is still reached, after the probes of the malformed members have failed.
        sleep_ms(PROBES_MS).await;
        fleet.vms[0].report(true);
        for number in 0..20 {
            let id = format!("other-{number}");
            let response = fleet.request("GET", "/read/x", &id).await;
            assert_eq!(response.head.status, 200, "{id}");
        }
    });
}
