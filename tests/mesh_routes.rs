//! Routes of a configuration, and decoding of the platform's documents and reports.

use {
    shallotdeal::{
        mesh::{
            organisations::{AuthenticationError, Credential, Organisations},
            protocol::{ControlRequest, Protocol},
            routes::{ClientLimits, ConfigVersion, Route, RouteTable, Share, WeightedRoundRobin},
        },
        platform::WireProtocol,
        request::Importance,
    },
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

const DOCUMENT: &str = r#"{"Version":"r12","Services":[{"Name":"a","HealthPath":"/h"},{"Name":"b"}],
"Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,"IdleTimeoutMs":400},
"VirtualHosts":[{"Host":"One.example","Paths":[
{"Name":"r1","Prefix":"/x/","Kind":"idempotent","TimeoutMs":800,"TargetLatencyMs":500,"Priority":2,"Service":"a","MaxAttempts":2},
{"Name":"r2","Prefix":"/x/y/","Kind":"non_idempotent","TimeoutMs":900,"TargetLatencyMs":500,
"TrafficSplit":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}],"MaxAttempts":1}]}]}"#;

fn decode(document: &str) -> Result<RouteTable, String> {
    WireProtocol
        .decode_config(document.as_bytes())
        .map_err(|error| error.to_string())
}

fn route(prefix: &str, weights: &[u32]) -> Route {
    let shares = weights.iter().enumerate().map(|(index, &weight)| Share {
        service: SmolStr::from(format!("s{index}")),
        weight,
    });
    Route {
        name: "route".into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout_ms: 1_000,
        target_latency_ms: 500,
        importance: Importance(0),
        max_attempts: 2,
        is_public: false,
        shares: shares.collect(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = decode(DOCUMENT).unwrap();
    assert_eq!(table.version, ConfigVersion(12));
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("one.example", "/x/1"), Some("r1".into()));
    assert_eq!(name("ONE.example:80", "/x/y/1"), Some("r2".into()));
    assert_eq!(name("one.example", "/x"), None);
    assert_eq!(name("two.example", "/x/1"), None);
}

#[test]
fn a_document_is_decoded_into_validated_routes() {
    let table = decode(DOCUMENT).unwrap();
    let route = table.find("one.example", "/x/y/").unwrap();
    assert!(!route.idempotent);
    assert_eq!(route.importance, Importance(0));
    assert_eq!(route.shares.len(), 2);
    assert_eq!(table.limits.idle_timeout_ms, 400);
}

#[test]
fn malformed_documents_are_rejected() {
    for (from, to) in [
        ("\"r12\"", "\"12\""),
        ("\"idempotent\"", "\"sometimes\""),
        ("\"/x/\"", "\"/x\""),
        ("\"TimeoutMs\":800,", ""),
        ("\"TimeoutMs\":800", "\"TimeoutMs\":0"),
        ("\"Service\":\"a\"", "\"Service\":\"c\""),
        ("\"MaxAttempts\":2", "\"MaxAttempts\":0"),
        ("\"MaxAttempts\":1}]}]}", ""),
    ] {
        let document = DOCUMENT.replacen(from, to, 1);
        assert_ne!(document, DOCUMENT);
        assert!(decode(&document).is_err(), "{from} -> {to}");
    }
}

#[test]
fn every_window_of_requests_is_split_by_weight() {
    let mut round_robin = WeightedRoundRobin::default();
    let route = route("/", &[90, 9, 1]);
    let services: Vec<_> = (0..1_000)
        .map(|_| round_robin.next_service(&route))
        .collect();
    for window in services.windows(100) {
        let mut counts = BTreeMap::new();
        for service in window {
            *counts.entry(service.as_str()).or_insert(0_i32) += 1;
        }
        assert!((counts["s0"] - 90).abs() <= 1, "{counts:?}");
        assert!((counts["s1"] - 9).abs() <= 1, "{counts:?}");
    }
}

#[test]
fn a_route_whose_weights_add_up_to_zero_is_rejected() {
    let routes = [("host".into(), route("/", &[0]))];
    assert!(
        RouteTable::new(
            ConfigVersion(1),
            ClientLimits::default(),
            Organisations::default(),
            routes
        )
        .is_err()
    );
}

/// Document with organisations.
const ORGANISATIONS: &str = r#"{"Version":"r12","Services":[{"Name":"a"}],
"Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,"IdleTimeoutMs":400},
"Tenants":[{"Name":"one","ApiKeys":["key1","key2"],"Priority":1,"RatePerS":20,"Burst":30.5},
{"Name":"two","ApiKeys":["key3"],"Priority":0}],
"VirtualHosts":[{"Host":"h","Paths":[
{"Name":"r1","Prefix":"/x/","Kind":"idempotent","TimeoutMs":800,"TargetLatencyMs":500,"Priority":2,"Service":"a","MaxAttempts":2},
{"Name":"r2","Prefix":"/y/","Kind":"idempotent","TimeoutMs":900,"TargetLatencyMs":500,"Service":"a","MaxAttempts":1,"Public":true}]}]}"#;

