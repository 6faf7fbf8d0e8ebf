//! Timeline of a request from the logs of several daemons.

use shallotdeal::explain::Timeline;

const ONE: &str = r#"{"timestamp":"2026-01-01T00:00:02.5Z","level":"INFO","message":"answered","attempt":"a1","status":500,"vm":"vm-2"}
{"timestamp":"2026-01-01T00:00:01.0Z","level":"INFO","message":"load","in_flight":3}
{"timestamp":"2026-01-01T00:00:02.0Z","level":"INFO","message":"answered","attempt":"a12","status":200}
{"timestamp":"2026-01-01T00:00:02.1Z","level":"INFO","mess a1"#;

const OTHER: &str = r#"  1.25 vm-2 {"timestamp":"2026-01-01T00:00:02.2Z","level":"INFO","message":"refused","attempt":"a1.7","refusal":"not-run: overload"}
  1.20 vm-3 {"timestamp":"2026-01-01T00:00:02.1Z","level":"INFO","message":"refused by the gate","attempt":"a1.7","queued":40}"#;

#[test]
fn lines_of_the_request_and_its_calls_are_sorted_by_time() {
    let timeline = Timeline::collect("a1", [("one.log", ONE), ("other.log", OTHER)]).unwrap();
    let events: Vec<_> = timeline
        .events()
        .iter()
        .map(|event| {
            (
                event.source.as_str(),
                event.attempt.as_str(),
                event.message.as_str(),
            )
        })
        .collect();
    assert_eq!(
        events,
        [
            ("vm-3", "a1.7", "refused by the gate"),
            ("vm-2", "a1.7", "refused"),
            ("one.log", "a1", "answered"),
        ]
    );
    let text = timeline.to_string();
    assert!(text.contains("queued=40"), "{text}");
    assert!(text.ends_with("1 lines could not be read\n"), "{text}");
}

#[test]
fn a_request_without_log_lines_is_an_error() {
    let error = Timeline::collect("b", [("one.log", ONE)]).unwrap_err();
    assert_eq!(error.to_string(), "no log line found for request b");
}
