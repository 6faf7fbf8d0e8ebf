//! Log of a platform daemon: the rate of each kind of line is limited, and logging never blocks.

mod writers;

use {
    shallotdeal::logs::{STATE, mesh_log},
    std::{sync::mpsc, thread, time::Duration},
    writers::{SharedBuffer, StalledThen, StalledWriter},
};

#[test]
fn many_lines_of_one_kind_do_not_displace_lines_of_another() {
    let output = SharedBuffer::default();
    let (log, subscriber) = mesh_log(tracing::Level::INFO, output.clone());
    tracing::subscriber::with_default(subscriber, || {
        for number in 0..5_000 {
            tracing::info!(number, "served");
        }
        for number in 0..50 {
            tracing::info!(number, "refused");
        }
        tracing::debug!("below the level");
        log.dropped_lines.report();
        log.dropped_lines.report();
    });
    drop(log);
    let text = output.text();
    let count = |message: &str| {
        let message = format!(r#""message":"{message}""#);
        text.lines().filter(|line| line.contains(&message)).count()
    };
    // The 5,000 lines may fall into two windows of a second each.
    let served = count("served");
    assert!((600..=1_200).contains(&served), "{served}");
    assert_eq!(count("refused"), 50);
    assert_eq!(count("below the level"), 0);
    assert_eq!(count("log lines left out"), 1);
    let omitted = format!("={}\"", 5_000 - served);
    assert!(text.contains(&omitted), "{omitted}");
}

#[test]
fn a_stalled_reader_does_not_block_logging() {
    let (release, stalled) = mpsc::channel();
    let (log, subscriber) = mesh_log(tracing::Level::INFO, StalledWriter(stalled));
    tracing::subscriber::with_default(subscriber, || {
        log_more_than_is_buffered();
        assert!(
            log.dropped_lines.unwritten() >= 3_000,
            "{}",
            log.dropped_lines.unwritten()
        );
    });
    drop(release);
}

/// Logs far more lines than are buffered for a reader that has stopped. Does not end if logging blocks.
fn log_more_than_is_buffered() {
    macro_rules! lines {
        ($($kind:literal)*) => {$(
            for number in 0..600 {
                tracing::info!(number, $kind);
            }
        )*};
    }
    lines!("a" "b" "c" "d" "e" "f" "g" "h" "i" "j" "k" "l" "m" "n" "o" "p" "q" "r" "s" "t");
}

// Guards against a log without the line of a configuration that has come into force, so that its reader
// sees a lag that did not happen.
#[test]
fn lines_about_state_are_kept_when_lines_of_requests_are_dropped() {
    let output = SharedBuffer::default();
    let (release, stalled) = mpsc::channel();
    let writer = StalledThen(StalledWriter(stalled), output.clone());
    let (log, subscriber) = mesh_log(tracing::Level::INFO, writer);
    tracing::subscriber::with_default(subscriber, || {
        log_more_than_is_buffered();
        tracing::info!(target: STATE, version = 7, "configuration in force");
    });
    drop(release);
    let is_kept = || output.text().contains("configuration in force");
    for _ in 0..1_000 {
        if is_kept() {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    assert!(is_kept(), "{} bytes", output.text().len());
    drop(log);
}
