//! Connections, slots and runs of the stand-in backend server.

use {
    crate::{
        backend::{
            announce::{announce, leave},
            answer::answer_body,
            work::Pace,
        },
        client::Client,
        record::{End, RunEnd, RunEvent, RunStart, unix_us},
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

/// Cost of taking a connection.
const CONNECT_COST: Duration = Duration::from_millis(1);
/// Longest time that a run may take when the daemon gives no deadline.
const RUN_LIMIT_MS: u64 = 60_000;

/// What one stand-in backend server is told at its start.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Name of the worker in records.
    pub worker: SmolStr,
    /// Service that it runs.
    pub service: ServiceSpec,
    /// Address on which it takes calls.
    pub listen: SocketAddr,
    /// Address of its daemon to announce itself to; it does not announce itself if none.
    pub announce: Option<SocketAddr>,
    /// Address of its daemon that takes nested calls; they are left out if none.
    pub callers: Option<SocketAddr>,
    /// Seed of its service times.
    pub seed: u64,
}

struct Server {
    settings: BackendSettings,
    instance: SmolStr,
    pace: Pace,
    slots: (Sender<()>, Receiver<()>),
    nested: Option<Client>,
    open: AtomicU32,
    runs: AtomicU64,
}

/// Serves until the process ends.
pub async fn serve(settings: BackendSettings) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let server = Arc::new(Server::new(settings));
    if let Some(daemon) = server.settings.announce {
        task::spawn(announce(daemon, server.announcement()));
    }
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        task::spawn(server.clone().take(stream));
    }
    Ok(())
}

impl Server {
    fn new(settings: BackendSettings) -> Self {
        let slots = async_channel::bounded(settings.service.slots.max(1) as usize);
        while slots.0.try_send(()).is_ok() {}
        let pace = Pace::new(settings.seed, settings.service.cold_start_ms);
        Self {
            instance: format_smolstr!("{:x}-{:x}", unix_us(), process::id()),
            pace,
            slots,
            nested: settings.callers.map(Client::new),
            open: AtomicU32::new(0),
            runs: AtomicU64::new(0),
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

    /// Serves one connection, if there is room for it.
    async fn take(self: Arc<Self>, stream: TcpStream) {
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        if open < self.settings.service.connections {
            task::sleep(CONNECT_COST).await;
            stream.set_nodelay(true).ok();
            let peer = stream.clone();
            let endpoint = |request| self.clone().answer(request, peer.clone());
            async_h1::accept(stream, endpoint).await.ok();
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn answer(
        self: Arc<Self>,
        mut request: Request,
        stream: TcpStream,
    ) -> http_types::Result<Response> {
        let path = self.own_path(request.url().path());
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
        Ok(run.perform(&body, &stream).await)
    }

    /// Path within the service; calls that come straight from a caller still name the service.
    fn own_path(&self, path: &str) -> SmolStr {
        let path = path.trim_start_matches('/');
        path.strip_prefix(self.settings.service.name.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .unwrap_or(path)
            .to_smolstr()
    }

    /// Commands of the lab: `slow/{factor}` and `leave`.
    async fn command(&self, method: Method, command: &str) -> Response {
        let factor = command
            .strip_prefix("slow/")
            .and_then(|factor| factor.parse().ok());
        match (method, factor, self.settings.announce) {
            (Method::Put, Some(factor), _) => self.pace.slow_down(factor),
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
    left: Duration,
    work: Duration,
}

/// End of a run with its answer, if there is one.
type Ended = (End, Response);

impl<'a> Run<'a> {
    fn new(server: &'a Server, request: &Request, spec: &'a PathSpec) -> Self {
        let header = |name| {
            request
                .header(name)
                .map(|values| values.last().as_str().to_smolstr())
        };
        let now_unix_ms = unix_us() / 1_000;
        let left_ms = header(REQUEST_DEADLINE)
            .and_then(|text| text.parse::<u64>().ok())
            .map_or(RUN_LIMIT_MS, |at| at.saturating_sub(now_unix_ms));
        let sequence = server.runs.fetch_add(1, Ordering::Relaxed);
        Self {
            server,
            spec,
            id: format_smolstr!("{}-{sequence:x}", server.instance),
            request: header(REQUEST_ID).unwrap_or_else(|| "-".into()),
            node: header(LAB_NODE).unwrap_or_default(),
            parent: header(LAB_PARENT),
            order: header(LAB_ORDER),
            call_id: header(CALL_ID),
            left: Duration::from_millis(left_ms.min(RUN_LIMIT_MS)),
            work: server.pace.draw(spec),
        }
    }

    /// Waits for a slot, runs and records; stops when the daemon closes the connection.
    async fn perform(self, body: &[u8], stream: &TcpStream) -> Response {
        let slots = &self.server.slots;
        let whole = async {
            slots.1.recv().await.ok();
            let _slot = Slot(&slots.0);
            self.record_start();
            let ended = self.work(body, stream).await;
            self.record_end(ended.0);
            ended.1
        };
        let whole = pin!(whole);
        let gone = pin!(closed(stream));
        match select(whole, gone).await {
            Either::Left((response, _)) => response,
            Either::Right(((), whole)) => finish_cancelled(whole),
        }
    }

    async fn work(&self, body: &[u8], stream: &TcpStream) -> Ended {
        if contains(body, CRASH_MARKER.as_bytes()) {
            process::exit(101);
        }
        let work = pin!(future::timeout(self.left, self.steps()));
        let gone = pin!(closed(stream));
        match select(work, gone).await {
            Either::Left((Ok(true), _)) => {
                let body = answer_body(&self.request, self.spec.answer_bytes);
                (End::Done, text(StatusCode::Ok, &body))
            }
            Either::Left((Ok(false), _)) => (
                End::Failed,
                text(StatusCode::BadGateway, "a nested call failed"),
            ),
            Either::Left((Err(_), _)) => (
                End::Expired,
                text(StatusCode::GatewayTimeout, "the deadline passed"),
            ),
            Either::Right(_) => (End::Cancelled, Response::new(StatusCode::GatewayTimeout)),
        }
    }

    /// Own work, then the nested calls; tells whether all went well.
    async fn steps(&self) -> bool {
        task::sleep(self.work).await;
        let Some(client) = &self.server.nested else {
            return true;
        };
        for (step, calls) in self.spec.steps.iter().enumerate() {
            let calls = calls.iter().enumerate().map(|(position, call)| {
                let node = format_smolstr!("{}/{step}.{position}", self.node);
                self.nested(client, call, node)
            });
            if join_all(calls).await.contains(&false) {
                return false;
            }
        }
        true
    }

    async fn nested(&self, client: &Client, call: &CallSpec, node: SmolStr) -> bool {
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

    fn record_end(&self, end: End) {
        let end = RunEnd {
            at_us: unix_us(),
            run: self.id.clone(),
            end,
            work_us: self.work.as_micros() as u64,
        };
        RunEvent::Ended(end).emit();
    }
}

/// Slot that is free again when it is dropped.
struct Slot<'a>(&'a Sender<()>);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.try_send(()).ok();
    }
}

/// Lets a run that already holds a slot record its end; drops one that still waits.
fn finish_cancelled(whole: impl Future<Output = Response>) -> Response {
    whole
        .now_or_never()
        .unwrap_or_else(|| Response::new(StatusCode::GatewayTimeout))
}

/// Ends when the other side has closed the connection.
async fn closed(stream: &TcpStream) {
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
