//! Answer bodies that let a caller detect corruption and answers to other requests.

use smol_str::SmolStr;

/// Defect of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerError {
    /// The answer was truncated or corrupted.
    Corrupt,
    /// The answer belongs to another request.
    OtherRequest,
}

/// Builds the body of an answer: the request's identity, filler and a checksum over both.
pub fn answer_body(request: &str, size_bytes: usize) -> String {
    let filler_bytes = size_bytes.saturating_sub(request.len() + CHECKSUM_BYTES + 2);
    let filler: String = request.chars().cycle().take(filler_bytes).collect();
    let head = format!("{request}\n{filler}\n");
    let checksum = checksum(head.as_bytes());
    format!("{head}{checksum:016x}")
}

/// Checks the checksum of an answer and that it belongs to the request.
pub fn check_body(request: &str, body: &[u8]) -> Result<(), AnswerError> {
    let split_at = body.len().saturating_sub(CHECKSUM_BYTES);
    let (head, tail) = body.split_at(split_at);
    let want: SmolStr = format!("{:016x}", checksum(head)).into();
    if tail != want.as_bytes() {
        return Err(AnswerError::Corrupt);
    }
    let belongs_to_request = head
        .split(|byte| *byte == b'\n')
        .next()
        .is_some_and(|line| line == request.as_bytes());
    if belongs_to_request {
        Ok(())
    } else {
        Err(AnswerError::OtherRequest)
    }
}

/// Length of the checksum in hex digits.
const CHECKSUM_BYTES: usize = 16;

fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
