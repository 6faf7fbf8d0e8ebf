//! Log of a platform daemon: bounded by kind, and never waited for.

mod writers;

use {
    shallotdeal::logs::mesh_log,
    std::sync::mpsc,
    writers::{Page, Stalled},
};

#[test]
fn many_lines_of_one_kind_do_not_displace_another() {
    let page = Page::default();
    let (log, subscriber) = mesh_log(tracing::Level::INFO, page.clone());
    tracing::subscriber::with_default(subscriber, || {
        for number in 0..5_000 {
            tracing::info!(number, "served");
        }
        for number in 0..50 {
            tracing::info!(number, "refused");
        }
        tracing::debug!("below the level");
        log.losses.report();
        log.losses.report();
    });
    drop(log);
    let text = page.text();
    let count = |message: &str| {
        let message = format!(r#""message":"{message}""#);
        text.lines().filter(|line| line.contains(&message)).count()
    };
    // The 5,000 lines may lie in two seconds.
    let served = count("served");
    assert!((600..=1_200).contains(&served), "{served}");
    assert_eq!(count("refused"), 50);
    assert_eq!(count("below the level"), 0);
    assert_eq!(count("log lines left out"), 1);
    let left_out = format!("={}\"", 5_000 - served);
    assert!(text.contains(&left_out), "{left_out}");
}

#[test]
fn a_reader_that_stalls_holds_nothing_up() {
    let (release, stalled) = mpsc::channel();
    let (log, subscriber) = mesh_log(tracing::Level::INFO, Stalled(stalled));
    tracing::subscriber::with_default(subscriber, || {
        // Far more than may wait: the calls would not return if one of them waited.
        macro_rules! lines {
            ($($kind:literal)*) => {$(
                for number in 0..600 {
                    tracing::info!(number, $kind);
                }
            )*};
        }
        lines!("a" "b" "c" "d" "e" "f" "g" "h" "i" "j" "k" "l" "m" "n" "o" "p" "q" "r" "s" "t");
        assert!(
            log.losses.unwritten() >= 3_000,
            "{}",
            log.losses.unwritten()
        );
    });
    drop(release);
}
