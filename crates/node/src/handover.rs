//! From one process of this node to the next: the listening socket, what is known, and what is still open.
//!
//! The next process asks at a Unix socket in the node's own folder. On that one line it gets [`Standing`] with
//! the socket, says when it serves, and hears how the process before empties; its end is the end of the line.

use std::collections::VecDeque;
use std::io::{IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use glendeck::domain::{
    AttemptNumber, AttemptOutcome, Call, CallId, Cell, ClassId, Condition, Endpoint, GroupId, HostId,
    HostSnapshot, Kind, ListUpdate, NodeSnapshot, Size, Span, SubjectId, TenantId, Time, Weight, Zone,
};
use rustix::io::Errno;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, getsockname, recvmsg, sendmsg,
};
use serde_json::{Value, json};
use tracing::{debug, info, warn};

use crate::call::{Attempt, AttemptEnd, CallStage, InFlightCall};
use crate::config::NodeConfig;
use crate::connection::{Connection, ReadOutcome};
use crate::endpoint_list::EndpointListUpdate;
use crate::hosts::MIGRATION_PERIOD;
use crate::lifecycle::Phase;
use crate::protocol::{ClientId, MAX_LINE_LENGTH, OpenLine, first_line_length};
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// What the next process says first, and what stands before the message; another version says another number.
const SUCCESSOR_HELLO: &str = "HEIR 1";
const STANDING: &str = "STANDING 1";
const SERVING: &str = "SERVING";
/// It has been replaced in its turn: its end leaves the clients to others.
const SUCCEEDED: &str = "SUCCEEDED";

/// A loop's turn takes milliseconds; a process that does not answer for so long is not waited for.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// The list's service answers within milliseconds or is overbooked; a process that has taken all else in
/// serves without its word after this, well within the 6 s that an upgrade may take.
const LIST_PATIENCE: Span = Span::ms(2_000);

/// A host's figures take some 250 bytes, a client's load 40.
const LONGEST_MESSAGE: usize = 4 << 20;

/// When the line is full it is tried again after this: the next process reads it each turn.
const FULL_LINE: Span = Span::ms(5);

/// Pieces of the line that are read in one turn.
const READS: usize = 64;

/// Clients whose loads are told.
const CLIENTS: usize = 10_000;

/// How this process stands to the ones before and after it.
#[derive(Default)]
pub struct Handover {
    /// Where the next process asks.
    door: Option<UnixListener>,
    successor: Option<ConnectionId>,
    /// The next process has been told what is known; from then on it hears of changes.
    successor_notified: bool,
    /// The next process has said that it serves.
    successor_serves: bool,
    /// And that another serves in its place.
    succeeded: bool,
    predecessor: Option<ConnectionId>,
    /// This process has told the one before that it serves.
    took_over: bool,
    /// The list's service had its time to answer before this process takes over.
    pub waited: bool,
    /// Descriptors that the process before holds.
    pub other_uses: usize,
    /// What is still to go over to the next process.
    calls: VecDeque<CallId>,
    idle: VecDeque<ConnectionId>,
    /// What came from the process before and whose line has not come whole.
    sockets: VecDeque<OwnedFd>,
    /// The node was drained when this process was started.
    pub drained: bool,
}

impl Handover {
    pub fn is_replaced(&self) -> bool {
        self.successor_serves
    }

    /// The process before this one still runs.
    pub fn follows(&self) -> bool {
        self.predecessor.is_some()
    }

    /// The process before this one still takes the clients.
    pub fn waits(&self) -> bool {
        self.predecessor.is_some() && !self.took_over
    }
}

/// All that a process tells the next, but for the socket.
pub struct Standing {
    pub list: EndpointListUpdate,
    pub node: NodeSnapshot,
    pub drained: bool,
    /// The zones' and traffic classes' names by their numbers there. Danger: a process whose settings were changed
    /// while it served has them in another order than its file.
    pub zones: Vec<String>,
    pub types: Vec<String>,
}

/// What this process has from the one before.
pub struct Inherited {
    pub listener: OwnedFd,
    pub line: UnixStream,
    /// Nothing, where the message cannot be read: then this process starts from what its configuration says.
    pub told: Option<Standing>,
}

