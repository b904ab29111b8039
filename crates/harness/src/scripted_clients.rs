//! Single calls at chosen nodes, for moments that no random draw would meet: a test says what hosts do with each call and
//! when its client reads.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::keyed_clients::{CallResult, open_line, send_call};
use crate::{CALL_DEADLINE, spawn};

/// A host holds an answer, and a client its reading, no longer than this.
const LONGEST_HOLD: Duration = Duration::from_secs(60);

/// Keys and call ids of scripted calls begin here, apart from all drawn ones.
const FIRST_KEY: u64 = 0xe44a_0000_0000;
const FIRST_CALL_ID: u64 = 0xe44a_0000;

/// What hosts do with a scripted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehaviour {
    /// Execute it and answer at once.
    AnswerAtOnce,
    /// Execute it, and answer once the behaviour is [`HostBehaviour::AnswerAtOnce`].
    HoldAnswer,
    /// Receive half of its line and no more.
    ReceiveHalf,
}

#[derive(Clone, Copy, Debug)]
struct ScriptEntry {
    behaviour: HostBehaviour,
    partial_lines: u32,
}

#[derive(Default)]
struct Script {
    entries: Mutex<HashMap<String, ScriptEntry>>,
    changed: Condvar,
}

/// What hosts do with scripted calls, by key; shared by all hosts of a cluster.
#[derive(Clone, Default)]
pub struct HostScript(Arc<Script>);

impl HostScript {
    /// What to do with the call of this key, if it is a scripted one.
    pub(crate) fn behaviour(&self, key: &str) -> Option<HostBehaviour> {
        self.entry(key).map(|entry| entry.behaviour)
    }

    pub(crate) fn count_partial_line(&self, key: &str) {
        if let Ok(mut entries) = self.0.entries.lock() {
            entries.entry(key.to_owned()).and_modify(|entry| entry.partial_lines += 1);
        }
    }

    /// Blocks while the answer is to be held.
    pub(crate) fn wait_until_released(&self, key: &str) {
        let Ok(mut entries) = self.0.entries.lock() else { return };
        let until = Instant::now() + LONGEST_HOLD;
        let is_held = |entries: &HashMap<String, ScriptEntry>| {
            entries.get(key).is_some_and(|entry| entry.behaviour == HostBehaviour::HoldAnswer)
        };
        while is_held(&entries) && Instant::now() < until {
            let Ok((guard, _)) = self.0.changed.wait_timeout(entries, Duration::from_millis(200)) else {
                return;
            };
            entries = guard;
        }
    }

    fn entry(&self, key: &str) -> Option<ScriptEntry> {
        self.0.entries.lock().ok()?.get(key).copied()
    }

    fn set(&self, key: &str, behaviour: HostBehaviour) {
        if let Ok(mut entries) = self.0.entries.lock() {
            let entry = ScriptEntry { behaviour, partial_lines: 0 };
            entries.entry(key.to_owned()).or_insert(entry).behaviour = behaviour;
        }
        self.0.changed.notify_all();
    }
}

/// What a client of a scripted call was answered at one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The connection is open.
    Up,
    /// Rejected: nothing ran.
    Busy,
    /// Failed: it may have run.
    Failed,
    /// No answer in time, or the client did not read one.
    NoAnswer,
}

/// The words of the scenarios.
impl std::fmt::Display for ClientAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ClientAnswer::Up => "up",
            ClientAnswer::Busy => "busy",
            ClientAnswer::Failed => "failed",
            ClientAnswer::NoAnswer => "none",
        })
    }
}

type PendingAnswer = Arc<Mutex<Option<ClientAnswer>>>;

#[derive(Default)]
struct ScriptedCall {
    key: u64,
    is_non_idempotent: bool,
    /// The answer to each time it was sent, once there is one.
    answers: Vec<PendingAnswer>,
    /// The client reads nothing while this is set, and closes without having read.
    ignores_answers: Arc<AtomicBool>,
    has_unread_answer: Arc<AtomicBool>,
}

/// The clients of scripted calls, by the call's name in the script.
pub struct ScriptedClients {
    nodes: Vec<SocketAddr>,
    host_script: HostScript,
    calls: BTreeMap<String, ScriptedCall>,
    next_call_id: AtomicU64,
}

