//! Event loop of operators, daemons and a store with outages, delays and lost messages.

use {
    super::{
        check::{Outcome, Record, assert_in_force},
        fleet::{DAEMONS, Daemon, data_centre, name},
        network::{StoreCall, unavailable},
    },
    rand::{RngExt, SeedableRng, seq::IteratorRandom},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        config::{CONFIG_KEY, Config, Edit, Proposal, Revision, RulesEdit, ServiceEdit},
        control::{
            commit::{Commit, CommitError, Step},
            confirm::{CONFIRM_PAUSE_MS, ChangeStatus, ConfirmationWait},
            watcher::{Step as WatchStep, WatchOutcome},
        },
        store::{Entry, LeaseId, StoreError, Swap, Version, table::Table},
    },
    smol_str::{SmolStr, format_smolstr},
    std::{collections::BTreeMap, sync::Arc},
};

pub(super) const US_PER_MS: u64 = 1_000;
/// Time with faults and new changes.
const FAULTY_PHASE_US: u64 = 30_000_000;
/// Time without faults at the end, in which all daemons must converge.
const HEALING_PHASE_US: u64 = 30_000_000;
const GOSSIP_INTERVAL_US: u64 = 200_000;
const FAULT_INTERVAL_US: u64 = 1_500_000;
const LEASE_MS: u32 = 6_000;
const RENEW_INTERVAL_US: u64 = 2_000_000;
const OPERATORS: usize = 3;
const CONTACTS: &str = "contact/";

pub(super) enum Event {
    Gossip(usize),
    Watch(usize, u64),
    Renew(usize, u64),
    Fault,
    /// The operator starts its next change.
    BeginChange(usize),
    /// The commit of the operator's change receives an input.
    Advance(usize, u64, Input),
    /// A call arrives at the store.
    CallArrives(StoreCall),
    /// The operator's daemon polls the confirmations.
    PollConfirmations(usize, u64),
}

pub(super) enum Input {
    Begin,
    Paused,
    Read(Result<Option<Entry>, StoreError>),
    Written(Result<Swap, StoreError>),
}

pub(super) struct Operator {
    /// Daemon that the operator is connected to.
    pub(super) daemon: usize,
    incarnation: u64,
    serial: u64,
    commit: Option<Commit>,
    id: SmolStr,
    began_us: u64,
    confirmation: Option<(ConfirmationWait, Revision)>,
    answered: bool,
}

