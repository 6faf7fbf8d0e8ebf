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
    tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{
        FmtSubscriber, Layer,
        layer::{Context, Filter, SubscriberExt},
        registry::LookupSpan,
        util::SubscriberInitExt,
    },
};

/// Lines buffered for standard output; further ones are dropped, so that a stalled reader delays no
/// request.
const MAX_BUFFERED_LINES: usize = 8_192;

/// Target of lines that tell what a daemon believes, as the configuration in force. They are buffered
/// apart, so that lines of requests do not displace them.
pub const STATE: &str = "state";

/// Buffered lines about the state.
const MAX_BUFFERED_STATE_LINES: usize = 1_024;

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
    _writers: [WorkerGuard; 2],
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
    let writer = SharedWriter(Arc::new(Mutex::new(writer)));
    let (requests, requests_guard) = buffered(writer.clone(), MAX_BUFFERED_LINES);
    let (state, state_guard) = buffered(writer, MAX_BUFFERED_STATE_LINES);
    let dropped_lines = DroppedLines {
        unwritten: [requests.error_counter(), state.error_counter()],
        reported: Arc::default(),
        kinds: Arc::default(),
    };
    let filter = |is_state| LineFilter {
        is_state,
        limits: dropped_lines.clone(),
    };
    let subscriber = tracing_subscriber::registry()
        .with(LevelFilter::from_level(level))
        .with(json_lines(requests).with_filter(filter(false)))
        .with(json_lines(state).with_filter(filter(true)));
    let log = MeshLog {
        _writers: [requests_guard, state_guard],
        dropped_lines,
    };
    (log, subscriber)
}

/// Creates a writer that never blocks, and drops lines when so many are buffered.
fn buffered<W: Write + Send + 'static>(
    writer: SharedWriter<W>,
    max_lines: usize,
) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .buffered_lines_limit(max_lines)
        .lossy(true)
        .finish(BatchWriter(BufWriter::with_capacity(BATCH_BYTES, writer)))
}

fn json_lines<S>(writer: NonBlocking) -> impl Layer<S>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
{
    tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
}

/// Writer of two buffers. Each write is complete, so that the lines of both do not mix.
struct SharedWriter<W>(Arc<Mutex<W>>);

impl<W> Clone for SharedWriter<W> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<W: Write> Write for SharedWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().write_all(bytes)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.lock().flush()
    }
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
    unwritten: [ErrorCounter; 2],
    reported: Arc<AtomicU64>,
    kinds: Arc<Mutex<HashMap<Identifier, LineKind>>>,
}

impl DroppedLines {
    /// Lines dropped since the start because the reader was too slow.
    pub fn unwritten(&self) -> u64 {
        let counters = self.unwritten.iter();
        counters.map(|counter| counter.dropped_lines() as u64).sum()
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

/// Admits the lines of one buffer at a limited rate.
struct LineFilter {
    /// Whether it is the buffer of lines with the target [`STATE`].
    is_state: bool,
    limits: DroppedLines,
}

impl<S> Filter<S> for LineFilter {
    fn enabled(&self, metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        (metadata.target() == STATE) == self.is_state
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let mut kinds = self.limits.kinds.lock();
        let kind = kinds
            .entry(metadata.callsite())
            .or_insert_with(|| LineKind {
                location: metadata.file().zip(metadata.line()),
                ..LineKind::default()
            });
        kind.admits(now_us())
    }
}