fn path(folder: &Path, address: SocketAddr) -> PathBuf {
    folder.join(format!("glendeck-{}-{}", address.ip(), address.port()))
}

impl Inherited {
    /// Asks the process that serves at this address, if there is one. It blocks, as nothing is served yet.
    pub fn ask(config: &NodeConfig) -> Option<Inherited> {
        let (folder, address) = (config.folder.as_deref(), config.listen);
        let path = path(folder?, address);
        // Nothing there is the usual case, and where Unix sockets are refused none is made for it.
        path.symlink_metadata().ok()?;
        // What nobody listens at is what a process that was killed has left.
        let mut line = UnixStream::connect(path).ok()?;
        let asked = (|| {
            line.set_read_timeout(Some(PATIENCE))?;
            line.set_write_timeout(Some(PATIENCE))?;
            line.write_all(format!("{SUCCESSOR_HELLO}\n").as_bytes())?;
            receive(&mut line)
        })();
        let (listener, message) = match asked {
            Ok(got) => got,
            Err(fault) => {
                warn!(%fault, "the process before does not hand over");
                return None;
            }
        };
        // Danger: a socket of another address would take other clients.
        let listener = listener
            .filter(|fd| getsockname(fd).ok().and_then(|at| SocketAddr::try_from(at).ok()) == Some(address));
        let Some(listener) = listener else {
            warn!("the process before did not hand over its socket");
            return None;
        };
        let told = message.and_then(|message| decode(&message, &config.zones, &config.names.traffic));
        if told.is_none() {
            warn!("what the process before told cannot be read: starting cold");
        }
        line.set_nonblocking(true).ok()?;
        Some(Inherited { listener, line, told })
    }
}

type Received = (Option<OwnedFd>, Option<Vec<u8>>);

/// The socket, and the message if its head is one of ours.
fn receive(line: &mut UnixStream) -> std::io::Result<Received> {
    let mut head = [0; 64];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let flags = RecvFlags::CMSG_CLOEXEC;
    let got = recvmsg(&*line, &mut [IoSliceMut::new(&mut head[..1])], &mut control, flags)?.bytes;
    let fd = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
        _ => None,
    });
    let mut length = got;
    while length > 0 && length < head.len() && head[length - 1] != b'\n' {
        match line.read(&mut head[length..length + 1])? {
            0 => break,
            n => length += n,
        }
    }
    let text = std::str::from_utf8(&head[..length]).unwrap_or_default().trim_end();
    let size = text.strip_prefix(STANDING).and_then(|rest| rest.trim().parse::<usize>().ok());
    let Some(size) = size.filter(|size| *size <= LONGEST_MESSAGE) else { return Ok((fd, None)) };
    let mut message = vec![0; size];
    line.read_exact(&mut message)?;
    Ok((fd, Some(message)))
}

fn hex(bytes: &[u8]) -> String {
    // A sign before it, so that nothing is a word too.
    bytes.iter().fold(String::from("x"), |text, byte| text + &format!("{byte:02x}"))
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.strip_prefix('x').filter(|digits| digits.len() % 2 == 0 && digits.is_ascii())?;
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).ok()).collect()
}

fn condition(text: &str) -> Option<Condition> {
    match text {
        "ready" => Some(Condition::Ready),
        "draining" => Some(Condition::Draining),
        _ => None,
    }
}

fn encode(standing: &Standing) -> Value {
    let hosts: Vec<Value> = standing
        .list
        .endpoints
        .iter()
        .zip(&standing.list.addresses)
        .map(|(line, (_, address))| {
            json!({"host": line.host.0, "address": address.to_string(), "zone": line.zone.0, "cell": line.cell.0,
                   "condition": if line.condition == Condition::Ready { "ready" } else { "draining" },
                   "share": line.weight.0, "kind": line.kind.map(|kind| kind.0), "up": line.up_since.map(|up| up.0)})
        })
        .collect();
    let node = &standing.node;
    let metrics: Vec<Value> = node
        .hosts
        .iter()
        .map(|of| {
            json!({"host": of.host.0, "open": of.open, "smoothed": of.smoothed, "limit": of.limit,
                   "strain": of.strain, "aside": of.aside, "budget": of.budget, "held": of.held,
                   "answers": of.answers, "nominal": of.nominal.map(|size| size.0)})
        })
        .collect();
    let loads: Vec<Value> = node.loads.iter().take(CLIENTS).map(|(of, load)| json!([of.0, load])).collect();
    json!({"index": standing.list.index, "list": hosts, "hosts": metrics, "loads": loads,
           "mean_load": node.mean_load, "of_type": node.of_type, "arrival": node.arrival, "held": node.held,
           "usual_conns": node.usual_conns, "size": node.size, "usual_size": node.usual_size,
           "setup": node.setup, "drained": standing.drained, "zones": standing.zones, "types": standing.types})
}

