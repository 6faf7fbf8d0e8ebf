//! What a member does by itself as time passes.

use super::{Fleet, member::Status, message::Send, news::Urgency};

/// Gap between two ticks above which this process counts as paused.
const PAUSE_US: u64 = 1_500_000;

/// Time between two comparisons while many records are new.
const CATCH_UP_US: u64 = 200_000;

/// Time that the budget may be saved for.
const BUDGET_WINDOW_S: u64 = 3;

/// First contacts that are tried at once.
const SEEDS_AT_ONCE: usize = 32;

/// Live members of which each tries contacts at every turn.
const CONTACT_MEMBERS: usize = 8;

/// Live members for which the load may be announced at the shortest interval.
const LOAD_MEMBERS: u64 = 50;

/// Times at which things are due next.
#[derive(Debug, Default)]
pub(super) struct Timers {
    last_tick_us: u64,
    probe_us: u64,
    gossip_us: u64,
    sync_us: u64,
    contact_us: u64,
    load_us: u64,
    speak_us: u64,
    part: u32,
    contact: usize,
    seeds_tried: usize,
    budget_bytes: i64,
}

impl Timers {
    /// Lets the next attempt to reach a contact happen at once.
    pub(super) fn contact_soon(&mut self) {
        self.contact_us = 0;
    }

    /// Lets the next comparison happen soon.
    pub(super) fn sync_soon(&mut self, now_us: u64) {
        self.sync_us = self.sync_us.min(now_us + CATCH_UP_US);
    }

    /// Next part of the key space to compare.
    pub(super) fn next_part(&mut self) -> u32 {
        self.part = self.part.wrapping_add(1);
        self.part
    }

    /// Takes sent bytes off the budget.
    pub(super) fn charge(&mut self, sent_bytes: usize) {
        self.budget_bytes -= (sent_bytes as u64).cast_signed();
    }

    /// Tells whether news that can wait may be sent.
    pub(super) fn has_budget(&self) -> bool {
        self.budget_bytes > 0
    }

    fn refill(&mut self, elapsed_us: u64, bytes_per_s: u64) {
        let most = (bytes_per_s * BUDGET_WINDOW_S).cast_signed();
        let added = elapsed_us.min(BUDGET_WINDOW_S * 1_000_000) * bytes_per_s / 1_000_000;
        self.budget_bytes = (self.budget_bytes + added.cast_signed()).clamp(-most / 3, most);
    }
}

/// Tells whether something is due, and sets when it is due again.
fn is_due(due_us: &mut u64, interval_us: u64, now_us: u64) -> bool {
    if now_us < *due_us {
        return false;
    }
    *due_us = now_us + interval_us;
    true
}

impl Fleet {
    /// Does what is due; to be called every few dozen milliseconds.
    pub fn tick(&mut self, now_us: u64, out: &mut Vec<Send>) {
        self.note_time(now_us);
        if !self.me.status.is_live() {
            return;
        }
        self.check_probes(now_us, out);
        self.expire(now_us);
        let load_interval_us = self.load_interval_us();
        if is_due(&mut self.timers.load_us, load_interval_us, now_us) {
            self.announce_load();
        }
        if is_due(
            &mut self.timers.contact_us,
            self.rules.contact_interval_us,
            now_us,
        ) {
            self.seek_contact(now_us, out);
        }
        if is_due(
            &mut self.timers.probe_us,
            self.rules.probe_interval_us,
            now_us,
        ) || self.probes.has_urgent()
        {
            self.probe_next(now_us, out);
        }
        if is_due(
            &mut self.timers.sync_us,
            self.rules.sync_interval_us,
            now_us,
        ) {
            self.sync_round(out);
        }
        if is_due(
            &mut self.timers.speak_us,
            self.rules.speak_interval_us,
            now_us,
        ) {
            self.speak(now_us, out);
        }
        if is_due(
            &mut self.timers.gossip_us,
            self.rules.gossip_interval_us,
            now_us,
        ) {
            self.gossip_if_due(now_us, out);
        }
    }

    fn gossip_if_due(&mut self, now_us: u64, out: &mut Vec<Send>) {
        let urgent = self.news.urgency() == Some(Urgency::High);
        if urgent || self.timers.has_budget() {
            self.gossip_round(now_us, out);
        }
    }

