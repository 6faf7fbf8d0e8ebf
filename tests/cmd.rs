//! The command line of the built binary.

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
fn check_reports_all_errors_at_once() {
    let mut path = std::env::temp_dir();
    path.push(format!("shallotdeal-faulty-{}.ini", std::process::id()));
    let mut file = std::fs::File::create(&path).unwrap();
    file.write_all(b"[daemon]\nname = a b\n[limits]\nread-timeout-ms = 5s\n[x]\ny = z\n")
        .unwrap();
    let output = shallotdeal(&["check", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(code(&output), 2);
    let errors = stderr(&output);
    for error in [
        "line 2: [daemon] name: expected letters",
        "line 1: [daemon] region: missing",
        "line 4: [limits] read-timeout-ms: expected a whole number",
        "line 6: [x] y: unknown section",
    ] {
        assert!(errors.contains(error), "{errors}");
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
fn invalid_arguments_have_their_own_exit_code() {
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
    let without_statements = shallotdeal(&["ask", "--at", "127.0.0.1:1"]);
    assert_eq!(code(&without_statements), 2);
}

#[test]
fn an_unreachable_daemon_is_a_failure() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    for args in [&["dump", &addr][..], &["ask", "--at", &addr, "show config"]] {
        let output = shallotdeal(args);
        assert_eq!(code(&output), 1);
        assert!(stderr(&output).contains(&addr), "{}", stderr(&output));
    }
}
