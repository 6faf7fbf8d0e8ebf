//! Tables with aligned columns.

use std::fmt::Write;

/// Spaces between two columns.
const GAP: usize = 2;

pub(super) struct Table;

impl Table {
    /// Renders rows under their headings; each column is as wide as its widest cell.
    pub(super) fn render<const N: usize>(
        headings: [&str; N],
        rows: impl IntoIterator<Item = [String; N]>,
    ) -> String {
        let mut lines = vec![headings.map(str::to_uppercase)];
        lines.extend(rows);
        let widths: [usize; N] = std::array::from_fn(|column| width(&lines, column));
        let mut out = String::new();
        for cells in &lines {
            write_line(&mut out, cells, &widths);
        }
        out
    }
}

fn width<const N: usize>(lines: &[[String; N]], column: usize) -> usize {
    let widths = lines.iter().map(|cells| cells[column].chars().count());
    widths.max().unwrap_or_default()
}

fn write_line<const N: usize>(out: &mut String, cells: &[String; N], widths: &[usize; N]) {
    let start = out.len();
    for (cell, width) in cells.iter().zip(widths) {
        let width = width + GAP;
        let _ = write!(out, "{cell:width$}");
    }
    let end = out[start..].trim_end().len();
    out.truncate(start + end);
    out.push('\n');
}
