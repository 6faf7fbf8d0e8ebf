//! Periodic work of a member: probes, gossip, anti-entropy, expiry and contact attempts.

use super::{Fleet, member::Status, message::Outgoing, update_queue::Priority};

/// Shortest gap between two ticks that counts as a pause of this process.
const MIN_PAUSE_US: u64 = 1_500_000;

/// Delay of the next anti-entropy round while many records are new.
const CATCH_UP_US: u64 = 200_000;

/// Time for which unused byte budget accumulates.
const BUDGET_WINDOW_S: u64 = 3;

/// Number of untried seeds that are pinged in one attempt.
const SEEDS_PER_ATTEMPT: usize = 32;

/// Number of live members up to which each one tries a contact in every interval.
///
/// In larger data centres each member tries with a probability inversely proportional to their
/// number.
const CONTACT_MEMBERS: usize = 8;

/// Number of live members up to which loads are announced at the shortest interval.
const LOAD_MEMBERS: u64 = 50;

/// Daemons of a region that probe a suspect of another region once more.
const FAR_REPROBES: f64 = 8.0;

/// Bytes for other regions that accumulate at one daemon, at least one datagram.
const FAR_BUDGET_BYTES: f64 = 1_400.0;

/// Due times of the periodic tasks, and the byte budget.
#[derive(Debug, Default)]
pub(super) struct Timers {
    last_tick_us: u64,
    next_probe_us: u64,
    next_gossip_us: u64,
    next_sync_us: u64,
    next_contact_us: u64,
    next_load_us: u64,
    next_publish_us: u64,
    /// Partition of the key space that anti-entropy compared last.
    part: u32,
    /// Number of contact attempts, which selects the kind of the next contact.
    contact_attempts: usize,
    seeds_tried: usize,
    /// Bytes that may still be sent; negative after urgent messages have overdrawn the budget.
    budget_bytes: i64,
    /// Bytes of updates that may still be sent to other regions.
    far_budget_bytes: f64,
}

impl Timers {
    /// Makes the next contact attempt due at once.
    pub(super) fn schedule_contact(&mut self) {
        self.next_contact_us = 0;
    }

    /// Brings the next anti-entropy round forward.
    pub(super) fn schedule_sync(&mut self, now_us: u64) {
        self.next_sync_us = self.next_sync_us.min(now_us + CATCH_UP_US);
    }

    /// Returns the number of the next partition of the key space to compare, before masking.
    pub(super) fn next_part(&mut self) -> u32 {
        self.part = self.part.wrapping_add(1);
        self.part
    }

    /// Charges sent bytes to the budget.
    pub(super) fn charge(&mut self, sent_bytes: usize) {
        self.budget_bytes -= (sent_bytes as u64).cast_signed();
    }

    /// Returns whether updates below high priority may be sent.
    pub(super) fn has_budget(&self) -> bool {
        self.budget_bytes > 0
    }

    /// Charges updates sent to another region.
    pub(super) fn charge_far(&mut self, sent_bytes: usize) {
        self.far_budget_bytes -= sent_bytes as f64;
    }

    /// Returns whether updates may be sent to other regions.
    pub(super) fn has_far_budget(&self) -> bool {
        self.far_budget_bytes > 0.0
    }

    fn refill_far(&mut self, elapsed_us: u64, bytes_per_s: f64) {
        let added = bytes_per_s * elapsed_us as f64 / 1e6;
        let max = FAR_BUDGET_BYTES.max(bytes_per_s);
        self.far_budget_bytes = (self.far_budget_bytes + added).min(max);
    }

    fn refill(&mut self, elapsed_us: u64, bytes_per_s: u64) {
        let max = (bytes_per_s * BUDGET_WINDOW_S).cast_signed();
        let added = elapsed_us.min(BUDGET_WINDOW_S * 1_000_000) * bytes_per_s / 1_000_000;
        // At most the budget of one second is carried over as overdraft.
        self.budget_bytes = (self.budget_bytes + added.cast_signed()).clamp(-max / 3, max);
    }
}

/// Returns whether a task is due, and if so sets when it is due again.
fn is_due(due_us: &mut u64, interval_us: u64, now_us: u64) -> bool {
    if now_us < *due_us {
        return false;
    }
    *due_us = now_us + interval_us;
    true
}

impl Fleet {
    /// Runs all tasks that are due; must be called every few dozen milliseconds.
    pub fn tick(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        self.account_for_elapsed_time(now_us);
        if !self.local.status.is_live() {
            return;
        }
        self.check_probes(now_us, out);
        self.announce_config(now_us, out);
        self.expire(now_us);
        let load_interval_us = self.load_interval_us();
        if is_due(&mut self.timers.next_load_us, load_interval_us, now_us) {
            self.announce_load();
        }
        if is_due(
            &mut self.timers.next_contact_us,
            self.rules.contact_interval_us,
            now_us,
        ) {
            self.try_contact(now_us, out);
        }
        if is_due(
            &mut self.timers.next_probe_us,
            self.rules.probe_interval_us,
            now_us,
        ) || self.probes.has_urgent()
        {
            self.probe_next(now_us, out);
        }
        if is_due(
            &mut self.timers.next_sync_us,
            self.rules.sync_interval_us,
            now_us,
        ) {
            self.sync_round(out);
        }
        if is_due(
            &mut self.timers.next_publish_us,
            self.rules.publish_interval_us,
            now_us,
        ) {
            self.publish(now_us, out);
        }
        if is_due(
            &mut self.timers.next_gossip_us,
            self.rules.gossip_interval_us,
            now_us,
        ) {
            self.gossip_within_budget(now_us, out);
        }
    }