/// Strictly: one thing amiss, and none of it counts.
fn decode(message: &[u8], zones: &[String], types: &[String]) -> Option<Standing> {
    let json: Value = serde_json::from_slice(message).ok()?;
    // A process before this one told no names: its numbers are those of the file.
    let names = |key: &str| -> Option<Vec<String>> {
        json.get(key)?.as_array()?.iter().map(|name| name.as_str().map(str::to_owned)).collect()
    };
    let (theirs, their_types) = (names("zones"), names("types"));
    let number = |of: &Value, key: &str| of.get(key)?.as_f64().filter(|number| number.is_finite());
    let whole = |of: &Value, key: &str| of.get(key)?.as_u64();
    let (mut lines, mut addresses) = (Vec::new(), Vec::new());
    for of in json.get("list")?.as_array()? {
        let host = HostId(whole(of, "host")?);
        let zone = u16::try_from(whole(of, "zone")?).ok()?;
        addresses.push((host, of.get("address")?.as_str()?.parse().ok()?));
        lines.push(Endpoint {
            host,
            // Zones are numbered by the settings; one that these do not name is no zone of ours.
            zone: Zone(match &theirs {
                Some(theirs) => {
                    let name = theirs.get(usize::from(zone));
                    zones.iter().position(|known| Some(known) == name).unwrap_or(zones.len()) as u16
                }
                None => zone.min(zones.len() as u16),
            }),
            cell: Cell(u16::try_from(whole(of, "cell")?).ok()?),
            condition: condition(of.get("condition")?.as_str()?)?,
            weight: Weight(number(of, "share").filter(|weight| *weight >= 0.0)?),
            // A process before this one told none.
            kind: of.get("kind").and_then(Value::as_u64).map(Kind),
            up_since: match of.get("up")? {
                Value::Null => None,
                up => Some(Time(up.as_u64()?)),
            },
        });
    }
    let mut node = NodeSnapshot {
        mean_load: number(&json, "mean_load")?,
        arrival: number(&json, "arrival")?,
        held: number(&json, "held")?,
        usual_conns: number(&json, "usual_conns")?,
        size: number(&json, "size")?,
        usual_size: number(&json, "usual_size")?,
        setup: number(&json, "setup")?,
        ..NodeSnapshot::default()
    };
    for mean in json.get("of_type")?.as_array()? {
        node.of_type.push(mean.as_f64()?);
    }
    if let Some(theirs) = &their_types {
        let mean = |name| theirs.iter().position(|known| known == name).and_then(|at| node.of_type.get(at));
        node.of_type = types.iter().map(|name| mean(name).copied().unwrap_or_default()).collect();
    }
    for load in json.get("loads")?.as_array()? {
        let [subject, load] = load.as_array()?.as_slice() else { return None };
        node.loads.push((SubjectId(subject.as_u64()?), load.as_f64()?));
    }
    for of in json.get("hosts")?.as_array()? {
        node.hosts.push(HostSnapshot {
            host: HostId(whole(of, "host")?),
            open: number(of, "open")?,
            smoothed: number(of, "smoothed")?,
            limit: match of.get("limit")? {
                Value::Null => None,
                limit => Some(limit.as_f64()?),
            },
            strain: number(of, "strain")?,
            aside: of.get("aside")?.as_bool()?,
            budget: number(of, "budget")?,
            held: number(of, "held")?,
            answers: number(of, "answers")?,
            nominal: of.get("nominal").and_then(Value::as_f64).filter(|size| size.is_finite()).map(Size),
        });
    }
    let list = EndpointListUpdate {
        index: whole(&json, "index")?,
        update: ListUpdate::Complete,
        endpoints: lines,
        addresses,
    };
    let drained = json.get("drained")?.as_bool()?;
    Some(Standing {
        list,
        node,
        drained,
        zones: theirs.unwrap_or_default(),
        types: their_types.unwrap_or_default(),
    })
}

