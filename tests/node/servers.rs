//! Simulated backend servers that record the requests they run.
//!
//! The path of a request tells a server what to do: `/TASK/NAME`, see [`ClusterBackend`]'s `serve`.

use {
    crate::{
        cluster::{Cluster, index_of, pause_ms},
        spec::Op,
    },
    async_trait::async_trait,
    futures::future::{BoxFuture, Either, join_all, select},
    parking_lot::Mutex,
    shallotdeal::{
        backend::{Backend, BackendError, CallContext},
        call::{Answer, Request},
        ingress::{Handler, IncomingRequest, Origin},
        request::RequestId,
    },
    smol_str::{SmolStr, format_smolstr},
    std::{collections::HashMap, net::SocketAddr, pin::pin, sync::Arc},
    todc_utils::Action,
};

/// Process number of the first run in the log; attempts have lower numbers.
const FIRST_RUN_PROCESS: usize = 1_000_000;
const WORK_MS: u64 = 2;
const POLL_INTERVAL_MS: u64 = 2;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Answered,
    Broken,
    TimedOut,
    Dropped,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) at: usize,
    pub(crate) target: SmolStr,
    pub(crate) ended: Option<RunEnd>,
}

#[derive(Debug, Default)]
struct State {
    incarnations: Vec<u64>,
    is_up: Vec<bool>,
    is_paused: Vec<bool>,
    runs: Vec<Run>,
    crashes: usize,
    log: Vec<Entry>,
    /// For nodes of a call tree: the number of runs that fail before one is answered.
    failing: HashMap<SmolStr, u32>,
}

/// Event of one order: its target, the process and the action; entries are ordered by time.
pub(crate) type Entry = (SmolStr, usize, Action<Op>);

/// State of all backend servers.
#[derive(Clone)]
pub(crate) struct Servers(Arc<Mutex<State>>);

/// The backend servers as a daemon's backend; they call the daemons of the cluster.
pub(crate) struct ClusterBackend {
    servers: Servers,
    cluster: Arc<Cluster>,
}

impl Servers {
    pub(crate) fn new(count: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            incarnations: vec![0; count],
            is_up: vec![true; count],
            is_paused: vec![false; count],
            ..State::default()
        })))
    }

    pub(crate) fn backend_for(self, cluster: Arc<Cluster>) -> ClusterBackend {
        ClusterBackend {
            servers: self,
            cluster,
        }
    }

    pub(crate) fn incarnation(&self, index: usize) -> u64 {
        self.0.lock().incarnations[index]
    }

    pub(crate) fn crash(&self, index: usize) {
        let mut state = self.0.lock();
        state.incarnations[index] += 1;
        state.is_up[index] = false;
        state.crashes += 1;
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

    pub(crate) fn fail_tree_node(&self, tree_node: &str, times: u32) {
        self.0.lock().failing.insert(tree_node.into(), times);
    }

    pub(crate) fn crashes(&self) -> usize {
        self.0.lock().crashes
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.0.lock().runs.clone()
    }

    pub(crate) fn record(&self, target: &str, process: usize, action: Action<Op>) {
        self.0.lock().log.push((target.into(), process, action));
    }

    pub(crate) fn log(&self) -> Vec<Entry> {
        self.0.lock().log.clone()
    }

    /// Waits until the work is done; false if the server crashed meanwhile.
    async fn work(&self, at: usize, incarnation: u64, work_ms: u64) -> bool {
        let mut done_ms = 0;
        while done_ms < work_ms {
            pause_ms(POLL_INTERVAL_MS).await;
            let state = self.0.lock();
            if state.incarnations[at] != incarnation {
                return false;
            }
            done_ms += POLL_INTERVAL_MS * u64::from(!state.is_paused[at]);
        }
        true
    }
}

/// Marks a run as dropped unless it has ended before.
struct RunGuard {
    servers: Servers,
    index: usize,
}

impl RunGuard {
    fn end(&self, ended: RunEnd) {
        self.servers.0.lock().runs[self.index].ended = Some(ended);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.servers.0.lock();
        state.runs[self.index].ended.get_or_insert(RunEnd::Dropped);
    }
}

