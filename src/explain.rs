//! Timeline of one request, built from the log lines of several daemons.

use {
    derive_more::{Display, Error},
    serde_json::{Map, Value},
    std::fmt,
};

/// Fields that each log line has; an event prints them before all others.
const LEADING_FIELDS: &[&str] = &["timestamp", "level", "message"];

/// No log line belongs to the request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("no log line found for request {id}")]
pub struct NotFound {
    /// Request that was looked for.
    pub id: String,
}

/// One log line of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Wall clock of the daemon that wrote it.
    pub timestamp: String,
    /// Daemon that wrote it, or the file that it was found in.
    pub source: String,
    /// Request, or call nested in it.
    pub attempt: String,
    /// What happened.
    pub message: String,
    /// Further fields of the line.
    pub fields: Vec<(String, String)>,
}

/// Events of one request and of the calls nested in it.
#[derive(Debug, Clone, PartialEq)]
pub struct Timeline {
    events: Vec<Event>,
    unreadable: usize,
}

impl Timeline {
    /// Collects the lines of a request from files, each given by its name and its text.
    ///
    /// Truncated lines and lines that are not JSON are counted and left out. Events are sorted by
    /// their timestamps, so the order across daemons is only as exact as their clocks. Events of
    /// one file with equal timestamps keep their order.
    ///
    /// # Errors
    ///
    /// Fails if no line belongs to the request.
    pub fn collect<'a>(
        id: &str,
        files: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, NotFound> {
        let mut events = Vec::new();
        let mut unreadable = 0;
        for (file, text) in files {
            for line in text.lines().filter(|line| line.contains(id)) {
                match parse_event(id, file, line) {
                    Some(Ok(event)) => events.push(event),
                    Some(Err(Unreadable)) => unreadable += 1,
                    None => {}
                }
            }
        }
        if events.is_empty() {
            return Err(NotFound { id: id.into() });
        }
        events.sort_by(|one: &Event, other| one.timestamp.cmp(&other.timestamp));
        Ok(Self { events, unreadable })
    }

    /// Events in the order of their timestamps.
    pub fn events(&self) -> &[Event] {
        &self.events
    }
}

struct Unreadable;

/// Parses a line; `None` if it belongs to another request, whose id contains this one.
fn parse_event(id: &str, file: &str, line: &str) -> Option<Result<Event, Unreadable>> {
    let Some(start) = line.find('{') else {
        return Some(Err(Unreadable));
    };
    let Ok(object) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
        return Some(Err(Unreadable));
    };
    let attempt = object.get("attempt").and_then(Value::as_str)?;
    let is_requested = attempt == id
        || attempt
            .strip_prefix(id)
            .is_some_and(|rest| rest.starts_with('.'));
    if !is_requested {
        return None;
    }
    // A log collector may prefix each line with the name of the daemon.
    let source = line[..start].split_whitespace().last().unwrap_or(file);
    let text = |name: &str| object.get(name).map(field_text).unwrap_or_default();
    let fields = object
        .iter()
        .filter(|(name, _)| name.as_str() != "attempt" && !LEADING_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), field_text(value)));
    Some(Ok(Event {
        timestamp: text("timestamp"),
        source: source.into(),
        attempt: attempt.into(),
        message: text("message"),
        fields: fields.collect(),
    }))
}

fn field_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

impl fmt::Display for Timeline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            let depth = event.attempt.matches('.').count();
            write!(
                formatter,
                "{} {} {:indent$}{} {}:",
                event.timestamp,
                event.source,
                "",
                event.attempt,
                event.message,
                indent = 2 * depth,
            )?;
            for (name, value) in &event.fields {
                write!(formatter, " {name}={value}")?;
            }
            writeln!(formatter)?;
        }
        if self.unreadable > 0 {
            writeln!(formatter, "{} lines could not be read", self.unreadable)?;
        }
        Ok(())
    }
}
