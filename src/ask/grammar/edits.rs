//! Parsers of statements that change the configuration.

use {
    super::words::{Input, ParseResult, keyword, options, value},
    crate::{
        ask::units::{read_duration_ms, read_number, read_percent},
        config::{ClassEdit, DrainOrder, DrainTarget, Edit, RulesEdit, ServiceEdit, is_valid_name},
        request::Importance,
    },
    smol_str::{SmolStr, ToSmolStr},
    std::net::IpAddr,
    winnow::{Parser, combinator::alt},
};

const NAME: &str = "a name";
const DURATION: &str = "a duration such as 500ms, 2s or 1m";
const PERCENT: &str = "a percentage such as 10%";
const NUMBER: &str = "a number";

/// Parses an edit; also returns the position of the word that names the item to change.
pub(super) fn edit(input: &mut Input<'_>) -> ParseResult<(Edit, usize)> {
    alt((
        create,
        change,
        remove,
        set.map(|edit| (edit, 1)),
        drain.map(|edit| (edit, 2)),
        lift.map(|edit| (edit, 2)),
    ))
    .parse_next(input)
}

fn create(input: &mut Input<'_>) -> ParseResult<(Edit, usize)> {
    keyword(input, "create")?;
    alt((
        service(0).map(|(name, values)| (Edit::CreateService(name, values), 2)),
        class(0).map(|(name, values)| (Edit::CreateClass(name, values), 2)),
    ))
    .parse_next(input)
}

fn change(input: &mut Input<'_>) -> ParseResult<(Edit, usize)> {
    keyword(input, "change")?;
    alt((
        service(1).map(|(name, values)| (Edit::ChangeService(name, values), 2)),
        class(1).map(|(name, values)| (Edit::ChangeClass(name, values), 2)),
    ))
    .parse_next(input)
}

fn remove(input: &mut Input<'_>) -> ParseResult<(Edit, usize)> {
    keyword(input, "drop")?;
    alt((
        named("service").map(|name| (Edit::DropService(name), 2)),
        named("class").map(|name| (Edit::DropClass(name), 2)),
    ))
    .parse_next(input)
}

fn service(at_least: usize) -> impl FnMut(&mut Input<'_>) -> ParseResult<(SmolStr, ServiceEdit)> {
    move |input| {
        let name = named("service").parse_next(input)?;
        let values = options(input, ServiceEdit::default(), at_least, service_option)?;
        Ok((name, values))
    }
}

fn service_option(input: &mut Input<'_>, values: &mut ServiceEdit) -> ParseResult<bool> {
    alt((
        option("timeout", DURATION, read_duration_ms).map(ServiceOption::Timeout),
        option("retry-ratio", PERCENT, read_percent).map(ServiceOption::RetryRatio),
    ))
    .parse_next(input)
    .map(|option| option.set(values))
}

enum ServiceOption {
    Timeout(u32),
    RetryRatio(u8),
}

impl ServiceOption {
    fn set(self, values: &mut ServiceEdit) -> bool {
        match self {
            Self::Timeout(timeout_ms) => values.timeout_ms.replace(timeout_ms).is_none(),
            Self::RetryRatio(percent) => values.retry_ratio_percent.replace(percent).is_none(),
        }
    }
}

fn class(at_least: usize) -> impl FnMut(&mut Input<'_>) -> ParseResult<(SmolStr, ClassEdit)> {
    move |input| {
        let name = named("class").parse_next(input)?;
        let values = options(input, ClassEdit::default(), at_least, class_option)?;
        Ok((name, values))
    }
}

fn class_option(input: &mut Input<'_>, values: &mut ClassEdit) -> ParseResult<bool> {
    alt((
        option("importance", NUMBER, read_number).map(ClassOption::Importance),
        option("retries", NUMBER, read_number).map(ClassOption::Retries),
        flag("idempotent").map(|()| ClassOption::Idempotent(true)),
        flag("not-idempotent").map(|()| ClassOption::Idempotent(false)),
        option("deadline", DURATION, read_duration_ms).map(ClassOption::Deadline),
    ))
    .parse_next(input)
    .map(|option| option.set(values))
}

