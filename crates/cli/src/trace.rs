//! `glendeck fleet trace`: finds the lines of a call in the logs of several nodes.
//!
//! A node derives a call's number from a table index that is reused after the call ends, so the same number
//! can stand for several calls in one log. The lines of a call are those with its number, from its arrival
//! until another call arrives with the same number.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use crate::error::CommandError;
use crate::output::print_line;

/// Keys of log lines: the key that nodes write now, then the one that earlier versions wrote. Logs of both
/// versions exist during a rolling release.
const CALL_KEYS: [&str; 2] = ["call_id", "call"];
const CLIENT_KEYS: [&str; 2] = ["client_id", "id"];
const SUBJECT_KEYS: [&str; 2] = ["subject_id", "about"];

/// A log line with the timestamp at its start.
struct TimedLine {
    time: String,
    text: String,
}

/// Prints all lines of the calls whose client id or subject id is `id`, each with the name of its log,
/// ordered by their timestamps, which come from each node's own clock.
pub(crate) fn run(id: &str, logs: &[PathBuf]) -> Result<(), CommandError> {
    let mut found = Vec::new();
    for log in logs {
        found.extend(read_log(id, log)?);
    }
    if found.is_empty() {
        let message =
            format!("no call with client id or subject id {id} in the logs; calls are logged at level debug");
        return Err(CommandError::Refused(message));
    }
    // The sort is stable: lines with the same timestamp stay in the order of their logs.
    found.sort_by(|line, other| line.time.cmp(&other.time));
    for line in found {
        print_line(line.text)?;
    }
    Ok(())
}

fn read_log(id: &str, log: &Path) -> Result<Vec<TimedLine>, CommandError> {
    let text = std::fs::read_to_string(log)
        .map_err(|error| CommandError::Invalid(format!("{}: {error}", log.display())))?;
    let name = log.file_stem().map_or_else(String::new, |name| Path::new(name).display().to_string());
    let with_name = |line: &str| {
        let (time, rest) = line.split_once(' ').unwrap_or((line, ""));
        TimedLine { time: time.to_owned(), text: format!("{time} {name:<8} {}", rest.trim_start()) }
    };
    Ok(lines_of_call(id, &text).into_iter().map(with_name).collect())
}

fn lines_of_call<'a>(id: &str, text: &'a str) -> Vec<&'a str> {
    let mut numbers = BTreeSet::new();
    let mut found = Vec::new();
    for line in text.lines() {
        let Some(number) = field_of(line, CALL_KEYS) else { continue };
        if is_arrival(line) {
            if matches_id(line, id) {
                numbers.insert(number);
            } else {
                numbers.remove(number);
            }
        }
        if numbers.contains(number) {
            found.push(line);
        }
    }
    found
}

/// Whether this line logs the arrival of a call.
fn is_arrival(line: &str) -> bool {
    field_of(line, CLIENT_KEYS).is_some() && field_of(line, SUBJECT_KEYS).is_some()
}

/// Whether the call that arrives with this line has this client id or subject id.
fn matches_id(line: &str, id: &str) -> bool {
    [CLIENT_KEYS, SUBJECT_KEYS]
        .into_iter()
        .any(|keys| field_of(line, keys).is_some_and(|value| is_same_id(value, id)))
}

/// The value of the first of the keys that the line has.
fn field_of<'a>(line: &'a str, keys: [&str; 2]) -> Option<&'a str> {
    keys.into_iter().find_map(|key| field(line, key))
}

/// The value of a key.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(&format!(" {key}=")).nth(1)?.split_whitespace().next()
}

/// Compares two ids as hexadecimal numbers if both are numbers: a client's `0f` is `000000000000000f` in the
/// log.
fn is_same_id(id: &str, other: &str) -> bool {
    match (u64::from_str_radix(id, 16), u64::from_str_radix(other, 16)) {
        (Ok(id), Ok(other)) => id == other,
        _ => id == other,
    }
}
