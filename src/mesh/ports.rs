//! Auxiliary HTTP ports of a daemon: the local worker's reports, readiness and metrics.

use {
    crate::mesh::{
        Mesh,
        conn::{self, Conn},
        gate::Change,
        http::{self, Head},
        protocol::ControlRequest,
        runtime::{now_us, within},
    },
    std::{fmt::Write, io, net::SocketAddr, rc::Rc},
    tokio::net::TcpStream,
};

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Largest body of a request; reports are smaller than 4 KiB.
const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Time limit for reading one request, including the idle time before it.
const MESSAGE_TIMEOUT_MS: u64 = 20_000;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Accepts connections on one port until its listener fails.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn listen(mesh: Rc<Mesh>, addr: SocketAddr) -> io::Result<()> {
    conn::serve_connections("ports", addr, &mesh.metrics, |stream, peer| {
        let mesh = Rc::clone(&mesh);
        async move {
            if let Err(error) = serve(&mesh, stream).await {
                tracing::debug!(%peer, %error, "port connection ended");
            }
        }
    })
    .await
}

async fn serve(mesh: &Rc<Mesh>, stream: TcpStream) -> io::Result<()> {
    let mut conn = Conn::new(stream)?;
    loop {
        let reading = async {
            let head = http::read_request(&mut conn, MAX_HEAD_BYTES).await?;
            let body = http::read_body(&mut conn, head.framing, MAX_BODY_BYTES).await?;
            Ok::<_, http::MessageError>((head, body))
        };
        let Some(Ok((head, body))) = within(MESSAGE_TIMEOUT_MS, reading).await else {
            return Ok(());
        };
        let (status, content_type, text) = mesh.handle_port_request(&head, &body);
        let close = if head.closes {
            "Connection: close\r\n"
        } else {
            ""
        };
        let reason = http::reason_phrase(status);
        let length = text.len();
        let answer = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n\
             {close}\r\n{text}"
        );
        conn.write_all(answer.as_bytes()).await?;
        if head.closes {
            conn.shutdown_write();
            return Ok(());
        }
    }
}

impl Mesh {
    fn handle_port_request(
        self: &Rc<Self>,
        head: &Head,
        body: &[u8],
    ) -> (u16, &'static str, String) {
        const JSON: &str = "application/json";
        const TEXT: &str = "text/plain";
        if head.path() == METRICS_PATH {
            return (200, "text/plain; version=0.0.4", self.metrics_text());
        }
        match self.protocol.decode_control_request(head, body) {
            Ok(ControlRequest::Ready) => {
                (if self.is_ready() { 200 } else { 503 }, TEXT, String::new())
            }
            Ok(ControlRequest::Report(report)) => {
                let is_own = report.addr == self.settings.worker_addr
                    && report.service == self.settings.service;
                if !is_own {
                    tracing::warn!(worker = %report.incarnation, addr = %report.addr,
                        service = %report.service, "report of another worker ignored");
                    self.metrics.count("report.foreign");
                    return (400, JSON, "{}".into());
                }
                let incarnation = report.incarnation.clone();
                let change = self.gate.borrow_mut().report(report, now_us());
                self.publish_worker_change(change, &incarnation.to_string(), "report");
                (200, JSON, "{}".into())
            }
            Ok(ControlRequest::Leave {
                worker_id,
                started_unix_ms,
            }) => {
                let change = self
                    .gate
                    .borrow_mut()
                    .leave(&worker_id, started_unix_ms, now_us());
                self.publish_worker_change(change, &worker_id, "departure");
                // A departure of an unknown incarnation changes the entry too.
                self.registry.wake();
                (200, JSON, "{}".into())
            }
            Ok(ControlRequest::Unknown) => (404, TEXT, String::new()),
            Err(error) => {
                tracing::warn!(%error, path = head.path(), "malformed report ignored");
                self.metrics.count("report.unreadable");
                (400, JSON, "{}".into())
            }
        }
    }

    /// Logs the effect of a report or a departure, and publishes a changed state.
    pub(super) fn publish_worker_change(
        self: &Rc<Self>,
        change: Change,
        worker: &str,
        cause: &str,
    ) {
        match change {
            Change::None => {}
            Change::Ignored => {
                tracing::info!(
                    worker,
                    cause,
                    "outdated or of an unknown worker; worker state unchanged"
                );
                self.metrics.count("report.stale");
            }
            Change::State => {
                let is_serving = self.gate.borrow().worker_state().is_some();
                tracing::info!(worker, cause, is_serving, "worker state changed");
                if is_serving {
                    self.pool.clear();
                }
                self.publish();
            }
        }
    }

    fn metrics_text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, kind: &str, value: u64| {
            let name = name.replace('.', "_");
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "# TYPE shallotdeal_{name} {kind}\nshallotdeal_{name} {value}"
            );
        };
        for (name, count) in self.metrics.snapshot() {
            line(&format!("{name}_total"), "counter", count);
        }
        let load = self.gate.borrow().load(now_us());
        line("gate.in_flight", "gauge", u64::from(load.in_flight));
        line("gate.queued", "gauge", u64::from(load.queued));
        line("gate.limit", "gauge", u64::from(load.limit));
        line("gate.latency_us", "gauge", u64::from(load.latency_us));
        line(
            "gate.failed_permille",
            "gauge",
            u64::from(load.failed_permille),
        );
        line("worker.answer_bytes", "gauge", self.pool.answer_bytes());
        line("clients", "gauge", self.clients.get() as u64);
        line(
            "requests.in_progress",
            "gauge",
            self.in_progress.get() as u64,
        );
        line("config.version", "gauge", self.config_version().0);
        let newest = self
            .fleet
            .borrow()
            .newest_config()
            .map_or(0, |newest| newest.revision.0);
        line("config.newest_reported", "gauge", newest);
        line(
            "directory.daemons",
            "gauge",
            self.directory.borrow().len() as u64,
        );
        self.quotas.write_metrics(&mut text);
        self.latencies.write(&mut text);
        text
    }
}
