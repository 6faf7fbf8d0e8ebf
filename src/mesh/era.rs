//! Era of the platform's store, which rises each time the store comes back from an older copy.
//!
//! A rise means that writes that the store had acknowledged are lost, leases too, and that it gives
//! out their revisions again. Whatever this daemon has read or written before must then be read or
//! written again. Load pattern: a store that is away for a moment, while calls of the time before
//! are still being answered.

use smol_str::SmolStr;

/// Number of the era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(derive_more::Display)]
pub struct Era(pub u64);

/// Result of comparing the era of an answer with the newest known one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EraCheck {
    /// The answer is of the current era, or the store states none.
    Current,
    /// The store has come back from an older copy.
    Risen {
        /// Newest era before.
        from: Era,
        /// Era of the answer.
        to: Era,
    },
    /// The answer is of an earlier era and out of date.
    Outdated {
        /// Newest era.
        newest: Era,
        /// Era of the answer.
        found: Era,
    },
    /// The store has stated an era before, and does not or not legibly in this answer, which is
    /// used as one of the current era.
    Unreadable {
        /// Newest era.
        newest: Option<Era>,
        /// Era as stated.
        found: Option<SmolStr>,
    },
}

/// Newest era that the store has stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EraTracker {
    newest: Option<Era>,
}

impl EraTracker {
    /// Newest era; `None` if the store has not stated any.
    pub fn newest(&self) -> Option<Era> {
        self.newest
    }

    /// Compares the era that an answer states with the newest one, and records it.
    pub fn check(&mut self, stated: Option<&str>) -> EraCheck {
        let newest = self.newest;
        let era = stated.and_then(|text| text.trim().parse().ok()).map(Era);
        let Some(era) = era else {
            if stated.is_none() && newest.is_none() {
                return EraCheck::Current;
            }
            let found = stated.map(SmolStr::new);
            return EraCheck::Unreadable { newest, found };
        };
        match newest {
            Some(newest) if era < newest => EraCheck::Outdated { newest, found: era },
            Some(from) if era > from => {
                self.newest = Some(era);
                EraCheck::Risen { from, to: era }
            }
            _ => {
                self.newest = Some(era);
                EraCheck::Current
            }
        }
    }
}
