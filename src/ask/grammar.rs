//! Grammar of the operators' language.

mod edits;
mod questions;
mod words;

use {
    crate::{
        ask::{
            fault::Fault,
            lexer::{Line, Span, statements},
            statement::{LocatedEdit, Question, Script},
        },
        config::{Edit, Revision},
    },
    smol_str::format_smolstr,
    winnow::{Parser, combinator::alt},
    words::{Expected, Input, Parsed, keyword, value},
};

/// One statement, before the text as a whole is judged.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Statement {
    Guard(Revision),
    Edit(Edit, usize),
    Question(Question),
}

/// Reads a text.
pub fn parse(text: &str) -> Result<Script, Fault> {
    let lines = statements(text);
    let Some(first) = lines.first() else {
        return Err(Fault::new(
            text,
            Span::default(),
            "the text holds no statement",
        ));
    };
    let mut statements = Vec::with_capacity(lines.len());
    for line in &lines {
        statements.push(parse_line(text, line)?);
    }
    if matches!(statements[0], Statement::Question(_)) {
        return questions(text, &lines, statements);
    }
    let end = first.end;
    let script = change(text, &lines, statements)?;
    match &script {
        Script::Change { edits, .. } if edits.is_empty() => {
            Err(Fault::new(text, end, "no change follows"))
        }
        _ => Ok(script),
    }
}

fn parse_line(text: &str, line: &Line<'_>) -> Result<Statement, Fault> {
    let mut input = Input::new(&line.words);
    let result = statement(&mut input).and_then(|statement| {
        words::end(&mut input)?;
        Ok(statement)
    });
    result.map_err(|expected| fault(text, line, expected))
}

fn fault(text: &str, line: &Line<'_>, mut expected: Expected) -> Fault {
    let at = line.words.len().saturating_sub(expected.left);
    expected.what.dedup();
    match line.words.get(at) {
        Some(word) => Fault::new(
            text,
            word.span,
            format_smolstr!("`{word}` cannot stand here"),
        ),
        None => Fault::new(text, line.end, "the statement is incomplete"),
    }
    .expecting(&expected.what)
}

fn statement(input: &mut Input<'_>) -> Parsed<Statement> {
    alt((
        guard.map(Statement::Guard),
        edits::edit.map(|(edit, subject)| Statement::Edit(edit, subject)),
        questions::question.map(Statement::Question),
    ))
    .parse_next(input)
}

fn guard(input: &mut Input<'_>) -> Parsed<Revision> {
    keyword(input, "if")?;
    keyword(input, "revision")?;
    value(input, "a revision", crate::ask::units::read_number).map(Revision)
}

fn questions(text: &str, lines: &[Line<'_>], statements: Vec<Statement>) -> Result<Script, Fault> {
    let mut questions = Vec::with_capacity(statements.len());
    for (line, statement) in lines.iter().zip(statements) {
        let Statement::Question(question) = statement else {
            return Err(mixed(text, line));
        };
        questions.push(question);
    }
    Ok(Script::Questions(questions))
}

fn change(text: &str, lines: &[Line<'_>], statements: Vec<Statement>) -> Result<Script, Fault> {
    let mut if_revision = None;
    let mut edits = Vec::with_capacity(statements.len());
    for (index, (line, statement)) in lines.iter().zip(statements).enumerate() {
        match statement {
            Statement::Guard(revision) if index == 0 => if_revision = Some(revision),
            Statement::Guard(_) => return Err(late_guard(text, line)),
            Statement::Question(_) => return Err(mixed(text, line)),
            Statement::Edit(edit, subject) => edits.push(locate(edit, subject, line)),
        }
    }
    Ok(Script::Change { if_revision, edits })
}

fn locate(edit: Edit, subject: usize, line: &Line<'_>) -> LocatedEdit {
    let words: Vec<Span> = line.words.iter().map(|word| word.span).collect();
    let subject = words.get(subject).copied().unwrap_or(line.end);
    LocatedEdit {
        edit,
        words,
        subject,
    }
}

fn mixed(text: &str, line: &Line<'_>) -> Fault {
    let message = "a text holds either questions or changes";
    Fault::new(text, line.words[0].span, message)
}

fn late_guard(text: &str, line: &Line<'_>) -> Fault {
    Fault::new(text, line.words[0].span, "`if revision` stands first")
}
