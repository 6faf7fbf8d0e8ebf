//! The capacity page against the data that its tables are computed from.

use {
    lab::{
        capacity::{
            Plan,
            page::{fill, number},
            store,
        },
        slopes::{Fit, Slopes},
    },
    std::{fs, path::Path},
};

fn page() -> String {
    fs::read_to_string("../docs/CAPACITY.md").unwrap()
}

fn slopes() -> Slopes {
    Slopes::read(Path::new("../docs/capacity/slopes.json")).unwrap()
}

#[test]
fn tables_of_the_page_are_those_of_the_data() {
    let page = page();
    assert!(
        fill(&page, &slopes()).unwrap() == page,
        "run `lab capacity`"
    );
    for table in [
        "run", "slopes", "roles", "bounds", "store", "link", "failures",
    ] {
        assert!(
            page.contains(&format!("<!-- table: {table} -->")),
            "{table}"
        );
    }
}

#[test]
fn changed_data_and_an_edited_table_are_detected() {
    let mut changed = slopes();
    changed.series.get_mut("idle-cpu").unwrap().fit.base += 1_000.0;
    assert_ne!(fill(&page(), &changed).unwrap(), page());
    let edited = page().replacen("| ingress |", "| egress |", 1);
    assert_eq!(fill(&edited, &slopes()).unwrap(), page());
    changed.series.remove("gate");
    assert!(fill(&page(), &changed).is_err());
}

#[test]
fn fitted_lines_in_the_data_match_its_points() {
    for (name, series) in slopes().series {
        let fit = Fit::of(&series.points);
        let is_near = |left: f64, right: f64| (left - right).abs() <= 1e-6 * left.abs().max(1.0);
        assert!(is_near(fit.base, series.fit.base), "{name}");
        assert!(is_near(fit.slope, series.fit.slope), "{name}");
        assert!(
            series.points.len() >= 3 || name.starts_with("added-"),
            "{name}"
        );
    }
}

#[test]
fn least_squares_gives_line_and_spread() {
    let fit = Fit::of(&[(0.0, 1.0), (1.0, 4.0), (2.0, 4.0), (3.0, 7.0)]);
    insta::assert_snapshot!(
        format!("{:.1} {:.1} {:.1} %", fit.base, fit.slope, fit.spread_percent),
        @"1.3 1.8 12.9 %"
    );
}

#[test]
fn store_calls_follow_the_plan() {
    let lines: Vec<_> = store::situations(&Plan::planned())
        .iter()
        .map(|it| {
            let (reads, writes) = (number(it.reads_per_s), number(it.writes_per_s));
            format!("{}: {reads} {writes}", it.name)
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    at rest: 47.7 0.53
    in the second after an outage of the store: 51.7 1.53
    one data centre starts empty within one second: 498 10.5
    all daemons start within one second: 4,548 101
    370 VMs replaced over a day: 47.7 0.53
    a rack of 20 replaced within one second: 108 6.53
    bindings of callers' keys at their limit: 47.7 251
    all bursts of bindings in one second, as after an outage: 47.7 3,001
    ");
}
