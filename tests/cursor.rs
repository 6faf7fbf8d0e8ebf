//! Watch of the configuration over a slow link, in virtual time.

use shallotdeal::mesh::cursor::{ConfigCursor, NextCall};

/// Time within which a version must be in force on the platform.
const PROPAGATION_MS: u64 = 2_000;

/// Longest delay between a failed call and the next one, jitter included.
const BACKOFF_MS: u64 = 125;

/// Time for the read that replaces a lost watch: the slowest answer of a disturbed store and a round
/// trip between regions.
const READ_MS: u64 = 300;

const SECOND_US: u64 = 1_000_000;

/// Round trip between two regions.
const ROUND_TRIP_MS: u64 = 24;

/// Versions that are written at intervals, and the link to the store.
struct Storm {
    /// Times at which versions are written; the number of a version is its index plus one, and its
    /// revision too.
    written_ms: Vec<u64>,
    /// Time for which the link is occupied by one document.
    transfer_ms: u64,
}

/// What a daemon has received.
#[derive(Debug, Default)]
struct Received {
    /// Largest time between a version's write and its arrival, or that of a later version.
    worst_lag_ms: u64,
    calls: u32,
    documents: usize,
}

impl Storm {
    fn steady(count: u64, interval_ms: u64, transfer_ms: u64) -> Self {
        Self {
            written_ms: (1..=count).map(|number| number * interval_ms).collect(),
            transfer_ms,
        }
    }

    fn newest(&self, now_ms: u64) -> u64 {
        self.written_ms
            .partition_point(|written_ms| *written_ms <= now_ms) as u64
    }

    /// Lets a daemon follow the versions until the last one has arrived.
    fn follow(&self, mut cursor: ConfigCursor, from_ms: u64) -> Received {
        let last = self.written_ms.len() as u64;
        let mut received = Received::default();
        let (mut now_ms, mut in_force) = (from_ms, self.newest(from_ms));
        while in_force < last {
            received.calls += 1;
            let arrived_ms = now_ms + ROUND_TRIP_MS / 2;
            let (answered_ms, documents) = match cursor.next_call() {
                NextCall::Read => (arrived_ms, 1),
                NextCall::Watch { after, .. } => {
                    let next_ms = self.written_ms[after as usize];
                    let answered_ms = arrived_ms.max(next_ms);
                    (answered_ms, self.newest(answered_ms) - after)
                }
            };
            let newest = self.newest(answered_ms);
            let is_read = cursor.next_call() == NextCall::Read;
            now_ms = answered_ms + ROUND_TRIP_MS / 2 + documents * self.transfer_ms;
            received.documents += documents as usize;
            for missing in in_force..newest {
                let lag_ms = now_ms - self.written_ms[missing as usize].max(from_ms);
                received.worst_lag_ms = received.worst_lag_ms.max(lag_ms);
            }
            if is_read {
                cursor.record_read(newest, Some(newest), newest > in_force, now_ms * 1_000);
            } else {
                cursor.record_changes(newest, documents as usize, now_ms * 1_000);
            }
            in_force = newest;
        }
        received
    }
}

fn watching(after: u64) -> ConfigCursor {
    let mut cursor = ConfigCursor::new(PROPAGATION_MS);
    cursor.record_read(after, Some(after), true, 0);
    cursor
}

/// Wait of the next watch.
fn wait_ms(cursor: &ConfigCursor) -> u64 {
    match cursor.next_call() {
        NextCall::Watch { wait_ms, .. } => wait_ms,
        NextCall::Read => panic!("the next call is a read"),
    }
}

// Guards against answers that grow with each call, since each one carries all versions that were
// written during the transfer of the one before.
#[test]
fn versions_that_outrun_the_link_are_in_force_in_time() {
    let storm = Storm::steady(570, 150, 280);
    let received = storm.follow(watching(0), 0);
    assert!(received.worst_lag_ms <= PROPAGATION_MS, "{received:?}");
}

