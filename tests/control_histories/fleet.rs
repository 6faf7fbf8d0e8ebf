//! Daemons that gossip their configuration and the revisions they have heard of.

use {
    shallotdeal::{
        config::{Config, Revision},
        control::{
            confirm::Confirmations,
            election::Duty,
            enforced::{Enforced, Offer},
            watcher::Watcher,
        },
    },
    smol_str::{SmolStr, format_smolstr},
    std::sync::Arc,
};

pub(crate) const DAEMONS: usize = 6;
pub(crate) const PER_DATA_CENTRE: usize = 3;

/// What one daemon believes of another: its incarnation, its revision, and when that was true.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Belief {
    pub(crate) incarnation: u64,
    pub(crate) revision: Revision,
}

pub(crate) type Beliefs = [Option<Belief>; DAEMONS];

#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) index: usize,
    pub(crate) incarnation: u64,
    pub(crate) enforced: Enforced,
    pub(crate) watcher: Watcher,
    pub(crate) beliefs: Beliefs,
    pub(crate) contacts: [bool; DAEMONS],
    pub(crate) paused_until_us: u64,
    pub(crate) up: bool,
    pub(crate) started_us: u64,
}

pub(crate) fn name(index: usize) -> SmolStr {
    format_smolstr!("daemon-{index}")
}

pub(crate) fn data_centre(index: usize) -> usize {
    index / PER_DATA_CENTRE
}

impl Daemon {
    pub(crate) fn new(index: usize, incarnation: u64, now_us: u64) -> Self {
        Self {
            index,
            incarnation,
            enforced: Enforced::new(Config::initial(), now_us),
            watcher: Watcher::new(),
            beliefs: [None; DAEMONS],
            contacts: [false; DAEMONS],
            paused_until_us: 0,
            up: true,
            started_us: now_us,
        }
    }

    pub(crate) fn runs(&self, now_us: u64) -> bool {
        self.up && self.paused_until_us <= now_us
    }

    pub(crate) fn offer(&mut self, config: &Arc<Config>, now_us: u64) {
        let before = self.enforced.revision();
        let offer = self.enforced.offer(config, now_us);
        assert!(self.enforced.revision() >= before, "a revision went down");
        if let Offer::Adopted { from } = offer {
            assert_eq!(from, before);
        }
    }

    pub(crate) fn duty(&self, now_us: u64) -> Duty {
        let own = data_centre(self.index) * PER_DATA_CENTRE;
        let names: Vec<SmolStr> = (own..own + PER_DATA_CENTRE).map(name).collect();
        let names = names.iter().map(SmolStr::as_str);
        Duty::of(&name(self.index), names, now_us / 1_000)
    }

    /// Peers it has heard of, found in the store, or has in its settings.
    pub(crate) fn peers(&self) -> impl Iterator<Item = usize> {
        let first = data_centre(self.index) * PER_DATA_CENTRE;
        let knows = move |index: usize| {
            index == first || self.contacts[index] || self.beliefs[index].is_some()
        };
        (0..DAEMONS).filter(move |index| *index != self.index && knows(*index))
    }

    /// What this daemon tells a peer: its own state and all it believes.
    pub(crate) fn gossip(&self) -> (Arc<Config>, Beliefs) {
        let mut beliefs = self.beliefs;
        beliefs[self.index] = Some(Belief {
            incarnation: self.incarnation,
            revision: self.enforced.revision(),
        });
        (Arc::clone(self.enforced.config()), beliefs)
    }

    pub(crate) fn hear(&mut self, beliefs: &Beliefs) {
        let key = |belief: &Belief| (belief.incarnation, belief.revision);
        for (known, heard) in self.beliefs.iter_mut().zip(beliefs) {
            if heard.as_ref().map(key) > known.as_ref().map(key) {
                *known = *heard;
            }
        }
    }
}

impl Confirmations for Daemon {
    fn lagging(&self, revision: Revision) -> Vec<SmolStr> {
        let confirmed = |index: usize| {
            index == self.index && self.enforced.revision() >= revision
                || self.beliefs[index].is_some_and(|belief| belief.revision >= revision)
        };
        (0..DAEMONS)
            .filter(|index| !confirmed(*index))
            .map(name)
            .collect()
    }
}