#[async_trait]
impl Backend for ClusterBackend {
    async fn run(
        &self,
        addr: SocketAddr,
        request: &Request,
        call_context: &CallContext,
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
        let guard = self.start_run(at, request);
        let work = self.serve(at, guard.index, request, call_context);
        let limit_ms = call_context.remaining_us.div_ceil(1_000);
        let limit = pin!(pause_ms(limit_ms));
        let worked = select(work, limit).await;
        let (ended, result) = match worked {
            Either::Left((Some(answer), _)) => (RunEnd::Answered, Ok(answer)),
            Either::Left((None, _)) => (RunEnd::Broken, Err(error("read", true, false))),
            Either::Right(_) => (RunEnd::TimedOut, Err(error("read", true, true))),
        };
        guard.end(ended);
        result
    }

    async fn is_listening(&self, addr: SocketAddr) -> bool {
        self.servers.is_up(index_of(addr))
    }
}

impl ClusterBackend {
    fn start_run(&self, at: usize, request: &Request) -> RunGuard {
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
        let operation = Op::Run { attempt, answer };
        for action in [Action::Call(operation), Action::Response(operation)] {
            let process = FIRST_RUN_PROCESS + index;
            state.log.push((request.target.clone(), process, action));
        }
        RunGuard {
            servers: self.servers.clone(),
            index,
        }
    }

    /// Runs the task of a request; boxed because nested calls can reach the same server again.
    fn serve<'a>(
        &'a self,
        at: usize,
        run: usize,
        request: &'a Request,
        call_context: &'a CallContext,
    ) -> BoxFuture<'a, Option<Answer>> {
        Box::pin(async move {
            let incarnation = self.servers.incarnation(at);
            let (task, name) = request.target[1..].split_once('/').expect("a path");
            match task {
                "slow" => {
                    let work_ms = name.split('-').next().expect("a number").parse();
                    self.servers
                        .work(at, incarnation, work_ms.expect("a number"))
                        .await
                        .then_some(())?;
                }
                "kill" => {
                    self.servers.work(at, incarnation, WORK_MS).await;
                    let cluster = Arc::clone(&self.cluster);
                    drop(async_std::task::spawn_local(async move {
                        cluster.crash_server(at, 10).await;
                    }));
                    self.servers
                        .work(at, incarnation, 1_000)
                        .await
                        .then_some(())?;
                }
                "panic" => panic!("panic requested by the test"),
                "tree" => {
                    self.run_tree_node(at, incarnation, name, call_context)
                        .await?;
                }
                _ => self
                    .servers
                    .work(at, incarnation, WORK_MS)
                    .await
                    .then_some(())?,
            }
            let body = format!("{} {} {run}", call_context.request_id, request.target);
            Some(Answer {
                status: 200,
                headers: Vec::new(),
                body: body.into_bytes(),
            })
        })
    }

    /// Calls the child nodes of this node of the call tree; `None` if a call or this run fails.
    async fn run_tree_node(
        &self,
        at: usize,
        incarnation: u64,
        name: &str,
        call_context: &CallContext,
    ) -> Option<()> {
        const FAN_OUT: usize = 3;
        const DEPTH: usize = 4;
        let is_failing = {
            let mut state = self.servers.0.lock();
            let failures = state.failing.get_mut(name);
            failures.is_some_and(|left| std::mem::replace(left, left.saturating_sub(1)) > 0)
        };
        let depth = name.split('.').count();
        if depth < DEPTH {
            let calls = (0..FAN_OUT)
                .map(|child| self.call(at, format_smolstr!("{name}.{child}"), call_context));
            let all_answered = join_all(calls)
                .await
                .into_iter()
                .all(|is_answered| is_answered);
            all_answered.then_some(())?;
        }
        self.servers.work(at, incarnation, 1).await.then_some(())?;
        (!is_failing).then_some(())
    }

    async fn call(&self, at: usize, tree_node: SmolStr, call_context: &CallContext) -> bool {
        let services = ["orders", "stock"];
        let service = services[tree_node.split('.').count() % 2];
        let incoming = IncomingRequest {
            origin: Origin::Nested(call_context.call_id.clone()),
            request_id: RequestId(0),
            ..crate::cluster::incoming(service, "read", &format!("/tree/{tree_node}"), 0)
        };
        let answer = self.cluster.node(at).handle(incoming).await;
        let Ok(answer) = answer else { return false };
        let expected = format!("{} /tree/{tree_node} ", call_context.request_id);
        let is_own = answer.body.starts_with(expected.as_bytes());
        assert!(is_own, "another request's answer");
        true
    }
}
