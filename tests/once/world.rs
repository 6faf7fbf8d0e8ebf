//! Callers, ingresses and gates under one seeded schedule in virtual time.

use {
    crate::{
        spec::{OnceSpec, Op, Told},
        store::{FakeStore, Weather},
    },
    futures::{pending, task::noop_waker},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        policy::{
            bind::{Attempt, BindKey, BindLimits, Binder},
            once::{Admission, Fate, Once, OnceKey, OnceLimits},
            suspect::Fingerprint,
            ticket::Ticket,
            verdict::{Denial, Heard, Sent, verdict},
        },
        request::{Incarnation, Outcome, Reason},
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
const INGRESSES: usize = 3;
const ATTEMPTS: u32 = 6;
const LIFETIME_MS: u32 = 600;
const SKEW_MS: u32 = 40;
const EPOCH_MS: u64 = 1_000_000;
const MAX_STEPS: u32 = 400_000;

/// How callers name a request that they send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Naming {
    Ticket,
    Key,
}

/// One fault; it strikes once at a random moment and holds for a random time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    DaemonCrash,
    WorkerCrash,
    VmCrash,
    /// A daemon is paused, at times for longer than a ticket lives.
    Pause,
    /// A worker's daemon cannot be reached.
    Cut,
    /// Requests and answers between daemons get lost.
    Loss,
    /// A daemon's clock jumps.
    Clock,
    /// A worker refuses most of what it gets.
    Overload,
    StoreOutage,
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

/// What became of the orders of some schedules.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) orders: u32,
    pub(crate) done: u32,
    pub(crate) not_run: u32,
    pub(crate) unknown: u32,
    /// Orders with an unknown end that did run.
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
type Reply = Rc<Cell<Option<(Heard, u64)>>>;

struct Gate {
    once: Once<u64>,
    incarnation: Incarnation,
    /// Counts the daemon's lives.
    life: u32,
    /// Counts the backend server's lives.
    backend_life: u32,
    paused_until_ms: u64,
    cut_until_ms: u64,
    busy_until_ms: u64,
    offset_ms: u64,
}

struct World {
    rng: ChaCha8Rng,
    now_ms: u64,
    loss_until_ms: u64,
    store_until_ms: u64,
    gates: Vec<Gate>,
    binders: Vec<Rc<Binder>>,
    history: Vec<Vec<(usize, Action<Op>)>>,
    processes: Vec<usize>,
    runs: Vec<u32>,
    spawned: Vec<Task>,
    answers: u64,
    tally: Tally,
}

#[derive(Clone)]
struct Shared {
    world: Rc<RefCell<World>>,
    store: Rc<FakeStore>,
}

#[derive(Clone)]
struct Send {
    order: u32,
    attempt: u32,
    ticket: Ticket,
    /// The caller's own key.
    name: String,
}

