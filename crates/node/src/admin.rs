//! The operators' door: who calls there, and what each call does.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use glendeck::domain::Span;
use rustix::io::Errno;
use rustix::net::{self, SocketFlags};
use serde_json::{Value, json};
use tracing::{debug, info, warn};

use crate::clients::ACCEPT_AGAIN;
use crate::connection::{self, Connection, ReadOutcome};
use crate::http::{Incoming, Method, Refusal, Request};
use crate::lifecycle::Phase;
use crate::service::Service;
use crate::socket::{ConnectionId, SocketRole};
use crate::timers::TimerEvent;

/// Callers at once. A scraper or two, an operator, and as many that are slow; their descriptors are kept back
/// from the clients, so there are not more.
pub const CALLERS: usize = 12;

/// A caller that has not finished its call by then, or has not taken its answer, goes.
const CALL_LIMIT: Span = Span::ms(5_000);

/// What a caller may send on after its answer before it is cut off.
const DISCARD: usize = 64 << 10;

pub struct Caller {
    id: ConnectionId,
    incoming: Incoming,
    answered: bool,
}

/// The address for operators alone, if there is one, and those who call there, the longest waiting first.
#[derive(Default)]
pub struct AdminServer {
    pub listener: Option<OwnedFd>,
    pub callers: VecDeque<Caller>,
}

impl AdminServer {
    pub fn open(address: Option<SocketAddr>) -> Result<AdminServer, (SocketAddr, Errno)> {
        let listener = address.map(|address| connection::listen(address).map_err(|fault| (address, fault)));
        Ok(AdminServer { listener: listener.transpose()?, callers: VecDeque::new() })
    }
}

/// An answer: its status, and what else its head says.
struct Reply {
    status: u16,
    allow: Option<&'static str>,
    body: Value,
}

fn say(status: u16, body: Value) -> Reply {
    Reply { status, allow: None, body }
}

fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    }
}

fn encode(reply: &Reply, with_body: bool, out: &mut Vec<u8>) {
    let body = reply.body.to_string();
    let allow = reply.allow.map_or(String::new(), |methods| format!("Allow: {methods}\r\n"));
    let head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{allow}Cache-Control: no-store\r\n\
         Connection: close\r\n\r\n",
        reply.status,
        phrase(reply.status),
        body.len() + 1,
    );
    out.extend_from_slice(head.as_bytes());
    if with_body {
        out.extend_from_slice(body.as_bytes());
        out.push(b'\n');
    }
}

impl Service {
    pub fn is_admin_socket(&self, number: u64) -> bool {
        number == crate::reactor::ADMIN || self.role(ConnectionId(number)) == Some(SocketRole::Admin)
    }

