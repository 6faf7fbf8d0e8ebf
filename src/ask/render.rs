//! Renders verdicts as text for people and as JSON.

mod json;
mod table;

use {
    crate::{
        ask::{
            answer::{Answer, Enforcement, ServiceEntry, Verdict},
            units::write_duration_ms,
        },
        config::{Change, ClassRule, DrainOrder, Rules, ServiceRule},
        control::{commit::CommitError, committer::Receipt, confirm::ChangeStatus},
    },
    std::fmt::Display,
    table::Table,
};

pub use json::json;

/// Renders a verdict as text for people.
pub fn text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Answers(answers) => answers.iter().map(answer).collect::<Vec<_>>().join("\n"),
        Verdict::Changed(receipt) => changed(receipt),
        Verdict::Invalid(error) => format!("{error}\nnothing was changed\n"),
        Verdict::NotChanged(error) => not_changed(error),
        Verdict::Forbidden => "error: the token is missing or wrong\n".to_owned(),
    }
}

fn changed(receipt: &Receipt) -> String {
    let Receipt {
        id,
        revision,
        status,
    } = receipt;
    match status {
        ChangeStatus::Accepted => format!("accepted: revision {revision} is in force ({id})\n"),
        ChangeStatus::Stored { missing } => format!(
            "stored: revision {revision} is not confirmed by {} ({id})\n",
            missing.join(", ")
        ),
    }
}

fn not_changed(error: &CommitError) -> String {
    let winner = match error {
        CommitError::Conflict {
            winner: Some(winner),
            ..
        } => changes(std::slice::from_ref(winner)),
        _ => String::new(),
    };
    format!("error: {error}\n{winner}")
}

fn answer(answer: &Answer) -> String {
    match answer {
        Answer::Services { services: rows, .. } => services(rows),
        Answer::Classes { classes, .. } => {
            let rows = classes
                .iter()
                .map(|entry| (entry.class.as_str(), &entry.rule));
            class_table(rows)
        }
        Answer::Workers { workers } => Table::render(
            [
                "worker",
                "service",
                "data centre",
                "vm",
                "state",
                "in flight",
                "limit",
                "revision",
            ],
            workers.iter().map(|row| {
                [
                    row.worker.to_string(),
                    row.service.to_string(),
                    row.data_centre.to_string(),
                    row.vm.to_string(),
                    row.state.to_string(),
                    row.in_flight.to_string(),
                    row.limit.to_string(),
                    row.revision.to_string(),
                ]
            }),
        ),
        Answer::DataCentres { data_centres } => Table::render(
            ["data centre", "region", "daemons", "revision", "silent"],
            data_centres.iter().map(|row| {
                [
                    row.data_centre.to_string(),
                    row.region.to_string(),
                    row.daemons.to_string(),
                    row.revision.to_string(),
                    format!("{}ms", row.silent_ms),
                ]
            }),
        ),
        Answer::Rules { rules, orders, .. } => rule_list(rules, orders),
        Answer::Quarantine { fingerprints } => Table::render(
            ["fingerprint", "service", "deaths", "refused"],
            fingerprints.iter().map(|row| {
                [
                    row.fingerprint.to_string(),
                    row.service.to_string(),
                    row.deaths.to_string(),
                    row.refused.to_string(),
                ]
            }),
        ),
        Answer::History { changes: rows } => changes(rows),
        Answer::Enforced(enforcement) => enforced(enforcement),
        Answer::Request { request_id, events } => {
            let rows = events.iter().map(|row| {
                [
                    row.at_unix_ms.to_string(),
                    row.daemon.to_string(),
                    row.event.to_string(),
                    row.detail.to_string(),
                ]
            });
            let table = Table::render(["unix ms", "daemon", "event", "detail"], rows);
            format!("request {request_id}\n{table}")
        }
    }
}

fn services(entries: &[ServiceEntry]) -> String {
    let columns = [
        "service",
        "timeout",
        "retry ratio",
        "serving",
        "draining",
        "in flight",
        "capacity",
        "admitted",
    ];
    let rows = entries.iter().map(|entry| {
        let load = entry.load.as_ref();
        [
            entry.service.to_string(),
            or_dash(
                entry
                    .rule
                    .as_ref()
                    .map(|rule| write_duration_ms(rule.timeout_ms)),
            ),
            or_dash(
                entry
                    .rule
                    .as_ref()
                    .map(|rule| format!("{}%", rule.retry_ratio_percent)),
            ),
            or_dash(load.map(|row| row.serving)),
            or_dash(load.map(|row| row.draining)),
            or_dash(load.map(|row| row.in_flight)),
            or_dash(load.map(|row| row.capacity)),
            or_dash(load.map(|row| &row.admitted)),
        ]
    });
    Table::render(columns, rows)
}

fn class_table<'a>(rows: impl Iterator<Item = (&'a str, &'a ClassRule)>) -> String {
    let columns = ["class", "importance", "retries", "idempotent", "deadline"];
    let rows = rows.map(|(name, rule)| {
        [
            name.to_owned(),
            rule.importance.to_string(),
            rule.retry_allowance.to_string(),
            if rule.idempotent { "yes" } else { "no" }.to_owned(),
            write_duration_ms(rule.deadline_ms),
        ]
    });
    Table::render(columns, rows)
}

fn rule_list(rules: &Rules, orders: &[DrainOrder]) -> String {
    let unlisted_services = if rules.unlisted_services {
        "serve"
    } else {
        "refuse"
    };
    let rules = [
        [
            "stop-limit".to_owned(),
            write_duration_ms(rules.stop_limit_ms),
        ],
        [
            "recovery-weight".to_owned(),
            format!("{}%", rules.recovery_weight_percent),
        ],
        ["unlisted-services".to_owned(), unlisted_services.to_owned()],
    ];
    let orders = orders.iter().map(|order| {
        let verb = if order.stop { "stop" } else { "drain" };
        [verb.to_owned(), order.target.to_string()]
    });
    let rules = Table::render(["rule", "value"], rules);
    let orders = Table::render(["order", "target"], orders);
    format!("{rules}\n{orders}")
}

fn changes(changes: &[Change]) -> String {
    let rows = changes.iter().map(|change| {
        [
            change.revision.to_string(),
            change.at_unix_ms.to_string(),
            change.id.to_string(),
            change.text.replace('\n', "; "),
        ]
    });
    Table::render(["revision", "unix ms", "change", "text"], rows)
}

fn enforced(enforcement: &Enforcement) -> String {
    let rows = enforcement.daemons.iter().map(|row| {
        [
            row.at.to_string(),
            row.data_centre.to_string(),
            row.revision.to_string(),
        ]
    });
    let rule = enforcement.service.as_ref().map(service_rule);
    let class = enforcement.class.as_ref();
    let class = class.map(|rule| class_table(std::iter::once(("asked for", rule))));
    let table = Table::render(["at", "data centre", "revision"], rows);
    format!(
        "revision {} is in force here\n{}{}{table}",
        enforcement.revision,
        rule.unwrap_or_default(),
        class.unwrap_or_default()
    )
}

fn service_rule(rule: &ServiceRule) -> String {
    format!(
        "timeout {}, retry-ratio {}%\n",
        write_duration_ms(rule.timeout_ms),
        rule.retry_ratio_percent
    )
}

fn or_dash(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