// Guards against a watch that transfers all versions of an outage.
#[test]
fn an_outage_is_followed_by_one_read() {
    let storm = Storm::steady(60, 150, 100);
    let mut cursor = watching(1);
    cursor.reset();
    let received = storm.follow(cursor, 8_990);
    assert_eq!((received.calls, received.documents), (1, 1));
}

#[test]
fn single_changes_cost_one_call_each() {
    let storm = Storm::steady(20, 2_000, 280);
    let received = storm.follow(watching(0), 0);
    assert_eq!((received.calls, received.documents), (20, 20));
}

#[test]
fn a_daemon_that_has_caught_up_watches_again() {
    let mut cursor = watching(4);
    cursor.record_changes(7, 3, SECOND_US);
    assert_eq!(cursor.next_call(), NextCall::Read);
    cursor.record_read(9, Some(9), true, SECOND_US);
    assert_eq!(cursor.next_call(), NextCall::Read);
    cursor.record_read(9, Some(9), false, SECOND_US);
    assert!(matches!(
        cursor.next_call(),
        NextCall::Watch { after: 9, .. }
    ));
}

// Guards against a watch that is lost together with those of all other daemons and ends only after
// half a minute.
#[test]
fn watches_are_short_during_frequent_changes_only() {
    let mut cursor = watching(0);
    let long_ms = wait_ms(&cursor);
    cursor.record_changes(1, 1, 60 * SECOND_US);
    assert_eq!(wait_ms(&cursor), long_ms);
    cursor.record_changes(2, 1, 61 * SECOND_US);
    assert!(wait_ms(&cursor) < long_ms);
    cursor.record_changes(2, 0, 62 * SECOND_US);
    assert_eq!(wait_ms(&cursor), long_ms);
}

// Guards against a last change of a series that is in force too late, as the watch that follows it is
// lost and given up only after the time within which a change must be in force.
#[test]
fn a_read_replaces_a_lost_watch_of_frequent_changes_in_time() {
    for propagation_ms in [1_000, 2_000, 3_000, 10_000, u64::MAX] {
        let mut cursor = ConfigCursor::new(propagation_ms);
        cursor.record_read(0, Some(0), true, 0);
        cursor.record_changes(1, 1, SECOND_US);
        let NextCall::Watch { limit_ms, .. } = cursor.next_call() else {
            panic!("the next call is a read");
        };
        let in_force_ms = limit_ms + BACKOFF_MS + READ_MS;
        assert!(in_force_ms <= propagation_ms, "{in_force_ms} ms");
    }
}

// Guards against a watch after a change that the page of the read did not include.
#[test]
fn a_read_continues_after_what_it_brought() {
    let mut cursor = ConfigCursor::new(PROPAGATION_MS);
    cursor.record_read(9, Some(5), true, 0);
    assert!(matches!(
        cursor.next_call(),
        NextCall::Watch { after: 5, .. }
    ));
    // Revision 5 is older than the history. The next read begins after the page of revision 9.
    cursor.reset();
    cursor.record_read(12, Some(5), false, 0);
    assert!(matches!(
        cursor.next_call(),
        NextCall::Watch { after: 9, .. }
    ));
}

#[test]
fn without_a_revision_of_the_entry_a_second_read_follows() {
    let mut cursor = ConfigCursor::new(PROPAGATION_MS);
    cursor.record_read(9, None, true, 0);
    assert_eq!(cursor.next_call(), NextCall::Read);
    cursor.record_read(10, None, false, 0);
    assert!(matches!(
        cursor.next_call(),
        NextCall::Watch { after: 9, .. }
    ));
}

#[test]
fn revisions_that_are_given_out_again_are_forgotten() {
    let mut cursor = watching(9);
    cursor.forget_revisions();
    cursor.record_read(4, Some(3), true, 0);
    assert!(matches!(
        cursor.next_call(),
        NextCall::Watch { after: 3, .. }
    ));
}
