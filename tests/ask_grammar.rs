//! Parse results and error messages of the operators' language.

use {
    proptest::{
        prelude::*,
        test_runner::{Config as Runner, RngSeed},
    },
    shallotdeal::{
        ask::{
            grammar::parse,
            statement::{Filter, Question, Script},
        },
        config::{Edit, Revision},
    },
};

const WORDS: &str = "(create|change|service|class|set|drain|stop|vm|show|if|revision|last|[0-9]{1,12}|[0-9]{1,3}(ms|s|m|%)|a|é|#|;|\n|\t|\\PC{0,3})";

proptest! {
    #![proptest_config(Runner {
        cases: 500,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Runner::default()
    })]

    #[test]
    fn any_text_is_parsed_or_rejected(words in prop::collection::vec(WORDS, 0..12)) {
        let text = words.join(" ");
        if let Err(error) = parse(&text) {
            prop_assert!(error.line <= text.matches('\n').count() + 1);
            prop_assert!(error.to_string().contains('^'));
        }
    }
}

fn edits(text: &str) -> Vec<Edit> {
    match parse(text) {
        Ok(Script::Change { edits, .. }) => edits.into_iter().map(|edit| edit.edit).collect(),
        other => panic!("{other:?}"),
    }
}

fn parse_error(text: &str) -> String {
    parse(text).expect_err("the script is invalid").to_string()
}

#[test]
fn parses_each_kind_of_change() {
    let text =
        "create service a timeout 2s retry-ratio 10%; change class read importance 5 idempotent
        set recovery-weight 70%  # lean towards recovery
        stop vm 10.0.0.7; undrain data-centre graz; lift quarantine 3f2a";
    insta::assert_debug_snapshot!(edits(text), @r#"
[
    CreateService(
        "a",
        ServiceEdit {
            retry_ratio_percent: Some(
                10,
            ),
            timeout_ms: Some(
                2000,
            ),
        },
    ),
    ChangeClass(
        "read",
        ClassEdit {
            importance: Some(
                Importance(
                    5,
                ),
            ),
            retry_allowance: None,
            idempotent: Some(
                true,
            ),
            deadline_ms: None,
        },
    ),
    Set(
        RulesEdit {
            stop_limit_ms: None,
            recovery_weight_percent: Some(
                70,
            ),
            unlisted_services: None,
        },
    ),
    Order(
        DrainOrder {
            target: Vm(
                "10.0.0.7",
            ),
            stop: true,
        },
    ),
    Undrain(
        DataCentre(
            "graz",
        ),
    ),
    Lift(
        "3f2a",
    ),
]
"#);
}

#[test]
fn parses_guards_and_questions() {
    let Ok(Script::Change { if_revision, edits }) = parse("if revision 12; drop class x") else {
        panic!("the script is not a change");
    };
    assert_eq!((if_revision, edits.len()), (Some(Revision(12)), 1));
    let questions = vec![
        Question::History { last: 3 },
        Question::Enforced(Filter::Worker("w".into())),
    ];
    let text = "show history last 3\n\nshow enforced worker w";
    assert_eq!(parse(text), Ok(Script::Questions(questions)));
}

#[test]
fn an_error_points_at_the_first_word_that_does_not_fit() {
    insta::assert_snapshot!(parse_error("create service a timeout 2x"), @r"
error: unexpected `2x`
 --> line 1, column 26
  | create service a timeout 2x
  |                          ^^
expected a duration such as 500ms, 2s or 1m
");
    insta::assert_snapshot!(parse_error("create queue a"), @r"
error: unexpected `queue`
 --> line 1, column 8
  | create queue a
  |        ^^^^^
expected service or class
");
    insta::assert_snapshot!(parse_error("set stop-limit 2s\n\tdrain wörker w; stop vm x"), @r"
error: unexpected `wörker`
 --> line 2, column 8
  |  drain wörker w; stop vm x
  |        ^^^^^^
expected worker or vm or data-centre
");
    insta::assert_snapshot!(parse_error("stop vm 10.0.0.300"), @r"
error: unexpected `10.0.0.300`
 --> line 1, column 9
  | stop vm 10.0.0.300
  |         ^^^^^^^^^^
expected an IP address
");
    insta::assert_snapshot!(parse_error("change service a  # nothing given"), @r"
error: unexpected end of statement
 --> line 1, column 17
  | change service a  # nothing given
  |                 ^
expected timeout or retry-ratio
");
    insta::assert_snapshot!(parse_error("create class a retries 1 retries 2"), @r"
error: unexpected `retries`
 --> line 1, column 26
  | create class a retries 1 retries 2
  |                          ^^^^^^^
expected an option that is not already set
");
    insta::assert_snapshot!(parse_error("show history last 3 days"), @r"
error: unexpected `days`
 --> line 1, column 21
  | show history last 3 days
  |                     ^^^^
expected end of statement
");
    insta::assert_snapshot!(parse_error("delete service a"), @r"
error: unexpected `delete`
 --> line 1, column 1
  | delete service a
  | ^^^^^^
expected if or create or change or drop or set or drain or stop or undrain or lift or show or explain
");
}

#[test]
fn a_script_holds_one_change_or_questions() {
    insta::assert_snapshot!(parse_error("drop service a; show rules"), @r"
error: a text cannot contain both questions and changes
 --> line 1, column 17
  | drop service a; show rules
  |                 ^^^^
");
    insta::assert_snapshot!(parse_error("drop service a; if revision 3"), @r"
error: `if revision` must be the first statement
 --> line 1, column 17
  | drop service a; if revision 3
  |                 ^^
");
    insta::assert_snapshot!(parse_error("if revision 3"), @r"
error: expected a change after `if revision`
 --> line 1, column 14
  | if revision 3
  |              ^
");
    insta::assert_snapshot!(parse_error("# nothing\n ; \n"), @r"
error: the text contains no statements
 --> line 1, column 1
  | # nothing
  | ^
");
}