impl Service {
    // Towards the next process.

    /// Danger: a file of a process that was killed is in the way, and one that serves must not be cut off
    /// before the new socket listens: it is bound beside and moved over.
    pub fn listen_for_successor(&mut self) {
        let Some(folder) = self.config.folder.as_deref() else { return };
        let path = path(folder, self.config.listen);
        let beside = path.with_extension("new");
        let _ = std::fs::remove_file(&beside);
        let bound = UnixListener::bind(&beside).and_then(|door| {
            door.set_nonblocking(true)?;
            std::fs::rename(&beside, &path)?;
            self.watch_successor_socket(&door)?;
            Ok(door)
        });
        match bound {
            Ok(door) => self.handover.door = Some(door),
            // The next process then listens beside this one.
            Err(fault) => info!(%fault, "no socket for the next process"),
        }
    }

    pub fn accept_successor(&mut self) {
        let Some(Ok((line, _))) = self.handover.door.as_ref().map(UnixListener::accept) else { return };
        // One at a time: another is turned away by the close.
        if self.handover.successor.is_none() && line.set_nonblocking(true).is_ok() {
            self.handover.successor =
                self.add_connection(Connection::new(line.into(), false), SocketRole::Successor);
        }
    }

    pub fn successor_readable(&mut self, id: ConnectionId, got: ReadOutcome) {
        let ReadOutcome::Bytes(n) = got else {
            return if matches!(got, ReadOutcome::End) {
                self.successor_gone(id)
            };
        };
        let Some(seat) = self.sockets.get_mut(id.0) else { return };
        seat.connection.inbox.extend_from_slice(&self.read_buffer[..n]);
        while let Some(seat) = self.sockets.get_mut(id.0) {
            let Some(length) = first_line_length(&seat.connection.inbox) else {
                return if seat.connection.inbox.len() > MAX_LINE_LENGTH {
                    self.successor_gone(id)
                };
            };
            let said: Vec<u8> = seat.connection.inbox.drain(..length).collect();
            match said.trim_ascii_end() {
                said if said == SUCCESSOR_HELLO.as_bytes() => self.hand_over(id),
                said if said == SERVING.as_bytes() => self.replaced(),
                said if said == SUCCEEDED.as_bytes() => self.handover.succeeded = true,
                _ => {
                    warn!("the next process is of another version");
                    return self.successor_gone(id);
                }
            }
        }
    }

    fn hand_over(&mut self, id: ConnectionId) {
        let (Some(node), Some(index)) = (self.snapshot(), self.list.index()) else {
            return self.successor_gone(id);
        };
        let drained = matches!(self.phase, Phase::Draining { .. });
        let (zones, types) = (self.config.zones.clone(), self.config.names.traffic.clone());
        let message =
            encode(&Standing { list: self.hosts.to_update(index), node, drained, zones, types }).to_string();
        let head = format!("{STANDING} {}\n", message.len());
        let uses = self.descriptors();
        let Some(listener) = &self.listener else { return self.successor_gone(id) };
        let rest = match self.send_sockets(id, &head, &[listener.as_fd()]) {
            Ok(rest) => rest,
            Err(fault) => {
                warn!(%fault, "cannot hand over");
                return self.successor_gone(id);
            }
        };
        info!(calls = self.calls.len(), "handing over to the next process");
        self.handover.successor_notified = true;
        self.say_on(id, &format!("{rest}{message}USES {uses}\n"));
    }

    /// The next process serves: from here on it takes the clients.
    fn replaced(&mut self) {
        info!(calls = self.calls.len(), "replaced: the next process takes the clients");
        self.handover.successor_serves = true;
        if let Some(predecessor) = self.handover.predecessor {
            self.say_on(predecessor, &format!("{SUCCEEDED}\n"));
        }
        self.handover.door = None;
        self.watch_for_clients(false);
        if matches!(self.phase, Phase::Serving | Phase::Starting) {
            self.phase = Phase::Replaced;
        }
    }

