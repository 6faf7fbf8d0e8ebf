//! The story of one request, from the log lines of several daemons.

use {
    derive_more::{Display, Error},
    serde_json::{Map, Value},
    std::fmt,
};

/// Fields that each line has, and that its story tells in front.
const FRONT: &[&str] = &["timestamp", "level", "message"];

/// Lines of no daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("no line tells of request {id}")]
pub struct NotFound {
    /// Request that was looked for.
    pub id: String,
}

/// One line about a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Wall clock of the daemon that wrote it.
    pub timestamp: String,
    /// Daemon that wrote it, or the file that it was found in.
    pub source: String,
    /// Request or call inside it.
    pub attempt: String,
    /// What happened.
    pub message: String,
    /// What the daemon knew.
    pub facts: Vec<(String, String)>,
}

/// All that is known of one request and the calls inside it.
#[derive(Debug, Clone, PartialEq)]
pub struct Story {
    events: Vec<Event>,
    unreadable: usize,
}

impl Story {
    /// Collects the lines of a request from files, each with its name and its text. Lines that are
    /// cut or not JSON are counted and left out. Clocks of daemons may differ, so lines of one file
    /// stay in their order, and files are merged by the wall clock.
    ///
    /// # Errors
    ///
    /// Fails if no line tells of the request.
    pub fn collect<'a>(
        id: &str,
        files: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, NotFound> {
        let mut events = Vec::new();
        let mut unreadable = 0;
        for (file, text) in files {
            for line in text.lines().filter(|line| line.contains(id)) {
                match event(id, file, line) {
                    Some(Ok(event)) => events.push(event),
                    Some(Err(Cut)) => unreadable += 1,
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

    /// Lines in the order told.
    pub fn events(&self) -> &[Event] {
        &self.events
    }
}

struct Cut;

/// Reads a line; `None` if it is about another request whose id contains this one.
fn event(id: &str, file: &str, line: &str) -> Option<Result<Event, Cut>> {
    let Some(start) = line.find('{') else {
        return Some(Err(Cut));
    };
    let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
        return Some(Err(Cut));
    };
    let attempt = fields.get("attempt").and_then(Value::as_str)?;
    let is_own = attempt == id
        || attempt
            .strip_prefix(id)
            .is_some_and(|rest| rest.starts_with('.'));
    if !is_own {
        return None;
    }
    // A collector may write the name of the daemon in front of each line.
    let source = line[..start].split_whitespace().last().unwrap_or(file);
    let text = |name: &str| fields.get(name).map(plain).unwrap_or_default();
    let facts = fields
        .iter()
        .filter(|(name, _)| name.as_str() != "attempt" && !FRONT.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), plain(value)));
    Some(Ok(Event {
        timestamp: text("timestamp"),
        source: source.into(),
        attempt: attempt.into(),
        message: text("message"),
        facts: facts.collect(),
    }))
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

impl fmt::Display for Story {
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
            for (name, value) in &event.facts {
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
