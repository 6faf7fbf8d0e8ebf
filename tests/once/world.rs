//! Callers, ingresses and gates, run under one seeded schedule in virtual time.

use {
    crate::{
        callers::caller,
        gates::{Gate, PORT, limits},
        spec::{OnceSpec, Op},
        store::{Condition, FakeStore},
    },
    futures::{pending, task::noop_waker},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::{
            bind::{BindLimits, Binder},
            dedup::DedupTable,
            outcome::GateReply,
            ticket::Ticket,
        },
        request::Incarnation,
    },
    std::{
        cell::{Cell, RefCell, RefMut},
        net::SocketAddr,
        pin::Pin,
        rc::Rc,
        task::Context,
    },
    todc_utils::{Action, History, WGLChecker},
};

const ORDERS: u32 = 8;
const GATES: usize = 3;
pub(crate) const INGRESSES: usize = 3;
pub(crate) const ATTEMPTS: u32 = 6;
pub(crate) const LIFETIME_MS: u32 = 600;
pub(crate) const SKEW_MS: u32 = 40;
pub(crate) const EPOCH_MS: u64 = 1_000_000;
const MAX_STEPS: u32 = 400_000;

/// How a caller identifies an order that it sends again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderIdentity {
    Ticket,
    Key,
}

/// Fault that is injected once, at a random time and for a random duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    DaemonCrash,
    WorkerCrash,
    VmCrash,
    /// A daemon is paused, sometimes for longer than the lifetime of a ticket.
    Pause,
    /// A worker's daemon cannot be reached.
    Cut,
    /// Requests and answers between daemons are lost at random.
    Loss,
    /// A daemon's clock jumps.
    Clock,
    /// A worker refuses most requests.
    Overload,
    StoreOutage,
    /// The store loses some answers, and applies some writes late.
    StoreLoss,
}

pub(crate) const FAULTS: [Fault; 10] = [
    Fault::DaemonCrash,
    Fault::WorkerCrash,
    Fault::VmCrash,
    Fault::Pause,
    Fault::Cut,
    Fault::Loss,
    Fault::Clock,
    Fault::Overload,
    Fault::StoreOutage,
    Fault::StoreLoss,
];

/// Number of orders by outcome, over one or more schedules.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) orders: u32,
    pub(crate) done: u32,
    pub(crate) not_run: u32,
    pub(crate) unknown: u32,
    /// Orders with an unknown outcome that did run.
    pub(crate) unknown_but_ran: u32,
    pub(crate) attempts: u32,
}

impl Tally {
    pub(crate) fn add(&mut self, other: Tally) {
        self.orders += other.orders;
        self.done += other.done;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unknown_but_ran += other.unknown_but_ran;
        self.attempts += other.attempts;
    }
}

type Task = Pin<Box<dyn Future<Output = ()>>>;
pub(crate) type Reply = Rc<Cell<Option<(GateReply, u64)>>>;

pub(crate) struct World {
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now_ms: u64,
    pub(crate) loss_until_ms: u64,
    /// End of the store's fault.
    pub(crate) store_fault_until_ms: u64,
    pub(crate) gates: Vec<Gate>,
    pub(crate) binders: Vec<Rc<Binder>>,
    pub(crate) history: Vec<Vec<(usize, Action<Op>)>>,
    pub(crate) processes: Vec<usize>,
    pub(crate) runs: Vec<u32>,
    pub(crate) spawned: Vec<Task>,
    pub(crate) answers: u64,
    pub(crate) tally: Tally,
}

#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) world: Rc<RefCell<World>>,
    pub(crate) store: Rc<FakeStore>,
}

#[derive(Clone)]
pub(crate) struct Message {
    pub(crate) order: u32,
    pub(crate) attempt: u32,
    pub(crate) ticket: Ticket,
    /// The caller's own idempotency key.
    pub(crate) key: String,
}