    /// Danger: the next process may end before it serves, or after; then nobody would take the clients.
    pub fn successor_gone(&mut self, id: ConnectionId) {
        self.close_connection(id);
        if self.handover.successor != Some(id) {
            return;
        }
        (self.handover.successor, self.handover.successor_notified) = (None, false);
        // Danger: two upgrades in a row, and the process before both took clients again beside the last one.
        if self.handover.succeeded {
            return;
        }
        if !std::mem::take(&mut self.handover.successor_serves) {
            return info!("the next process has gone");
        }
        if matches!(self.phase, Phase::Leaving { .. } | Phase::Flushing | Phase::Left) {
            return;
        }
        warn!("the next process has gone: this one takes the clients again");
        if self.phase == Phase::Replaced {
            self.phase = Phase::Serving;
        }
        self.watch_for_clients(true);
        self.listen_for_successor();
    }

    /// Told to end: what is open goes over, and so do clients that have not opened anything yet.
    pub fn hand_over_calls(&mut self) {
        let open = self.calls.iter().filter(|(_, held)| held.stage == CallStage::Open);
        self.handover.calls = open.map(|(number, _)| CallId(number)).collect();
        let idle = self.sockets.iter().filter(|(_, seat)| seat.role == SocketRole::Client(None));
        self.handover.idle = idle.map(|(number, _)| ConnectionId(number)).collect();
        self.hand_on();
    }

    pub fn hand_over_call(&mut self, call: CallId) {
        self.handover.calls.push_back(call);
        self.hand_on();
    }

    /// As much as the line takes; the rest when it has room again.
    pub fn hand_on(&mut self) {
        let Some(id) = self.handover.successor.filter(|_| self.handover.successor_serves) else { return };
        while self.sockets.get(id.0).is_some_and(|seat| seat.connection.unsent() == 0) {
            let sent = match (self.handover.calls.front(), self.handover.idle.front()) {
                (Some(call), _) => self.hand_call(id, *call),
                (None, Some(connection)) => self.hand_idle(id, *connection),
                (None, None) => return,
            };
            match sent {
                Err(Errno::AGAIN) => {
                    return self.timers.set(self.now + FULL_LINE, TimerEvent::ContinueHandover);
                }
                Err(fault) => {
                    warn!(%fault, "connections cannot go over: their clients move");
                    self.handover.calls.clear();
                    return self.handover.idle.clear();
                }
                Ok(()) if self.handover.calls.pop_front().is_some() => {}
                Ok(()) => drop(self.handover.idle.pop_front()),
            }
        }
    }

    /// Danger: an end that has been seen here would not be seen there. What has ended on one side ends here.
    fn hand_call(&mut self, id: ConnectionId, call: CallId) -> Result<(), Errno> {
        let Some(held) = self.calls.get(call.0).filter(|held| held.stage == CallStage::Open) else {
            return Ok(());
        };
        let (Some(client), Some(attempt)) = (held.client, &held.attempt) else { return Ok(()) };
        let (Some(ours), Some(theirs)) = (self.sockets.get(client.0), self.sockets.get(attempt.connection.0))
        else {
            return Ok(());
        };
        if held.final_message.is_some() || !ours.connection.is_sound() || !theirs.connection.is_sound() {
            return Ok(());
        }
        let of = &held.call;
        let said = json!({
            "id": held.client_id.0, "traffic": of.traffic.0, "type": self.config.names.traffic.get(usize::from(of.traffic.0)), "tenant": of.tenant.0,
            "subject": of.subject.map(|subject| subject.0), "group": of.group.map(|group| group.0),
            "load": of.load, "host": attempt.host.0, "asked": held.awaiting_host_since.map(|asked| self.now.since(asked).0),
            "client_in": hex(&ours.connection.inbox), "client_out": hex(ours.connection.unsent_bytes()),
            "host_in": hex(&theirs.connection.inbox), "host_out": hex(theirs.connection.unsent_bytes()),
        });
        let (host, connection, no) = (attempt.host, attempt.connection, attempt.number);
        let line = format!("CALL {said}\n");
        let rest =
            self.send_sockets(id, &line, &[ours.connection.fd.as_fd(), theirs.connection.fd.as_fd()])?;
        // From here on it is the next process's.
        self.abandon_connection(client);
        self.abandon_connection(connection);
        self.forget_call(call);
        self.attempts_out -= 1;
        self.hosts.closed(host, call);
        self.report_attempt_end(AttemptEnd {
            call,
            attempt: no,
            outcome: AttemptOutcome::Canceled,
            is_final: true,
        });
        self.say_on(id, &rest);
        self.notify_successor(host);
        self.settle();
        Ok(())
    }

