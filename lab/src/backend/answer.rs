//! Answers by which a caller can tell that they are whole and its own.

use smol_str::SmolStr;

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// It is cut or garbled.
    NotWhole,
    /// It belongs to another request.
    NotOwn,
}

/// Builds the answer to a request: its identity, filler and a checksum over both.
pub fn answer_body(request: &str, size_bytes: usize) -> String {
    let filler_bytes = size_bytes.saturating_sub(request.len() + CHECKSUM_BYTES + 2);
    let filler: String = request.chars().cycle().take(filler_bytes).collect();
    let head = format!("{request}\n{filler}\n");
    let checksum = checksum(head.as_bytes());
    format!("{head}{checksum:016x}")
}

/// Checks an answer against the request that it should belong to.
pub fn check_body(request: &str, body: &[u8]) -> Result<(), AnswerFault> {
    let split_at = body.len().saturating_sub(CHECKSUM_BYTES);
    let (head, tail) = body.split_at(split_at);
    let want: SmolStr = format!("{:016x}", checksum(head)).into();
    if tail != want.as_bytes() {
        return Err(AnswerFault::NotWhole);
    }
    let own = head
        .split(|byte| *byte == b'\n')
        .next()
        .is_some_and(|line| line == request.as_bytes());
    if own {
        Ok(())
    } else {
        Err(AnswerFault::NotOwn)
    }
}

/// Length of the checksum in hex digits.
const CHECKSUM_BYTES: usize = 16;

fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
