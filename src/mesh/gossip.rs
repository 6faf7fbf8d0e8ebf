//! Gossip membership of the daemons over UDP, see [`crate::fleet`], and its effect on the directory
//! of workers.

use {
    crate::{
        config::Revision,
        fleet::{
            Fleet, FleetRules, NewestConfig, Scope,
            member::{AdvertisedWorker, Member},
            message::{MAX_DATAGRAM_BYTES, Message, Outgoing},
            report::Event,
        },
        logs::STATE,
        mesh::{
            Mesh, frame,
            lag::LagTracker,
            runtime::{now_us, sleep_ms},
        },
        policy::quota::message::Datagram,
    },
    std::{io, net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Interval between ticks.
const TICK_MS: u64 = 50;

/// Buffer for one received datagram; longer ones are truncated and then malformed.
const RECEIVE_BYTES: usize = 2_048;

/// Delay after a failed receive. It concerns a datagram that a closed port has rejected.
const RECEIVE_RETRY_MS: u64 = 20;

/// Interval at which the configuration in force is compared with those of the peers.
const CONFIG_CHECK_MS: u64 = 250;

/// Interval between anti-entropy rounds. Each compares one part of the key space, and the group is
/// larger than that of one data centre.
const SYNC_INTERVAL_US: u64 = 1_000_000;

/// Rules of the membership protocol on the platform.
pub fn rules() -> FleetRules {
    FleetRules {
        scope: Scope::Deployment,
        sync_interval_us: SYNC_INTERVAL_US,
        ..FleetRules::default()
    }
}

/// Exchanges datagrams with the other daemons until the socket fails.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn run(mesh: Rc<Mesh>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(mesh.settings.calls_addr).await?);
    *mesh.datagrams.borrow_mut() = Some(Rc::clone(&socket));
    let receiving = std::pin::pin!(receive(&mesh, &socket));
    let ticking = std::pin::pin!(tick(&mesh, &socket));
    futures::future::select(receiving, ticking).await;
    Ok(())
}

async fn receive(mesh: &Rc<Mesh>, socket: &UdpSocket) {
    let mut buffer = vec![0; RECEIVE_BYTES];
    loop {
        let (size_bytes, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "receiving a datagram failed");
                mesh.metrics.count("gossip.receive_errors");
                sleep_ms(RECEIVE_RETRY_MS).await;
                continue;
            }
        };
        if Datagram::is_quota(&buffer[..size_bytes]) {
            mesh.receive_quota(&buffer[..size_bytes], from);
            continue;
        }
        let message = match Message::decode(&buffer[..size_bytes]) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(%from, %error, "malformed datagram ignored");
                mesh.metrics.count("gossip.malformed");
                continue;
            }
        };
        let now_us = now_us();
        mesh.startup.borrow_mut().record_contact(now_us);
        let out = mesh.update_fleet(|fleet, out| fleet.receive(&message, now_us, out));
        send(mesh, socket, out).await;
    }
}

async fn tick(mesh: &Rc<Mesh>, socket: &UdpSocket) {
    loop {
        let out = mesh.update_fleet(|fleet, out| fleet.tick(now_us(), out));
        send(mesh, socket, out).await;
        mesh.tick_quotas();
        sleep_ms(TICK_MS).await;
    }
}

async fn send(mesh: &Mesh, socket: &UdpSocket, out: Vec<Outgoing>) {
    for Outgoing { to, message } in out {
        let bytes = message.encode();
        if bytes.is_empty() || bytes.len() > MAX_DATAGRAM_BYTES {
            tracing::warn!(%to, bytes = bytes.len(), "datagram of invalid size not sent");
            continue;
        }
        if let Err(error) = socket.send_to(&bytes, to).await {
            tracing::debug!(%to, %error, "sending a datagram failed");
            mesh.metrics.count("gossip.send_errors");
        }
    }
}

/// Fetches a newer configuration from a peer that has it, for a daemon that the store does not
/// serve or whose store has come back from an older copy. Replaces a watch that has delivered
/// nothing meanwhile, as its request or its answer may be lost.
pub async fn fetch_config(mesh: Rc<Mesh>) {
    let mut tracker = LagTracker::default();
    loop {
        sleep_ms(CONFIG_CHECK_MS).await;
        let in_force = Revision(mesh.config_version().0);
        let newest = mesh.fleet.borrow().newest_config().cloned();
        let reported = newest.as_ref().map(|newest| newest.revision);
        if tracker.is_stalled(in_force, reported) {
            mesh.registry
                .replace_watch("peers have a newer configuration");
        }
        let Some(newest) = newest.filter(|newest| newest.revision > in_force) else {
            continue;
        };
        if !mesh.is_config_request_due(newest.revision, now_us()) {
            continue;
        }
        let NewestConfig {
            revision,
            call_addr,
            ..
        } = newest;
        tracing::info!(target: STATE, version = revision.0, peer = %call_addr, "fetching a newer configuration");
        mesh.metrics.count("config.fetched");
        let link = mesh.link(call_addr);
        if let Err(error) = link.notify(&mesh, &frame::Message::ConfigWanted).await {
            tracing::info!(%error, "fetching the configuration failed");
        }
    }
}

impl Mesh {
    /// Applies a change to the membership, updates the directory by its events, and returns the
    /// datagrams to send.
    pub(super) fn update_fleet(
        &self,
        change: impl FnOnce(&mut Fleet, &mut Vec<Outgoing>),
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let mut fleet = self.fleet.borrow_mut();
        change(&mut fleet, &mut out);
        let events = fleet.take_events();
        if events.is_empty() {
            return out;
        }
        let mut directory = self.directory.borrow_mut();
        for event in events {
            tracing::info!("{event}");
            let (Event::Joined { name }
            | Event::Suspected { name }
            | Event::Refuted { name }
            | Event::Died { name }
            | Event::Left { name }
            | Event::WorkerChanged { name, .. }) = event
            else {
                continue;
            };
            match fleet.member(&name) {
                Some(member) if member.status.is_live() => directory.apply_member(member),
                _ => directory.remove(&name),
            }
        }
        out
    }

    /// Tells other daemons that this one ends.
    pub(super) fn leave_fleet(&self, now_us: u64) {
        let out = self.update_fleet(|fleet, out| fleet.leave(now_us, out));
        for Outgoing { to, message } in out {
            self.send_datagram(to, &message.encode());
        }
    }

    /// Sends a datagram to another daemon if the socket takes it at once.
    pub(super) fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        let socket = self.datagrams.borrow();
        let Some(socket) = socket.as_ref() else {
            return;
        };
        if let Err(error) = socket.try_send_to(bytes, to) {
            tracing::debug!(%to, %error, "sending a datagram failed");
            self.metrics.count("gossip.send_errors");
        }
    }

    /// Publishes the state of the local worker if it has changed.
    pub fn publish(&self) {
        let state = self.gate.borrow().worker_state();
        let worker = state.or_else(|| {
            let known = self.fleet.borrow().local_member().worker.clone();
            known.map(|worker| AdvertisedWorker {
                draining: true,
                ..worker
            })
        });
        // The datagrams follow with the next tick.
        let _ = self.update_fleet(|fleet, _| fleet.set_worker(worker));
        self.directory.borrow_mut().apply_member(&self.own_member());
    }

    /// Record of this daemon.
    pub fn own_member(&self) -> Member {
        self.fleet.borrow().local_member().clone()
    }
}
