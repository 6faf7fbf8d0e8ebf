//! One daemon process on the platform: its tasks, its signals and its end.

use {
    crate::{
        logs::DroppedLines,
        mesh::{
            Mesh, Parts, ingress, peers, ports,
            protocol::{Catalog, Protocol},
            registry,
            runtime::{self, now_us, sleep_ms},
            settings::MeshSettings,
        },
        supervisor::TaskError,
    },
    futures::{
        FutureExt,
        future::{LocalBoxFuture, select_all},
    },
    rand::RngExt,
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    smol_str::SmolStr,
    std::{
        io,
        path::{Path, PathBuf},
        rc::Rc,
        thread,
    },
};

/// Interval at which the gate lets time pass.
const GATE_TICK_MS: u64 = 20;

/// Part of the grace period that is kept for the end of the process itself, on a slow VM too.
const GRACE_RESERVE_MS: u64 = 1_000;

/// Interval of the lines that tell the daemon's load and lost log lines.
const LOAD_INTERVAL_MS: u64 = 2_000;

/// Interval at which the settings file is looked at.
const SETTINGS_INTERVAL_MS: u64 = 1_000;

/// The platform as one process needs it.
pub struct Platform {
    /// Meaning of its messages.
    pub protocol: Rc<dyn Protocol>,
    /// Its store.
    pub catalog: Rc<dyn Catalog>,
}

/// Runs a daemon until it is told to end or cannot go on.
///
/// # Errors
///
/// Fails with the task that could not be kept running.
pub fn run(
    settings: MeshSettings,
    path: PathBuf,
    platform: Platform,
    losses: &DroppedLines,
) -> Result<(), TaskError> {
    let born_unix_ms = runtime::now_unix_ms();
    let (signals, received) = async_channel::unbounded();
    watch_signals(signals).map_err(|error| TaskError::new("signals", &error))?;
    runtime::block_on(async move {
        let mesh = Mesh::new(Parts {
            settings,
            protocol: platform.protocol,
            catalog: platform.catalog,
            born_unix_ms,
            seed: rand::rng().random(),
        });
        tracing::info!(vm = %mesh.settings.name, service = %mesh.settings.service, "started");
        mesh.publish();
        let mut tasks = tasks(&mesh);
        tasks.push(endless("settings", watch_settings(Rc::clone(&mesh), path)));
        tasks.push(endless("log", report_losses(losses.clone())));
        let ended = select_all(tasks).map(|(fault, _, _)| fault);
        let stopped = stop(&mesh, received);
        futures::pin_mut!(ended, stopped);
        match futures::future::select(ended, stopped).await {
            futures::future::Either::Left((fault, _)) => {
                tracing::error!(%fault, "ended");
                Err(fault)
            }
            futures::future::Either::Right(_) => {
                tracing::info!(vm = %mesh.settings.name, "ended");
                Ok(())
            }
        }
    })
}

/// The daemon's long tasks; each one's end is a fault of the process.
pub fn tasks(mesh: &Rc<Mesh>) -> Vec<LocalBoxFuture<'static, TaskError>> {
    let settings = &mesh.settings;
    vec![
        listener(
            "clients",
            ingress::listen(Rc::clone(mesh), settings.clients_addr),
        ),
        listener("calls", peers::listen(Rc::clone(mesh), settings.calls_addr)),
        listener(
            "control",
            ports::listen(Rc::clone(mesh), settings.control_addr),
        ),
        listener("ready", ports::listen(Rc::clone(mesh), settings.ready_addr)),
        listener(
            "metrics",
            ports::listen(Rc::clone(mesh), settings.metrics_addr),
        ),
        endless("own entry", registry::keep_entry(Rc::clone(mesh))),
        endless("entries", registry::follow_entries(Rc::clone(mesh))),
        endless("configuration", registry::follow_config(Rc::clone(mesh))),
        endless("sweep", registry::sweep(Rc::clone(mesh))),
        endless("gate", tick(Rc::clone(mesh))),
        endless("load", report_load(Rc::clone(mesh))),
    ]
}

