//! The operations page lists exactly the counters that the sources use.

use std::{collections::BTreeSet, fs, path::Path};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");
const CALL_PATTERNS: &[&str] = &[".count(\"", ".add(\"", "=>\"refused."];

/// Collects the counter names in the sources; whitespace is removed first, as calls may be wrapped.
fn collect_names(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_names(&path, names);
            continue;
        }
        let text: String = fs::read_to_string(&path)
            .unwrap()
            .split_whitespace()
            .collect();
        for pattern in CALL_PATTERNS {
            let quoted = text.match_indices(pattern);
            let starts = quoted.map(|(at, _)| at + pattern.find('"').unwrap() + 1);
            let found = starts.map(|start| text[start..].split('"').next().unwrap());
            names.extend(found.filter(|name| name.contains('.')).map(str::to_owned));
        }
    }
}

/// Counter names in the first two columns of the page's tables.
fn names_on_page() -> BTreeSet<String> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.flat_map(|row| row.split('|').skip(1).take(2));
    let quoted = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let names = quoted.filter(|name| name.contains('.') && !name.ends_with('*'));
    names.map(str::to_owned).collect()
}

#[test]
fn the_page_lists_exactly_the_counters_in_the_sources() {
    let mut names = BTreeSet::new();
    collect_names(Path::new("src"), &mut names);
    assert!(names.len() > 30, "{names:?}");
    assert_eq!(names_on_page(), names);
}
