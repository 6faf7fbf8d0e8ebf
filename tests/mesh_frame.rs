//! Frames between daemons of different builds.

use {
    shallotdeal::{
        mesh::{
            conn::{self, Conn},
            frame::{self, Call, CallNumber, CallResult, Frame, Message},
            runtime,
        },
        request::{Importance, Incarnation, Outcome, Reason},
    },
    std::net::SocketAddr,
};

/// Frames as written by each earlier build: a name and the bytes in hexadecimal digits.
const RECORDED: &[(&str, &str)] = &[("c7976c0", include_str!("frames/c7976c0.txt"))];

/// Length of the prefix with the lengths of the message and of the payload.
const PREFIX_BYTES: usize = 8;

fn recorded(build: &str) -> Vec<(String, Vec<u8>)> {
    let (_, text) = RECORDED.iter().find(|(name, _)| *name == build).unwrap();
    let lines = text.lines().map(|line| {
        let (name, digits) = line.split_once(' ').unwrap();
        let bytes = (0..digits.len()).step_by(2);
        let bytes = bytes.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap());
        (name.to_owned(), bytes.collect())
    });
    lines.collect()
}

/// Reads frames from a connection on which these bytes arrive.
fn read(bytes: &[u8], count: usize) -> Vec<Frame> {
    runtime::block_on(async {
        let listener = conn::listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let sender = Conn::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let mut receiver = Conn::new(stream).unwrap();
        sender.write_all(bytes).await.unwrap();
        let mut frames = Vec::new();
        for _ in 0..count {
            frames.push(frame::read(&mut receiver).await.unwrap());
        }
        frames
    })
}

fn call() -> Call {
    Call {
        attempt_id: "c4752c620efebf6f.f91949ea32fde248".into(),
        route: "r-47qgmam".into(),
        service: "shop".into(),
        worker: Incarnation(0x1234_5678_9abc_def0),
        caller_service: "desk".into(),
        importance: Importance(3),
        root_importance: Importance(1),
        bucket: 200,
        depth: 1,
        idempotent: true,
        exclusive: false,
        fingerprint: 0xfeed_beef,
        remaining_us: 1_234_567,
        head_bytes: 17,
    }
}

#[test]
fn frames_of_earlier_builds_are_read() {
    for (build, _) in RECORDED {
        let frames = recorded(build);
        let bytes: Vec<u8> = frames.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
        let read = read(&bytes, frames.len());
        for ((name, _), frame) in frames.iter().zip(read) {
            assert!(!frame.extensions.organisation_checked, "{name}");
            check(name, &frame);
        }
    }
}

fn check(name: &str, frame: &Frame) {
    let payload = String::from_utf8(frame.payload.clone()).unwrap();
    match (name, &frame.message) {
        ("call", Message::Call(number, read)) => {
            assert_eq!(*number, CallNumber(300));
            assert_eq!(format!("{read:?}"), format!("{:?}", call()));
            assert_eq!(payload, "GET /a HTTP/1.1\r\nbody");
        }
        ("answer", Message::Reply(number, reply)) => {
            assert_eq!(*number, CallNumber(300));
            let CallResult::Answer {
                status, not_run, ..
            } = reply.result
            else {
                panic!("{reply:?}");
            };
            assert!(status == 503 && not_run && reply.was_sent && reply.made_calls);
            assert_eq!(reply.most_loaded.as_ref().unwrap().calls, 4);
            assert_eq!(reply.load.failed_permille, 9);
        }
        ("refusal", Message::Reply(_, reply)) => {
            let CallResult::Refused(refusal) = reply.result else {
                panic!("{reply:?}");
            };
            assert_eq!(refusal.outcome, Outcome::NotRun);
            assert_eq!(refusal.reason, Reason::WorkerFull);
            assert_eq!(refusal.retry_after_ms, Some(250));
        }
        ("cancel", Message::Cancel(CallNumber(301)))
        | ("ping", Message::Ping(12))
        | ("pong", Message::Pong(13))
        | ("config-wanted", Message::ConfigWanted) => {}
        ("config", Message::Config) => assert_eq!(payload, "{}"),
        ("crashes", Message::Crashes(crashes)) => assert_eq!(crashes[0].fingerprint.0, 77),
        other => panic!("{other:?}"),
    }
}

/// Build c7976c0 decodes a message with `postcard::from_bytes` and ignores what follows it.
#[test]
fn earlier_builds_read_the_frames_of_this_one() {
    let mut written = Vec::new();
    frame::write(
        &mut written,
        &Message::Call(CallNumber(300), call()),
        &[b"x"],
    );
    let message_bytes = u32::from_le_bytes(written[..4].try_into().unwrap()) as usize;
    let message = &written[PREFIX_BYTES..PREFIX_BYTES + message_bytes];
    let decoded: Message = postcard::from_bytes(message).unwrap();
    let Message::Call(CallNumber(300), decoded) = decoded else {
        panic!("{decoded:?}");
    };
    assert_eq!(format!("{decoded:?}"), format!("{:?}", call()));
    let (_, recorded) = &recorded("c7976c0")[0];
    let old = &recorded[PREFIX_BYTES..recorded.len() - b"GET /a HTTP/1.1\r\nbody".len()];
    assert!(message.starts_with(old), "the fixed part has changed");
}

#[test]
fn a_frame_of_this_build_tells_that_the_organisation_is_checked() {
    let mut bytes = Vec::new();
    frame::write(&mut bytes, &Message::Call(CallNumber(1), call()), &[b"x"]);
    frame::write(&mut bytes, &Message::Cancel(CallNumber(1)), &[]);
    let frames = read(&bytes, 2);
    assert!(frames[0].extensions.organisation_checked);
    assert!(!frames[1].extensions.organisation_checked);
}

/// Appends bytes to the message of a frame without payload.
fn extend(frame: &[u8], bytes: &[u8]) -> Vec<u8> {
    let mut extended = [frame, bytes].concat();
    let length = (extended.len() - PREFIX_BYTES) as u32;
    extended[..4].copy_from_slice(&length.to_le_bytes());
    extended
}

#[test]
fn extensions_and_messages_of_later_builds_are_skipped() {
    let mut ping = Vec::new();
    frame::write(&mut ping, &Message::Ping(5), &[]);
    let mut bytes = extend(&ping, &[99, 3, 1, 2, 3, 200, 1, 0]);
    let unknown = [&2_u32.to_le_bytes()[..], &0_u32.to_le_bytes(), &[42, 7]].concat();
    bytes.extend(unknown);
    bytes.extend(&ping);
    let frames = read(&bytes, 2);
    assert!(matches!(frames[0].message, Message::Ping(5)));
    assert!(matches!(frames[1].message, Message::Ping(5)));
}