fn listener(
    name: &'static str,
    work: impl Future<Output = io::Result<()>> + 'static,
) -> LocalBoxFuture<'static, TaskError> {
    work.map(move |ended| match ended {
        Ok(()) => TaskError::new(name, &"ended"),
        Err(error) => TaskError::new(name, &error),
    })
    .boxed_local()
}

fn endless(
    name: &'static str,
    work: impl Future<Output = ()> + 'static,
) -> LocalBoxFuture<'static, TaskError> {
    work.map(move |()| TaskError::new(name, &"ended"))
        .boxed_local()
}

async fn tick(mesh: Rc<Mesh>) {
    loop {
        sleep_ms(GATE_TICK_MS).await;
        mesh.gate.borrow_mut().tick(now_us());
    }
}

/// Tells at an interval how many log lines were left out.
async fn report_losses(losses: DroppedLines) {
    loop {
        sleep_ms(LOAD_INTERVAL_MS).await;
        losses.report();
    }
}

/// Logs the load of the gate and the levels at the edge at an interval.
async fn report_load(mesh: Rc<Mesh>) {
    loop {
        sleep_ms(LOAD_INTERVAL_MS).await;
        let load = mesh.gate.borrow().load(now_us());
        let levels = mesh.admission.borrow().describe();
        tracing::info!(
            in_flight = load.in_flight,
            queued = load.queued,
            limit = load.limit,
            latency_us = load.latency_us,
            clients = mesh.clients.get(),
            levels,
            "load"
        );
    }
}

/// Waits for SIGTERM, and then for the end of what is under way.
async fn stop(mesh: &Rc<Mesh>, signals: async_channel::Receiver<i32>) {
    loop {
        match signals.recv().await {
            Ok(SIGHUP) => tracing::info!("told to read the settings again"),
            Ok(signal) => {
                tracing::info!(signal, in_hand = mesh.in_hand(), "stopping");
                break;
            }
            Err(error) => {
                tracing::error!(%error, "signals lost");
                std::future::pending::<()>().await;
            }
        }
    }
    let started_us = now_us();
    mesh.stop(started_us);
    let last_us = started_us + mesh.settings.grace_ms.saturating_sub(GRACE_RESERVE_MS) * 1_000;
    loop {
        let now_us = now_us();
        let is_idle = mesh.in_hand() == 0 && !mesh.takes_requests(now_us);
        if is_idle || now_us >= last_us {
            tracing::info!(
                in_hand = mesh.in_hand(),
                clients = mesh.clients.get(),
                "stopped"
            );
            return;
        }
        sleep_ms(GATE_TICK_MS).await;
    }
}

/// Logs changes of the settings file, with or without a signal. The process keeps what it has; a new
/// file counts from the next start.
async fn watch_settings(mesh: Rc<Mesh>, path: PathBuf) {
    let mut known = read(&path);
    loop {
        sleep_ms(SETTINGS_INTERVAL_MS).await;
        let text = read(&path);
        if text == known {
            continue;
        }
        match MeshSettings::try_from(text.as_str()) {
            Ok(settings) if settings == mesh.settings => {
                tracing::info!("settings read again, nothing changed");
            }
            Ok(_) => tracing::warn!("settings changed, in force from the next start"),
            Err(faults) => tracing::warn!(%faults, "faulty settings ignored"),
        }
        known = text;
    }
}

fn read(path: &Path) -> SmolStr {
    std::fs::read_to_string(path).map_or_else(
        |error| {
            tracing::warn!(path = %path.display(), %error, "settings cannot be read");
            SmolStr::default()
        },
        SmolStr::from,
    )
}

fn watch_signals(sender: async_channel::Sender<i32>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in signals.forever() {
                if sender.send_blocking(signal).is_err() {
                    return;
                }
            }
        })?;
    Ok(())
}
