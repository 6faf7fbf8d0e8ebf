//! HTTP server of the stand-in backend server, with its connections, slots and runs.

use {
    crate::{
        backend::{
            announce::{announce, leave},
            answer::answer_body,
            service_times::ServiceTimes,
        },
        client::Client,
        record::{RunEnd, RunEvent, RunOutcome, RunStart, unix_us},
        scenario::{CallSpec, PathSpec, ServiceSpec},
        wire::{
            Announcement, CALL_ID, CRASH_MARKER, LAB_NODE, LAB_ORDER, LAB_PARENT, REQUEST_DEADLINE,
            REQUEST_ID,
        },
    },
    async_channel::{Receiver, Sender},
    async_std::{
        future, io,
        net::{TcpListener, TcpStream},
        stream::StreamExt,
        task,
    },
    futures::{
        FutureExt,
        future::{Either, join_all, select},
    },
    http_types::{Method, Request, Response, StatusCode},
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::{
        net::SocketAddr,
        pin::pin,
        process,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Simulated cost of accepting a connection.
const ACCEPT_DELAY: Duration = Duration::from_millis(1);
/// Limit of a run's time, also without a deadline from the daemon.
const MAX_RUN_MS: u64 = 60_000;

/// Settings of one stand-in backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Name of the worker in records.
    pub worker: SmolStr,
    /// Service that it runs.
    pub service: ServiceSpec,
    /// Address on which it accepts calls.
    pub listen: SocketAddr,
    /// Address of its daemon for announcements; `None` sends no announcements.
    pub announce: Option<SocketAddr>,
    /// Address of its daemon for nested calls; `None` omits nested calls.
    pub callers: Option<SocketAddr>,
    /// Seed of its service times.
    pub seed: u64,
}

struct Server {
    settings: BackendSettings,
    instance: SmolStr,
    service_times: ServiceTimes,
    slots: (Sender<()>, Receiver<()>),
    nested_client: Option<Client>,
    open_connections: AtomicU32,
    next_run: AtomicU64,
}

/// Serves until the process exits.
pub async fn serve(settings: BackendSettings) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let server = Arc::new(Server::new(settings));
    if let Some(daemon) = server.settings.announce {
        task::spawn(announce(daemon, server.announcement()));
    }
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        task::spawn(server.clone().serve_connection(stream));
    }
    Ok(())
}

impl Server {
    fn new(settings: BackendSettings) -> Self {
        let slots = async_channel::bounded(settings.service.slots.max(1) as usize);
        while slots.0.try_send(()).is_ok() {}
        let service_times = ServiceTimes::new(settings.seed, settings.service.cold_start_ms);
        Self {
            instance: format_smolstr!("{:x}-{:x}", unix_us(), process::id()),
            service_times,
            slots,
            nested_client: settings.callers.map(Client::new),
            open_connections: AtomicU32::new(0),
            next_run: AtomicU64::new(0),
            settings,
        }
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            service: self.settings.service.name.clone(),
            address: self.settings.listen,
            slots: self.settings.service.slots,
            connections: self.settings.service.connections,
            instance: self.instance.clone(),
        }
    }

    /// Serves one connection, or closes it at once if the connection limit is reached.
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let open = self.open_connections.fetch_add(1, Ordering::Relaxed);
        if open < self.settings.service.connections {
            task::sleep(ACCEPT_DELAY).await;
            stream.set_nodelay(true).ok();
            let peer = stream.clone();
            let endpoint = |request| self.clone().handle(request, peer.clone());
            async_h1::accept(stream, endpoint).await.ok();
        }
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    async fn handle(
        self: Arc<Self>,
        mut request: Request,
        stream: TcpStream,
    ) -> http_types::Result<Response> {
        let path = self.path_in_service(request.url().path());
        match path.as_str() {
            "health" | "load" => return Ok(text(StatusCode::Ok, "{\"ok\":true,\"load\":0.1}")),
            _ => (),
        }
        if let Some(command) = path.strip_prefix(".lab/") {
            return Ok(self.command(request.method(), command).await);
        }
        let Some(spec) = self.settings.service.path(&path) else {
            return Ok(text(StatusCode::NotFound, "no such path"));
        };
        let body = request.body_bytes().await?;
        let run = Run::new(&self, &request, spec);
        let call_id = run.call_id.clone();
        let mut response = run.execute(&body, &stream).await;
        if let Some(call_id) = call_id {
            response.insert_header(CALL_ID, call_id.as_str());
        }
        Ok(response)
    }

    /// Returns the path within the service. Calls sent directly by a caller still include the
    /// service.
    fn path_in_service(&self, path: &str) -> SmolStr {
        let path = path.trim_start_matches('/');
        path.strip_prefix(self.settings.service.name.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .unwrap_or(path)
            .to_smolstr()
    }

    /// Handles a command of the lab: `slow/{factor}` or `leave`.
    async fn command(&self, method: Method, command: &str) -> Response {
        let factor = command
            .strip_prefix("slow/")
            .and_then(|factor| factor.parse().ok());
        match (method, factor, self.settings.announce) {
            (Method::Put, Some(factor), _) => self.service_times.set_slow_factor(factor),
            (Method::Put, None, Some(daemon)) if command == "leave" => {
                if !leave(daemon).await {
                    return text(StatusCode::BadGateway, "the daemon does not answer");
                }
            }
            _ => return text(StatusCode::NotFound, "no such command"),
        }
        Response::new(StatusCode::NoContent)
    }
}

/// One run of one call.
struct Run<'a> {
    server: &'a Server,
    spec: &'a PathSpec,
    id: SmolStr,
    request: SmolStr,
    node: SmolStr,
    parent: Option<SmolStr>,
    order: Option<SmolStr>,
    call_id: Option<SmolStr>,
    remaining: Duration,
    work: Duration,
}

