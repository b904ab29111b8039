//! Where one call went, across nodes, from their logs.
//!
//! A node numbers its calls by the places that they take in it, and gives a place again: a call's lines are those of its
//! number from where it came until another comes under that number.

use std::path::{Path, PathBuf};

use crate::Failure;

/// Keys of a log line. Each has the name that nodes write, and the one that earlier versions wrote: in a rolling release
/// there are logs of both.
const CALL_KEYS: [&str; 2] = ["call_id", "call"];
const CLIENT_KEYS: [&str; 2] = ["client_id", "id"];
const SUBJECT_KEYS: [&str; 2] = ["subject_id", "about"];

/// A line of a log that is of one call: its number, and whether the call comes with it.
fn call_of(line: &str) -> Option<(&str, bool)> {
    let number = first_value(line, CALL_KEYS)?;
    let comes = first_value(line, CLIENT_KEYS).is_some() && first_value(line, SUBJECT_KEYS).is_some();
    Some((number, comes))
}

/// The value behind the first of the keys that is there.
fn first_value<'a>(line: &'a str, keys: [&str; 2]) -> Option<&'a str> {
    keys.into_iter().find_map(|key| value(line, key))
}

/// The value behind a key.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(&format!(" {key}=")).nth(1)?.split_whitespace().next()
}

/// As numbers, where they are: a client's `0f` is the log's `000000000000000f`.
fn same(one: &str, other: &str) -> bool {
    match (u64::from_str_radix(one, 16), u64::from_str_radix(other, 16)) {
        (Ok(one), Ok(other)) => one == other,
        _ => one == other,
    }
}

fn lines_of(id: &str, text: &str) -> Vec<String> {
    let (mut followed, mut found) = (std::collections::BTreeSet::new(), Vec::new());
    for line in text.lines() {
        let Some((number, comes)) = call_of(line) else { continue };
        if comes {
            let is_it = [CLIENT_KEYS, SUBJECT_KEYS]
                .into_iter()
                .any(|keys| first_value(line, keys).is_some_and(|found| same(found, id)));
            if is_it {
                followed.insert(number.to_owned());
            } else {
                followed.remove(number);
            }
        }
        if followed.contains(number) {
            found.push(line.to_owned());
        }
    }
    found
}

/// All lines of it, in the order of the nodes' own clocks, each with its log's name.
pub fn of(id: &str, logs: &[PathBuf]) -> Result<Vec<String>, Failure> {
    let mut found = Vec::new();
    for log in logs {
        let text = std::fs::read_to_string(log)
            .map_err(|fault| Failure::Wrong(format!("{}: {fault}", log.display())))?;
        let name = log.file_stem().map_or_else(String::new, |name| Path::new(name).display().to_string());
        for line in lines_of(id, &text) {
            let (time, rest) = line.split_once(' ').unwrap_or((&line, ""));
            found.push((time.to_owned(), format!("{time} {name:<8} {}", rest.trim_start())));
        }
    }
    // Lines of one moment stay in the order of their logs.
    found.sort_by(|one, other| one.0.cmp(&other.0));
    if found.is_empty() {
        return Err(Failure::Refused(format!("no log says anything of {id} (are they of level debug?)")));
    }
    Ok(found.into_iter().map(|(_, line)| line).collect())
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_number_that_is_given_again_is_another_call() {
        let log = "t1 DEBUG n: call call=4 id=000000000000000f about=a group=0\n\
                   t2 DEBUG n: leg call=4 leg=0 host=7\n\
                   t2 DEBUG n: leg call=5 leg=0 host=7\n\
                   t3 DEBUG n: call call=4 id=0000000000000010 about=b group=0\n\
                   t4 DEBUG n: leg call=4 leg=0 host=8\n";
        let found = super::lines_of("f", log);
        assert_eq!(found.len(), 2, "{found:?}");
        assert_eq!(super::lines_of("b", log).len(), 2);
        assert!(super::lines_of("5", log).is_empty());
    }

    #[test]
    fn lines_are_found_by_the_keys_that_nodes_write_now() {
        let log = "t1 DEBUG n: call arrived call_id=4 client_id=000000000000000f subject_id=a group_id=0\n\
                   t2 DEBUG n: attempt opened call_id=4 attempt=0 host_id=7\n\
                   t2 DEBUG n: attempt opened call_id=5 attempt=0 host_id=7\n\
                   t3 DEBUG n: call arrived call_id=4 client_id=0000000000000010 subject_id=b group_id=0\n\
                   t4 DEBUG n: attempt opened call_id=4 attempt=0 host_id=8\n";
        let found = super::lines_of("f", log);
        assert_eq!(found.len(), 2, "{found:?}");
        assert_eq!(super::lines_of("b", log).len(), 2);
        assert!(super::lines_of("5", log).is_empty());
    }
}
