//! Splits a script into statements and words.

use {
    derive_more::Display,
    winnow::{
        LocatingSlice, Parser, Result,
        combinator::{alt, repeat},
        error::EmptyError,
        token::take_while,
    },
};

/// Byte range of a script, from `start` up to but excluding `end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Span {
    /// First byte.
    pub start: usize,
    /// Byte after the last.
    pub end: usize,
}

/// Word and its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
#[display("{text}")]
pub struct Word<'t> {
    /// Text of the word.
    pub text: &'t str,
    /// Position of the word.
    pub span: Span,
}

/// Unparsed statement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RawStatement<'t> {
    /// Words of the statement, at least one.
    pub words: Vec<Word<'t>>,
    /// Empty span after the last word.
    pub end: Span,
}

enum Piece<'t> {
    Word(Word<'t>),
    Separator,
    /// Blank or comment.
    Ignored,
}

type Input<'t> = LocatingSlice<&'t str>;

/// Splits a script into its statements.
pub fn statements(text: &str) -> Vec<RawStatement<'_>> {
    let mut input = LocatingSlice::new(text);
    let pieces: Vec<Piece<'_>> = repeat(0.., piece)
        .parse_next(&mut input)
        .unwrap_or_default();
    let mut statements = vec![RawStatement::default()];
    for piece in pieces {
        match (piece, statements.last_mut()) {
            (Piece::Word(word), Some(statement)) => statement.push(word),
            (Piece::Separator, _) => statements.push(RawStatement::default()),
            _ => {}
        }
    }
    statements.retain(|statement| !statement.words.is_empty());
    statements
}

impl<'t> RawStatement<'t> {
    fn push(&mut self, word: Word<'t>) {
        self.end = Span {
            start: word.span.end,
            end: word.span.end,
        };
        self.words.push(word);
    }
}

fn piece<'t>(input: &mut Input<'t>) -> Result<Piece<'t>, EmptyError> {
    alt((blank, comment, separator, word)).parse_next(input)
}

fn blank<'t>(input: &mut Input<'t>) -> Result<Piece<'t>, EmptyError> {
    take_while(1.., |c: char| c.is_whitespace() && c != '\n')
        .map(|_| Piece::Ignored)
        .parse_next(input)
}

fn comment<'t>(input: &mut Input<'t>) -> Result<Piece<'t>, EmptyError> {
    ('#', take_while(0.., |c: char| c != '\n'))
        .map(|_| Piece::Ignored)
        .parse_next(input)
}

fn separator<'t>(input: &mut Input<'t>) -> Result<Piece<'t>, EmptyError> {
    alt(('\n', ';')).map(|_| Piece::Separator).parse_next(input)
}

fn word<'t>(input: &mut Input<'t>) -> Result<Piece<'t>, EmptyError> {
    take_while(1.., |c: char| !c.is_whitespace() && c != ';' && c != '#')
        .with_span()
        .map(|(text, range): (&str, _)| {
            let span = Span {
                start: range.start,
                end: range.end,
            };
            Piece::Word(Word { text, span })
        })
        .parse_next(input)
}