    pub fn accept_callers(&mut self) {
        for _ in 0..CALLERS {
            let Some(listener) = &self.admin.listener else { return };
            match net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => {
                    self.make_place();
                    if let Some(id) = self.add_connection(Connection::new(fd, false), SocketRole::Admin) {
                        let (incoming, answered) = (Incoming::default(), false);
                        self.admin.callers.push_back(Caller { id, incoming, answered });
                        self.timers.set(self.now + CALL_LIMIT, TimerEvent::AdminTimeout(id));
                    }
                }
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(Errno::AGAIN) => return,
                Err(fault) => {
                    // Danger: while accepting fails the socket stays ready, and the loop would spin.
                    warn!(%fault, "cannot accept at the operators' door");
                    self.watch_admin(false);
                    return self.timers.set(self.now + ACCEPT_AGAIN, TimerEvent::RetryAccept);
                }
            }
        }
    }

    /// Danger: callers that finish no call hold every place, and a good one waits. The one that came first goes;
    /// one whose call is whole has been answered, and goes only when its answer has.
    fn make_place(&mut self) {
        while self.admin.callers.len() >= CALLERS {
            let sent = |caller: &Caller| {
                self.sockets.get(caller.id.0).is_none_or(|seat| seat.connection.unsent() == 0)
            };
            let callers = &self.admin.callers;
            let done = callers.iter().position(|caller| caller.answered && sent(caller));
            let slow = callers.iter().position(|caller| !caller.answered);
            let Some(caller) = callers.get(done.or(slow).unwrap_or(0)) else { return };
            self.drop_caller(caller.id);
        }
    }

    pub fn drop_caller(&mut self, id: ConnectionId) {
        if self.role(id) == Some(SocketRole::Admin) {
            self.admin.callers.retain(|caller| caller.id != id);
            self.close_connection(id);
        }
    }

    /// Once its answer has gone and it has ended its side, or sends on without end.
    pub fn caller_over(&mut self, id: ConnectionId) {
        if self
            .sockets
            .get(id.0)
            .is_some_and(|seat| seat.connection.is_over() || seat.connection.discarded > DISCARD)
        {
            self.drop_caller(id);
        }
    }

    pub fn caller_came(&mut self, id: ConnectionId, got: ReadOutcome) {
        let Some(at) = self.admin.callers.iter().position(|caller| caller.id == id) else { return };
        let caller = &mut self.admin.callers[at];
        let Some(seat) = self.sockets.get_mut(id.0) else { return };
        let read = match got {
            ReadOutcome::NothingYet => return,
            ReadOutcome::End if caller.answered => return self.caller_over(id),
            // Nobody gets to hear an answer to half a call.
            ReadOutcome::End => return self.drop_caller(id),
            ReadOutcome::Bytes(n) if caller.answered => {
                seat.connection.discarded += n;
                return self.caller_over(id);
            }
            ReadOutcome::Bytes(n) => {
                seat.connection.inbox.extend_from_slice(&self.read_buffer[..n]);
                caller.incoming.read(&mut seat.connection.inbox)
            }
        };
        let (reply, with_body) = match read {
            Ok(None) => return,
            Ok(Some(request)) => match self.answer_caller(id, &request) {
                Some(reply) => (reply, request.method != Method::Head),
                // What the fleet decides comes within a second.
                None => return,
            },
            Err(refusal) => {
                debug!(%refusal, "a call at the operators' door");
                (say(refusal.status(), json!({"error": refusal.to_string()})), true)
            }
        };
        self.answer_now(id, &reply, with_body);
    }

    /// A call that had to wait for others has its answer.
    pub fn answer_later(&mut self, id: ConnectionId, status: u16, body: Value) {
        self.answer_now(id, &say(status, body), true);
    }

    fn answer_now(&mut self, id: ConnectionId, reply: &Reply, with_body: bool) {
        let Some(caller) = self.admin.callers.iter_mut().find(|caller| caller.id == id) else { return };
        caller.answered = true;
        if let Some(seat) = self.sockets.get_mut(id.0) {
            encode(reply, with_body, &mut seat.connection.outbox);
            seat.connection.inbox = Vec::new();
            seat.connection.finish = true;
        }
        self.flush_connection(id);
    }

    fn answer_caller(&mut self, id: ConnectionId, request: &Request) -> Option<Reply> {
        let path = request.path.split('?').next().unwrap_or_default();
        let allow = match path {
            "/v1/readyz" | "/v1/metrics" | "/v1/fleet/status" => "GET, HEAD",
            "/v1/node/drain" | "/v1/node/activate" => "POST",
            path if path.starts_with("/v1/fleet/") => "POST",
            _ => return Some(say(404, json!({"error": "no such path"}))),
        };
        let reads = matches!(request.method, Method::Get | Method::Head);
        if !(reads && allow != "POST" || request.method == Method::Post && allow == "POST") {
            let body = json!({"error": "not with this method"});
            return Some(Reply { allow: Some(allow), ..say(405, body) });
        }
        Some(match path {
            "/v1/readyz" => {
                let status = if self.phase == Phase::Serving { 200 } else { 503 };
                say(status, json!({"ready": status == 200, "phase": self.phase.name()}))
            }
            "/v1/metrics" => say(200, self.metrics()),
            // In a fleet nobody goes out alone.
            path if path.starts_with("/v1/fleet/") || self.membership.is_some() => {
                let (status, body) = self.ask_fleet(id, path, &request.body)?;
                say(status, body)
            }
            path => {
                info!(call = path, phase = self.phase.name(), "operators");
                let done = if path == "/v1/node/drain" { self.drain() } else { self.activate() };
                say(if done { 200 } else { 409 }, json!({"done": done, "phase": self.phase.name()}))
            }
        })
    }
}

impl Refusal {
    fn status(&self) -> u16 {
        match self {
            Refusal::Head => 400,
            Refusal::Version => 505,
            Refusal::HeadTooLarge => 431,
            Refusal::BodyTooLarge => 413,
            Refusal::Coding => 501,
        }
    }
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Draining { .. } => "draining",
            Phase::Replaced => "replaced",
            Phase::Leaving { .. } | Phase::Flushing => "leaving",
            Phase::Left => "left",
        }
    }
}
