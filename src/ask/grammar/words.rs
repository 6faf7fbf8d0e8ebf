//! Smallest parsers, and the error that remembers what was expected furthest into a statement.

use {
    crate::ask::lexer::Word,
    winnow::{
        Parser,
        error::ParserError,
        stream::{Stream, TokenSlice},
        token::any,
    },
};

pub(super) type Input<'i> = TokenSlice<'i, Word<'i>>;
pub(super) type Parsed<T> = Result<T, Expected>;

/// What was expected, and how many words were left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Expected {
    pub(super) left: usize,
    pub(super) what: Vec<&'static str>,
}

impl Expected {
    fn new(input: &Input<'_>, what: &'static str) -> Self {
        Self {
            left: input.eof_offset(),
            what: vec![what],
        }
    }
}

impl<'i> ParserError<Input<'i>> for Expected {
    type Inner = Self;

    fn from_input(input: &Input<'i>) -> Self {
        Self {
            left: input.eof_offset(),
            what: Vec::new(),
        }
    }

    fn or(mut self, other: Self) -> Self {
        if self.left != other.left {
            return if self.left < other.left { self } else { other };
        }
        self.what.extend(other.what);
        self
    }

    fn into_inner(self) -> Result<Self::Inner, Self> {
        Ok(self)
    }
}

pub(super) fn keyword(input: &mut Input<'_>, name: &'static str) -> Parsed<()> {
    value(input, name, |word| (word == name).then_some(()))
}

pub(super) fn value<T>(
    input: &mut Input<'_>,
    what: &'static str,
    read: impl Fn(&str) -> Option<T>,
) -> Parsed<T> {
    let expected = Expected::new(input, what);
    any.verify_map(|word: &Word<'_>| read(word.text))
        .parse_next(input)
        .map_err(|_: Expected| expected)
}

pub(super) fn end(input: &mut Input<'_>) -> Parsed<()> {
    if input.eof_offset() == 0 {
        return Ok(());
    }
    Err(Expected::new(input, "the end of the statement"))
}

/// Reads options up to the end of the statement; `option` tells whether it was new.
pub(super) fn options<V>(
    input: &mut Input<'_>,
    mut values: V,
    at_least: usize,
    mut option: impl FnMut(&mut Input<'_>, &mut V) -> Parsed<bool>,
) -> Parsed<V> {
    let mut count = 0;
    while count < at_least || input.eof_offset() > 0 {
        let twice = Expected::new(input, "an option that is not given yet");
        if !option(input, &mut values)? {
            return Err(twice);
        }
        count += 1;
    }
    Ok(values)
}