/// Runs one schedule and checks the history of each order.
pub(crate) fn run(naming: Naming, faults: &[Fault], seed: u64) -> Tally {
    let shared = Shared::new(seed);
    let mut tasks: Vec<Task> = (0..ORDERS)
        .map(|order| Box::pin(caller(shared.clone(), naming, order)) as Task)
        .collect();
    let mut strikes: Vec<(u64, Fault)> = Vec::new();
    for fault in faults {
        strikes.push((shared.draw(100), *fault));
    }
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    for step in 0.. {
        assert!(step < MAX_STEPS, "seed {seed}: schedule does not end");
        tasks.append(&mut shared.world().spawned);
        if tasks.is_empty() {
            break;
        }
        shared.turn(&mut strikes);
        let index = shared.draw(tasks.len() as u64) as usize;
        if tasks[index].as_mut().poll(&mut context).is_ready() {
            drop(tasks.swap_remove(index));
        }
    }
    shared.check(naming, faults, seed)
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
            store_until_ms: 0,
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

    fn world(&self) -> RefMut<'_, World> {
        self.world.borrow_mut()
    }

    fn now_ms(&self) -> u64 {
        self.world().now_ms
    }

    /// Reads one gate at the present time.
    fn read<T>(&self, at: usize, read: impl Fn(&Gate, u64) -> T) -> T {
        let world = self.world();
        read(&world.gates[at], world.now_ms)
    }

    fn draw(&self, below: u64) -> u64 {
        self.world().rng.random_range(0..below)
    }

    async fn delay(&self, below: u64) {
        let until_ms = self.now_ms() + self.draw(below);
        while self.now_ms() < until_ms {
            pending!();
        }
    }

    fn turn(&self, strikes: &mut Vec<(u64, Fault)>) {
        if self.draw(4) == 0 {
            self.world().now_ms += 1;
        }
        let now_ms = self.world().now_ms;
        let due = strikes.iter().position(|(at_ms, _)| *at_ms <= now_ms);
        if let Some(index) = due {
            let (_, fault) = strikes.swap_remove(index);
            self.strike(fault, now_ms);
        }
        if now_ms >= self.world().store_until_ms {
            self.store.set(Weather::Fair);
        }
        self.store.turn(EPOCH_MS + now_ms);
        if self.draw(20) == 0 {
            let mut world = self.world();
            let index = world.rng.random_range(0..GATES);
            let gate = &mut world.gates[index];
            gate.once.sweep(EPOCH_MS + gate.offset_ms + now_ms, 8);
        }
    }

    fn strike(&self, fault: Fault, now_ms: u64) {
        let mut world = self.world();
        let until_ms = now_ms + world.rng.random_range(20..2 * u64::from(LIFETIME_MS));
        let index = world.rng.random_range(0..GATES);
        let incarnation = Incarnation(world.rng.random());
        let is_ahead = world.rng.random();
        let World {
            gates,
            loss_until_ms,
            store_until_ms,
            ..
        } = &mut *world;
        let gate = &mut gates[index];
        match fault {
            Fault::DaemonCrash | Fault::VmCrash => {
                gate.once = Once::new(limits());
                gate.life += 1;
                gate.incarnation = incarnation;
            }
            Fault::WorkerCrash => gate.incarnation = incarnation,
            Fault::Pause => gate.paused_until_ms = until_ms,
            Fault::Cut => gate.cut_until_ms = until_ms,
            Fault::Clock if is_ahead => gate.offset_ms += 3 * u64::from(LIFETIME_MS),
            Fault::Clock => gate.offset_ms = 0,
            Fault::Overload => gate.busy_until_ms = until_ms,
            Fault::Loss => *loss_until_ms = until_ms,
            Fault::StoreOutage | Fault::StoreLoss => *store_until_ms = until_ms,
        }
        if matches!(fault, Fault::WorkerCrash | Fault::VmCrash) {
            gate.backend_life += 1;
        }
        match fault {
            Fault::StoreOutage => self.store.set(Weather::Outage),
            Fault::StoreLoss => self.store.set(Weather::Lossy),
            _ => {}
        }
    }

    /// A message between daemons is lost.
    fn loses(&self) -> bool {
        let is_lossy = {
            let world = self.world();
            world.now_ms < world.loss_until_ms
        };
        is_lossy && self.draw(3) == 0
    }

    fn mint(&self, order: u32) -> Ticket {
        let mut world = self.world();
        let index = world.rng.random_range(0..GATES);
        let skew_ms = world.rng.random_range(0..u64::from(SKEW_MS));
        let now_unix_ms = EPOCH_MS + world.now_ms + skew_ms;
        let incarnation = world.gates[index].incarnation;
        let addr = SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16));
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

    fn record(&self, order: u32, process: usize, action: Action<Op>) {
        self.world().history[order as usize].push((process, action));
    }

    fn process(&self, order: u32) -> usize {
        let mut world = self.world();
        let process = &mut world.processes[order as usize];
        *process += 1;
        *process
    }

    fn run(&self, send: &Send) -> u64 {
        let answer = {
            let mut world = self.world();
            world.answers += 1;
            world.runs[send.order as usize] += 1;
            world.answers
        };
        let process = self.process(send.order);
        let op = Op::Run {
            attempt: send.attempt,
            answer,
        };
        self.record(send.order, process, Action::Call(op));
        self.record(send.order, process, Action::Response(op));
        answer
    }

    fn check(&self, naming: Naming, faults: &[Fault], seed: u64) -> Tally {
        let world = self.world();
        for (order, actions) in world.history.iter().enumerate() {
            let is_valid =
                WGLChecker::<OnceSpec>::is_linearizable(History::from_actions(actions.clone()));
            assert!(
                is_valid,
                "{naming:?} {faults:?} seed {seed} order {order}: {actions:#?}"
            );
        }
        assert!(
            world.runs.iter().all(|runs| *runs <= 1),
            "seed {seed}: ran twice"
        );
        world.tally
    }
}