impl ScriptedClients {
    /// Clients of these nodes, whose hosts follow `host_script`.
    pub fn new(nodes: &[SocketAddr], host_script: &HostScript) -> ScriptedClients {
        ScriptedClients {
            nodes: nodes.to_vec(),
            host_script: host_script.clone(),
            calls: BTreeMap::new(),
            next_call_id: AtomicU64::new(FIRST_CALL_ID),
        }
    }

    /// Says what hosts do with the call of that name from here on; a new name is a new call.
    pub fn set_behaviour(&mut self, name: &str, is_non_idempotent: bool, behaviour: HostBehaviour) {
        let key = FIRST_KEY + self.calls.len() as u64;
        let fresh = ScriptedCall { key, is_non_idempotent, ..ScriptedCall::default() };
        let call = self.calls.entry(name.to_owned()).or_insert(fresh);
        self.host_script.set(&format!("{:x}", call.key), behaviour);
    }

    /// Whether the call's client leaves what it is answered unread.
    pub fn set_ignores_answers(&self, name: &str, ignores_answers: bool) {
        self.calls[name].ignores_answers.store(ignores_answers, Ordering::SeqCst);
    }

    /// Sends the call to a node, marked as a repeat if it was sent before.
    pub fn send(&mut self, name: &str, node: usize) {
        let Some(call) = self.calls.get_mut(name) else { return };
        let address = self.nodes[node];
        let id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        let key = call.key;
        let is_non_idempotent = call.is_non_idempotent;
        let is_repeat = !call.answers.is_empty();
        let pending = PendingAnswer::default();
        call.answers.push(pending.clone());
        let ignores_answers = call.ignores_answers.clone();
        let has_unread_answer = call.has_unread_answer.clone();
        spawn(move || {
            let answer = if ignores_answers.load(Ordering::SeqCst) {
                let line = open_line(id, key, is_non_idempotent, is_repeat);
                let _ = send_without_reading(address, &line, &ignores_answers, &has_unread_answer);
                ClientAnswer::NoAnswer
            } else {
                ClientAnswer::from(send_call(address, id, key, is_non_idempotent, is_repeat))
            };
            if let Ok(mut pending) = pending.lock() {
                *pending = Some(answer);
            }
        });
    }

    /// The answers to the last `count` times the call was sent, once all are there.
    pub fn answers(&self, name: &str, count: usize) -> Option<Vec<ClientAnswer>> {
        let answers = &self.calls[name].answers;
        let first = answers.len().checked_sub(count)?;
        answers[first..].iter().map(|answer| answer.lock().ok().and_then(|answer| *answer)).collect()
    }

    /// An answer has arrived that the call's client has not read.
    pub fn has_unread_answer(&self, name: &str) -> bool {
        self.calls[name].has_unread_answer.load(Ordering::SeqCst)
    }

    /// Lines of the call that hosts received in part.
    pub fn partial_lines(&self, name: &str) -> u32 {
        let key = format!("{:x}", self.calls[name].key);
        self.host_script.entry(&key).map_or(0, |entry| entry.partial_lines)
    }

    /// Class and key of the call, as hosts record executions.
    pub fn execution_key(&self, name: &str) -> String {
        let call = &self.calls[name];
        format!("c={} {:x}", crate::class_of(call.is_non_idempotent), call.key)
    }
}

impl From<CallResult> for ClientAnswer {
    fn from(result: CallResult) -> ClientAnswer {
        match result {
            CallResult::Up(_) => ClientAnswer::Up,
            CallResult::Busy => ClientAnswer::Busy,
            CallResult::Failed => ClientAnswer::Failed,
            CallResult::NoAnswer(_) => ClientAnswer::NoAnswer,
        }
    }
}

fn send_without_reading(
    address: SocketAddr,
    open_line: &str,
    ignores_answers: &AtomicBool,
    has_unread_answer: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_DEADLINE)?;
    stream.write_all(open_line.as_bytes())?;
    stream.set_read_timeout(Some(Duration::from_millis(20)))?;
    let until = Instant::now() + LONGEST_HOLD;
    while ignores_answers.load(Ordering::SeqCst) && Instant::now() < until {
        if stream.peek(&mut [0; 2]).is_ok_and(|bytes| bytes == 2) {
            has_unread_answer.store(true, Ordering::SeqCst);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
