//! Basic parsers, and the error that holds the alternatives at the furthest position reached in a
//! statement.

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
pub(super) type ParseResult<T> = Result<T, Expected>;

/// Parse error: the alternatives that were expected, and the number of words left at that position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Expected {
    pub(super) words_left: usize,
    pub(super) alternatives: Vec<&'static str>,
}

impl Expected {
    fn new(input: &Input<'_>, alternative: &'static str) -> Self {
        Self {
            words_left: input.eof_offset(),
            alternatives: vec![alternative],
        }
    }
}

impl<'i> ParserError<Input<'i>> for Expected {
    type Inner = Self;

    fn from_input(input: &Input<'i>) -> Self {
        Self {
            words_left: input.eof_offset(),
            alternatives: Vec::new(),
        }
    }

    fn or(mut self, other: Self) -> Self {
        if self.words_left != other.words_left {
            return if self.words_left < other.words_left {
                self
            } else {
                other
            };
        }
        self.alternatives.extend(other.alternatives);
        self
    }

    fn into_inner(self) -> Result<Self::Inner, Self> {
        Ok(self)
    }
}

pub(super) fn keyword(input: &mut Input<'_>, name: &'static str) -> ParseResult<()> {
    value(input, name, |word| (word == name).then_some(()))
}

/// Parses one word with `read`; `what` describes it in the error.
pub(super) fn value<T>(
    input: &mut Input<'_>,
    what: &'static str,
    read: impl Fn(&str) -> Option<T>,
) -> ParseResult<T> {
    let expected = Expected::new(input, what);
    any.verify_map(|word: &Word<'_>| read(word.text))
        .parse_next(input)
        .map_err(|_: Expected| expected)
}

pub(super) fn end(input: &mut Input<'_>) -> ParseResult<()> {
    if input.eof_offset() == 0 {
        return Ok(());
    }
    Err(Expected::new(input, "end of statement"))
}

/// Parses options up to the end of the statement; `option` returns whether the option was not given
/// before.
pub(super) fn options<V>(
    input: &mut Input<'_>,
    mut values: V,
    at_least: usize,
    mut option: impl FnMut(&mut Input<'_>, &mut V) -> ParseResult<bool>,
) -> ParseResult<V> {
    let mut count = 0;
    while count < at_least || input.eof_offset() > 0 {
        let repeated = Expected::new(input, "an option that is not already set");
        if !option(input, &mut values)? {
            return Err(repeated);
        }
        count += 1;
    }
    Ok(values)
}
