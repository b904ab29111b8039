//! A stand-in for the front: it asks the node whether it takes clients, again and again.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::connection::Connection;

/// Fewer answers would show nothing.
const MIN_ANSWERS: u32 = 40;

#[derive(Default)]
struct Answers {
    pongs: u32,
    others: Vec<String>,
}

/// Connects, asks and connects again until it is told to stop.
pub(crate) struct SteadyFront {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Answers>,
}

impl SteadyFront {
    pub(crate) fn start(address: SocketAddr) -> SteadyFront {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut answers = Answers::default();
            while !is_stopped.load(Ordering::Relaxed) {
                match ask(address) {
                    Ok(line) if line == "PONG" => answers.pongs += 1,
                    other => answers.others.push(format!("{other:?}")),
                }
                std::thread::sleep(Duration::from_micros(500));
            }
            answers
        });
        SteadyFront { stop, thread }
    }

    /// Each and every answer must have been `PONG`.
    pub(crate) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let Answers { pongs, others } = self.thread.join().unwrap();
        assert!(others.is_empty(), "{pongs} times PONG, and {others:?}");
        assert!(pongs >= MIN_ANSWERS, "only {pongs} answers in all");
    }
}

fn ask(address: SocketAddr) -> std::io::Result<String> {
    let connection = Connection::new(TcpStream::connect(address)?);
    let mut stream = connection.stream();
    stream.write_all(b"PING\r\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}
