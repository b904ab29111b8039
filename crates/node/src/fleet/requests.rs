//! Operators' requests to the fleet at the admin interface: decodes them, passes them to the fleet logic, and
//! sends the replies.

use std::collections::BTreeMap;

use glendeck::domain::{Span, Time};
use glendeck_fleet::policy::{Plan, UnitName};
use glendeck_fleet::state::{Command, CommandResult, RequestId};
use glendeck_fleet::{FleetView, RequestResult};
use serde::Serialize;
use serde_json::Value;
use tracing::info;

use crate::admin::reply::{Reply, Status};
use crate::service::Service;
use crate::socket::ConnectionId;
use crate::takeover::WorkMetrics;
use crate::warm_state::WarmStateMetrics;

/// Minimum interval between status requests to the leader. Earlier ones wait for the next tick, so that a
/// node appends at most ten entries per second to the log, whatever the number of callers.
const STATUS_INTERVAL: Span = Span::ms(100);

/// Why a request cannot be passed to the fleet.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// The node is not a member of a fleet.
    #[error("this node is not in a fleet")]
    NoFleet,
    /// The body is not JSON.
    #[error("the body is not valid JSON: {0}")]
    InvalidJson(serde_json::Error),
    /// The body lacks a string that the path needs.
    #[error("the string {0} is missing in the body")]
    Missing(&'static str),
    /// The body's release plan cannot be decoded.
    #[error("invalid plan: {0}")]
    Plan(serde_json::Error),
    /// There is no such path.
    #[error("no such path")]
    NoSuchPath,
}

impl From<RequestError> for Reply {
    fn from(error: RequestError) -> Reply {
        let status = match error {
            RequestError::NoFleet | RequestError::NoSuchPath => Status::NotFound,
            RequestError::InvalidJson(_) | RequestError::Missing(_) | RequestError::Plan(_) => {
                Status::BadRequest
            }
        };
        Reply::error(status, error)
    }
}

/// The JSON body of a request. Keys that a path does not need are ignored.
struct RequestBody(Value);

impl RequestBody {
    fn decode(bytes: &[u8]) -> Result<RequestBody, RequestError> {
        if bytes.is_empty() {
            return Ok(RequestBody(Value::Null));
        }
        serde_json::from_slice(bytes).map(RequestBody).map_err(RequestError::InvalidJson)
    }

    fn text(&self, key: &str) -> Option<String> {
        self.0.get(key).and_then(Value::as_str).map(str::to_owned)
    }

    fn unit(&self, key: &'static str) -> Result<UnitName, RequestError> {
        self.text(key).map(UnitName).ok_or(RequestError::Missing(key))
    }

    fn plan(&self) -> Result<Box<Plan>, RequestError> {
        let plan = self.0.get("plan").cloned().unwrap_or_default();
        serde_json::from_value(plan).map(Box::new).map_err(RequestError::Plan)
    }
}

/// The request that a path stands for.
enum FleetRequest {
    /// The state of the fleet, confirmed by its leader.
    Status,
    /// An operator vouches for this node's store, so that it votes without waiting for voters that are gone.
    Trust,
    /// A command for the fleet to decide on.
    Command(Command),
}

impl FleetRequest {
    fn decode(path: &str, body: &RequestBody, own_name: &UnitName) -> Result<FleetRequest, RequestError> {
        let command = match path {
            "/v1/fleet/status" => return Ok(FleetRequest::Status),
            "/v1/fleet/trust" => return Ok(FleetRequest::Trust),
            "/v1/node/drain" => Command::Drain { unit: own_name.clone() },
            "/v1/node/activate" => Command::Activate { unit: own_name.clone() },
            "/v1/fleet/drain" => Command::Drain { unit: body.unit("unit")? },
            "/v1/fleet/activate" => Command::Activate { unit: body.unit("unit")? },
            "/v1/fleet/dead" => Command::ConfirmDead { unit: body.unit("unit")? },
            "/v1/fleet/override" => Command::Override {
                unit: body.unit("unit")?,
                reason: body.text("reason").unwrap_or_default(),
            },
            "/v1/fleet/replace" => Command::ReplaceVoter { old: body.unit("old")?, new: body.unit("new")? },
            "/v1/fleet/release/start" => Command::StartRelease { plan: body.plan()? },
            "/v1/fleet/release/halt" => {
                Command::Halt { why: body.text("why").unwrap_or_else(|| "an operator".to_owned()) }
            }
            "/v1/fleet/release/resume" => Command::Resume,
            "/v1/fleet/release/back" => Command::RollBack,
            _ => return Err(RequestError::NoSuchPath),
        };
        Ok(FleetRequest::Command(command))
    }
}

/// The callers that wait for the result of a request.
enum PendingRequest {
    /// The caller that sent the command.
    Command(ConnectionId),
    /// All callers that asked for the status before this request was sent.
    Status(Vec<ConnectionId>),
}

/// The requests of operators that are not answered yet.
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Callers that asked for the status and wait for the next status request to be sent.
    status_callers: Vec<ConnectionId>,
    /// Earliest time for the next status request.
    next_status: Time,
}

impl PendingRequests {
    /// Creates the table without any requests.
    pub(crate) fn new(now: Time) -> PendingRequests {
        PendingRequests { requests: BTreeMap::new(), status_callers: Vec::new(), next_status: now }
    }

    fn is_status_due(&self, now: Time) -> bool {
        let is_in_flight = self.requests.values().any(|request| matches!(request, PendingRequest::Status(_)));
        !self.status_callers.is_empty() && !is_in_flight && now >= self.next_status
    }
}

/// The reply to a command that the fleet has carried out.
#[derive(Serialize)]
struct Done<'a> {
    done: bool,
    id: &'a str,
    said: &'a str,
}

