//! Daemon process on the platform: tasks, signals and shutdown.

use {
    crate::{
        logs::DroppedLines,
        mesh::{
            Mesh, Parts, gossip, ingress, peers, ports,
            protocol::{PlatformStore, Protocol},
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

/// Interval of the gate's ticks, and of the check for the end of the shutdown.
const GATE_TICK_MS: u64 = 20;

/// Interval of the log lines about the daemon's load and about dropped log lines.
const LOAD_INTERVAL_MS: u64 = 2_000;

/// Interval at which the settings file is checked for changes.
const SETTINGS_INTERVAL_MS: u64 = 1_000;

/// Adapters to the users' platform.
pub struct Platform {
    /// Decoder and encoder of its messages.
    pub protocol: Rc<dyn Protocol>,
    /// Client of its store.
    pub store: Rc<dyn PlatformStore>,
}

/// Runs a daemon until a signal stops it or one of its tasks fails.
///
/// # Errors
///
/// Fails with the error of the task that ended.
pub fn run(
    settings: MeshSettings,
    path: PathBuf,
    platform: Platform,
    dropped_lines: &DroppedLines,
) -> Result<(), TaskError> {
    let started_unix_ms = runtime::now_unix_ms();
    let (signals, received) = async_channel::unbounded();
    watch_signals(signals).map_err(|error| TaskError::new("signals", &error))?;
    runtime::block_on(async move {
        let mesh = Mesh::new(Parts {
            settings,
            protocol: platform.protocol,
            store: platform.store,
            started_unix_ms,
            seed: rand::rng().random(),
        });
        tracing::info!(vm = %mesh.settings.name, service = %mesh.settings.service, "started");
        mesh.publish();
        let mut tasks = tasks(&mesh);
        tasks.push(background_task(
            "settings",
            watch_settings(Rc::clone(&mesh), path),
        ));
        tasks.push(background_task(
            "log",
            report_dropped_lines(dropped_lines.clone()),
        ));
        let ended = select_all(tasks).map(|(error, _, _)| error);
        let stopped = stop(&mesh, received);
        futures::pin_mut!(ended, stopped);
        match futures::future::select(ended, stopped).await {
            futures::future::Either::Left((error, _)) => {
                tracing::error!(fault = %error, "ended");
                Err(error)
            }
            futures::future::Either::Right(_) => {
                tracing::info!(vm = %mesh.settings.name, "ended");
                Ok(())
            }
        }
    })
}

/// Creates the daemon's long-running tasks; the end of any of them is an error.
pub fn tasks(mesh: &Rc<Mesh>) -> Vec<LocalBoxFuture<'static, TaskError>> {
    let settings = &mesh.settings;
    vec![
        listener_task(
            "clients",
            ingress::listen(Rc::clone(mesh), settings.clients_addr),
        ),
        listener_task("calls", peers::listen(Rc::clone(mesh), settings.calls_addr)),
        listener_task(
            "control",
            ports::listen(Rc::clone(mesh), settings.control_addr),
        ),
        listener_task("ready", ports::listen(Rc::clone(mesh), settings.ready_addr)),
        listener_task(
            "metrics",
            ports::listen(Rc::clone(mesh), settings.metrics_addr),
        ),
        background_task("own entry", registry::maintain_entry(Rc::clone(mesh))),
        background_task("contacts", registry::watch_contacts(Rc::clone(mesh))),
        listener_task("gossip", gossip::run(Rc::clone(mesh))),
        background_task(
            "peers' configuration",
            gossip::fetch_config(Rc::clone(mesh)),
        ),
        background_task("configuration", registry::watch_config(Rc::clone(mesh))),
        background_task("sweep", registry::sweep(Rc::clone(mesh))),
        background_task("gate", tick(Rc::clone(mesh))),
        background_task("load", report_load(Rc::clone(mesh))),
    ]
}

fn listener_task(
    name: &'static str,
    work: impl Future<Output = io::Result<()>> + 'static,
) -> LocalBoxFuture<'static, TaskError> {
    work.map(move |ended| match ended {
        Ok(()) => TaskError::new(name, &"ended"),
        Err(error) => TaskError::new(name, &error),
    })
    .boxed_local()
}

fn background_task(
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

/// Logs the number of dropped log lines at an interval.
async fn report_dropped_lines(dropped_lines: DroppedLines) {
    loop {
        sleep_ms(LOAD_INTERVAL_MS).await;
        dropped_lines.report();
    }
}

/// Logs the gate's load and the admission levels at an interval.
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
            failed_permille = load.failed_permille,
            clients = mesh.clients.get(),
            levels,
            "load"
        );
    }
}

/// Waits for SIGTERM or SIGINT, and then shuts the daemon down.
async fn stop(mesh: &Rc<Mesh>, signals: async_channel::Receiver<i32>) {
    loop {
        match signals.recv().await {
            Ok(SIGHUP) => tracing::info!("SIGHUP received; settings are reread on change"),
            Ok(signal) => {
                tracing::info!(signal, in_hand = mesh.outstanding(), "stopping");
                break;
            }
            Err(error) => {
                tracing::error!(%error, "signal handler ended; signals are no longer received");
                std::future::pending::<()>().await;
            }
        }
    }
    shut_down(mesh).await;
}

/// Stops the daemon and waits until all requests have finished or the grace period ends.
pub async fn shut_down(mesh: &Rc<Mesh>) {
    let started_us = now_us();
    mesh.stop(started_us);
    let grace_end_us =
        started_us.saturating_add(mesh.settings.usable_grace_ms().saturating_mul(1_000));
    loop {
        let now_us = now_us();
        let is_idle = mesh.outstanding() == 0 && !mesh.accepts_requests(now_us);
        if is_idle || now_us >= grace_end_us {
            break;
        }
        sleep_ms(GATE_TICK_MS).await;
    }
    tracing::info!(
        in_hand = mesh.outstanding(),
        clients = mesh.clients.get(),
        "stopped"
    );
    if mesh.in_progress.get() > 0 {
        mesh.give_up_requests();
        // Time to write the answers.
        sleep_ms(GATE_TICK_MS).await;
    }
    mesh.leave_fleet(now_us());
}

/// Logs changes of the settings file. The running process keeps its settings; changes take effect
/// at the next start.
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
                tracing::info!("settings file read again; no setting has changed");
            }
            Ok(_) => tracing::warn!("settings changed; they take effect at the next start"),
            Err(errors) => tracing::warn!(faults = %errors, "invalid settings ignored"),
        }
        known = text;
    }
}

fn read(path: &Path) -> SmolStr {
    std::fs::read_to_string(path).map_or_else(
        |error| {
            tracing::warn!(path = %path.display(), %error, "reading the settings failed");
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