    fn hand_idle(&mut self, id: ConnectionId, connection: ConnectionId) -> Result<(), Errno> {
        let Some(seat) = self.sockets.get(connection.0) else { return Ok(()) };
        if seat.role != SocketRole::Client(None)
            || !seat.connection.is_sound()
            || seat.connection.unsent() > 0
        {
            return Ok(());
        }
        let line = format!("IDLE {}\n", hex(&seat.connection.inbox));
        let rest = self.send_sockets(id, &line, &[seat.connection.fd.as_fd()])?;
        self.abandon_connection(connection);
        self.say_on(id, &rest);
        Ok(())
    }

    /// Sends a line with the sockets that belong to it, and hands back what did not fit.
    fn send_sockets(&self, id: ConnectionId, line: &str, fds: &[BorrowedFd<'_>]) -> Result<String, Errno> {
        let seat = self.sockets.get(id.0).ok_or(Errno::PIPE)?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(fds)) {
            return Err(Errno::NOBUFS);
        }
        let bytes = [IoSlice::new(line.as_bytes())];
        let sent = sendmsg(&seat.connection.fd, &bytes, &mut control, SendFlags::NOSIGNAL)?;
        Ok(line[sent..].to_owned())
    }

    fn say_on(&mut self, id: ConnectionId, text: &str) {
        if let Some(seat) = self.sockets.get_mut(id.0) {
            seat.connection.outbox.extend_from_slice(text.as_bytes());
        }
        self.flush_connection(id);
    }

    /// What is open at a host has changed.
    pub fn notify_successor(&mut self, host: HostId) {
        let Some(id) = self.handover.successor.filter(|_| self.handover.successor_notified) else { return };
        let said = format!("AT {:x} {}\nUSES {}\n", host.0, self.hosts.open_at(host), self.descriptors());
        self.say_on(id, &said);
    }

    // Towards the process before.

    pub fn follow_predecessor(&mut self, line: UnixStream) {
        self.handover.predecessor =
            self.add_connection(Connection::new(line.into(), false), SocketRole::Predecessor);
        info!("following the process before");
        self.timers.set(self.now + LIST_PATIENCE, TimerEvent::EndpointListOverdue);
    }

    /// This process can serve. Danger: were the one before told earlier, nobody would take clients meanwhile.
    pub fn take_over(&mut self) {
        if self.handover.door.is_some() {
            return;
        }
        self.listen_for_successor();
        self.handover.took_over = true;
        self.watch_for_clients(true);
        if let Some(id) = self.handover.predecessor {
            self.say_on(id, &format!("{SERVING}\n"));
        }
    }

