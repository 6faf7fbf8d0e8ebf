//! Backend servers that keep a record of what they ran.
//!
//! The request's path says what to do: `/WORD/NAME`, with the words of [`Servers`]' `work`.

use {
    crate::{
        spec::Op,
        world::{World, index_of, pause_ms},
    },
    async_trait::async_trait,
    futures::future::{BoxFuture, Either, join_all, select},
    parking_lot::Mutex,
    shallotdeal::{
        backend::{Backend, BackendError, CallContext},
        call::{Answer, Request},
        ingress::{Handle, Incoming, Origin},
        request::RequestId,
    },
    smol_str::{SmolStr, format_smolstr},
    std::{collections::HashMap, net::SocketAddr, pin::pin, sync::Arc},
    todc_utils::Action,
};

const RUNS_FROM: usize = 1_000_000;
const WORK_MS: u64 = 2;
const STEP_MS: u64 = 2;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    Answered,
    Broke,
    TimedOut,
    Dropped,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) at: usize,
    pub(crate) target: SmolStr,
    pub(crate) ended: Option<Ended>,
}

#[derive(Debug, Default)]
struct State {
    lives: Vec<u64>,
    is_up: Vec<bool>,
    is_paused: Vec<bool>,
    runs: Vec<Run>,
    deaths: usize,
    log: Vec<Entry>,
    /// Runs at each place of a call tree that fail before they are answered.
    failing: HashMap<SmolStr, u32>,
}

/// What happened to one order, in order of time.
pub(crate) type Entry = (SmolStr, usize, Action<Op>);

/// All backend servers.
#[derive(Clone)]
pub(crate) struct Servers(Arc<Mutex<State>>);

/// The backend servers, with the daemons that they call.
pub(crate) struct Attached {
    servers: Servers,
    world: Arc<World>,
}

impl Servers {
    pub(crate) fn new(count: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            lives: vec![0; count],
            is_up: vec![true; count],
            is_paused: vec![false; count],
            ..State::default()
        })))
    }

    pub(crate) fn of(self, world: Arc<World>) -> Attached {
        Attached {
            servers: self,
            world,
        }
    }

    pub(crate) fn life(&self, index: usize) -> u64 {
        self.0.lock().lives[index]
    }

    pub(crate) fn crash(&self, index: usize) {
        let mut state = self.0.lock();
        state.lives[index] += 1;
        state.is_up[index] = false;
        state.deaths += 1;
    }

    pub(crate) fn start(&self, index: usize) {
        self.0.lock().is_up[index] = true;
    }

    pub(crate) fn is_up(&self, index: usize) -> bool {
        self.0.lock().is_up[index]
    }

    pub(crate) fn set_paused(&self, index: usize, is_paused: bool) {
        self.0.lock().is_paused[index] = is_paused;
    }

    pub(crate) fn fail(&self, place: &str, times: u32) {
        self.0.lock().failing.insert(place.into(), times);
    }

    pub(crate) fn deaths(&self) -> usize {
        self.0.lock().deaths
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.0.lock().runs.clone()
    }

    pub(crate) fn note(&self, target: &str, process: usize, action: Action<Op>) {
        self.0.lock().log.push((target.into(), process, action));
    }

    pub(crate) fn log(&self) -> Vec<Entry> {
        self.0.lock().log.clone()
    }

    /// Works until done; false if the server died meanwhile.
    async fn work(&self, at: usize, life: u64, work_ms: u64) -> bool {
        let mut done_ms = 0;
        while done_ms < work_ms {
            pause_ms(STEP_MS).await;
            let state = self.0.lock();
            if state.lives[at] != life {
                return false;
            }
            done_ms += STEP_MS * u64::from(!state.is_paused[at]);
        }
        true
    }
}

/// Marks a run that nobody waits for any more.
struct Guard {
    servers: Servers,
    index: usize,
}

impl Guard {
    fn end(&self, ended: Ended) {
        self.servers.0.lock().runs[self.index].ended = Some(ended);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.servers.0.lock();
        state.runs[self.index].ended.get_or_insert(Ended::Dropped);
    }
}