impl Gate {
    fn new(rng: &mut ChaCha8Rng) -> Self {
        Self {
            once: Once::new(limits()),
            incarnation: Incarnation(rng.random()),
            life: 0,
            backend_life: 0,
            paused_until_ms: 0,
            cut_until_ms: 0,
            busy_until_ms: 0,
            offset_ms: rng.random_range(0..u64::from(SKEW_MS)),
        }
    }
}

fn limits() -> OnceLimits {
    OnceLimits {
        max_entries: 5,
        max_refused: 2,
        max_answer_bytes: 40,
        max_lifetime_ms: LIFETIME_MS,
        max_skew_ms: SKEW_MS,
    }
}

fn index(ticket: &Ticket) -> usize {
    usize::from(ticket.call_addr.port() - 7_000)
}

/// Sends until it knows, or has tried often enough; takes a new ticket when told not-run.
async fn caller(shared: Shared, naming: Naming, order: u32) {
    shared.delay(100).await;
    let mut first_sent_unix_ms = None;
    let mut name = String::from("key/0");
    let mut ticket = shared.mint(order);
    let mut is_first = true;
    let mut last = Told::NotRun;
    for attempt in 1..=ATTEMPTS {
        shared.world().tally.attempts += 1;
        first_sent_unix_ms.get_or_insert(EPOCH_MS + shared.now_ms());
        let names = Attempt {
            is_first,
            first_sent_unix_ms,
        };
        let send = Send {
            order,
            attempt,
            ticket: ticket.clone(),
            name: name.clone(),
        };
        last = ask(&shared, naming, names, send).await;
        match last {
            Told::Done(_) => break,
            Told::NotRun => {
                ticket = shared.mint(order);
                name = format!("key/{attempt}");
                first_sent_unix_ms = None;
                is_first = true;
            }
            Told::Unknown | Told::Nothing => is_first = false,
        }
        shared.delay(1 << (attempt + 2)).await;
    }
    let mut world = shared.world();
    let ran = world.runs[order as usize];
    let is_known = is_first || matches!(last, Told::Done(_) | Told::NotRun);
    let tally = &mut world.tally;
    tally.orders += 1;
    tally.done += u32::from(matches!(last, Told::Done(_)));
    tally.not_run += u32::from(is_known && last == Told::NotRun);
    tally.unknown += u32::from(!is_known);
    tally.unknown_but_ran += u32::from(!is_known && ran > 0);
}

/// One attempt, as the caller sees it.
async fn ask(shared: &Shared, naming: Naming, names: Attempt, send: Send) -> Told {
    let process = shared.process(send.order);
    let (order, attempt) = (send.order, send.attempt);
    let op = |told| Op::Attempt { attempt, told };
    shared.record(order, process, Action::Call(op(Told::Nothing)));
    let reply: Rc<Cell<Option<Told>>> = Rc::default();
    let task = {
        let (shared, reply) = (shared.clone(), Rc::clone(&reply));
        async move { reply.set(Some(ingress(&shared, naming, names, send).await)) }
    };
    shared.world().spawned.push(Box::pin(task));
    let patience_ms = 10 + shared.draw(120);
    let until_ms = shared.now_ms() + patience_ms;
    while reply.get().is_none() && shared.now_ms() < until_ms {
        pending!();
    }
    let told = reply.get().unwrap_or(Told::Nothing);
    shared.record(order, process, Action::Response(op(told)));
    told
}

