//! Parsers of statements that ask a question.

use {
    super::{
        edits::read_name,
        words::{Input, ParseResult, keyword, value},
    },
    crate::{
        ask::{
            statement::{Filter, Question},
            units::read_number,
        },
        request::RequestId,
    },
    smol_str::SmolStr,
    winnow::{Parser, combinator::alt, stream::Stream},
};

const DEFAULT_HISTORY_LEN: usize = 20;

pub(super) fn question(input: &mut Input<'_>) -> ParseResult<Question> {
    alt((show, explain)).parse_next(input)
}

fn show(input: &mut Input<'_>) -> ParseResult<Question> {
    keyword(input, "show")?;
    alt((
        topic("services", Question::Services),
        topic("classes", Question::Classes),
        topic("workers", Question::Workers),
        topic("data-centres", Question::DataCentres),
        topic("rules", Question::Rules),
        topic("quarantine", Question::Quarantine),
        history,
        enforced,
    ))
    .parse_next(input)
}

fn topic(
    name: &'static str,
    question: Question,
) -> impl FnMut(&mut Input<'_>) -> ParseResult<Question> {
    move |input| {
        keyword(input, name)?;
        Ok(question.clone())
    }
}

fn history(input: &mut Input<'_>) -> ParseResult<Question> {
    keyword(input, "history")?;
    if input.eof_offset() == 0 {
        let last = DEFAULT_HISTORY_LEN;
        return Ok(Question::History { last });
    }
    keyword(input, "last")?;
    let last = value(input, "a number", read_number)?;
    Ok(Question::History { last })
}

fn enforced(input: &mut Input<'_>) -> ParseResult<Question> {
    keyword(input, "enforced")?;
    if input.eof_offset() == 0 {
        return Ok(Question::Enforced(Filter::All));
    }
    alt((
        named("service").map(Filter::Service),
        named("class").map(Filter::Class),
        named("worker").map(Filter::Worker),
        named("data-centre").map(Filter::DataCentre),
    ))
    .map(Question::Enforced)
    .parse_next(input)
}

fn explain(input: &mut Input<'_>) -> ParseResult<Question> {
    keyword(input, "explain")?;
    keyword(input, "request")?;
    value(input, "a request id", read_request_id).map(Question::Explain)
}

fn named(kind: &'static str) -> impl FnMut(&mut Input<'_>) -> ParseResult<SmolStr> {
    move |input| {
        keyword(input, kind)?;
        value(input, "a name", read_name)
    }
}

fn read_request_id(word: &str) -> Option<RequestId> {
    const MAX_DIGITS: usize = 32;
    let digits = word.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits || word.len() > MAX_DIGITS {
        return None;
    }
    u128::from_str_radix(word, 16).ok().map(RequestId)
}
