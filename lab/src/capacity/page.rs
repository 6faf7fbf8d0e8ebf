//! Tables of the capacity page, written between markers.

use {
    crate::{
        capacity::{bounds, failures, roles, store},
        slopes::{Slopes, SlopesError},
    },
    std::fmt::Write,
};

const MARKER_START: &str = "<!-- table: ";
const MARKER_END: &str = " -->\n";
const TABLE_END: &str = "<!-- end -->";

/// Rows of one table; the first row is its head.
pub type Rows = Vec<Vec<String>>;

/// Replaces the tables of a page by those computed from the slopes.
///
/// Fails if a table has no end marker or an unknown name, or if a series is missing.
pub fn fill(page: &str, slopes: &Slopes) -> Result<String, SlopesError> {
    let mut filled = String::new();
    let mut rest = page;
    while let Some((before, after)) = rest.split_once(MARKER_START) {
        let unclosed = || SlopesError::new("read marker", &"a table has no end");
        let (name, after) = after.split_once(MARKER_END).ok_or_else(unclosed)?;
        let (_, after) = after.split_once(TABLE_END).ok_or_else(unclosed)?;
        let text = format_table(&table(name, slopes)?);
        write!(
            filled,
            "{before}{MARKER_START}{name}{MARKER_END}\n{text}\n{TABLE_END}"
        )
        .ok();
        rest = after;
    }
    filled.push_str(rest);
    Ok(filled)
}

fn table(name: &str, slopes: &Slopes) -> Result<Rows, SlopesError> {
    match name {
        "run" => Ok(measured_by(slopes)),
        "slopes" => Ok(measured(slopes)),
        "roles" => roles::rows(slopes),
        "bounds" => bounds::rows(slopes),
        "store" => Ok(store::rows()),
        "link" => bounds::link_rows(slopes),
        "failures" => failures::rows(slopes),
        other => Err(SlopesError::new("find table", &other)),
    }
}

fn format_table(rows: &Rows) -> String {
    let mut text = String::new();
    for (number, row) in rows.iter().enumerate() {
        writeln!(text, "| {} |", row.join(" | ")).ok();
        if number == 0 {
            writeln!(text, "|{}", "---|".repeat(row.len())).ok();
        }
    }
    text
}

/// Creates a row.
pub fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(str::to_owned).to_vec()
}

/// Formats a number with thousands separators and about three significant digits.
pub fn number(value: f64) -> String {
    let digits = match value.abs() {
        _ if (value - value.round()).abs() < 1e-9 => 0,
        size if size >= 100.0 => 0,
        size if size >= 10.0 => 1,
        _ => 2,
    };
    let text = format!("{value:.digits$}");
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let (sign, whole) = whole.strip_prefix('-').map_or(("", whole), |it| ("-", it));
    let mut grouped = String::new();
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if part.is_empty() {
        return format!("{sign}{grouped}");
    }
    format!("{sign}{grouped}.{part}")
}

/// Formats a number of bytes in megabytes.
pub fn megabytes(bytes: f64) -> String {
    number(bytes / 1e6)
}

fn measured_by(slopes: &Slopes) -> Rows {
    vec![
        row(["measured by", "machine"]),
        row([&format!("`{}`", slopes.command), &slopes.machine]),
    ]
}

fn measured(slopes: &Slopes) -> Rows {
    let mut rows = vec![row([
        "series",
        "grows with",
        "unit",
        "measured (size: value)",
        "at zero",
        "each more",
        "spread",
    ])];
    for (name, series) in &slopes.series {
        let points = series.points.iter();
        let points: Vec<_> = points
            .map(|(at, value)| format!("{}: {}", number(*at), number(*value)))
            .collect();
        rows.push(row([
            name,
            &series.along,
            &series.unit,
            &points.join("; "),
            &number(series.fit.base),
            &format!("{:.3}", series.fit.slope),
            &format!("{:.0} %", series.fit.spread_percent),
        ]));
    }
    rows
}
