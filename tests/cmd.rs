//! The command line, through the built binary.

use std::{
    io::Write,
    net::TcpListener,
    process::{Command, Output, Stdio},
};

fn shallotdeal(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shallotdeal"));
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    command.args(args).stdin(Stdio::null()).output().unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[test]
fn check_accepts_the_examples() {
    for name in ["langar-pantry-1", "nairobi-gates-1", "standalone"] {
        let output = shallotdeal(&["check", &format!("examples/{name}.ini")]);
        assert_eq!(code(&output), 0, "{}", stderr(&output));
    }
}

#[test]
fn check_reports_all_faults_at_once() {
    let mut path = std::env::temp_dir();
    path.push(format!("shallotdeal-faulty-{}.ini", std::process::id()));
    let mut file = std::fs::File::create(&path).unwrap();
    file.write_all(b"[daemon]\nname = a b\n[limits]\nread-timeout-ms = 5s\n[x]\ny = z\n")
        .unwrap();
    let output = shallotdeal(&["check", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(code(&output), 2);
    let faults = stderr(&output);
    for fault in [
        "line 2: [daemon] name: expected letters",
        "line 1: [daemon] region: missing",
        "line 4: [limits] read-timeout-ms: expected a whole number",
        "line 6: [x] y: unknown section",
    ] {
        assert!(faults.contains(fault), "{faults}");
    }
    assert!(stdout(&output).is_empty());
}

#[test]
fn a_missing_file_is_a_failure() {
    for args in [
        &["check", "none.ini"][..],
        &["daemon", "--config", "none.ini"],
    ] {
        let output = shallotdeal(args);
        assert_eq!(code(&output), 1);
        assert!(stderr(&output).contains("none.ini"), "{}", stderr(&output));
    }
}

#[test]
fn help_and_version_are_printed() {
    let help = shallotdeal(&["--help"]);
    assert_eq!(code(&help), 0);
    for word in ["daemon", "check", "ask", "dump", "Exit codes"] {
        assert!(stdout(&help).contains(word), "{}", stdout(&help));
    }
    for flag in ["--version", "-V"] {
        let version = shallotdeal(&[flag]);
        assert_eq!(code(&version), 0);
        let expected = format!("shallotdeal {}\n", env!("CARGO_PKG_VERSION"));
        assert_eq!(stdout(&version), expected);
    }
}

#[test]
fn faulty_arguments_are_told_apart_from_failures() {
    for args in [
        &["frobnicate"][..],
        &[],
        &["check"],
        &["dump", "here"],
        &["daemon"],
    ] {
        let output = shallotdeal(args);
        assert_eq!(code(&output), 2, "{args:?}");
        assert!(!stderr(&output).is_empty());
    }
    let neither = shallotdeal(&["ask", "--at", "127.0.0.1:1"]);
    assert_eq!(code(&neither), 2);
}

#[test]
fn a_daemon_that_is_not_there_or_says_nothing_is_a_failure() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = free.local_addr().unwrap().to_string();
    drop(free);
    for args in [&["dump", &addr][..], &["ask", "--at", &addr, "show config"]] {
        let output = shallotdeal(args);
        assert_eq!(code(&output), 1);
        assert!(stderr(&output).contains(&addr), "{}", stderr(&output));
    }
}
