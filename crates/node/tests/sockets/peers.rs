//! Steps of the front, of clients and of hosts.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::net;

use crate::PATIENCE;
use crate::connection::{Connection, ReservedAddress};
use crate::world::World;

/// A line of 1 KiB with its end.
const FLOOD_LINE: &[u8; 1022] = &[b'y'; 1022];

/// The longest wait that the settings allow `BUSY` to tell, in milliseconds.
const MAX_BUSY_MS: u64 = 900;

impl World {
    /// The front asks until it is told that the node takes clients.
    pub(crate) fn await_pong(&mut self) {
        let deadline = Instant::now() + PATIENCE;
        let mut front = self.connect();
        loop {
            front.send(b"PING\r\n");
            match front.receive().as_str() {
                "PONG" => return,
                other => assert_eq!(other, "ERR"),
            }
            assert!(Instant::now() < deadline, "never ready");
        }
    }

    pub(crate) fn expect_unready(&mut self) {
        let mut front = self.connect();
        front.send(b"PING\r\n");
        assert_eq!(front.receive(), "ERR");
    }

    /// A crowd of clients that only connect, or connect and do one step more.
    pub(crate) fn play_crowd(&mut self, count: &str, step: &[&str]) {
        for number in 0..count.parse::<u32>().unwrap() {
            let name = format!("crowd{number}");
            self.play_peer("client", &name, &["connects"]);
            if !step.is_empty() {
                self.play_peer("client", &name, step);
            }
        }
    }

    /// Numbered clients that do the same step.
    pub(crate) fn play_clients(&mut self, count: &str, verb: &str, rest: &[&str]) {
        let verb = match verb {
            "open" => "opens",
            "hear" => "hears",
            other => panic!("unknown step of clients {other:?}"),
        };
        for number in 0..count.parse::<u32>().unwrap() {
            let name = (100 + number).to_string();
            self.play_peer("client", &name, &[&[verb], rest].concat());
        }
    }

    pub(crate) fn play_peer(&mut self, side: &str, name: &str, words: &[&str]) {
        match (side, words) {
            ("client", ["connects"]) => {
                let client = self.connect();
                self.clients.insert(name.to_owned(), client);
                self.restart_timer();
            }
            ("client", ["opens", rest @ ..]) => self.open_client(name, rest),
            ("client", ["finishes", rest]) => {
                self.tally.opened += 1;
                self.connection("client", name).send(format!("{rest}\r\n").as_bytes());
                self.restart_timer();
            }
            ("host", ["gone"]) => self.close_host(name),
            ("host", ["full"]) => self.fill_host_queue(name),
            ("host", ["takes", client]) => {
                // What came after the queue was full comes up now, and is not read yet.
                drop(self.accept(name));
                let connection = self.accept(name);
                self.attempts.insert((*client).to_owned(), connection);
            }
            _ => self.play_connection(side, name, words),
        }
    }

    /// What either end of a client's connection does.
    fn play_connection(&mut self, side: &str, name: &str, words: &[&str]) {
        match words {
            ["writes", rest @ ..] => self.connection(side, name).send(rest.join(" ").as_bytes()),
            ["says", rest @ ..] => {
                self.connection(side, name).send(format!("{}\r\n", rest.join(" ")).as_bytes());
                self.restart_timer();
            }
            ["splits", rest @ ..] => {
                for byte in format!("{}\r\n", rest.join(" ")).bytes() {
                    self.connection(side, name).send(&[byte]);
                }
            }
            ["sends", count, "bytes"] => {
                let bytes = vec![b'x'; count.parse().unwrap()];
                self.connection(side, name).send_until_closed(&bytes);
            }
            ["hears", expected @ ..] => self.expect_line(side, name, expected),
            ["leaves"] => self.drop_connection(side, name),
            ["ends"] => {
                self.connection(side, name).end_sending();
                self.restart_timer();
            }
            ["resets"] => {
                self.connection(side, name).reset_on_close();
                self.drop_connection(side, name);
                self.restart_timer();
            }
            other => panic!("unknown step of {side} {name}: {other:?}"),
        }
    }

    fn open_client(&mut self, name: &str, fields: &[&str]) {
        let mut client = self.connect();
        client.send(format!("OPEN {name:0>16} 7f3a9c21e0b4d655 {}\r\n", fields.join(" ")).as_bytes());
        self.tally.opened += 1;
        self.clients.insert(name.to_owned(), client);
        self.restart_timer();
    }

