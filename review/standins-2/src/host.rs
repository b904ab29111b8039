//! A host: answers calls with `UP`, echoes each further line, answers `PING` with `PONG`.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use crate::lines::{Heard, Lines};
use crate::record::Record;

/// How long a connection takes to set up.
const SETUP: Duration = Duration::from_millis(5);

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
}

impl Host {
    pub fn start(record: &Record, name: &str) -> std::io::Result<Host> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let host = Host { name: name.to_owned(), address: listener.local_addr()? };
        let (record, name) = (record.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, name) = (record.clone(), name.clone());
                thread::spawn(move || serve(Lines::new(stream), &record, &name));
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

fn serve(mut lines: Lines, record: &Record, name: &str) {
    let mut id = None;
    loop {
        match lines.hear(Duration::from_secs(600)) {
            Heard::Line(line) if line == "PING" => {
                lines.send("PONG");
            }
            Heard::Line(line) if id.is_none() && line.starts_with("OPEN ") => {
                let call = line.split(' ').nth(1).unwrap_or_default().to_owned();
                record.note(format!("host {name} ran {call}: {line}"));
                thread::sleep(SETUP);
                lines.send(&format!("UP r-{name}-{call}"));
                id = Some(call);
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
