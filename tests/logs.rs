//! Log of a platform daemon: the rate of each kind of line is limited, and logging never blocks.

mod writers;

use {
    shallotdeal::logs::mesh_log,
    std::sync::mpsc,
    writers::{SharedBuffer, StalledWriter},
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
        // Far more lines than are buffered: the loop would not end if logging blocked.
        macro_rules! lines {
            ($($kind:literal)*) => {$(
                for number in 0..600 {
                    tracing::info!(number, $kind);
                }
            )*};
        }
        lines!("a" "b" "c" "d" "e" "f" "g" "h" "i" "j" "k" "l" "m" "n" "o" "p" "q" "r" "s" "t");
        assert!(
            log.dropped_lines.unwritten() >= 3_000,
            "{}",
            log.dropped_lines.unwritten()
        );
    });
    drop(release);
}
