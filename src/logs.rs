//! Logging of changes of state.

use {
    crate::settings::LogSettings,
    tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::FmtSubscriber,
};

/// Lines that wait for standard output; more are dropped, so that a reader that stalls costs no
/// request any time.
const MAX_WAITING_LINES: usize = 8_192;

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

/// Sends log lines as JSON objects to standard output, without ever waiting for it. Lines that wait
/// are written when the guard is dropped.
pub fn init_mesh(level: tracing::Level) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    FmtSubscriber::builder()
        .with_max_level(level)
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .init();
    guard
}
