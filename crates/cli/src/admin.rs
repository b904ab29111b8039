//! Calls at the operators' doors of nodes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::Failure;

/// A door answers within a second; a little more for the way there.
const PATIENCE: Duration = Duration::from_millis(2_000);

/// An order is said again, under its one name, for so long: elections take a second or two.
const AGAIN_FOR: Duration = Duration::from_secs(10);

pub struct AdminClient<'a> {
    doors: &'a [SocketAddr],
}

fn call(admin: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&admin, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| std::io::Error::other("what answers there is no door"))?;
    Ok((status, serde_json::from_str(body).unwrap_or(Value::Null)))
}

impl AdminClient<'_> {
    pub fn new(doors: &[SocketAddr]) -> AdminClient<'_> {
        AdminClient { doors }
    }

    /// The first door that answers.
    fn ask(&self, method: &str, path: &str, body: &str) -> Result<(u16, Value), Failure> {
        let mut last = String::new();
        for admin in self.doors {
            match call(*admin, method, path, body) {
                Ok(reply) => return Ok(reply),
                Err(fault) => last = format!("no answer at {admin}: {fault}"),
            }
        }
        Err(Failure::Unanswered(last))
    }

    pub fn status(&self) -> Result<Value, Failure> {
        match self.ask("GET", "/v1/fleet/status", "")? {
            (200, status) => Ok(status),
            (_, other) => Err(Failure::Refused(why(&other))),
        }
    }

    /// What each door says, or why it says nothing.
    pub fn each_status(&self) -> Vec<(SocketAddr, Result<Value, String>)> {
        let ask = |admin: &SocketAddr| match call(*admin, "GET", "/v1/fleet/status", "") {
            Ok((200, status)) => (*admin, Ok(status)),
            Ok((_, other)) => (*admin, Err(why(&other))),
            Err(fault) => (*admin, Err(fault.to_string())),
        };
        self.doors.iter().map(ask).collect()
    }

    pub fn order(&self, path: &str, body: &Value) -> Result<Value, Failure> {
        let (text, until) = (body.to_string(), Instant::now() + AGAIN_FOR);
        loop {
            match self.ask("POST", path, &text)? {
                (200, reply) => return Ok(reply),
                (503, _) if Instant::now() < until => std::thread::sleep(Duration::from_millis(200)),
                (503, reply) => {
                    let id = body["id"].as_str().unwrap_or_default();
                    return Err(Failure::Unanswered(format!("{} (--id {id})", why(&reply))));
                }
                (400, reply) => return Err(Failure::Wrong(why(&reply))),
                (_, reply) => return Err(Failure::Refused(why(&reply))),
            }
        }
    }
}

fn why(reply: &Value) -> String {
    let text = reply["why"].as_str().or(reply["error"].as_str());
    text.map_or_else(|| format!("refused: {reply}"), str::to_owned)
}