    fn gossip_within_budget(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        let is_urgent = self.updates.priority() == Some(Priority::High);
        if is_urgent || self.timers.has_budget() {
            self.gossip_round(now_us, out);
        }
    }

    /// Interval between load announcements, lengthened so that those of all members together stay
    /// within the budget.
    fn load_interval_us(&self) -> u64 {
        let shortest_us = self.rules.load_interval_us;
        shortest_us.max(shortest_us * self.live_peers as u64 / LOAD_MEMBERS)
    }

    /// Refills the budget and detects pauses of this process.
    ///
    /// After a pause the outstanding probes are dropped and all timeouts shifted, so that other
    /// members are not suspected for acks that this process could not receive during the pause.
    fn account_for_elapsed_time(&mut self, now_us: u64) {
        let last_us = self.timers.last_tick_us;
        self.timers.last_tick_us = now_us;
        if last_us == 0 {
            self.timers.budget_bytes = self.rules.budget_bytes_per_s.cast_signed();
            self.timers.far_budget_bytes = FAR_BUDGET_BYTES;
            return;
        }
        let gap_us = now_us.saturating_sub(last_us);
        self.timers.refill(gap_us, self.rules.budget_bytes_per_s);
        let far_bytes_per_s = self.rules.far_budget_bytes_per_s as f64;
        let in_region = (self.neighbours() + 1) as f64;
        self.timers.refill_far(gap_us, far_bytes_per_s / in_region);
        if gap_us < MIN_PAUSE_US {
            return;
        }
        self.counters.pauses += 1;
        self.probes.clear();
        self.remote.shift_times(gap_us);
        for peer in self.peers.values_mut() {
            peer.changed_us += gap_us;
        }
        if gap_us > self.rules.tombstone_us / 2 {
            self.rejoin();
        }
        self.timers.schedule_sync(now_us);
        self.timers.schedule_contact();
    }

    /// Removes all members and joins again through their addresses.
    ///
    /// During such a long pause others may have dropped the tombstones of members that this view
    /// still lists as alive; gossiping those records would revive dead members.
    fn rejoin(&mut self) {
        let addrs: Vec<_> = self
            .peers
            .values()
            .map(|peer| peer.member.place.gossip_addr)
            .collect();
        let keys: Vec<_> = self.peers.keys().collect();
        for key in keys {
            self.remove(key);
        }
        self.updates.clear();
        self.announce_body();
        self.join(&addrs);
    }

    /// Declares overdue suspects dead, removes expired tombstones, and re-probes suspects halfway
    /// through the suspicion time.
    fn expire(&mut self, now_us: u64) {
        let mut dead = Vec::new();
        let mut expired = Vec::new();
        let mut doubtful = Vec::new();
        for (key, peer) in &mut self.peers {
            let age_us = now_us.saturating_sub(peer.changed_us);
            match peer.member.status {
                Status::Suspect if age_us >= self.rules.suspicion_us => dead.push(key),
                Status::Dead | Status::Left if age_us >= self.rules.tombstone_us => {
                    expired.push(key);
                }
                Status::Suspect if age_us >= self.rules.suspicion_us / 2 && !peer.reprobed => {
                    peer.reprobed = true;
                    doubtful.push(key);
                }
                _ => (),
            }
        }
        let far_share = FAR_REPROBES / (self.neighbours() + 1) as f64;
        for key in doubtful {
            if !self.is_far(key) || self.draw(far_share) {
                self.probes.prioritize(key);
            }
        }
        for key in dead {
            self.set_status(key, Status::Dead, now_us);
        }
        for key in expired {
            self.remove(key);
        }
    }

    /// Pings untried seeds, or in turn a random seed, dead member or other data centre.
    fn try_contact(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        self.timers.contact_attempts = self.timers.contact_attempts.wrapping_add(1);
        if self.live_peers == 0 {
            self.timers.seeds_tried = 0;
        }
        let untried = self.timers.seeds_tried.min(self.seeds.len());
        let seeds: Vec<_> = self.seeds[untried..]
            .iter()
            .copied()
            .take(SEEDS_PER_ATTEMPT)
            .collect();
        if !seeds.is_empty() {
            self.timers.seeds_tried = untried + seeds.len();
            for seed in seeds {
                self.ping_contact(seed, now_us, out);
            }
            return;
        }
        // The more members there are, the less often each one tries, so that the total rate is
        // bounded.
        if self.random_below(self.live_peers / CONTACT_MEMBERS + 1) > 0 {
            return;
        }
        match self.timers.contact_attempts % 3 {
            0 => self.ping_random_seed(now_us, out),
            1 => self.ping_random_dead_member(now_us, out),
            _ => self.ping_random_centre(now_us, out),
        }
    }

    fn ping_random_seed(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        if self.seeds.is_empty() {
            return;
        }
        let at = self.random_below(self.seeds.len());
        self.ping_contact(self.seeds[at], now_us, out);
    }

    fn ping_random_dead_member(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        let dead: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.member.status == Status::Dead)
            .map(|(key, _)| key)
            .collect();
        if dead.is_empty() {
            return;
        }
        let key = dead[self.random_below(dead.len())];
        self.ping_dead(key, now_us, out);
    }

    fn ping_random_centre(&mut self, now_us: u64, out: &mut Vec<Outgoing>) {
        let centres = self.remote.centres();
        let contacts: Vec<_> = centres
            .values()
            .filter_map(|centre| centre.contacts.first().copied())
            .collect();
        if contacts.is_empty() {
            return;
        }
        let at = self.random_below(contacts.len());
        self.ping_remote_centre(contacts[at], now_us, out);
    }
}
