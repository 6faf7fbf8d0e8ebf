//! Announcements of the backend server: validation and classification.

use shallotdeal::worker::{
    ANNOUNCEMENT_TIMEOUT_MS, Announcement, AnnouncementError, AnnouncementKind, RawAnnouncement,
    Worker,
};

const TIMEOUT_US: u64 = ANNOUNCEMENT_TIMEOUT_MS * 1_000;

fn announcement(text: &str) -> Result<Announcement, AnnouncementError> {
    let raw: RawAnnouncement = serde_json::from_str(text).unwrap();
    Announcement::try_from(raw)
}

fn at(address: &str, instance: &str) -> Announcement {
    let text = format!(
        r#"{{"service":"pantry-ledger","address":"{address}","slots":20,"instance":"{instance}"}}"#
    );
    announcement(&text).unwrap()
}

#[test]
fn the_error_of_an_invalid_announcement_names_the_field() {
    let fields = [
        ("", "127.0.0.1:1", 1, "a"),
        ("a/b", "127.0.0.1:1", 1, "a"),
        (".shallotdeal", "127.0.0.1:1", 1, "a"),
        ("s", "here:1", 1, "a"),
        ("s", "127.0.0.1:1", 0, "a"),
        ("s", "127.0.0.1:1", 100_001, "a"),
        ("s", "127.0.0.1:1", 1, ""),
    ];
    let errors: Vec<_> = fields
        .iter()
        .map(|(service, address, slots, instance)| {
            let text = format!(
                r#"{{"service":"{service}","address":"{address}","slots":{slots},"instance":"{instance}"}}"#
            );
            announcement(&text).unwrap_err().to_string()
        })
        .collect();
    insta::assert_snapshot!(errors.join("\n"), @r"
    service: expected a name without '/', found ''
    service: expected a name without '/', found 'a/b'
    service: expected a name without '/', found '.shallotdeal'
    address: expected IP:PORT, found 'here:1'
    slots: expected 1 to 100000, found 0
    slots: expected 1 to 100000, found 100001
    instance: expected a text that is new with each start of the server
    ");
}

#[test]
fn connections_are_at_least_as_many_as_slots() {
    let text =
        r#"{"service":"s","address":"127.0.0.1:1","slots":20,"connections":5,"instance":"a"}"#;
    assert_eq!(announcement(text).unwrap().connections, 20);
}

#[test]
fn a_server_stays_registered_until_it_times_out_or_restarts() {
    let worker = Worker {
        announcement: at("127.0.0.1:1", "first"),
        incarnation: shallotdeal::request::Incarnation(1),
        seen_us: 5,
    };
    let classify =
        |announcement: &Announcement, now_us| Worker::classify(Some(&worker), announcement, now_us);
    let (same, restarted) = (at("127.0.0.1:1", "first"), at("127.0.0.1:1", "second"));
    let other = at("127.0.0.1:2", "third");
    assert_eq!(
        Worker::classify(None, &same, 5),
        AnnouncementKind::NewIncarnation
    );
    assert_eq!(classify(&same, 5), AnnouncementKind::Renewal);
    assert_eq!(classify(&restarted, 5), AnnouncementKind::NewIncarnation);
    assert_eq!(classify(&other, 5 + TIMEOUT_US), AnnouncementKind::Conflict);
    assert_eq!(
        classify(&other, 6 + TIMEOUT_US),
        AnnouncementKind::NewIncarnation
    );
}
