//! Position of the watch of the configuration: decides between waiting for changes and reading the
//! newest version.
//!
//! The store answers a watch with every version since the given revision, replaced ones included.
//! Load pattern: changes in quick succession, or an outage of the store during changes, over a link
//! that all daemons of a region share. Versions that are transferred more slowly than they are
//! written accumulate, so that each answer is longer than the one before. A daemon that is behind
//! therefore reads the newest version until it has caught up.

/// Next call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextCall {
    /// Read the newest version.
    Read,
    /// Wait for changes after a revision.
    Watch {
        /// Revision of the store.
        after: u64,
    },
}

/// Position in the history of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfigCursor {
    /// Revision up to which changes are known; `None` if it is unknown or too old.
    revision: Option<u64>,
    /// Whether versions are written faster than they arrive.
    is_behind: bool,
}

impl ConfigCursor {
    /// Next call to the store.
    pub fn next_call(&self) -> NextCall {
        match self.revision {
            Some(after) if !self.is_behind => NextCall::Watch { after },
            _ => NextCall::Read,
        }
    }

    /// Records that the newest version at a revision was read, and whether it replaced the one in
    /// force.
    pub fn record_read(&mut self, revision: u64, is_newer: bool) {
        self.revision = Some(revision);
        self.is_behind &= is_newer;
    }

    /// Records the number of versions that a watch delivered up to a revision.
    pub fn record_changes(&mut self, revision: u64, versions: usize) {
        self.revision = Some(revision);
        self.is_behind = versions > 1;
    }

    /// Forgets the position, as many versions may have been written since, or as its revision is no
    /// longer valid.
    pub fn reset(&mut self) {
        self.revision = None;
    }
}
