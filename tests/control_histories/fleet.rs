//! Daemons that gossip their configuration and the revisions that they know of.

use {
    shallotdeal::{
        config::{Config, Revision},
        control::{
            confirm::Confirmations,
            election::ReaderRole,
            enforced::{EnforcedConfig, OfferResult},
            watcher::Watcher,
        },
    },
    smol_str::{SmolStr, format_smolstr},
    std::sync::Arc,
};

pub(crate) const DAEMONS: usize = 6;
pub(crate) const DAEMONS_PER_DATA_CENTRE: usize = 3;

/// State of a daemon as known to another one: its incarnation and its revision.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownState {
    pub(crate) incarnation: u64,
    pub(crate) revision: Revision,
}

pub(crate) type KnownStates = [Option<KnownState>; DAEMONS];

#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) index: usize,
    pub(crate) incarnation: u64,
    pub(crate) enforced: EnforcedConfig,
    pub(crate) watcher: Watcher,
    pub(crate) known_states: KnownStates,
    pub(crate) contacts: [bool; DAEMONS],
    pub(crate) paused_until_us: u64,
    pub(crate) is_up: bool,
    pub(crate) started_us: u64,
}

pub(crate) fn name(index: usize) -> SmolStr {
    format_smolstr!("daemon-{index}")
}

pub(crate) fn data_centre(index: usize) -> usize {
    index / DAEMONS_PER_DATA_CENTRE
}

impl Daemon {
    pub(crate) fn new(index: usize, incarnation: u64, now_us: u64) -> Self {
        Self {
            index,
            incarnation,
            enforced: EnforcedConfig::new(Config::initial(), now_us),
            watcher: Watcher::new(),
            known_states: [None; DAEMONS],
            contacts: [false; DAEMONS],
            paused_until_us: 0,
            is_up: true,
            started_us: now_us,
        }
    }

    pub(crate) fn is_running(&self, now_us: u64) -> bool {
        self.is_up && self.paused_until_us <= now_us
    }

    pub(crate) fn offer(&mut self, config: &Arc<Config>, now_us: u64) {
        let before = self.enforced.revision();
        let offer = self.enforced.offer(config, now_us);
        assert!(self.enforced.revision() >= before, "the revision decreased");
        if let OfferResult::Adopted { from } = offer {
            assert_eq!(from, before);
        }
    }

    pub(crate) fn reader_role(&self, now_us: u64) -> ReaderRole {
        let own = data_centre(self.index) * DAEMONS_PER_DATA_CENTRE;
        let names: Vec<SmolStr> = (own..own + DAEMONS_PER_DATA_CENTRE).map(name).collect();
        let names = names.iter().map(SmolStr::as_str);
        ReaderRole::of(&name(self.index), names, now_us / 1_000)
    }

    /// Peers known from gossip, from the store or from the settings.
    pub(crate) fn peers(&self) -> impl Iterator<Item = usize> {
        let first = data_centre(self.index) * DAEMONS_PER_DATA_CENTRE;
        let knows = move |index: usize| {
            index == first || self.contacts[index] || self.known_states[index].is_some()
        };
        (0..DAEMONS).filter(move |index| *index != self.index && knows(*index))
    }

    /// Gossip message to a peer: the configuration, this daemon's state and all other known states.
    pub(crate) fn gossip(&self) -> (Arc<Config>, KnownStates) {
        let mut states = self.known_states;
        states[self.index] = Some(KnownState {
            incarnation: self.incarnation,
            revision: self.enforced.revision(),
        });
        (Arc::clone(self.enforced.config()), states)
    }

    /// Merges the states from a peer's gossip message.
    pub(crate) fn merge(&mut self, states: &KnownStates) {
        let key = |state: &KnownState| (state.incarnation, state.revision);
        for (known, received) in self.known_states.iter_mut().zip(states) {
            if received.as_ref().map(key) > known.as_ref().map(key) {
                *known = *received;
            }
        }
    }
}

impl Confirmations for Daemon {
    fn lagging(&self, revision: Revision) -> Vec<SmolStr> {
        let confirmed = |index: usize| {
            index == self.index && self.enforced.revision() >= revision
                || self.known_states[index].is_some_and(|state| state.revision >= revision)
        };
        (0..DAEMONS)
            .filter(|index| !confirmed(*index))
            .map(name)
            .collect()
    }
}
