//! HTTP server for announcements of the backend server on this VM.

use {
    crate::{
        connection::{self, PortLimits},
        local::{Now, WorkerLoss},
        node::Node,
        policy::drain::{DrainRequests, OperatorOrder, Stage},
        request::Incarnation,
        worker::{Announcement, AnnouncementKind, RawAnnouncement, Worker},
    },
    rand::RngExt,
    serde::Serialize,
    std::{io, net::SocketAddr, sync::Arc},
};

/// Maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;

/// Answer to an announcement: whether the backend server drains or may stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct DrainStatus {
    /// Whether it gets no new requests.
    pub draining: bool,
    /// Whether it may stop, as no request is in flight.
    pub stop: bool,
}

/// Serves the backend server until the listener fails.
///
/// # Errors
///
/// Fails when connections can no longer be accepted.
pub async fn listen(addr: SocketAddr, node: Arc<Node>) -> io::Result<()> {
    let mut app = tide::with_state(node);
    app.at("/worker").put(announce).delete(withdraw);
    connection::listen(addr, app, PortLimits::default()).await
}

async fn announce(mut request: tide::Request<Arc<Node>>) -> tide::Result {
    if request
        .len()
        .is_none_or(|size_bytes| size_bytes > MAX_ANNOUNCEMENT_BYTES)
    {
        return Ok(tide::Response::new(tide::StatusCode::PayloadTooLarge));
    }
    let raw: RawAnnouncement = match request.body_json().await {
        Ok(raw) => raw,
        Err(error) => return Ok(error_response(tide::StatusCode::BadRequest, &error)),
    };
    let announcement = match Announcement::try_from(raw) {
        Ok(announcement) => announcement,
        Err(error) => return Ok(error_response(tide::StatusCode::BadRequest, &error)),
    };
    let Some(drain_status) = request.state().accept_announcement(announcement) else {
        let cause = "another backend server announces itself to this daemon";
        return Ok(error_response(tide::StatusCode::Conflict, &cause));
    };
    json_response(drain_status)
}

async fn withdraw(request: tide::Request<Arc<Node>>) -> tide::Result {
    let node = request.state();
    let drain_status = node.update_drain(|requests| requests.backend = true);
    node.metrics.count("worker.notice");
    json_response(drain_status)
}

fn json_response(drain_status: DrainStatus) -> tide::Result {
    let body = tide::Body::from_json(&drain_status)?;
    Ok(tide::Response::builder(tide::StatusCode::Ok)
        .body(body)
        .build())
}

fn error_response(status: tide::StatusCode, cause: &dyn std::fmt::Display) -> tide::Response {
    tide::Response::builder(status)
        .body(format!("{cause}\n"))
        .build()
}

impl Node {
    /// Applies an announcement; `None` if another backend server is still registered.
    pub fn accept_announcement(&self, announcement: Announcement) -> Option<DrainStatus> {
        let now = self.now();
        let mut local = self.local.lock();
        match Worker::classify(local.worker.as_ref(), &announcement, now.us) {
            AnnouncementKind::Conflict => return None,
            AnnouncementKind::Renewal => {}
            AnnouncementKind::NewIncarnation => {
                drop(local);
                self.register_worker(&announcement, now);
                local = self.local.lock();
            }
        }
        local.gate.announce(announcement.slots, now.us);
        if let Some(worker) = &mut local.worker {
            worker.announcement = announcement;
            worker.seen_us = now.us;
        }
        Some(drain_status(local.drain.stage()))
    }

    fn register_worker(&self, announcement: &Announcement, now: Now) {
        let incarnation = Incarnation(self.rng.lock().random());
        let mut local = self.local.lock();
        if let Some(previous) = local.incarnation() {
            local.remove_worker(previous, WorkerLoss::Crashed, now);
        }
        local.last_incarnation = incarnation;
        local.worker = Some(Worker {
            announcement: announcement.clone(),
            incarnation,
            seen_us: now.us,
        });
        local.drain = local.drain.for_next_incarnation();
        drop(local);
        self.metrics.count("worker.joined");
        tracing::info!(service = %announcement.service, addr = %announcement.addr, %incarnation, "backend server joined");
        self.apply_operator_orders();
    }

    /// Changes which parties ask the worker to drain.
    pub fn update_drain(&self, change: impl FnOnce(&mut DrainRequests)) -> DrainStatus {
        let now = self.now();
        let mut local = self.local.lock();
        let mut requests = local.drain.report().requests;
        change(&mut requests);
        let actions = local.drain.set_requests(requests, now.us);
        local.drain_actions.extend(actions);
        let is_draining = local.drain.stage() != Stage::Serving;
        let mut gate_actions = Vec::new();
        local
            .gate
            .set_draining(is_draining, now.us, &mut gate_actions);
        local.waiting.apply(gate_actions);
        drain_status(local.drain.stage())
    }

    /// Applies the operators' order for this worker, as configured.
    pub fn apply_operator_orders(&self) {
        let place = &self.settings.place;
        let vm = place.vm().to_string();
        let drain_order = self
            .config()
            .drain_order(&place.name, &vm, &place.data_centre.0);
        self.update_drain(|requests| {
            requests.operator = match drain_order {
                None => OperatorOrder::Serve,
                Some(false) => OperatorOrder::Drain,
                Some(true) => OperatorOrder::Stop,
            };
        });
    }
}

fn drain_status(stage: Stage) -> DrainStatus {
    DrainStatus {
        draining: stage != Stage::Serving,
        stop: stage == Stage::Stopped,
    }
}
