//! Announcements of the backend server: what is accepted, and what one means.

use shallotdeal::worker::{
    ANNOUNCE_LAPSE_MS, Announced, Announcement, AnnouncementError, RawAnnouncement, Worker,
};

const LAPSE_US: u64 = ANNOUNCE_LAPSE_MS * 1_000;

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
fn a_faulty_announcement_names_its_field() {
    let fields = [
        ("", "127.0.0.1:1", 1, "a"),
        ("a/b", "127.0.0.1:1", 1, "a"),
        (".shallotdeal", "127.0.0.1:1", 1, "a"),
        ("s", "here:1", 1, "a"),
        ("s", "127.0.0.1:1", 0, "a"),
        ("s", "127.0.0.1:1", 100_001, "a"),
        ("s", "127.0.0.1:1", 1, ""),
    ];
    let faults: Vec<_> = fields
        .iter()
        .map(|(service, address, slots, instance)| {
            let text = format!(
                r#"{{"service":"{service}","address":"{address}","slots":{slots},"instance":"{instance}"}}"#
            );
            announcement(&text).unwrap_err().to_string()
        })
        .collect();
    insta::assert_snapshot!(faults.join("\n"), @r"
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
fn connections_are_never_fewer_than_slots() {
    let text =
        r#"{"service":"s","address":"127.0.0.1:1","slots":20,"connections":5,"instance":"a"}"#;
    assert_eq!(announcement(text).unwrap().connections, 20);
}

#[test]
fn a_place_is_held_until_its_server_falls_silent_or_comes_back() {
    let worker = Worker {
        announcement: at("127.0.0.1:1", "first"),
        incarnation: shallotdeal::request::Incarnation(1),
        seen_us: 5,
    };
    let judge =
        |announcement: &Announcement, now_us| Worker::judge(Some(&worker), announcement, now_us);
    let (same, back) = (at("127.0.0.1:1", "first"), at("127.0.0.1:1", "second"));
    let other = at("127.0.0.1:2", "third");
    assert_eq!(Worker::judge(None, &same, 5), Announced::New);
    assert_eq!(judge(&same, 5), Announced::Known);
    assert_eq!(judge(&back, 5), Announced::New);
    assert_eq!(judge(&other, 5 + LAPSE_US), Announced::Occupied);
    assert_eq!(judge(&other, 6 + LAPSE_US), Announced::New);
}