/// The reply to a command that the fleet has refused.
#[derive(Serialize)]
struct Refused<'a> {
    done: bool,
    id: &'a str,
    why: &'a str,
}

/// The reply to a command that was not decided in time.
#[derive(Serialize)]
struct Undecided<'a> {
    done: bool,
    id: &'a str,
    voters_not_heard: Option<usize>,
    why: &'static str,
}

/// The reply to a command with this result.
pub(crate) fn result_reply(id: &RequestId, result: &RequestResult, voters_not_heard: Option<usize>) -> Reply {
    let id = &id.0;
    match result {
        RequestResult::Answered(CommandResult::Done(said)) => {
            Reply::new(Status::Ok, &Done { done: true, id, said })
        }
        RequestResult::Answered(CommandResult::Refused(why)) => {
            Reply::new(Status::Conflict, &Refused { done: false, id, why })
        }
        RequestResult::Unknown => {
            let why = "not decided in time, but may still take effect: retry with the same id";
            Reply::new(Status::ServiceUnavailable, &Undecided { done: false, id, voters_not_heard, why })
        }
    }
}

/// The reply to a request for the status.
#[derive(Serialize)]
pub(super) struct FleetStatus<'a> {
    #[serde(flatten)]
    pub(super) view: FleetView<'a>,
    /// The leader has confirmed that the state is current.
    pub(super) confirmed: bool,
    pub(super) links: LinkMetrics,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) work: Option<WorkMetrics>,
    #[serde(rename = "estates", skip_serializing_if = "Option::is_none")]
    pub(super) warm_state: Option<WarmStateMetrics>,
}

/// The connections to other nodes, and the traffic on them.
#[derive(Serialize)]
pub(super) struct LinkMetrics {
    /// Number of links, including those that have not received a greeting yet.
    pub(super) up: usize,
    pub(super) frames_sent: u64,
    pub(super) bytes_sent: u64,
    pub(super) frames_heard: u64,
    pub(super) bytes_heard: u64,
}

impl Service {
    /// Handles a request of an operator. Returns `None` if the fleet has to decide; the reply is sent later.
    pub(crate) fn handle_fleet_request(
        &mut self,
        caller: ConnectionId,
        path: &str,
        body: &[u8],
    ) -> Option<Reply> {
        match self.try_handle_fleet_request(caller, path, body) {
            Ok(reply) => reply,
            Err(error) => Some(Reply::from(error)),
        }
    }

    fn try_handle_fleet_request(
        &mut self,
        caller: ConnectionId,
        path: &str,
        body: &[u8],
    ) -> Result<Option<Reply>, RequestError> {
        let now = self.timestamp();
        let Some(membership) = &mut self.membership else { return Err(RequestError::NoFleet) };
        let body = RequestBody::decode(body)?;
        match FleetRequest::decode(path, &body, &membership.name)? {
            FleetRequest::Status => {
                membership.pending.status_callers.push(caller);
                self.request_status();
            }
            FleetRequest::Trust => return Ok(Some(Reply::done(membership.fleet.trust(now)))),
            FleetRequest::Command(command) => {
                // Drawn even if the operator gives an id, so that later random numbers do not depend on that.
                let drawn_id = membership.draw_request_id();
                let id = body.text("id").map_or(drawn_id, RequestId);
                info!(path, request_id = %id.0, "request of an operator");
                membership.pending.requests.insert(id.clone(), PendingRequest::Command(caller));
                self.with_fleet(|fleet, now| fleet.ask(now, id, command));
            }
        }
        Ok(None)
    }

    /// Requests a confirmed state from the leader if a caller waits for the status. Each request is an entry
    /// of the log, and many operators may watch the status, so all callers since the last request share the
    /// next.
    pub(super) fn request_status(&mut self) {
        let now = self.now;
        let Some(membership) = &mut self.membership else { return };
        if !membership.pending.is_status_due(now) {
            return;
        }
        membership.pending.next_status = now + STATUS_INTERVAL;
        let id = membership.draw_request_id();
        let callers = std::mem::take(&mut membership.pending.status_callers);
        membership.pending.requests.insert(id.clone(), PendingRequest::Status(callers));
        self.with_fleet(|fleet, now| fleet.ask(now, id, Command::Confirm));
    }

    /// Replies to the callers that wait for this request.
    pub(super) fn reply_to_request(&mut self, id: &RequestId, result: &RequestResult) {
        let Some(membership) = &mut self.membership else { return };
        match membership.pending.requests.remove(id) {
            None => {}
            Some(PendingRequest::Command(caller)) => {
                let misses = membership.fleet.view().misses.len();
                self.send_reply(caller, &result_reply(id, result, Some(misses)), true);
            }
            Some(PendingRequest::Status(callers)) => {
                let confirmed = matches!(result, RequestResult::Answered(_));
                let reply = self.fleet_status(confirmed);
                for caller in callers {
                    self.send_reply(caller, &reply, true);
                }
                self.request_status();
            }
        }
    }

    fn fleet_status(&self, confirmed: bool) -> Reply {
        let Some(membership) = &self.membership else { return Reply::new(Status::Ok, &()) };
        let traffic = &membership.peers.traffic;
        let status = FleetStatus {
            view: membership.fleet.view(),
            confirmed,
            links: LinkMetrics {
                up: membership.peers.links(),
                frames_sent: traffic.frames_sent,
                bytes_sent: traffic.bytes_sent,
                frames_heard: traffic.frames_received,
                bytes_heard: traffic.bytes_received,
            },
            work: membership.work.as_ref().map(|work| work.metrics(self.timestamp())),
            warm_state: membership.warm_state.as_ref().map(|warm_state| warm_state.metrics()),
        };
        Reply::new(Status::Ok, &status)
    }
}