#[test]
fn organisations_are_found_by_their_keys() {
    let table = decode(ORGANISATIONS).unwrap();
    let known = &table.organisations;
    let name = |credential, is_public| {
        let key = known.authenticate(credential, is_public)?;
        Ok(key.map(|key| known.get(key).name.to_string()))
    };
    assert_eq!(name(Credential::Key("key2"), false), Ok(Some("one".into())));
    assert_eq!(name(Credential::Key("key3"), true), Ok(Some("two".into())));
    assert_eq!(name(Credential::Key("key"), true), Ok(None));
    assert_eq!(name(Credential::Missing, true), Ok(None));
    let refused = [
        (Credential::Key("key"), AuthenticationError::Unknown),
        (Credential::Missing, AuthenticationError::Missing),
        (Credential::Malformed, AuthenticationError::Malformed),
    ];
    for (credential, error) in refused {
        assert_eq!(name(credential, false), Err(error));
    }
    let quotas: Vec<_> = known.iter().map(|known| known.quota).collect();
    let quota = quotas[0].unwrap();
    assert_eq!((quota.rate_per_s, quota.burst), (20.0, 30.5));
    assert_eq!(quotas[1], None);
}

#[test]
fn without_organisations_no_key_is_needed() {
    let known = decode(DOCUMENT).unwrap().organisations;
    for credential in [
        Credential::Missing,
        Credential::Key("any"),
        Credential::Malformed,
    ] {
        assert_eq!(known.authenticate(credential, false), Ok(None));
    }
}