async fn ingress(shared: &Shared, naming: Naming, names: Attempt, send: Send) -> Told {
    match naming {
        Naming::Ticket => judge(names, call(shared, &send).await),
        Naming::Key => keyed(shared, names, send).await,
    }
}

/// Binds the caller's key, and binds it anew if the bound ticket certainly never runs.
async fn keyed(shared: &Shared, names: Attempt, mut send: Send) -> Told {
    let at = shared.draw(INGRESSES as u64) as usize;
    let binder = Rc::clone(&shared.world().binders[at]);
    let service = send.ticket.service.clone();
    let Ok(key) = BindKey::new(&service, &send.name) else {
        return Told::Nothing;
    };
    let store = &*shared.store;
    let now_ms = shared.now_ms();
    let (now_us, now_unix_ms) = (now_ms * 1_000, EPOCH_MS + now_ms);
    let fresh = Ticket {
        minted_unix_ms: now_unix_ms,
        expires_unix_ms: now_unix_ms + u64::from(LIFETIME_MS),
        ..shared.mint(send.order)
    };
    let bound = binder
        .bind(store, &key, &fresh, names, now_us, now_unix_ms)
        .await;
    let found = match bound {
        Ok(found) => found,
        Err(error) => return told(error.refusal(names, binder.limits()).outcome),
    };
    send.ticket = found.ticket.clone();
    let heard = call(shared, &send).await;
    let Heard::Denial(denial) = heard.0.0 else {
        return judge(names, heard);
    };
    let Ok(spent) = found.spent(denial) else {
        return judge(names, heard);
    };
    let now_ms = shared.now_ms();
    let (now_us, now_unix_ms) = (now_ms * 1_000, EPOCH_MS + now_ms);
    let fresh = Ticket {
        minted_unix_ms: now_unix_ms,
        expires_unix_ms: now_unix_ms + u64::from(LIFETIME_MS),
        ..shared.mint(send.order)
    };
    match binder
        .rebind(store, &key, spent, &fresh, now_us, now_unix_ms)
        .await
    {
        Ok(bound) => send.ticket = bound.ticket,
        Err(error) => return told(error.refusal(names, binder.limits()).outcome),
    }
    judge(names, call(shared, &send).await)
}

fn judge(names: Attempt, ((heard, answer), sent): ((Heard, u64), Sent)) -> Told {
    match verdict(names.is_first, sent, heard) {
        Ok(()) => Told::Done(answer),
        Err(refusal) => told(refusal.outcome),
    }
}

/// Sends to the ticket's gate, once more if there is no answer.
async fn call(shared: &Shared, send: &Send) -> ((Heard, u64), Sent) {
    let (first, sent) = deliver(shared, send).await;
    if !matches!(first.0, Heard::Nothing(_)) {
        return (first, sent);
    }
    let (second, sent_again) = deliver(shared, send).await;
    match sent {
        Sent::Nothing => (second, sent_again),
        Sent::MayHave => (second, sent),
    }
}

fn told(outcome: Outcome) -> Told {
    match outcome {
        Outcome::NotRun => Told::NotRun,
        _ => Told::Unknown,
    }
}

/// One send to a gate; tells what it may have left behind if it has no answer.
async fn deliver(shared: &Shared, send: &Send) -> ((Heard, u64), Sent) {
    let gate = index(&send.ticket);
    let is_cut = || shared.read(gate, |gate, now_ms| now_ms < gate.cut_until_ms);
    shared.delay(6).await;
    if is_cut() {
        return ((Heard::Nothing(Reason::Unreachable), 0), Sent::Nothing);
    }
    let broken = ((Heard::Nothing(Reason::Broken), 0), Sent::MayHave);
    if shared.loses() {
        return broken;
    }
    let life = shared.read(gate, |gate, _| gate.life);
    let reply: Reply = Rc::default();
    let task = serve(shared.clone(), send.clone(), Rc::clone(&reply));
    shared.world().spawned.push(Box::pin(task));
    loop {
        pending!();
        let is_dead = shared.read(gate, |gate, _| gate.life) != life;
        if is_dead || is_cut() {
            return broken;
        }
        if let Some(answer) = reply.get() {
            let is_lost = shared.loses();
            return if is_lost {
                broken
            } else {
                (answer, Sent::Nothing)
            };
        }
    }
}

