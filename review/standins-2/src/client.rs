//! A client: opens a connection, waits for its answer, then sends a line every 2 s until it is sent away.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::lines::{Heard, Lines};
use crate::record::Record;

const LINE_EVERY: Duration = Duration::from_secs(2);

/// How a client stands.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// It waits for its answer.
    Waiting,
    /// `UP` was heard, and the connection stands.
    Open,
    /// `BUSY`: a new try is harmless.
    Refused,
    /// Any other line instead of `UP`.
    Failed(String),
    /// No answer, and no end of the connection, within its time and half a second.
    Unanswered,
    /// The connection ended or broke with no answer.
    CutUnanswered,
    /// `MOVE` was heard.
    Moved,
    /// The open connection ended or was reset without `MOVE`.
    Cut(&'static str),
    /// The test ended it.
    Gone,
}

#[derive(Clone)]
pub struct Client {
    pub id: String,
    pub state: Arc<Mutex<State>>,
    leave: Arc<AtomicBool>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Client {
    /// `wait_ms` is how long it waits for its answer; `fields` follow `d`.
    pub fn start(
        record: &Record,
        node: SocketAddr,
        id: &str,
        key: &str,
        wait_ms: u64,
        fields: &str,
    ) -> Client {
        let client = Client {
            id: id.to_owned(),
            state: Arc::new(Mutex::new(State::Waiting)),
            leave: Arc::default(),
            thread: Arc::default(),
        };
        let line = format!("OPEN {id} {key} {fields},d={wait_ms}");
        let (this, record) = (client.clone(), record.clone());
        let thread = thread::spawn(move || this.run(&record, node, &line, wait_ms));
        if let Ok(mut slot) = client.thread.lock() {
            *slot = Some(thread);
        }
        client
    }

    pub fn state(&self) -> State {
        self.state.lock().map_or(State::Gone, |state| state.clone())
    }

    /// The client goes away by itself.
    pub fn leave(&self) {
        self.leave.store(true, Ordering::SeqCst);
        let thread = self.thread.lock().ok().and_then(|mut slot| slot.take());
        if let Some(thread) = thread {
            let _ = thread.join();
        }
    }

    /// Waits until the client has its answer, or has given up.
    pub fn answered(&self) -> State {
        while self.state() == State::Waiting {
            thread::sleep(Duration::from_millis(5));
        }
        self.state()
    }

    fn turn(&self, record: &Record, state: State) {
        record.note(format!("client {} is {state:?}", self.id));
        if let Ok(mut current) = self.state.lock() {
            *current = state;
        }
    }

    fn run(&self, record: &Record, node: SocketAddr, line: &str, wait_ms: u64) {
        let Ok(stream) = TcpStream::connect(node) else {
            return self.turn(record, State::CutUnanswered);
        };
        let mut lines = Lines::new(stream);
        record.note(format!("client {} sends {line}", self.id));
        lines.send(line);
        let state = match lines.hear(Duration::from_millis(wait_ms + 500)) {
            Heard::Line(answer) if answer.starts_with("UP") => State::Open,
            Heard::Line(answer) if answer.starts_with("BUSY") => State::Refused,
            Heard::Line(answer) => State::Failed(answer),
            Heard::Nothing => State::Unanswered,
            Heard::End | Heard::Reset => State::CutUnanswered,
        };
        let is_open = state == State::Open;
        self.turn(record, state);
        if is_open {
            let end = self.stand(&mut lines);
            self.turn(record, end);
        }
        lines.end();
    }

    fn stand(&self, lines: &mut Lines) -> State {
        let mut next = Instant::now();
        loop {
            if self.leave.load(Ordering::SeqCst) {
                return State::Gone;
            }
            if Instant::now() >= next {
                next += LINE_EVERY;
                lines.send("M");
            }
            match lines.hear(Duration::from_millis(50)) {
                Heard::Line(line) if line == "MOVE" => return State::Moved,
                Heard::Line(_) | Heard::Nothing => {}
                Heard::End => return State::Cut("ended"),
                Heard::Reset => return State::Cut("reset"),
            }
        }
    }
}
