//! Writers for logs under test.
#![allow(
    dead_code,
    reason = "shared by several test files, each of which uses only a part"
)]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

/// Writer that keeps what was written.
#[derive(Clone, Default)]
pub(crate) struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl SharedBuffer {
    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer that blocks until the sender is dropped, like a pipe that nobody reads.
pub(crate) struct StalledWriter(pub(crate) mpsc::Receiver<()>);

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns when the sender is dropped.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer that blocks as a [`StalledWriter`] does, and then keeps what is written.
pub(crate) struct StalledThen(pub(crate) StalledWriter, pub(crate) SharedBuffer);

impl Write for StalledThen {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)?;
        self.1.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
