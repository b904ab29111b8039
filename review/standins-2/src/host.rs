//! A host: answers calls as it is told, echoes each further line, answers `PING` with `PONG`.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::lines::{Heard, Lines};
use crate::record::Record;

/// What a host does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// It runs it and answers `UP` after so many milliseconds.
    UpAfterMs(u64),
}

/// A call whose line has come whole, so that it has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub key: String,
}

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Host {
    pub fn start(record: &Record, name: &str, does: Does) -> std::io::Result<Host> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let host = Host { name: name.to_owned(), address: listener.local_addr()?, runs: Arc::default() };
        let (record, name, runs) = (record.clone(), name.to_owned(), host.runs.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, name, runs) = (record.clone(), name.clone(), runs.clone());
                thread::spawn(move || serve(Lines::new(stream), &record, &name, &runs, does));
            }
        });
        Ok(host)
    }

    pub fn entry(&self, status: &str) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"z1","type":"m1","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address
        )
    }
}

fn serve(mut lines: Lines, record: &Record, name: &str, runs: &Mutex<Vec<Run>>, does: Does) {
    let mut id = None;
    loop {
        match lines.hear(Duration::from_secs(600)) {
            Heard::Line(line) if line == "PING" => {
                lines.send("PONG");
            }
            Heard::Line(line) if id.is_none() && line.starts_with("OPEN ") => {
                let words: Vec<&str> = line.split(' ').collect();
                let call = words[1].to_owned();
                let key = words.get(2).copied().unwrap_or_default().to_owned();
                record.note(format!("host {name} ran {call}: {line}"));
                if let Ok(mut runs) = runs.lock() {
                    runs.push(Run { key });
                }
                id = Some(call.clone());
                match does {
                    Does::UpAfterMs(wait) => {
                        thread::sleep(Duration::from_millis(wait));
                        lines.send(&format!("UP r-{name}-{call}"));
                    }
                }
            }
            Heard::Line(line) if id.is_some() => {
                lines.send(&format!("ECHO {line}"));
            }
            Heard::Line(line) => {
                record.note(format!("host {name} cannot use: {line}"));
                lines.send("SYNTAX");
                return lines.end();
            }
            Heard::Nothing => {}
            Heard::End | Heard::Reset => return lines.end(),
        }
    }
}