#[async_trait]
impl Backend for Attached {
    async fn run(
        &self,
        addr: SocketAddr,
        request: &Request,
        instructions: &CallContext,
    ) -> Result<Answer, BackendError> {
        let at = index_of(addr);
        let error = |step, may_have_run, timed_out| BackendError {
            step,
            peer: addr,
            detail: "fault".into(),
            may_have_run,
            timed_out,
        };
        if !self.servers.is_up(at) {
            return Err(error("connect", false, false));
        }
        let guard = self.begin(at, request);
        let work = self.serve(at, guard.index, request, instructions);
        let limit_ms = instructions.remaining_us.div_ceil(1_000);
        let limit = pin!(pause_ms(limit_ms));
        let worked = select(work, limit).await;
        let (ended, result) = match worked {
            Either::Left((Some(answer), _)) => (Ended::Answered, Ok(answer)),
            Either::Left((None, _)) => (Ended::Broke, Err(error("read", true, false))),
            Either::Right(_) => (Ended::TimedOut, Err(error("read", true, true))),
        };
        guard.end(ended);
        result
    }

    async fn is_listening(&self, addr: SocketAddr) -> bool {
        self.servers.is_up(index_of(addr))
    }
}

impl Attached {
    fn begin(&self, at: usize, request: &Request) -> Guard {
        let attempt = request.headers.iter().find(|one| one.name == "attempt");
        let attempt = attempt.map_or(0, |one| one.value.parse().expect("a number"));
        let mut state = self.servers.0.lock();
        state.runs.push(Run {
            at,
            target: request.target.clone(),
            ended: None,
        });
        let index = state.runs.len() - 1;
        let answer = index as u64;
        let op = Op::Run { attempt, answer };
        for action in [Action::Call(op), Action::Response(op)] {
            let process = RUNS_FROM + index;
            state.log.push((request.target.clone(), process, action));
        }
        Guard {
            servers: self.servers.clone(),
            index,
        }
    }

    /// Boxed, so that nested calls may come back to the same server.
    fn serve<'a>(
        &'a self,
        at: usize,
        run: usize,
        request: &'a Request,
        instructions: &'a CallContext,
    ) -> BoxFuture<'a, Option<Answer>> {
        Box::pin(async move {
            let life = self.servers.life(at);
            let (task, name) = request.target[1..].split_once('/').expect("a path");
            match task {
                "slow" => {
                    let work_ms = name.split('-').next().expect("a number").parse();
                    self.servers
                        .work(at, life, work_ms.expect("a number"))
                        .await
                        .then_some(())?;
                }
                "kill" => {
                    self.servers.work(at, life, WORK_MS).await;
                    let world = Arc::clone(&self.world);
                    drop(async_std::task::spawn_local(async move {
                        world.crash_server(at, 10).await;
                    }));
                    self.servers.work(at, life, 1_000).await.then_some(())?;
                }
                "panic" => panic!("as asked"),
                "tree" => self.branch(at, life, name, instructions).await?,
                _ => self.servers.work(at, life, WORK_MS).await.then_some(())?,
            }
            let body = format!("{} {} {run}", instructions.request_id, request.target);
            Some(Answer {
                status: 200,
                headers: Vec::new(),
                body: body.into_bytes(),
            })
        })
    }

    /// Calls the places below this one at once; `None` if this place fails now.
    async fn branch(
        &self,
        at: usize,
        life: u64,
        name: &str,
        instructions: &CallContext,
    ) -> Option<()> {
        const FAN_OUT: usize = 3;
        const DEPTH: usize = 4;
        let is_failing = {
            let mut state = self.servers.0.lock();
            let left = state.failing.get_mut(name);
            left.is_some_and(|left| std::mem::replace(left, left.saturating_sub(1)) > 0)
        };
        let depth = name.split('.').count();
        if depth < DEPTH {
            let calls = (0..FAN_OUT)
                .map(|child| self.call(at, format_smolstr!("{name}.{child}"), instructions));
            let whole = join_all(calls).await.into_iter().all(|is_whole| is_whole);
            whole.then_some(())?;
        }
        self.servers.work(at, life, 1).await.then_some(())?;
        (!is_failing).then_some(())
    }

    async fn call(&self, at: usize, place: SmolStr, instructions: &CallContext) -> bool {
        let services = ["orders", "stock"];
        let service = services[place.split('.').count() % 2];
        let incoming = Incoming {
            origin: Origin::Nested(instructions.call_id.clone()),
            request_id: RequestId(0),
            ..crate::world::incoming(service, "read", &format!("/tree/{place}"), 0)
        };
        let answer = self.world.node(at).handle(incoming).await;
        let Ok(answer) = answer else { return false };
        let expected = format!("{} /tree/{place} ", instructions.request_id);
        let is_own = answer.body.starts_with(expected.as_bytes());
        assert!(is_own, "another request's answer");
        true
    }
}
