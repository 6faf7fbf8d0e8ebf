//! Settings files: accepted files, and reported errors.

use shallotdeal::{
    place::DataCentre,
    settings::{PolicyKind, Settings, StoreKind},
};

const INVALID_SETTINGS: &str = "\
[daemon]
name = pantry 1
region = ost
listen-callers = 127.0.0.1:7000
listen-calls = 127.0.0.1:7000
listen-gossip = 127.0.0.1
listen-operators = 127.0.0.1:7003
listen-worker = 127.0.0.1:7004
listen-wrokers = 127.0.0.1:7005
seeds = 127.0.0.1:1, 127.0.0.1:1, here
[store]
kind = disk
[limits]
max-body-bytes = 1MB
[operators]
token =
[surplus]
key = value
";

#[test]
fn every_error_is_reported_with_its_position() {
    let errors = Settings::try_from(INVALID_SETTINGS).unwrap_err();
    insta::assert_snapshot!(errors, @r"
    line 1: [daemon] data-centre: missing
    line 2: [daemon] name: expected letters, digits, '-', '_' or '.', found 'pantry 1'
    line 5: [daemon] listen-calls: 127.0.0.1:7000 is already the address of listen-callers
    line 6: [daemon] listen-gossip: expected IP:PORT, found '127.0.0.1'
    line 9: [daemon] listen-wrokers: unknown key; expected one of name, region, data-centre, listen-callers, listen-calls, listen-gossip, listen-operators, listen-worker, advertise-calls, advertise-gossip, seeds
    line 10: [daemon] seeds: 127.0.0.1:1 is listed twice
    line 10: [daemon] seeds: expected IP:PORT, found 'here'
    line 12: [store] kind: expected memory or http, found disk
    line 14: [limits] max-body-bytes: expected a whole number from 0 to 1073741824, found '1MB'
    line 16: [operators] token: expected a text that is not empty
    line 18: [surplus] key: unknown section
    ");
}

#[test]
fn example_files_are_accepted() {
    let langar = Settings::try_from(include_str!("../examples/langar-pantry-1.ini")).unwrap();
    assert_eq!(langar.place.data_centre, DataCentre("wien".into()));
    assert_eq!(langar.seeds.len(), 3);
    assert_eq!(langar.policy, PolicyKind::Full);
    assert!(matches!(langar.store, StoreKind::Http(_)));
    Settings::try_from(include_str!("../examples/nairobi-gates-1.ini")).unwrap();
    let standalone = Settings::try_from(include_str!("../examples/standalone.ini")).unwrap();
    assert_eq!(standalone.store, StoreKind::Memory);
}

#[test]
fn the_token_is_never_printed() {
    let settings = Settings::try_from(include_str!("../examples/langar-pantry-1.ini")).unwrap();
    let token = settings.token.clone().unwrap();
    assert!(token.matches("change-me"));
    assert!(!token.matches("change-m"));
    assert!(!token.matches("change-me\0"));
    assert!(!format!("{settings:?}").contains("change-me"));
}
