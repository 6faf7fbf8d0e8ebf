//! Writers that a log can go to.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

/// What was written, kept.
#[derive(Clone, Default)]
pub(crate) struct Page(Arc<Mutex<Vec<u8>>>);

impl Page {
    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Page {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A pipe that nobody reads, until its other end is dropped.
pub(crate) struct Stalled(pub(crate) mpsc::Receiver<()>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Ends when the sender is dropped.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
