//! Commands whose output nobody reads, or that cannot be written: they end with their own exit code and do not panic.

use std::fs::File;
use std::process::{Command, Stdio};

use test_case::test_case;

/// A pipe that nobody reads from.
fn closed_pipe() -> Stdio {
    let (_, writer) = std::io::pipe().expect("a pipe");
    writer.into()
}

fn full_disk() -> Stdio {
    File::options().write(true).open("/dev/full").expect("a full device").into()
}

/// `head` and `less` close the pipe once they have enough, which ended the command with 101 and a backtrace.
#[test_case("check fleet.toml", closed_pipe(), 0; "a command that succeeds")]
#[test_case("fleet trace f n1.log n2.log", closed_pipe(), 0; "a command with many lines")]
#[test_case("check none.toml --json", closed_pipe(), 2; "an error as JSON")]
#[test_case("check fleet.toml", full_disk(), 3; "a full disk")]
fn output_that_is_not_taken_does_not_end_the_command_with_a_panic(arguments: &str, output: Stdio, code: i32) {
    let ended = Command::new(env!("CARGO_BIN_EXE_glendeck"))
        .args(arguments.split(' '))
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures"))
        .stdout(output)
        .output()
        .expect("the command runs");
    let errors = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(code), "{errors}");
    assert!(!errors.contains("panicked"), "{errors}");
}

#[test_case(closed_pipe(); "nobody reads")]
#[test_case(full_disk(); "a full disk")]
fn an_error_that_cannot_be_printed_is_told_by_the_exit_code(errors: Stdio) {
    let status = Command::new(env!("CARGO_BIN_EXE_glendeck"))
        .args(["check", "none.toml"])
        .stdout(Stdio::null())
        .stderr(errors)
        .status()
        .expect("the command runs");
    assert_eq!(status.code(), Some(2));
}