/// Outcome of a run and its response.
type RunResult = (RunOutcome, Response);

impl<'a> Run<'a> {
    fn new(server: &'a Server, request: &Request, spec: &'a PathSpec) -> Self {
        let header = |name| {
            request
                .header(name)
                .map(|values| values.last().as_str().to_smolstr())
        };
        let now_unix_ms = unix_us() / 1_000;
        let remaining_ms = header(REQUEST_DEADLINE)
            .and_then(|text| text.parse::<u64>().ok())
            .map_or(MAX_RUN_MS, |at| at.saturating_sub(now_unix_ms));
        let sequence = server.next_run.fetch_add(1, Ordering::Relaxed);
        Self {
            server,
            spec,
            id: format_smolstr!("{}-{sequence:x}", server.instance),
            request: header(REQUEST_ID).unwrap_or_else(|| "-".into()),
            node: header(LAB_NODE).unwrap_or_default(),
            parent: header(LAB_PARENT),
            order: header(LAB_ORDER),
            call_id: header(CALL_ID),
            remaining: Duration::from_millis(remaining_ms.min(MAX_RUN_MS)),
            work: server.service_times.sample(spec),
        }
    }

    /// Waits for a slot, runs and records the run; stops when the daemon closes the connection.
    async fn execute(self, body: &[u8], stream: &TcpStream) -> Response {
        let slots = &self.server.slots;
        let execution = async {
            slots.1.recv().await.ok();
            let _slot = SlotGuard(&slots.0);
            self.record_start();
            let (outcome, response) = self.run_until_closed(body, stream).await;
            self.record_end(outcome);
            response
        };
        let execution = pin!(execution);
        let peer_closed = pin!(wait_closed(stream));
        match select(execution, peer_closed).await {
            Either::Left((response, _)) => response,
            Either::Right(((), execution)) => finish_cancelled(execution),
        }
    }

    /// Runs the call; stops at the deadline or when the daemon closes the connection.
    async fn run_until_closed(&self, body: &[u8], stream: &TcpStream) -> RunResult {
        if contains(body, CRASH_MARKER.as_bytes()) {
            process::exit(101);
        }
        let work = pin!(future::timeout(self.remaining, self.run_steps()));
        let peer_closed = pin!(wait_closed(stream));
        match select(work, peer_closed).await {
            Either::Left((Ok(true), _)) => {
                let body = answer_body(&self.request, self.spec.answer_bytes);
                (RunOutcome::Done, text(StatusCode::Ok, &body))
            }
            Either::Left((Ok(false), _)) => (
                RunOutcome::Failed,
                text(StatusCode::BadGateway, "a nested call failed"),
            ),
            Either::Left((Err(_), _)) => (
                RunOutcome::Expired,
                text(StatusCode::GatewayTimeout, "the deadline passed"),
            ),
            Either::Right(_) => (
                RunOutcome::Cancelled,
                Response::new(StatusCode::GatewayTimeout),
            ),
        }
    }

    /// Runs the own work and then the nested calls; returns whether all succeeded.
    async fn run_steps(&self) -> bool {
        task::sleep(self.work).await;
        let Some(client) = &self.server.nested_client else {
            return true;
        };
        for (step, calls) in self.spec.steps.iter().enumerate() {
            let calls = calls.iter().enumerate().map(|(position, call)| {
                let node = format_smolstr!("{}/{step}.{position}", self.node);
                self.call_nested(client, call, node)
            });
            if join_all(calls).await.contains(&false) {
                return false;
            }
        }
        true
    }

    async fn call_nested(&self, client: &Client, call: &CallSpec, node: SmolStr) -> bool {
        let mut request = client.request(Method::Post, &format!("/{call}"));
        request.insert_header(LAB_NODE, node.as_str());
        request.insert_header(LAB_PARENT, self.id.as_str());
        request.insert_header(REQUEST_ID, self.request.as_str());
        if let Some(call_id) = &self.call_id {
            request.insert_header(CALL_ID, call_id.as_str());
        }
        if let Some(order) = &self.order {
            request.insert_header(LAB_ORDER, order.as_str());
        }
        matches!(client.send(request).await, Ok(answer) if answer.status == 200)
    }

    fn record_start(&self) {
        let start = RunStart {
            at_us: unix_us(),
            run: self.id.clone(),
            parent: self.parent.clone(),
            request: self.request.clone(),
            node: self.node.clone(),
            order: self.order.clone(),
            service: self.server.settings.service.name.clone(),
            path: self.spec.path.clone(),
            worker: self.server.settings.worker.clone(),
        };
        RunEvent::Started(start).emit();
    }

    fn record_end(&self, outcome: RunOutcome) {
        let end = RunEnd {
            at_us: unix_us(),
            run: self.id.clone(),
            end: outcome,
            work_us: self.work.as_micros() as u64,
        };
        RunEvent::Ended(end).emit();
    }
}

/// Slot in use, released when dropped.
struct SlotGuard<'a>(&'a Sender<()>);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.try_send(()).ok();
    }
}

/// Polls a cancelled execution once, so that a run that holds a slot records its end. One that
/// still waits for a slot is dropped.
fn finish_cancelled(execution: impl Future<Output = Response>) -> Response {
    execution
        .now_or_never()
        .unwrap_or_else(|| Response::new(StatusCode::GatewayTimeout))
}

/// Completes when the peer has closed the connection.
async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => (),
        Ok(_) => std::future::pending().await,
    }
}

fn contains(body: &[u8], marker: &[u8]) -> bool {
    body.windows(marker.len()).any(|window| window == marker)
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}