/// The gate's side of one send.
async fn serve(shared: Shared, send: Send, reply: Reply) {
    let at = index(&send.ticket);
    let life = shared.read(at, |gate, _| gate.life);
    let is_alive = || shared.read(at, |gate, _| gate.life) == life;
    rest(&shared, at).await;
    if !is_alive() {
        return;
    }
    let fingerprint = Fingerprint::new(&send.ticket.service, "POST", "/", b"flour");
    let admission = {
        let mut world = shared.world();
        let now_ms = world.now_ms;
        let gate = &mut world.gates[at];
        let now_unix_ms = EPOCH_MS + gate.offset_ms + now_ms;
        let local = gate.incarnation;
        gate.once
            .admit(&send.ticket, fingerprint, local, now_unix_ms)
    };
    let answer = match admission {
        Admission::Run(key) => work(&shared, at, life, key, &send).await,
        Admission::Join(key) => wait(&shared, at, life, key).await,
        Admission::Replay(answer) => Some((Heard::Answer, *answer)),
        Admission::Deny(denial) => Some((Heard::Denial(denial), 0)),
    };
    if let Some(answer) = answer {
        rest(&shared, at).await;
        reply.set(Some(answer));
    }
}

/// A pause of the daemon, and some time on top.
async fn rest(shared: &Shared, at: usize) {
    shared.delay(10).await;
    while shared.read(at, |gate, now_ms| now_ms < gate.paused_until_ms) {
        pending!();
    }
}

async fn work(
    shared: &Shared,
    at: usize,
    life: u32,
    key: OnceKey,
    send: &Send,
) -> Option<(Heard, u64)> {
    let deny = |denial: Denial| Some((Heard::Denial(denial), 0));
    rest(shared, at).await;
    let backend_life = {
        let mut world = shared.world();
        let is_busy = world.now_ms < world.gates[at].busy_until_ms;
        let is_shed = world.rng.random_ratio(if is_busy { 9 } else { 1 }, 12);
        let gate = &mut world.gates[at];
        if gate.life != life {
            return None;
        }
        if is_shed || gate.incarnation != send.ticket.incarnation {
            return deny(gate.once.refuse(key, Reason::Overload));
        }
        if !gate.once.start(key) {
            return None;
        }
        gate.backend_life
    };
    shared.delay(20).await;
    let has_died = shared.read(at, |gate, _| gate.backend_life) != backend_life;
    let is_run = !has_died || shared.draw(2) == 0;
    let answer = if is_run { shared.run(send) } else { 0 };
    rest(shared, at).await;
    let mut world = shared.world();
    let gate = &mut world.gates[at];
    if gate.life != life {
        return None;
    }
    if gate.backend_life != backend_life {
        return deny(gate.once.lose(key, Reason::Broken));
    }
    gate.once.finish(key, answer.into(), 10);
    Some((Heard::Answer, answer))
}

async fn wait(shared: &Shared, at: usize, life: u32, key: OnceKey) -> Option<(Heard, u64)> {
    loop {
        pending!();
        let world = shared.world();
        let gate = &world.gates[at];
        if gate.life != life {
            return None;
        }
        let denial = match gate.once.fate(key) {
            Some(Fate::Admitted | Fate::Started) => continue,
            Some(Fate::Done(answer)) => return Some((Heard::Answer, **answer)),
            Some(Fate::Refused(reason)) => Denial::Never(*reason),
            Some(Fate::Ran) => Denial::Maybe(Reason::Broken),
            Some(Fate::Lost(reason)) => Denial::Maybe(*reason),
            None => Denial::NotNow(Reason::TicketVoid),
        };
        return Some((Heard::Denial(denial), 0));
    }
}