    fn drop_connection(&mut self, side: &str, name: &str) {
        let connections = if side == "client" { &mut self.clients } else { &mut self.attempts };
        drop(connections.remove(name));
    }

    /// The host's listening socket closes. Its address stays this run's own, or the node could meet a socket of another
    /// scenario there.
    fn close_host(&mut self, name: &str) {
        let listener = self.hosts.remove(name).unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        self.reserved.push(ReservedAddress::at(address));
    }

    /// What connects to the host now comes up later.
    fn fill_host_queue(&mut self, name: &str) {
        net::listen(&self.hosts[name], 0).unwrap();
        let address = self.hosts[name].local_addr().unwrap();
        self.held_open.push(TcpStream::connect(address).unwrap());
    }

    fn expect_line(&mut self, side: &str, name: &str, expected: &[&str]) {
        let line = self.connection(side, name).receive();
        let is_answer = self.tally.opened > 0 && side == "client" && !line.starts_with("PONG");
        if is_answer && self.tally.answered.insert(name.to_owned()) {
            match line.split(' ').next() {
                Some("UP") => self.tally.established += 1,
                Some("BUSY") => self.tally.busy += 1,
                _ => {}
            }
        }
        let is_expected = match expected {
            ["BUSY", "wait"] => {
                let wait_ms = line.strip_prefix("BUSY ");
                wait_ms.is_some_and(|wait_ms| (1..=MAX_BUSY_MS).contains(&wait_ms.parse().unwrap()))
            }
            expected => line == expected.join(" "),
        };
        assert!(is_expected, "{side} {name} heard {line:?}, not {expected:?}");
    }

    /// The line of a client comes to a host with these fields; probes that come before it are answered.
    pub(crate) fn expect_attempt(&mut self, name: &str, host: &str, expected: &[&str]) {
        let (connection, line) = self.accept_attempt(host);
        let words: Vec<&str> = line.split(' ').collect();
        assert_eq!(words[..2], ["OPEN", &format!("{name:0>16}")], "{line}");
        for field in expected {
            assert!(has_field(words[3], field), "{line} lacks {field}");
        }
        self.tally.attempts += 1;
        self.attempts.insert(name.to_owned(), connection);
    }

    fn accept_attempt(&mut self, host: &str) -> (Connection, String) {
        loop {
            let mut connection = self.accept(host);
            match connection.receive() {
                line if line == "PING" => connection.send(b"PONG\r\n"),
                line => return (connection, line),
            }
        }
    }

    /// Sends far more than the node may keep while the host does not read: the node must stop reading, and
    /// lose nothing.
    pub(crate) fn flood(&mut self, name: &str, kib: &str) {
        let kib: usize = kib.parse().unwrap();
        let mut client = self.clients[name].stream().try_clone().unwrap();
        let sender = std::thread::spawn(move || {
            for _ in 0..kib {
                client.write_all(FLOOD_LINE).unwrap();
                client.write_all(b"\r\n").unwrap();
            }
        });
        std::thread::sleep(Duration::from_millis(100));
        let received = self.connection("host", name).receive_bytes(kib * 1024);
        sender.join().unwrap();
        assert!(received.chunks(1024).all(|line| line.ends_with(b"y\r\n")));
    }
}

/// Whether a list has a field; `d<=N` stands for any wait from 1 to N.
fn has_field(list: &str, expected: &str) -> bool {
    let mut fields = list.split(',');
    match expected.strip_prefix("d<=").and_then(|longest| longest.parse::<u64>().ok()) {
        Some(longest) => fields.any(|field| {
            field.strip_prefix("d=").is_some_and(|wait| (1..=longest).contains(&wait.parse().unwrap()))
        }),
        None => fields.any(|field| field == expected),
    }
}

/// Answers probes and takes calls, whose lines it sends back. Ends with the test's process.
pub(crate) fn serve_host(listener: &TcpListener) {
    for stream in listener.incoming() {
        let mut connection = Connection::new(stream.unwrap());
        // It waits for clients that say nothing.
        connection.stream().set_read_timeout(None).unwrap();
        std::thread::spawn(move || {
            loop {
                let line = connection.receive();
                let words: Vec<&str> = line.split(' ').collect();
                let answer = match words[..] {
                    ["end" | "reset"] => return,
                    ["PING"] => "PONG".to_owned(),
                    ["OPEN", id, ..] => format!("UP {}", id.trim_start_matches('0')),
                    _ => line,
                };
                connection.send_until_closed(format!("{answer}\r\n").as_bytes());
            }
        });
    }
}
