//! Grammar of the operators' language.

mod edits;
mod questions;
mod words;

use {
    crate::{
        ask::{
            error::StatementError,
            lexer::{RawStatement, Span, statements},
            statement::{LocatedEdit, Question, Script},
        },
        config::{Edit, Revision},
    },
    smol_str::format_smolstr,
    winnow::{Parser, combinator::alt},
    words::{Expected, Input, ParseResult, keyword, value},
};

/// One parsed statement, before the script is checked as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Statement {
    Guard(Revision),
    Edit(Edit, usize),
    Question(Question),
}

/// Parses a script.
///
/// # Errors
///
/// Fails if a statement is malformed, or the script mixes questions and changes or has neither.
pub fn parse(text: &str) -> Result<Script, StatementError> {
    let raw_statements = statements(text);
    let Some(first) = raw_statements.first() else {
        return Err(StatementError::new(
            text,
            Span::default(),
            "the text contains no statements",
        ));
    };
    let mut statements = Vec::with_capacity(raw_statements.len());
    for raw in &raw_statements {
        statements.push(parse_statement(text, raw)?);
    }
    if matches!(statements[0], Statement::Question(_)) {
        return questions(text, &raw_statements, statements);
    }
    let end = first.end;
    let script = change(text, &raw_statements, statements)?;
    match &script {
        Script::Change { edits, .. } if edits.is_empty() => Err(StatementError::new(
            text,
            end,
            "expected a change after `if revision`",
        )),
        _ => Ok(script),
    }
}

fn parse_statement(text: &str, raw: &RawStatement<'_>) -> Result<Statement, StatementError> {
    let mut input = Input::new(&raw.words);
    let result = statement(&mut input).and_then(|statement| {
        words::end(&mut input)?;
        Ok(statement)
    });
    result.map_err(|expected| syntax_error(text, raw, expected))
}

fn syntax_error(text: &str, raw: &RawStatement<'_>, mut expected: Expected) -> StatementError {
    let position = raw.words.len().saturating_sub(expected.words_left);
    expected.alternatives.dedup();
    match raw.words.get(position) {
        Some(word) => StatementError::new(text, word.span, format_smolstr!("unexpected `{word}`")),
        None => StatementError::new(text, raw.end, "unexpected end of statement"),
    }
    .expecting(&expected.alternatives)
}

fn statement(input: &mut Input<'_>) -> ParseResult<Statement> {
    alt((
        guard.map(Statement::Guard),
        edits::edit.map(|(edit, subject)| Statement::Edit(edit, subject)),
        questions::question.map(Statement::Question),
    ))
    .parse_next(input)
}

fn guard(input: &mut Input<'_>) -> ParseResult<Revision> {
    keyword(input, "if")?;
    keyword(input, "revision")?;
    value(input, "a revision", crate::ask::units::read_number).map(Revision)
}

fn questions(
    text: &str,
    raw_statements: &[RawStatement<'_>],
    statements: Vec<Statement>,
) -> Result<Script, StatementError> {
    let mut questions = Vec::with_capacity(statements.len());
    for (raw, statement) in raw_statements.iter().zip(statements) {
        let Statement::Question(question) = statement else {
            return Err(mixed_script(text, raw));
        };
        questions.push(question);
    }
    Ok(Script::Questions(questions))
}

fn change(
    text: &str,
    raw_statements: &[RawStatement<'_>],
    statements: Vec<Statement>,
) -> Result<Script, StatementError> {
    let mut if_revision = None;
    let mut edits = Vec::with_capacity(statements.len());
    for (index, (raw, statement)) in raw_statements.iter().zip(statements).enumerate() {
        match statement {
            Statement::Guard(revision) if index == 0 => if_revision = Some(revision),
            Statement::Guard(_) => return Err(misplaced_guard(text, raw)),
            Statement::Question(_) => return Err(mixed_script(text, raw)),
            Statement::Edit(edit, subject) => edits.push(locate(edit, subject, raw)),
        }
    }
    Ok(Script::Change { if_revision, edits })
}

fn locate(edit: Edit, subject: usize, raw: &RawStatement<'_>) -> LocatedEdit {
    let words: Vec<Span> = raw.words.iter().map(|word| word.span).collect();
    let subject = words.get(subject).copied().unwrap_or(raw.end);
    LocatedEdit {
        edit,
        words,
        subject,
    }
}

fn mixed_script(text: &str, raw: &RawStatement<'_>) -> StatementError {
    let message = "a text cannot contain both questions and changes";
    StatementError::new(text, raw.words[0].span, message)
}

fn misplaced_guard(text: &str, raw: &RawStatement<'_>) -> StatementError {
    StatementError::new(
        text,
        raw.words[0].span,
        "`if revision` must be the first statement",
    )
}
