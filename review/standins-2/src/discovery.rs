//! Discovery: the whole list, or a watch that waits for something newer than a version.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The list's version and its entries.
struct List {
    index: u64,
    entries: Vec<String>,
}

pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<List>,
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery =
            Discovery { address: listener.local_addr()?, list: Arc::new(List { index: 1, entries }) };
        let list = discovery.list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || {
                    let _ = serve(stream, &list);
                });
            }
        });
        Ok(discovery)
    }

    /// The list as the configuration's `known`.
    pub fn known(&self) -> String {
        body(&self.list, true)
    }
}

fn body(list: &List, is_whole: bool) -> String {
    let entries = if is_whole { list.entries.join(",") } else { String::new() };
    format!(r#"{{"index":{},"snapshot":{is_whole},"endpoints":[{entries}]}}"#, list.index)
}

fn serve(mut stream: TcpStream, list: &List) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut inbox = Vec::new();
    loop {
        while !inbox.windows(4).any(|end| end == b"\r\n\r\n") {
            let mut buffer = [0; 4096];
            match stream.read(&mut buffer)? {
                0 => return Ok(()),
                count => inbox.extend_from_slice(&buffer[..count]),
            }
        }
        let text = String::from_utf8_lossy(&inbox).into_owned();
        inbox.clear();
        let number = |name: &str| -> Option<u64> {
            let rest = text.split(name).nth(1)?;
            rest.split(|byte: char| !byte.is_ascii_digit()).next()?.parse().ok()
        };
        let after = number("after=");
        let until = Instant::now() + Duration::from_millis(number("wait_ms=").unwrap_or(0));
        let reply = loop {
            let is_newer = after.is_none_or(|after| list.index != after);
            if is_newer || Instant::now() >= until {
                break body(list, is_newer);
            }
            thread::sleep(Duration::from_millis(5));
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            reply.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(reply.as_bytes())?;
    }
}
