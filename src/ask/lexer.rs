//! Splits a text into statements and words.

use {
    derive_more::Display,
    winnow::{
        LocatingSlice, Parser, Result,
        combinator::{alt, repeat},
        error::EmptyError,
        token::take_while,
    },
};

/// Bytes of a text, from `start` up to `end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Span {
    /// First byte.
    pub start: usize,
    /// Byte after the last.
    pub end: usize,
}

/// A word and where it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
#[display("{text}")]
pub struct Word<'t> {
    /// The word.
    pub text: &'t str,
    /// Where it stands.
    pub span: Span,
}

/// Words of one statement; `end` is where the statement ends.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Line<'t> {
    /// Words of the statement, at least one.
    pub words: Vec<Word<'t>>,
    /// The end of the statement.
    pub end: Span,
}

enum Piece<'t> {
    Word(Word<'t>),
    Separator,
    Nothing,
}

type Input<'t> = LocatingSlice<&'t str>;

/// Splits a text into its statements.
pub fn statements(text: &str) -> Vec<Line<'_>> {
    let mut input = LocatingSlice::new(text);
    let pieces: Vec<Piece<'_>> = repeat(0.., piece)
        .parse_next(&mut input)
        .unwrap_or_default();
    let mut lines = vec![Line::default()];
    for piece in pieces {
        match (piece, lines.last_mut()) {
            (Piece::Word(word), Some(line)) => line.push(word),
            (Piece::Separator, _) => lines.push(Line::default()),
            _ => {}
        }
    }
    lines.retain(|line| !line.words.is_empty());
    lines
}

impl<'t> Line<'t> {
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
        .map(|_| Piece::Nothing)
        .parse_next(input)
}

fn comment<'t>(input: &mut Input<'t>) -> Result<Piece<'t>, EmptyError> {
    ('#', take_while(0.., |c: char| c != '\n'))
        .map(|_| Piece::Nothing)
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