pub(crate) struct World {
    pub(super) rng: ChaCha8Rng,
    pub(super) now_us: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next_event_id: u64,
    pub(super) table: Table,
    daemons: Vec<Daemon>,
    leases: Vec<Option<LeaseId>>,
    pub(super) operators: Vec<Operator>,
    outage_until_us: u64,
    cut_until_us: u64,
    pub(super) slow_until_us: u64,
    incarnations: u64,
    pub(super) record: Record,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let operator = |daemon| Operator {
            daemon,
            incarnation: 0,
            serial: 0,
            commit: None,
            id: SmolStr::default(),
            began_us: 0,
            confirmation: None,
            answered: true,
        };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            queue: BTreeMap::new(),
            next_event_id: 0,
            table: Table::new(),
            daemons: (0..DAEMONS).map(|index| Daemon::new(index, 0, 0)).collect(),
            leases: vec![None; DAEMONS],
            operators: (0..OPERATORS).map(operator).collect(),
            outage_until_us: 0,
            cut_until_us: 0,
            slow_until_us: 0,
            incarnations: 0,
            record: Record::default(),
        };
        world.seed_events();
        world
    }

    pub(crate) fn run(mut self) -> Record {
        while let Some(((at_us, _), event)) = self.queue.pop_first() {
            if at_us > FAULTY_PHASE_US + HEALING_PHASE_US {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        let entry = self.table.get(CONFIG_KEY, self.now_us);
        let config = entry.map(|entry| Config::decode(&entry.value).expect("a configuration"));
        self.record
            .finish(config.unwrap_or_default(), &self.daemons);
        self.record
    }

    fn seed_events(&mut self) {
        for index in 0..DAEMONS {
            self.after(index as u64 * 7 * US_PER_MS, Event::Gossip(index));
            self.after(0, Event::Watch(index, 0));
            self.after(0, Event::Renew(index, 0));
        }
        for operator in 0..OPERATORS {
            self.schedule_next_change(operator);
        }
        self.after(FAULT_INTERVAL_US, Event::Fault);
    }

    pub(super) fn after(&mut self, delay_us: u64, event: Event) {
        self.next_event_id += 1;
        self.queue
            .insert((self.now_us + delay_us, self.next_event_id), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Gossip(index) => self.gossip(index),
            Event::Watch(index, incarnation) => self.watch(index, incarnation),
            Event::Renew(index, incarnation) => self.renew(index, incarnation),
            Event::Fault => self.fault(),
            Event::BeginChange(operator) => self.begin_change(operator),
            Event::Advance(operator, serial, input) => self.advance(operator, serial, input),
            Event::CallArrives(call) => self.arrive(call),
            Event::PollConfirmations(operator, serial) => {
                self.poll_confirmations(operator, serial);
            }
        }
    }

    fn is_healing(&self) -> bool {
        self.now_us >= FAULTY_PHASE_US
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        !self.is_healing() && self.rng.random_range(0..100) < percent
    }

    fn gossip(&mut self, index: usize) {
        self.after(GOSSIP_INTERVAL_US, Event::Gossip(index));
        let Some(peer) = self.daemons[index].peers().choose(&mut self.rng) else {
            return;
        };
        let is_cut = self.cut_until_us > self.now_us && data_centre(peer) != data_centre(index);
        let both_run = self.daemons[index].is_running(self.now_us)
            && self.daemons[peer].is_running(self.now_us);
        if is_cut || !both_run || self.chance(10) {
            return;
        }
        let (config, states) = self.daemons[index].gossip();
        self.daemons[peer].merge(&states);
        self.daemons[peer].offer(&config, self.now_us);
        let (config, states) = self.daemons[peer].gossip();
        self.daemons[index].merge(&states);
        self.daemons[index].offer(&config, self.now_us);
    }

    /// Runs one step of a reader; a long poll is simulated by short polls every 100 ms.
    fn watch(&mut self, index: usize, incarnation: u64) {
        if self.daemons[index].incarnation != incarnation {
            return;
        }
        if !self.daemons[index].is_running(self.now_us) {
            return self.after(100 * US_PER_MS, Event::Watch(index, incarnation));
        }
        let role = self.daemons[index].reader_role(self.now_us);
        let pause_ms = match self.daemons[index].watcher.step(role) {
            WatchStep::Pause { pause_ms } => pause_ms,
            WatchStep::Watch { after, .. } => self.poll_store(index, after),
        };
        self.after(
            u64::from(pause_ms) * US_PER_MS,
            Event::Watch(index, incarnation),
        );
    }

    /// Polls the store once; returns the pause until the next poll in milliseconds.
    fn poll_store(&mut self, index: usize, after: Version) -> u32 {
        let result = if self.is_store_unreachable(index) {
            Err(unavailable("watch"))
        } else {
            let entry = self.table.get(CONFIG_KEY, self.now_us);
            Ok(entry.filter(|entry| entry.version > after))
        };
        let daemon = &mut self.daemons[index];
        match daemon.watcher.on_response(result, &mut self.rng) {
            WatchOutcome::Config(config) => daemon.offer(&config, self.now_us),
            WatchOutcome::Empty => daemon.enforced.mark_authoritative(),
            WatchOutcome::Unreadable(error) => panic!("{error}"),
            WatchOutcome::Unchanged | WatchOutcome::Failed(_) => {}
        }
        100
    }

    /// Whether a daemon cannot reach the store, which is in data centre 0. A cut between the data
    /// centres makes it unreachable from data centre 1.
    pub(super) fn is_store_unreachable(&self, index: usize) -> bool {
        let is_cut = self.cut_until_us > self.now_us && data_centre(index) != 0;
        is_cut || self.outage_until_us > self.now_us
    }

    fn renew(&mut self, index: usize, incarnation: u64) {
        if self.daemons[index].incarnation != incarnation {
            return;
        }
        self.after(RENEW_INTERVAL_US, Event::Renew(index, incarnation));
        if !self.daemons[index].is_running(self.now_us) || self.is_store_unreachable(index) {
            return;
        }
        self.read_contacts(index);
        let renewed = self.leases[index].is_some_and(|id| self.table.renew(id, self.now_us));
        if renewed {
            return;
        }
        self.record.expired_leases += u64::from(self.leases[index].is_some());
        let lease = self.table.grant(LEASE_MS, self.now_us);
        self.leases[index] = Some(lease);
        let key = format!("{CONTACTS}{}", name(index));
        let expected = self
            .table
            .get(&key, self.now_us)
            .map_or(Version::ABSENT, |e| e.version);
        self.table
            .swap(&key, expected, vec![], Some(lease), self.now_us);
    }

    /// Reads from the store which daemons have a live lease.
    fn read_contacts(&mut self, index: usize) {
        let entries = self.table.list(CONTACTS, self.now_us);
        let is_listed = |index| {
            let key = format!("{CONTACTS}{}", name(index));
            entries.iter().any(|entry| entry.key == key)
        };
        self.daemons[index].contacts = std::array::from_fn(is_listed);
    }

    fn fault(&mut self) {
        if self.is_healing() {
            return self.heal();
        }
        self.after(self.now_us % 7 + FAULT_INTERVAL_US, Event::Fault);
        let until_us = self.now_us + self.rng.random_range(500..8_000) * US_PER_MS;
        let index = self.rng.random_range(0..DAEMONS);
        match self.rng.random_range(0..7) {
            0 => self.outage_until_us = until_us,
            1 => self.cut_until_us = until_us,
            2 => self.slow_until_us = until_us,
            3 => self.daemons[index].paused_until_us = until_us,
            4 | 5 => self.restart(index),
            _ => {}
        }
    }

    fn heal(&mut self) {
        self.outage_until_us = 0;
        self.cut_until_us = 0;
        self.slow_until_us = 0;
        for daemon in &mut self.daemons {
            daemon.paused_until_us = 0;
        }
    }

    /// Restarts a daemon with an empty state and a new incarnation.
    fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        self.record.restarts += 1;
        let incarnation = self.incarnations;
        self.daemons[index] = Daemon::new(index, incarnation, self.now_us);
        self.leases[index] = None;
        self.after(0, Event::Watch(index, incarnation));
        self.after(0, Event::Renew(index, incarnation));
    }

    fn schedule_next_change(&mut self, operator: usize) {
        let delay_us = self.rng.random_range(0..5_000) * US_PER_MS;
        self.after(delay_us, Event::BeginChange(operator));
    }

    fn begin_change(&mut self, operator: usize) {
        if self.is_healing() {
            return;
        }
        let daemon = self.rng.random_range(0..DAEMONS);
        if !self.daemons[daemon].is_running(self.now_us) {
            return self.schedule_next_change(operator);
        }
        let serial = self.operators[operator].serial + 1;
        let id = format_smolstr!("operator-{operator}-{serial}");
        let local = Arc::clone(self.daemons[daemon].enforced.config());
        let proposal = self.proposal(&id, local.revision);
        let commit = Commit::new(proposal, local, self.now_us / US_PER_MS);
        self.operators[operator] = Operator {
            daemon,
            incarnation: self.daemons[daemon].incarnation,
            serial,
            commit: Some(commit),
            id,
            began_us: self.now_us,
            confirmation: None,
            answered: false,
        };
        self.after(0, Event::Advance(operator, serial, Input::Begin));
    }

    fn proposal(&mut self, id: &SmolStr, seen: Revision) -> Proposal {
        let weight = self.rng.random_range(0..=100);
        let rules = RulesEdit {
            recovery_weight_percent: Some(weight),
            ..RulesEdit::default()
        };
        Proposal {
            id: id.clone(),
            text: id.clone(),
            if_revision: self.chance(30).then_some(seen),
            edits: vec![
                Edit::CreateService(id.clone(), ServiceEdit::default()),
                Edit::Set(rules),
            ],
        }
    }

    fn advance(&mut self, operator: usize, serial: u64, input: Input) {
        if self.operators[operator].serial != serial || self.operators[operator].answered {
            return;
        }
        if self.has_daemon_restarted(operator) {
            return self.end(operator, Outcome::DaemonRestarted);
        }
        let now_us = self.now_us;
        let Some(commit) = &mut self.operators[operator].commit else {
            return;
        };
        let step = match input {
            Input::Begin => commit.start(),
            Input::Paused => commit.on_pause_end(),
            Input::Read(result) => commit.on_read(result, now_us),
            Input::Written(result) => commit.on_write(result, now_us),
        };
        self.perform(operator, serial, step);
    }

    /// Whether the operator's daemon was restarted, so that the operator gets no answer.
    fn has_daemon_restarted(&self, operator: usize) -> bool {
        let Operator {
            daemon,
            incarnation,
            ..
        } = self.operators[operator];
        self.daemons[daemon].incarnation != incarnation
    }

    fn perform(&mut self, operator: usize, serial: u64, step: Step) {
        match step {
            Step::Read => self.send(StoreCall::Read(operator, serial)),
            Step::Write { expected, value } => {
                self.send(StoreCall::Write(operator, serial, expected, value));
            }
            Step::Pause { pause_ms } => {
                let event = Event::Advance(operator, serial, Input::Paused);
                self.after(u64::from(pause_ms) * US_PER_MS, event);
            }
            Step::Done(Ok(config)) => self.stored(operator, serial, &config),
            Step::Done(Err(error)) => self.failed(operator, &error),
        }
    }

    fn stored(&mut self, operator: usize, serial: u64, config: &Arc<Config>) {
        let Operator { daemon, ref id, .. } = self.operators[operator];
        let change = config.change(id).expect("the change is in its history");
        let revision = change.revision;
        self.record.stored(id, self.now_us);
        self.daemons[daemon].offer(config, self.now_us);
        let wait = ConfirmationWait::new(revision, self.now_us);
        self.operators[operator].confirmation = Some((wait, revision));
        self.after(0, Event::PollConfirmations(operator, serial));
    }

    fn poll_confirmations(&mut self, operator: usize, serial: u64) {
        let Operator {
            daemon,
            confirmation,
            ..
        } = self.operators[operator];
        let Some((wait, revision)) = confirmation else {
            return;
        };
        if self.operators[operator].serial != serial || self.operators[operator].answered {
            return;
        }
        if self.has_daemon_restarted(operator) {
            return self.end(operator, Outcome::DaemonRestarted);
        }
        let pause_us = u64::from(CONFIRM_PAUSE_MS) * US_PER_MS;
        if !self.daemons[daemon].is_running(self.now_us) {
            return self.after(pause_us, Event::PollConfirmations(operator, serial));
        }
        match wait.poll(&self.daemons[daemon], self.now_us) {
            None => self.after(pause_us, Event::PollConfirmations(operator, serial)),
            Some(ChangeStatus::Stored { .. }) => self.end(operator, Outcome::Stored(revision)),
            Some(ChangeStatus::Accepted) => {
                let began_us = self.operators[operator].began_us;
                assert_in_force(revision, &self.daemons, began_us);
                self.end(operator, Outcome::Accepted(revision));
            }
        }
    }

    fn failed(&mut self, operator: usize, error: &CommitError) {
        let outcome = match error {
            CommitError::Conflict { revision, winner } => {
                Outcome::Conflict(*revision, winner.clone())
            }
            CommitError::Unresolved { .. } => Outcome::Unresolved,
            CommitError::Store(_) => Outcome::NotStored,
            other => panic!("{other}"),
        };
        self.end(operator, outcome);
    }

    fn end(&mut self, operator: usize, outcome: Outcome) {
        let Operator {
            ref id, began_us, ..
        } = self.operators[operator];
        self.record.end(id.clone(), began_us, self.now_us, outcome);
        self.operators[operator].answered = true;
        self.schedule_next_change(operator);
    }
}