    /// Interval at which the load news of all members together stay within the budget.
    fn load_interval_us(&self) -> u64 {
        let shortest_us = self.rules.load_interval_us;
        shortest_us.max(shortest_us * self.live as u64 / LOAD_MEMBERS)
    }

    /// Refills the budget; a pause of this process is not held against the others.
    fn note_time(&mut self, now_us: u64) {
        let last_us = self.timers.last_tick_us;
        self.timers.last_tick_us = now_us;
        if last_us == 0 {
            self.timers.budget_bytes = self.rules.budget_bytes_per_s.cast_signed();
            return;
        }
        let gap_us = now_us.saturating_sub(last_us);
        self.timers.refill(gap_us, self.rules.budget_bytes_per_s);
        if gap_us < PAUSE_US {
            return;
        }
        self.counters.pauses += 1;
        self.probes.abandon();
        self.remote.shift(gap_us);
        for peer in self.peers.values_mut() {
            peer.changed_us += gap_us;
        }
        if gap_us > self.rules.tombstone_us / 2 {
            self.start_over();
        }
        self.timers.sync_soon(now_us);
        self.timers.contact_soon();
    }

    /// Forgets all members, keeping their addresses to join through.
    fn start_over(&mut self) {
        let addrs: Vec<_> = self
            .peers
            .values()
            .map(|peer| peer.member.place.gossip_addr)
            .collect();
        let keys: Vec<_> = self.peers.keys().collect();
        for key in keys {
            self.remove(key);
        }
        self.news.clear();
        self.announce_body();
        self.join(&addrs);
    }

    fn expire(&mut self, now_us: u64) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for (key, peer) in &mut self.peers {
            let age_us = now_us.saturating_sub(peer.changed_us);
            match peer.member.status {
                Status::Suspect if age_us >= self.rules.suspicion_us => dead.push(key),
                Status::Dead | Status::Left if age_us >= self.rules.tombstone_us => {
                    forgotten.push(key);
                }
                Status::Suspect if age_us >= self.rules.suspicion_us / 2 && !peer.checked => {
                    peer.checked = true;
                    self.probes.hurry(key);
                }
                _ => (),
            }
        }
        for key in dead {
            self.judge(key, Status::Dead, now_us);
        }
        for key in forgotten {
            self.remove(key);
        }
    }

    /// Tries a first contact, a dead member or another data centre, each in its turn.
    fn seek_contact(&mut self, now_us: u64, out: &mut Vec<Send>) {
        self.timers.contact = self.timers.contact.wrapping_add(1);
        if self.live == 0 {
            self.timers.seeds_tried = 0;
        }
        let untried = self.timers.seeds_tried.min(self.seeds.len());
        let first: Vec<_> = self.seeds[untried..]
            .iter()
            .copied()
            .take(SEEDS_AT_ONCE)
            .collect();
        if !first.is_empty() {
            self.timers.seeds_tried = untried + first.len();
            for seed in first {
                self.ping_contact(seed, now_us, out);
            }
            return;
        }
        // All members together try often enough; each one alone does so the less often.
        if self.below(self.live / CONTACT_MEMBERS + 1) > 0 {
            return;
        }
        match self.timers.contact % 3 {
            0 => self.seek_seed(now_us, out),
            1 => self.seek_dead(now_us, out),
            _ => self.seek_centre(now_us, out),
        }
    }

    fn seek_seed(&mut self, now_us: u64, out: &mut Vec<Send>) {
        if self.seeds.is_empty() {
            return;
        }
        let at = self.below(self.seeds.len());
        self.ping_contact(self.seeds[at], now_us, out);
    }

    fn seek_dead(&mut self, now_us: u64, out: &mut Vec<Send>) {
        let dead: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.member.status == Status::Dead)
            .map(|(key, _)| key)
            .collect();
        if dead.is_empty() {
            return;
        }
        let key = dead[self.below(dead.len())];
        self.ping_dead(key, now_us, out);
    }

    fn seek_centre(&mut self, now_us: u64, out: &mut Vec<Send>) {
        let centres = self.remote.centres();
        let contacts: Vec<_> = centres
            .values()
            .filter_map(|centre| centre.contacts.first().copied())
            .collect();
        if contacts.is_empty() {
            return;
        }
        let at = self.below(contacts.len());
        self.ping_centre(contacts[at], now_us, out);
    }
}
