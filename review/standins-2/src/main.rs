//! Plays one case of the review against the project's own programs.
//!
//! `review-case CASE FOLDER`, from the root of the project. Exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod config;
mod discovery;
mod host;
mod lines;
mod node;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-case CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let Ok(record) = Record::create(&PathBuf::from(folder)) else { return ExitCode::from(2) };
    record.note(format!(
        "case {case}, {}",
        if has_trouble { "with its disruption" } else { "without its disruption" }
    ));
    let (sender, receiver) = std::sync::mpsc::channel();
    let (case, note) = (case.clone(), record.clone());
    // The stand-ins end with this process; nodes are killed as the case's own values are dropped.
    thread::spawn(move || {
        let verdict = cases::play(&case, &note, has_trouble).unwrap_or_else(|fault| {
            note.note(format!("could not run: {fault}"));
            Verdict::CouldNotRun
        });
        let _ = sender.send(verdict);
    });
    let verdict = receiver.recv_timeout(Duration::from_secs(110)).unwrap_or(Verdict::CouldNotRun);
    let (word, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    node::end_all();
    record.note(word);
    ExitCode::from(code)
}