    /// Danger: plain reading would lose the sockets that come with the lines.
    pub fn predecessor_readable(&mut self, id: ConnectionId) {
        for _ in 0..READS {
            let Some(seat) = self.sockets.get_mut(id.0) else { return };
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let buffers = &mut [IoSliceMut::new(&mut self.read_buffer)];
            let got = match recvmsg(&seat.connection.fd, buffers, &mut control, RecvFlags::CMSG_CLOEXEC) {
                Ok(got) if got.bytes > 0 => got.bytes,
                Err(Errno::AGAIN) => return,
                Err(Errno::INTR) => continue,
                _ => return self.predecessor_gone(id),
            };
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(fds) = message {
                    self.handover.sockets.extend(fds);
                }
            }
            seat.connection.inbox.extend_from_slice(&self.read_buffer[..got]);
            self.predecessor_lines(id);
        }
    }

    fn predecessor_lines(&mut self, id: ConnectionId) {
        while let Some(seat) = self.sockets.get_mut(id.0) {
            let Some(length) = first_line_length(&seat.connection.inbox) else {
                return if seat.connection.inbox.len() > LONGEST_MESSAGE {
                    self.predecessor_gone(id)
                };
            };
            let said: Vec<u8> = seat.connection.inbox.drain(..length).collect();
            let said = String::from_utf8_lossy(&said);
            match said.split_whitespace().collect::<Vec<_>>()[..] {
                ["AT", host, open] => {
                    if let (Ok(host), Ok(open)) = (u64::from_str_radix(host, 16), open.parse::<u32>()) {
                        self.tell(|node, _| {
                            node.set_predecessor_connections(Some(HostId(host)), f64::from(open))
                        });
                    }
                }
                ["USES", uses] => self.handover.other_uses = uses.parse().unwrap_or(0),
                ["CALL", call] => {
                    let (client, host) =
                        (self.handover.sockets.pop_front(), self.handover.sockets.pop_front());
                    let adopted = client.zip(host).and_then(|ends| self.adopt_call(call, ends));
                    if adopted.is_none() {
                        warn!("a call of the process before cannot be read: its connections end");
                    }
                }
                ["IDLE", inbox] => {
                    let fd = self.handover.sockets.pop_front();
                    if let Some((fd, inbox)) = fd.zip(unhex(inbox)) {
                        self.add_client(fd, inbox);
                    }
                }
                _ => debug!(%said, "the process before said something unknown"),
            }
        }
    }

    /// A connection that the process before had open: here it goes on where it stood there.
    fn adopt_call(&mut self, text: &str, (client, host): (OwnedFd, OwnedFd)) -> Option<()> {
        let json: Value = serde_json::from_str(text).ok()?;
        let whole = |key: &str| json.get(key)?.as_u64();
        let bytes = |key: &str| unhex(json.get(key)?.as_str()?);
        let call = Call {
            id: CallId(0),
            traffic: match json.get("type").and_then(Value::as_str) {
                Some(name) => ClassId(self.config.names.traffic.iter().position(|at| at == name)? as u8),
                None => ClassId(u8::try_from(whole("traffic")?).ok()?),
            },
            tenant: TenantId(u32::try_from(whole("tenant")?).ok()?),
            subject: whole("subject").map(SubjectId),
            group: whole("group").map(GroupId),
            guard: self.now,
            load: json.get("load").and_then(Value::as_f64),
            // It did not come from elsewhere.
            returning: false,
            mid_flow: false,
            before: None,
        };
        // Danger: what the settings of this process do not know would be counted out of bounds.
        let names = &self.config.names;
        if usize::from(call.traffic.0) >= names.traffic.len() {
            return None;
        }
        let (id, at) = (ClientId(whole("id")?), HostId(whole("host")?));
        let (mut ours, mut theirs) = (Connection::new(client, false), Connection::new(host, false));
        (ours.inbox, ours.outbox) = (bytes("client_in")?, bytes("client_out")?);
        (theirs.inbox, theirs.outbox) = (bytes("host_in")?, bytes("host_out")?);
        let asked = whole("asked").map(|ago| self.now - Span(ago));
        let client = self.add_connection(ours, SocketRole::Client(None))?;
        let Some(host) = self.add_connection(theirs, SocketRole::Client(None)) else {
            self.close_connection(client);
            return None;
        };
        let mut held = InFlightCall::new(id, client, OpenLine::default(), call, CallStage::Open, None);
        let no = AttemptNumber(0);
        (held.attempt_count, held.attempt) = (
            1,
            Some(Attempt {
                number: no,
                host: at,
                connection: host,
                opened_at: self.now,
                deadline: self.now,
                may_send: true,
                is_line_queued: true,
                is_line_sent: true,
            }),
        );
        (held.awaiting_host_since, held.has_silence_timer) = (asked, asked.is_some());
        let number = self.calls.insert(held);
        self.attempts_out += 1;
        for (connection, role) in
            [(client, SocketRole::Client(Some(number))), (host, SocketRole::Host(number))]
        {
            if let Some(seat) = self.sockets.get_mut(connection.0) {
                seat.role = role;
            }
        }
        self.hosts.opened(at, number);
        let (now, call) = (self.now, Call { id: number, ..call });
        self.tell(|node, _| node.existing_connection(now, call, at));
        if asked.is_some() {
            self.timers.set(now, TimerEvent::HostSilence(number));
        }
        if self.hosts.is_leaving(at) {
            self.timers.set(now + MIGRATION_PERIOD, TimerEvent::Migrate(number));
        }
        self.flush_connection(client);
        self.flush_connection(host);
        Some(())
    }

    /// The process before has ended, or will not be heard: what it held is gone, and the socket is ours.
    pub fn predecessor_gone(&mut self, id: ConnectionId) {
        self.close_connection(id);
        info!("the process before has gone");
        (self.handover.predecessor, self.handover.other_uses) = (None, 0);
        self.tell(|node, _| node.set_predecessor_connections(None, 0.0));
        self.watch_for_clients(self.accepts());
        self.serve_if_ready();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn standing() -> Standing {
        let host = HostId(7);
        let listed = Endpoint {
            host,
            zone: Zone(1),
            cell: Cell(2),
            condition: Condition::Draining,
            weight: Weight(1.5),
            kind: Some(Kind(7)),
            up_since: Some(Time(9)),
        };
        let of = HostSnapshot {
            host,
            open: 3.0,
            smoothed: 0.5,
            limit: None,
            strain: 0.1,
            aside: true,
            budget: -0.5,
            held: 1.0,
            answers: 0.001,
            nominal: Some(Size(2.5)),
        };
        let node = NodeSnapshot {
            hosts: vec![of, HostSnapshot { limit: Some(4.0), ..of }],
            loads: vec![(SubjectId(u64::MAX), 0.25)],
            of_type: vec![0.1, 0.2],
            arrival: 2.0,
            ..NodeSnapshot::default()
        };
        let addresses = vec![(host, "127.0.0.1:4000".parse().unwrap())];
        let list = EndpointListUpdate {
            index: 41,
            update: ListUpdate::Complete,
            endpoints: vec![listed],
            addresses,
        };
        let (zones, types) = (vec!["x".into(), "y".into()], vec!["chat".into(), "pay".into()]);
        Standing { list, node, drained: true, zones, types }
    }

    #[test]
    fn what_is_told_is_read_the_same() {
        let (zones, types) = (["x", "y"].map(String::from), ["chat", "pay"].map(String::from));
        let (told, text) = (standing(), encode(&standing()).to_string());
        let read = decode(text.as_bytes(), &zones, &types).unwrap();
        assert_eq!((&read.node, read.drained), (&told.node, true));
        assert_eq!(
            (read.list.index, &read.list.endpoints, &read.list.addresses),
            (41, &told.list.endpoints, &told.list.addresses)
        );
        // A zone that the settings do not name any more is none of ours.
        assert_eq!(decode(text.as_bytes(), &[], &types).unwrap().list.endpoints[0].zone, Zone(0));
        // Another order, and more of them: a name is what counts.
        let (zones, types) = (["y", "z", "x"].map(String::from), ["fax", "pay", "chat"].map(String::from));
        let read = decode(text.as_bytes(), &zones, &types).unwrap();
        assert_eq!((read.list.endpoints[0].zone, read.node.of_type), (Zone(0), vec![0.0, 0.2, 0.1]));
    }

    /// Danger: half a message taken for a whole one would be hosts taken for empty. It is all or nothing.
    #[test]
    fn what_is_amiss_counts_for_nothing() {
        let text = encode(&standing()).to_string();
        for end in 0..text.len() {
            assert!(decode(&text.as_bytes()[..end], &[], &[]).is_none());
        }
        for key in
            ["index", "list", "hosts", "loads", "of_type", "drained", "address", "condition", "open", "aside"]
        {
            let other = text.replace(&format!("\"{key}\":"), "\"other\":");
            assert!(decode(other.as_bytes(), &[], &[]).is_none(), "without {key}");
        }
        let wrong = text.replace("\"draining\"", "\"well\"");
        assert!(decode(wrong.as_bytes(), &[], &[]).is_none());
    }

    #[test]
    fn bytes_pass_unchanged() {
        let all: Vec<u8> = (0..=255).collect();
        assert_eq!(unhex(&hex(&all)), Some(all));
        assert_eq!(unhex(&hex(b"")), Some(vec![]));
        for wrong in ["", "00", "x0", "xzz", "x\u{e9}"] {
            assert_eq!(unhex(wrong), None);
        }
    }
}
