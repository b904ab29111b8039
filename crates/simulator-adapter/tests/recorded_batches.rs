//! Compares the replies to recorded batches byte for byte, and the messages on invalid input.
//!
//! `tests/fixtures/batches.txt` has one run: two instances start, receive lists, calls, replies and reports,
//! and one stops. `tests/fixtures/errors.txt` has one case per line: its name, whether the two instances are
//! started first, the input, and the message. Bytes are given as hexadecimal digits.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

const BATCHES: &str = include_str!("fixtures/batches.txt");
const ERRORS: &str = include_str!("fixtures/errors.txt");

fn from_digits(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2).map(|start| &digits[start..start + 2]);
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("two hexadecimal digits")).collect()
}

/// The bytes of each line that begins with this word.
fn recorded(word: &str) -> Vec<Vec<u8>> {
    let lines = BATCHES.lines().filter_map(|line| line.strip_prefix(word));
    lines.map(|digits| from_digits(digits.trim())).collect()
}

fn run_adapter(input: &[u8]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_glendeck-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = adapter.stdin.take().expect("its input is a pipe");
    let input = input.to_vec();
    let writer = std::thread::spawn(move || {
        // The adapter exits at the first error, so that writing the rest can fail.
        let _ = stdin.write_all(&input);
    });
    let output = adapter.wait_with_output().expect("the adapter ends");
    writer.join().expect("all is written");
    output
}

#[test]
fn replies_are_the_recorded_bytes() {
    let output = run_adapter(&recorded("frame").concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let mut remaining = &output.stdout[..];
    for (index, reply) in recorded("reply").iter().enumerate() {
        let length = reply.len().min(remaining.len());
        assert_eq!(&remaining[..length], &reply[..], "reply {index}");
        remaining = &remaining[length..];
    }
    assert!(remaining.is_empty(), "{} bytes more than recorded", remaining.len());
}

#[test]
fn invalid_input_ends_the_adapter_with_the_recorded_message() {
    let start = recorded("frame").swap_remove(1);
    for line in ERRORS.lines() {
        let [name, state, digits, message] = line.split('\t').collect::<Vec<_>>()[..] else {
            panic!("four fields: {line}")
        };
        let mut input = if state == "started" { start.clone() } else { Vec::new() };
        input.extend(from_digits(digits));
        let output = run_adapter(&input);
        assert_eq!(output.status.code(), Some(1), "{name}");
        assert_eq!(String::from_utf8_lossy(&output.stderr).trim(), message, "{name}");
    }
}

/// The exit code tells of invalid input even if nobody reads the message.
#[test]
fn invalid_input_without_a_reader_of_errors_ends_with_exit_code_1() {
    let (_, errors) = std::io::pipe().expect("a pipe");
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_glendeck-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(errors)
        .spawn()
        .expect("the adapter starts");
    adapter.stdin.take().expect("its input is a pipe").write_all(&[0xff; 64]).expect("it is read");
    assert_eq!(adapter.wait().expect("it ends").code(), Some(1));
}
