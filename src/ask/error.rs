//! Errors that point at a word of an operator's script.

use {
    crate::ask::lexer::Span,
    derive_more::Error,
    serde::Serialize,
    smol_str::SmolStr,
    std::fmt::{self, Display, Formatter},
};

/// Error at one word of a script; nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error, Serialize)]
pub struct StatementError {
    /// Line of the word, from one.
    pub line: usize,
    /// Column of the word's first character, from one.
    pub column: usize,
    /// Description of the error.
    pub message: SmolStr,
    /// Alternatives that are allowed at this place.
    pub expected: Vec<SmolStr>,
    /// Line of the script, with tabs replaced by spaces.
    #[serde(skip)]
    pub source_line: SmolStr,
    /// Length of the word in characters.
    #[serde(skip)]
    pub width: usize,
}

impl StatementError {
    /// Creates an error at `span` of `text`.
    pub fn new(text: &str, span: Span, message: impl Into<SmolStr>) -> Self {
        let before = &text[..span.start];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let source_line = text[line_start..].lines().next().unwrap_or_default();
        Self {
            line: before.matches('\n').count() + 1,
            column: text[line_start..span.start].chars().count() + 1,
            message: message.into(),
            expected: Vec::new(),
            source_line: SmolStr::new(source_line.replace('\t', " ")),
            width: text[span.start..span.end].chars().count().max(1),
        }
    }

    /// Adds the alternatives that are allowed at this place.
    #[must_use]
    pub fn expecting(mut self, expected: &[&'static str]) -> Self {
        self.expected = expected.iter().copied().map(SmolStr::new_static).collect();
        self
    }
}

impl Display for StatementError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "error: {}", self.message)?;
        writeln!(formatter, " --> line {}, column {}", self.line, self.column)?;
        writeln!(formatter, "  | {}", self.source_line)?;
        let indent = self.column - 1;
        write!(
            formatter,
            "  | {:indent$}{:^<width$}",
            "",
            "",
            width = self.width
        )?;
        if self.expected.is_empty() {
            return Ok(());
        }
        write!(formatter, "\nexpected {}", self.expected.join(" or "))
    }
}
