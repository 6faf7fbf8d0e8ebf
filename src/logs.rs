//! Logging: text or JSON lines on standard error, and the platform daemon's JSON lines on standard
//! output, which are limited in rate and never block a request.

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

/// Lines buffered for standard output; further ones are dropped, so that a stalled reader delays no
/// request.
const MAX_BUFFERED_LINES: usize = 8_192;

/// Maximum number of lines per second from one place in the source; further ones are left out and
/// counted. The limit is above the 420 calls per second that a VM serves at normal load, so that
/// lines are left out only under overload.
const MAX_LINES_PER_S: u32 = 600;

/// Pause of the writing thread after each batch, so that not every line wakes it.
const BATCH_PAUSE_MS: u64 = 20;

/// Bytes of a batch that are written at a time.
const BATCH_BYTES: usize = 64 * 1024;

/// Length of the window in which lines are counted.
const RATE_WINDOW_US: u64 = 1_000_000;

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

/// Log of a platform daemon; buffered lines are written when it is dropped.
#[derive(Debug)]
pub struct MeshLog {
    _writer: WorkerGuard,
    /// Counts of the lines that were left out.
    pub dropped_lines: DroppedLines,
}

/// Sends log lines as JSON objects to standard output, without blocking on it.
pub fn init_mesh(level: Level) -> MeshLog {
    let (log, subscriber) = mesh_log(level, std::io::stdout());
    subscriber.init();
    log
}

/// Creates a log that writes JSON objects to `writer`, and the subscriber that feeds it.
pub fn mesh_log(
    level: Level,
    writer: impl Write + Send + 'static,
) -> (MeshLog, impl Subscriber + Send + Sync) {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(BatchWriter(BufWriter::with_capacity(BATCH_BYTES, writer)));
    let dropped_lines = DroppedLines {
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
        .with_filter(dropped_lines.clone());
    let subscriber = tracing_subscriber::registry()
        .with(LevelFilter::from_level(level))
        .with(lines);
    let log = MeshLog {
        _writer: guard,
        dropped_lines,
    };
    (log, subscriber)
}

/// Writer that collects the lines of a short time into one write.
struct BatchWriter<W: Write>(BufWriter<W>);

impl<W: Write> Write for BatchWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    /// Called whenever no line is buffered.
    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()?;
        thread::sleep(Duration::from_millis(BATCH_PAUSE_MS));
        Ok(())
    }
}

/// Lines from one place in the source: those of the current window, and those left out since the
/// last report.
#[derive(Debug, Clone, Copy, Default)]
struct LineKind {
    location: Option<(&'static str, u32)>,
    window_start_us: u64,
    lines: u32,
    omitted: u64,
}

impl LineKind {
    fn admits(&mut self, now_us: u64) -> bool {
        if now_us.saturating_sub(self.window_start_us) >= RATE_WINDOW_US {
            self.window_start_us = now_us;
            self.lines = 0;
        }
        if self.lines < MAX_LINES_PER_S {
            self.lines += 1;
            return true;
        }
        self.omitted += 1;
        false
    }
}

/// Log lines that were left out because they exceeded the rate limit or the reader was too slow.
#[derive(Debug, Clone)]
pub struct DroppedLines {
    unwritten: ErrorCounter,
    reported: Arc<AtomicU64>,
    kinds: Arc<Mutex<HashMap<Identifier, LineKind>>>,
}

impl DroppedLines {
    /// Lines dropped since the start because the reader was too slow.
    pub fn unwritten(&self) -> u64 {
        self.unwritten.dropped_lines() as u64
    }

    /// Logs the number of lines left out since the last call, if any were.
    pub fn report(&self) {
        let unwritten = self.unwritten();
        let unwritten = unwritten - self.reported.swap(unwritten, Ordering::Relaxed);
        let omitted: Vec<String> = self
            .kinds
            .lock()
            .values_mut()
            .filter(|kind| kind.omitted > 0)
            .map(|kind| {
                let (file, line) = kind.location.unwrap_or_default();
                format!("{file}:{line}={}", std::mem::take(&mut kind.omitted))
            })
            .collect();
        if unwritten > 0 || !omitted.is_empty() {
            let over_rate = omitted.join(" ");
            tracing::warn!(unwritten, over_rate, "log lines left out");
        }
    }
}

impl<S> Filter<S> for DroppedLines {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let mut kinds = self.kinds.lock();
        let kind = kinds
            .entry(metadata.callsite())
            .or_insert_with(|| LineKind {
                location: metadata.file().zip(metadata.line()),
                ..LineKind::default()
            });
        kind.admits(now_us())
    }
}
