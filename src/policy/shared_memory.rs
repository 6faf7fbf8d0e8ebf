//! Memory that answers share while they are read.
//!
//! Load pattern: some workers send bytes without end, in several answers at once. One answer may use
//! all of the memory, so that large ones are delivered. Answers beyond it are limited to a small
//! size, which is granted to each of them in any case: an endless answer does not fail short ones.

use std::cell::Cell;

/// Length that each answer may have, whatever the others use.
const GRANTED_BYTES: u64 = 256 * 1024;

/// Memory shared by the answers that are being read.
#[derive(Debug)]
pub struct SharedMemory {
    total_bytes: u64,
    used_bytes: Cell<u64>,
}

/// Memory of one answer; returned when dropped.
#[derive(Debug)]
pub struct MemoryShare<'a> {
    memory: &'a SharedMemory,
    held_bytes: u64,
}

impl SharedMemory {
    /// Creates a memory of this size.
    pub fn new(total_bytes: u64) -> Self {
        Self {
            total_bytes,
            used_bytes: Cell::new(0),
        }
    }

    /// Size, which is also the longest answer.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Memory in use.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes.get()
    }

    /// Begins an answer.
    pub fn share(&self) -> MemoryShare<'_> {
        MemoryShare {
            memory: self,
            held_bytes: 0,
        }
    }
}

impl MemoryShare<'_> {
    /// Size of the memory that the share belongs to.
    pub fn total_bytes(&self) -> u64 {
        self.memory.total_bytes
    }

    /// Changes the length of the answer; returns whether it may have this length.
    pub fn resize(&mut self, length_bytes: u64) -> bool {
        let others_bytes = self.memory.used_bytes.get() - self.held_bytes;
        let available_bytes = self.memory.total_bytes.saturating_sub(others_bytes);
        if length_bytes > available_bytes.max(GRANTED_BYTES) {
            return false;
        }
        self.memory.used_bytes.set(others_bytes + length_bytes);
        self.held_bytes = length_bytes;
        true
    }
}

impl Drop for MemoryShare<'_> {
    fn drop(&mut self) {
        let used_bytes = self.memory.used_bytes.get();
        self.memory.used_bytes.set(used_bytes - self.held_bytes);
    }
}
