//! Logging of changes of state.

use {crate::settings::LogSettings, tracing_subscriber::FmtSubscriber};

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
