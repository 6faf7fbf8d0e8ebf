//! Logging: lines of changes of state on standard error, and the platform daemon's structured lines
//! on standard output, bounded in number and never waited for.

use {
    crate::{collections::HashMap, mesh::runtime::now_us, settings::LogSettings},
    parking_lot::Mutex,
    std::{
        io::{self, BufWriter, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
    tracing::{
        Event, Level, Metadata, Subscriber, callsite::Identifier, level_filters::LevelFilter,
    },
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{
        FmtSubscriber, Layer,
        layer::{Context, Filter, SubscriberExt},
        util::SubscriberInitExt,
    },
};

/// Lines that wait for standard output; more are dropped, so that a reader that stalls costs no
/// request any time.
const MAX_WAITING_LINES: usize = 8_192;

/// Lines of one kind in a second; further ones are left out and counted. Above the 420 calls a second
/// that a VM serves in the users' calm hours, so that only overload is cut.
const MAX_LINES_PER_S: u32 = 600;

/// Pause of the writing thread after each batch, so that not every line wakes it.
const BATCH_PAUSE_MS: u64 = 20;

/// Bytes of a batch that are written at a time.
const BATCH_BYTES: usize = 64 * 1024;

/// Length of the span that lines are counted in.
const SPAN_US: u64 = 1_000_000;

/// Sends log lines to standard error, as text or as JSON objects.
pub fn init(settings: &LogSettings) {
    let builder = FmtSubscriber::builder()
        .with_max_level(settings.level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    if settings.is_json {
        builder.json().init();
    } else {
        builder.init();
    }
}

/// Log of a platform daemon; what waits is written when it is dropped.
#[derive(Debug)]
pub struct MeshLog {
    _writer: WorkerGuard,
    /// Lines that did not get into it.
    pub losses: LineLosses,
}

/// Sends log lines as JSON objects to standard output, without ever waiting for it.
pub fn init_mesh(level: Level) -> MeshLog {
    let (log, subscriber) = mesh_log(level, std::io::stdout());
    subscriber.init();
    log
}

/// A log of JSON objects to any writer, and what records it.
pub fn mesh_log(
    level: Level,
    writer: impl Write + Send + 'static,
) -> (MeshLog, impl Subscriber + Send + Sync) {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(Batches(BufWriter::with_capacity(BATCH_BYTES, writer)));
    let losses = LineLosses {
        unwritten: writer.error_counter(),
        reported: Arc::default(),
        kinds: Arc::default(),
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_filter(losses.clone());
    let subscriber = tracing_subscriber::registry()
        .with(LevelFilter::from_level(level))
        .with(lines);
    let log = MeshLog {
        _writer: guard,
        losses,
    };
    (log, subscriber)
}

/// Writer that collects the lines of a moment.
struct Batches<W: Write>(BufWriter<W>);

impl<W: Write> Write for Batches<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    /// Called whenever no line waits.
    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()?;
        thread::sleep(Duration::from_millis(BATCH_PAUSE_MS));
        Ok(())
    }
}

/// Lines of one kind in the present second, and those left out since they were last asked for.
#[derive(Debug, Clone, Copy, Default)]
struct Kind {
    place: Option<(&'static str, u32)>,
    since_us: u64,
    lines: u32,
    left_out: u64,
}

impl Kind {
    fn admits(&mut self, now_us: u64) -> bool {
        if now_us.saturating_sub(self.since_us) >= SPAN_US {
            self.since_us = now_us;
            self.lines = 0;
        }
        if self.lines < MAX_LINES_PER_S {
            self.lines += 1;
            return true;
        }
        self.left_out += 1;
        false
    }
}

/// Log lines that were left out, as there were too many of their kind, or as nobody read them.
#[derive(Debug, Clone)]
pub struct LineLosses {
    unwritten: ErrorCounter,
    reported: Arc<AtomicU64>,
    kinds: Arc<Mutex<HashMap<Identifier, Kind>>>,
}

impl LineLosses {
    /// Lines that nobody read in time, since the start.
    pub fn unwritten(&self) -> u64 {
        self.unwritten.dropped_lines() as u64
    }

    /// Logs what was left out since the last call, if anything was.
    pub fn report(&self) {
        let unwritten = self.unwritten();
        let unwritten = unwritten - self.reported.swap(unwritten, Ordering::Relaxed);
        let left_out: Vec<String> = self
            .kinds
            .lock()
            .values_mut()
            .filter(|kind| kind.left_out > 0)
            .map(|kind| {
                let (file, line) = kind.place.unwrap_or_default();
                format!("{file}:{line}={}", std::mem::take(&mut kind.left_out))
            })
            .collect();
        if unwritten > 0 || !left_out.is_empty() {
            let over_rate = left_out.join(" ");
            tracing::warn!(unwritten, over_rate, "log lines left out");
        }
    }
}

impl<S> Filter<S> for LineLosses {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let mut kinds = self.kinds.lock();
        let kind = kinds.entry(metadata.callsite()).or_insert_with(|| Kind {
            place: metadata.file().zip(metadata.line()),
            ..Kind::default()
        });
        kind.admits(now_us())
    }
}