#[test]
fn malformed_organisations_are_rejected() {
    for (from, to) in [
        (r#""key3""#, r#""key1""#),
        (r#""key3""#, r#""""#),
        (r#""key3""#, r#""ke y""#),
        (r#""key3""#, r#""k\u00e9y""#),
        (r#""two""#, r#""one""#),
        (r#""two""#, r#""""#),
        (r#""two""#, r#""tw\r\no""#),
        (r#""Priority":1"#, r#""Priority":256"#),
        (r#""Priority":1"#, r#""Priority":-1"#),
        (r#""RatePerS":20"#, r#""RatePerS":-20"#),
        (r#""Burst":30.5"#, r#""Burst":"30""#),
    ] {
        let document = ORGANISATIONS.replacen(from, to, 1);
        assert_ne!(document, ORGANISATIONS);
        assert!(decode(&document).is_err(), "{from} -> {to}");
    }
}

#[test]
fn errors_about_organisations_name_no_key() {
    let document = ORGANISATIONS.replacen(r#""key3""#, r#""key1""#, 1);
    let error = decode(&document).unwrap_err();
    assert!(error.contains("two") && error.contains("one"), "{error}");
    assert!(!error.contains("key1"), "{error}");
    let table = format!("{:?}", decode(ORGANISATIONS).unwrap());
    assert!(!table.contains("key1"), "{table}");
}

/// Load pattern: two organisations of different importance send requests of all classes.
#[test]
fn the_importance_of_the_organisation_precedes_that_of_the_route() {
    let table = decode(ORGANISATIONS).unwrap();
    let find = |key| {
        let found = table
            .organisations
            .authenticate(Credential::Key(key), false);
        found.unwrap()
    };
    let (less, more) = (find("key1"), find("key3"));
    let read = table.find("h", "/x/").unwrap();
    let open = table.find("h", "/y/").unwrap();
    let mut ordered = [(open, more), (read, more), (open, less), (read, less)]
        .map(|(route, organisation)| table.importance(route, organisation));
    let expected = ordered;
    ordered.sort_unstable();
    assert_eq!(ordered, expected);
    assert!(
        ordered.windows(2).all(|pair| pair[0] < pair[1]),
        "{ordered:?}"
    );
    let indexes = ordered.map(|importance| table.route_importance_index(importance));
    assert_eq!(indexes, [0, 1, 0, 1]);
}

fn credential_of(fields: &str) -> String {
    let text = format!("GET / HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
    let (head, _) = shallotdeal::mesh::http::parse_request(text.as_bytes())
        .unwrap()
        .unwrap();
    match WireProtocol.credential(&head) {
        Credential::Key(key) => key.into(),
        other => format!("{other:?}"),
    }
}

#[test]
fn a_credential_is_exactly_one_key() {
    for (fields, expected) in [
        ("Authorization: Token abc\r\n", "abc"),
        ("authorization: token abc \r\n", "abc"),
        ("", "Missing"),
        ("Authorization:\r\n", "Malformed"),
        ("Authorization: abc\r\n", "Malformed"),
        ("Authorization: Bearer abc\r\n", "Malformed"),
        (
            "Authorization: Token abc\r\nAuthorization: Token abc\r\n",
            "Malformed",
        ),
        (
            "Authorization: Token abc\r\nauthorization: Token xyz\r\n",
            "Malformed",
        ),
        (
            "Connection: authorization\r\nAuthorization: Token abc\r\n",
            "Missing",
        ),
    ] {
        assert_eq!(credential_of(fields), expected, "{fields}");
    }
}

fn decode_control(path: &str, body: &str) -> Result<ControlRequest, String> {
    let text = format!("POST {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    let (head, _) = shallotdeal::mesh::http::parse_request(text.as_bytes())
        .unwrap()
        .unwrap();
    WireProtocol
        .decode_control_request(&head, body.as_bytes())
        .map_err(|error| error.to_string())
}

const HEARTBEAT: &str = r#"{"Service":"a","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":140,
"State":"draining","ColdRemainingMs":0.5,"Sequence":4,"born":1700000000000}"#;

#[test]
fn a_workers_report_is_decoded() {
    let call = decode_control("/shallotdeal/Instances.Heartbeat/i-1", HEARTBEAT).unwrap();
    let ControlRequest::Report(report) = call else {
        panic!("{call:?}");
    };
    assert_eq!(report.incarnation.id, "i-1");
    assert_eq!(report.incarnation.started_unix_ms, 1_700_000_000_000);
    assert!(report.is_draining);
    assert_eq!((report.slots, report.sequence), (140, 4));
}

#[test]
fn malformed_reports_are_rejected() {
    for (from, to) in [
        ("\"Slots\":140", "\"Slots\":\"140\""),
        ("\"Slots\":140", "\"Slots\":0"),
        ("\"draining\"", "\"resting\""),
        (",\"born\":1700000000000", ""),
        ("1700000000000", "17.5"),
        ("10.0.0.1:80", "nowhere"),
    ] {
        let body = HEARTBEAT.replacen(from, to, 1);
        assert_ne!(body, HEARTBEAT);
        assert!(
            decode_control("/shallotdeal/Instances.Heartbeat/i-1", &body).is_err(),
            "{to}"
        );
    }
    assert!(decode_control("/shallotdeal/Instances.Heartbeat/", HEARTBEAT).is_err());
}

#[test]
fn a_departure_may_have_no_body() {
    let leave = decode_control("/shallotdeal/Instances.Deregister/i-1", "").unwrap();
    assert_eq!(
        leave,
        ControlRequest::Leave {
            worker_id: "i-1".into(),
            started_unix_ms: None
        }
    );
    let leave = decode_control("/shallotdeal/Instances.Deregister/i-1", "{\"born\":7}").unwrap();
    assert_eq!(
        leave,
        ControlRequest::Leave {
            worker_id: "i-1".into(),
            started_unix_ms: Some(7)
        }
    );
}
