//! Random histories of concurrent operators and readers over a faulty store, in virtual time.

mod control_histories {
    pub(crate) mod check;
    pub(crate) mod fleet;
    pub(crate) mod network;
    pub(crate) mod world;
}

use {
    control_histories::{check::Tally, world::World},
    std::thread,
};

const THREADS: u64 = 4;
const HISTORIES_PER_THREAD: u64 = 256;

fn run(first_seed: u64) -> Tally {
    let mut tally = Tally::default();
    for seed in first_seed..first_seed + HISTORIES_PER_THREAD {
        let record = World::new(seed).run();
        record.check(seed);
        tally.add(&record);
    }
    tally
}

#[test]
fn accepted_changes_are_neither_lost_nor_reverted() {
    let threads: Vec<_> = (0..THREADS)
        .map(|index| thread::spawn(move || run(index * HISTORIES_PER_THREAD)))
        .collect();
    for thread in threads {
        let tally = thread.join().expect("no check failed");
        assert!(tally.covers_all_outcomes(), "{tally:?}");
    }
}
