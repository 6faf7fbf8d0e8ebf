//! Memory of answers without end, without a network.

use shallotdeal::policy::shared_memory::SharedMemory;

const MIB: u64 = 1 << 20;
const TOTAL_BYTES: u64 = 64 * MIB;

/// Slots of the largest worker in the site files.
const SLOTS: usize = 219;

/// Memory of the smallest machine in the site files.
const MACHINE_BYTES: u64 = 160 * MIB;

#[test]
fn a_single_answer_may_use_all_of_the_memory() {
    let memory = SharedMemory::new(TOTAL_BYTES);
    let mut share = memory.share();
    assert!(share.resize(TOTAL_BYTES));
    assert!(!share.resize(TOTAL_BYTES + 1));
    assert_eq!(memory.used_bytes(), TOTAL_BYTES);
}

// Guards against endless answers that together pass the memory of the machine.
#[test]
fn endless_answers_in_all_slots_stay_within_the_memory_of_a_machine() {
    let memory = SharedMemory::new(TOTAL_BYTES);
    let mut shares: Vec<_> = (0..SLOTS).map(|_| memory.share()).collect();
    let mut lengths = vec![0; SLOTS];
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for (share, length) in shares.iter_mut().zip(&mut lengths) {
            if share.resize(*length + 64 * 1024) {
                *length += 64 * 1024;
                has_grown = true;
            }
        }
    }
    assert_eq!(memory.used_bytes(), lengths.iter().sum::<u64>());
    assert!(memory.used_bytes() < MACHINE_BYTES, "{memory:?}");
}

#[test]
fn short_answers_are_read_beside_an_endless_one() {
    let memory = SharedMemory::new(TOTAL_BYTES);
    let mut endless = memory.share();
    assert!(endless.resize(TOTAL_BYTES));
    let mut short = memory.share();
    assert!(short.resize(100 * 1024));
    assert!(!short.resize(MIB));
}

#[test]
fn the_memory_of_an_answer_is_returned() {
    let memory = SharedMemory::new(TOTAL_BYTES);
    let mut share = memory.share();
    assert!(share.resize(TOTAL_BYTES));
    drop(share);
    assert_eq!(memory.used_bytes(), 0);
    assert!(memory.share().resize(TOTAL_BYTES));
}