/// Runs one schedule and checks the history of each order.
pub(crate) fn run(identity: OrderIdentity, faults: &[Fault], seed: u64) -> Tally {
    let shared = Shared::new(seed);
    let mut tasks: Vec<Task> = (0..ORDERS)
        .map(|order| Box::pin(caller(shared.clone(), identity, order)) as Task)
        .collect();
    let mut planned_faults: Vec<(u64, Fault)> = Vec::new();
    for fault in faults {
        planned_faults.push((shared.draw(100), *fault));
    }
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    for step in 0.. {
        assert!(step < MAX_STEPS, "seed {seed}: schedule does not end");
        tasks.append(&mut shared.world().spawned);
        if tasks.is_empty() {
            break;
        }
        shared.advance(&mut planned_faults);
        let index = shared.draw(tasks.len() as u64) as usize;
        if tasks[index].as_mut().poll(&mut context).is_ready() {
            drop(tasks.swap_remove(index));
        }
    }
    shared.check(identity, faults, seed)
}

impl Shared {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limits = BindLimits {
            calls_per_min: 600_000,
            burst: 1_000,
            timeout_ms: 60_000,
            max_lifetime_ms: LIFETIME_MS,
            max_skew_ms: SKEW_MS,
            lease_use_ms: 100,
            retry_after_ms: 10,
        };
        let gates = (0..GATES).map(|_| Gate::new(&mut rng)).collect();
        let world = World {
            rng,
            now_ms: 0,
            loss_until_ms: 0,
            store_fault_until_ms: 0,
            gates,
            binders: (0..INGRESSES)
                .map(|_| Rc::new(Binder::new(limits)))
                .collect(),
            history: vec![Vec::new(); ORDERS as usize],
            processes: vec![0; ORDERS as usize],
            runs: vec![0; ORDERS as usize],
            spawned: Vec::new(),
            answers: 0,
            tally: Tally::default(),
        };
        Self {
            world: Rc::new(RefCell::new(world)),
            store: Rc::new(FakeStore::new(!seed)),
        }
    }

    pub(crate) fn world(&self) -> RefMut<'_, World> {
        self.world.borrow_mut()
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.world().now_ms
    }

    /// Reads one gate at the present virtual time.
    pub(crate) fn read<T>(&self, at: usize, read: impl Fn(&Gate, u64) -> T) -> T {
        let world = self.world();
        read(&world.gates[at], world.now_ms)
    }

    /// Draws a random number below `below`.
    pub(crate) fn draw(&self, below: u64) -> u64 {
        self.world().rng.random_range(0..below)
    }

    /// Waits for a random time below `below` milliseconds.
    pub(crate) async fn delay(&self, below: u64) {
        let until_ms = self.now_ms() + self.draw(below);
        while self.now_ms() < until_ms {
            pending!();
        }
    }

    /// Advances virtual time at random, and injects the faults that are due.
    fn advance(&self, planned_faults: &mut Vec<(u64, Fault)>) {
        if self.draw(4) == 0 {
            self.world().now_ms += 1;
        }
        let now_ms = self.world().now_ms;
        let due = planned_faults
            .iter()
            .position(|(at_ms, _)| *at_ms <= now_ms);
        if let Some(index) = due {
            let (_, fault) = planned_faults.swap_remove(index);
            self.inject(fault, now_ms);
        }
        if now_ms >= self.world().store_fault_until_ms {
            self.store.set(Condition::Healthy);
        }
        self.store.advance(EPOCH_MS + now_ms);
        if self.draw(20) == 0 {
            let mut world = self.world();
            let index = world.rng.random_range(0..GATES);
            let gate = &mut world.gates[index];
            gate.dedup.sweep(EPOCH_MS + gate.offset_ms + now_ms, 8);
        }
    }

    fn inject(&self, fault: Fault, now_ms: u64) {
        let mut world = self.world();
        let until_ms = now_ms + world.rng.random_range(20..2 * u64::from(LIFETIME_MS));
        let index = world.rng.random_range(0..GATES);
        let incarnation = Incarnation(world.rng.random());
        let is_ahead = world.rng.random();
        let World {
            gates,
            loss_until_ms,
            store_fault_until_ms,
            ..
        } = &mut *world;
        let gate = &mut gates[index];
        match fault {
            Fault::DaemonCrash | Fault::VmCrash => {
                gate.dedup = DedupTable::new(limits());
                gate.generation += 1;
                gate.incarnation = incarnation;
            }
            Fault::WorkerCrash => gate.incarnation = incarnation,
            Fault::Pause => gate.paused_until_ms = until_ms,
            Fault::Cut => gate.cut_until_ms = until_ms,
            Fault::Clock if is_ahead => gate.offset_ms += 3 * u64::from(LIFETIME_MS),
            Fault::Clock => gate.offset_ms = 0,
            Fault::Overload => gate.busy_until_ms = until_ms,
            Fault::Loss => *loss_until_ms = until_ms,
            Fault::StoreOutage | Fault::StoreLoss => *store_fault_until_ms = until_ms,
        }
        if matches!(fault, Fault::WorkerCrash | Fault::VmCrash) {
            gate.backend_generation += 1;
        }
        match fault {
            Fault::StoreOutage => self.store.set(Condition::Outage),
            Fault::StoreLoss => self.store.set(Condition::Lossy),
            _ => {}
        }
    }

    /// Returns whether a message between daemons is lost.
    pub(crate) fn loses_message(&self) -> bool {
        let is_lossy = {
            let world = self.world();
            world.now_ms < world.loss_until_ms
        };
        is_lossy && self.draw(3) == 0
    }

    pub(crate) fn mint(&self, order: u32) -> Ticket {
        let mut world = self.world();
        let index = world.rng.random_range(0..GATES);
        let skew_ms = world.rng.random_range(0..u64::from(SKEW_MS));
        let now_unix_ms = EPOCH_MS + world.now_ms + skew_ms;
        let incarnation = world.gates[index].incarnation;
        let addr = SocketAddr::from(([127, 0, 0, 1], PORT + index as u16));
        let service = format!("orders-{order}").into();
        Ticket::mint(
            addr,
            incarnation,
            service,
            LIFETIME_MS,
            now_unix_ms,
            &mut world.rng,
        )
    }

    pub(crate) fn record(&self, order: u32, process: usize, action: Action<Op>) {
        self.world().history[order as usize].push((process, action));
    }

    /// Number of a new process in the history of an order.
    pub(crate) fn new_process(&self, order: u32) -> usize {
        let mut world = self.world();
        let process = &mut world.processes[order as usize];
        *process += 1;
        *process
    }

    /// Runs an order at the backend server, and records it in the history.
    pub(crate) fn run(&self, message: &Message) -> u64 {
        let answer = {
            let mut world = self.world();
            world.answers += 1;
            world.runs[message.order as usize] += 1;
            world.answers
        };
        let process = self.new_process(message.order);
        let op = Op::Run {
            attempt: message.attempt,
            answer,
        };
        self.record(message.order, process, Action::Call(op));
        self.record(message.order, process, Action::Response(op));
        answer
    }

    /// Checks that each history is linearizable and no order ran twice.
    fn check(&self, identity: OrderIdentity, faults: &[Fault], seed: u64) -> Tally {
        let world = self.world();
        for (order, actions) in world.history.iter().enumerate() {
            let is_valid =
                WGLChecker::<OnceSpec>::is_linearizable(History::from_actions(actions.clone()));
            assert!(
                is_valid,
                "{identity:?} {faults:?} seed {seed} order {order}: {actions:#?}"
            );
        }
        assert!(
            world.runs.iter().all(|runs| *runs <= 1),
            "seed {seed}: ran twice"
        );
        world.tally
    }
}
