//! The page for operators names each counter that the sources count, and no other.

use std::{collections::BTreeSet, fs, path::Path};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");
const MARKS: &[&str] = &[".count(\"", ".add(\"", "=>\"refused."];

/// Names in the sources, whatever the line breaks.
fn counted(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            counted(&path, names);
            continue;
        }
        let text: String = fs::read_to_string(&path)
            .unwrap()
            .split_whitespace()
            .collect();
        for mark in MARKS {
            let quoted = text.match_indices(mark);
            let starts = quoted.map(|(at, _)| at + mark.find('"').unwrap() + 1);
            let found = starts.map(|start| text[start..].split('"').next().unwrap());
            names.extend(found.filter(|name| name.contains('.')).map(str::to_owned));
        }
    }
}

/// Names in the first two columns of the page's tables.
fn described() -> BTreeSet<String> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.flat_map(|row| row.split('|').skip(1).take(2));
    let quoted = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let names = quoted.filter(|name| name.contains('.') && !name.ends_with('*'));
    names.map(str::to_owned).collect()
}

#[test]
fn each_counter_stands_on_the_page_and_nothing_else_does() {
    let mut names = BTreeSet::new();
    counted(Path::new("src"), &mut names);
    assert!(names.len() > 30, "{names:?}");
    assert_eq!(described(), names);
}
