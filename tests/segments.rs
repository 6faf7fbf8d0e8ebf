//! Bodies in pieces: content and memory.

use {
    proptest::prelude::*,
    shallotdeal::{
        mesh::{
            http::{BodyBuffer, MessageError},
            segments::Segments,
        },
        policy::shared_memory::SharedMemory,
    },
};

proptest! {
    #[test]
    fn a_body_holds_the_appended_bytes(
        parts in proptest::collection::vec(0_usize..100_000, 0..40),
    ) {
        let memory = SharedMemory::new(64 << 20);
        let mut share = memory.share();
        let mut body = Segments::default();
        let mut expected: Vec<u8> = Vec::new();
        for (index, length) in parts.into_iter().enumerate() {
            let part = vec![index as u8; length];
            body.append(&part, &mut share).unwrap();
            expected.extend(part);
        }
        prop_assert_eq!(body.len(), expected.len());
        prop_assert!(memory.used_bytes() >= expected.len() as u64);
        prop_assert!(memory.used_bytes() <= 2 * expected.len() as u64);
        let mut written = b"head".to_vec();
        body.write(&mut written);
        prop_assert_eq!(&written[4..], &expected);
        prop_assert_eq!(body.to_vec(), expected);
    }
}

#[test]
fn a_body_may_use_all_of_the_memory_and_no_more() {
    const TOTAL_BYTES: usize = 8 << 20;
    for part_bytes in [1, 1_000, 60_000, 1 << 20] {
        let memory = SharedMemory::new(TOTAL_BYTES as u64);
        let mut share = memory.share();
        let mut body = Segments::default();
        let part = vec![0; part_bytes];
        while body.append(&part, &mut share).is_ok() {
            assert!(memory.used_bytes() <= TOTAL_BYTES as u64, "{part_bytes}");
        }
        // Pieces are limited too, as each costs memory besides its bytes.
        let missing_bytes = TOTAL_BYTES - body.len();
        assert!(
            missing_bytes <= (256 << 10),
            "{part_bytes}: {missing_bytes}"
        );
        let error = body.append(&vec![0; TOTAL_BYTES], &mut share);
        assert_eq!(error.unwrap_err(), MessageError::BodyTooLarge);
    }
    let memory = SharedMemory::new(TOTAL_BYTES as u64);
    let mut share = memory.share();
    let mut body = Segments::default();
    let part = vec![0; TOTAL_BYTES / 128];
    for _ in 0..128 {
        body.append(&part, &mut share).unwrap();
    }
    assert_eq!(body.len(), TOTAL_BYTES);
}