enum ClassOption {
    Importance(u8),
    Retries(u8),
    Idempotent(bool),
    Deadline(u32),
}

impl ClassOption {
    fn set(self, values: &mut ClassEdit) -> bool {
        match self {
            Self::Importance(importance) => {
                values.importance.replace(Importance(importance)).is_none()
            }
            Self::Retries(retries) => values.retry_allowance.replace(retries).is_none(),
            Self::Idempotent(idempotent) => values.idempotent.replace(idempotent).is_none(),
            Self::Deadline(deadline_ms) => values.deadline_ms.replace(deadline_ms).is_none(),
        }
    }
}

fn set(input: &mut Input<'_>) -> ParseResult<Edit> {
    keyword(input, "set")?;
    alt((
        option("stop-limit", DURATION, read_duration_ms).map(|stop_limit_ms| RulesEdit {
            stop_limit_ms: Some(stop_limit_ms),
            ..RulesEdit::default()
        }),
        option("recovery-weight", PERCENT, read_percent).map(|percent| RulesEdit {
            recovery_weight_percent: Some(percent),
            ..RulesEdit::default()
        }),
        option(
            "unlisted-services",
            "serve or refuse",
            read_unlisted_services,
        )
        .map(|unlisted_services| RulesEdit {
            unlisted_services: Some(unlisted_services),
            ..RulesEdit::default()
        }),
    ))
    .map(Edit::Set)
    .parse_next(input)
}

fn drain(input: &mut Input<'_>) -> ParseResult<Edit> {
    alt((
        order("drain", false),
        order("stop", true),
        (flag("undrain"), target).map(|((), target)| Edit::Undrain(target)),
    ))
    .parse_next(input)
}

fn order(verb: &'static str, stop: bool) -> impl FnMut(&mut Input<'_>) -> ParseResult<Edit> {
    move |input| {
        keyword(input, verb)?;
        let target = target(input)?;
        Ok(Edit::Order(DrainOrder { target, stop }))
    }
}

fn target(input: &mut Input<'_>) -> ParseResult<DrainTarget> {
    alt((
        named("worker").map(DrainTarget::Worker),
        option("vm", "an IP address", read_ip).map(DrainTarget::Vm),
        named("data-centre").map(DrainTarget::DataCentre),
    ))
    .parse_next(input)
}

fn lift(input: &mut Input<'_>) -> ParseResult<Edit> {
    keyword(input, "lift")?;
    option("quarantine", "a fingerprint", read_name)
        .map(Edit::Lift)
        .parse_next(input)
}

fn named(kind: &'static str) -> impl FnMut(&mut Input<'_>) -> ParseResult<SmolStr> {
    option(kind, NAME, read_name)
}

fn flag(name: &'static str) -> impl FnMut(&mut Input<'_>) -> ParseResult<()> {
    move |input| keyword(input, name)
}

fn option<T>(
    name: &'static str,
    what: &'static str,
    read: impl Fn(&str) -> Option<T>,
) -> impl FnMut(&mut Input<'_>) -> ParseResult<T> {
    move |input| {
        keyword(input, name)?;
        value(input, what, &read)
    }
}

pub(super) fn read_name(word: &str) -> Option<SmolStr> {
    is_valid_name(word).then(|| SmolStr::new(word))
}

fn read_ip(word: &str) -> Option<SmolStr> {
    let ip: IpAddr = word.parse().ok()?;
    Some(ip.to_smolstr())
}

fn read_unlisted_services(word: &str) -> Option<bool> {
    match word {
        "serve" => Some(true),
        "refuse" => Some(false),
        _ => None,
    }
}
