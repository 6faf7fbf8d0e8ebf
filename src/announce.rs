//! Announcements of the backend server on this VM.

use {
    crate::{
        connection::{self, PortLimits},
        local::{Loss, Now},
        node::Node,
        policy::drain::{DrainRequests, OperatorOrder, Stage},
        request::Incarnation,
        worker::{Announced, Announcement, RawAnnouncement, Worker},
    },
    rand::RngExt,
    serde::Serialize,
    std::{io, net::SocketAddr, sync::Arc},
};

/// Largest announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;

/// What a backend server is told when it announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Standing {
    /// Whether it gets no new work.
    pub draining: bool,
    /// Whether it may stop, as nothing is in flight.
    pub stop: bool,
}

/// Serves the backend server until the listener fails.
///
/// # Errors
///
/// Fails when connections can no longer be accepted.
pub async fn listen(addr: SocketAddr, node: Arc<Node>) -> io::Result<()> {
    let mut app = tide::with_state(node);
    app.at("/worker").put(announce).delete(leave);
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
        Err(error) => return Ok(refused(tide::StatusCode::BadRequest, &error)),
    };
    let announcement = match Announcement::try_from(raw) {
        Ok(announcement) => announcement,
        Err(error) => return Ok(refused(tide::StatusCode::BadRequest, &error)),
    };
    let Some(standing) = request.state().announced(announcement) else {
        let cause = "another backend server announces itself to this daemon";
        return Ok(refused(tide::StatusCode::Conflict, &cause));
    };
    json(standing)
}

async fn leave(request: tide::Request<Arc<Node>>) -> tide::Result {
    let node = request.state();
    let standing = node.ask_drain(|asked| asked.backend = true);
    node.metrics.count("worker.notice");
    json(standing)
}

fn json(standing: Standing) -> tide::Result {
    let body = tide::Body::from_json(&standing)?;
    Ok(tide::Response::builder(tide::StatusCode::Ok)
        .body(body)
        .build())
}

fn refused(status: tide::StatusCode, cause: &dyn std::fmt::Display) -> tide::Response {
    tide::Response::builder(status)
        .body(format!("{cause}\n"))
        .build()
}

impl Node {
    /// Takes an announcement; `None` if another backend server holds the place.
    pub fn announced(&self, announcement: Announcement) -> Option<Standing> {
        let now = self.now();
        let mut local = self.local.lock();
        match Worker::judge(local.worker.as_ref(), &announcement, now.us) {
            Announced::Occupied => return None,
            Announced::Known => {}
            Announced::New => {
                drop(local);
                self.welcome(&announcement, now);
                local = self.local.lock();
            }
        }
        local.gate.announce(announcement.slots, now.us);
        if let Some(worker) = &mut local.worker {
            worker.announcement = announcement;
            worker.seen_us = now.us;
        }
        Some(standing(local.drain.stage()))
    }

    fn welcome(&self, announcement: &Announcement, now: Now) {
        let incarnation = Incarnation(self.rng.lock().random());
        let mut local = self.local.lock();
        if let Some(earlier) = local.incarnation() {
            local.lose_worker(earlier, Loss::Crash, now);
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
        self.apply_orders();
    }

    /// Changes who wants the worker to leave.
    pub fn ask_drain(&self, change: impl FnOnce(&mut DrainRequests)) -> Standing {
        let now = self.now();
        let mut local = self.local.lock();
        let mut asked = local.drain.report().requests;
        change(&mut asked);
        let actions = local.drain.set_requests(asked, now.us);
        local.drain_actions.extend(actions);
        let is_leaving = local.drain.stage() != Stage::Serving;
        let mut work = Vec::new();
        local.gate.set_draining(is_leaving, now.us, &mut work);
        local.waiting.apply(work);
        standing(local.drain.stage())
    }

    /// Takes what operators have ordered for this worker.
    pub fn apply_orders(&self) {
        let place = &self.settings.place;
        let vm = place.vm().to_string();
        let ordered = self
            .config()
            .drain_order(&place.name, &vm, &place.data_centre.0);
        self.ask_drain(|asked| {
            asked.operator = match ordered {
                None => OperatorOrder::Serve,
                Some(false) => OperatorOrder::Drain,
                Some(true) => OperatorOrder::Stop,
            };
        });
    }
}

fn standing(stage: Stage) -> Standing {
    Standing {
        draining: stage != Stage::Serving,
        stop: stage == Stage::Stopped,
    }
}
