//! The paths of the admin interface, and what a request to each of them does.

use serde::Serialize;
use tracing::info;

use super::reply::{Reply, Status, done_status};
use crate::http::request::{Method, Refusal, Request};
use crate::lifecycle::Phase;
use crate::service::Service;
use crate::socket::ConnectionId;

const FLEET_PATHS: &str = "/v1/fleet/";

/// Methods of the read-only paths.
const READ_METHODS: &str = "GET, HEAD";

/// Methods of the paths that change state.
const WRITE_METHODS: &str = "POST";

/// A path of the admin interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route<'a> {
    Readiness,
    Metrics,
    DrainNode,
    ActivateNode,
    /// A path that only a node in a fleet serves.
    Fleet(&'a str),
}

/// The body of the reply to a readiness check.
#[derive(Serialize)]
pub(super) struct Readiness {
    pub(super) phase: &'static str,
    pub(super) ready: bool,
}

/// The body of the reply to a request that changes the phase of this node alone.
#[derive(Serialize)]
pub(super) struct PhaseChange {
    pub(super) done: bool,
    pub(super) phase: &'static str,
}

impl<'a> Route<'a> {
    fn of_path(path: &'a str) -> Option<Route<'a>> {
        match path {
            "/v1/readyz" => Some(Route::Readiness),
            "/v1/metrics" => Some(Route::Metrics),
            "/v1/node/drain" => Some(Route::DrainNode),
            "/v1/node/activate" => Some(Route::ActivateNode),
            path if path.starts_with(FLEET_PATHS) => Some(Route::Fleet(path)),
            _ => None,
        }
    }

    fn allowed_methods(self) -> &'static str {
        match self {
            Route::Readiness | Route::Metrics | Route::Fleet("/v1/fleet/status") => READ_METHODS,
            Route::DrainNode | Route::ActivateNode | Route::Fleet(_) => WRITE_METHODS,
        }
    }

    fn allows(self, method: Method) -> bool {
        let allowed = self.allowed_methods();
        match method {
            Method::Get | Method::Head => allowed == READ_METHODS,
            Method::Post => allowed == WRITE_METHODS,
            Method::Other => false,
        }
    }
}

impl Service {
    /// Handles a request. Returns `None` if the fleet has to decide, which can take some seconds; the reply
    /// is sent later.
    pub(super) fn handle_request(&mut self, caller: ConnectionId, request: &Request) -> Option<Reply> {
        let path = request.path.split('?').next().unwrap_or_default();
        let Some(route) = Route::of_path(path) else { return Some(Reply::no_such_path()) };
        if !route.allows(request.method) {
            return Some(Reply::method_not_allowed(route.allowed_methods()));
        }
        match route {
            Route::Readiness => Some(self.readiness()),
            Route::Metrics => Some(Reply::new(Status::Ok, &self.metrics_page())),
            Route::Fleet(path) => self.handle_fleet_request(caller, path, &request.body),
            // In a fleet, no node is drained or activated without the fleet's decision.
            Route::DrainNode | Route::ActivateNode if self.membership.is_some() => {
                self.handle_fleet_request(caller, path, &request.body)
            }
            Route::DrainNode => Some(self.change_phase(path, Service::drain)),
            Route::ActivateNode => Some(self.change_phase(path, Service::activate)),
        }
    }

    fn readiness(&self) -> Reply {
        let ready = self.phase == Phase::Serving && !self.is_draining();
        let status = if ready { Status::Ok } else { Status::ServiceUnavailable };
        Reply::new(status, &Readiness { phase: self.phase_name(), ready })
    }

    fn change_phase(&mut self, path: &str, change: impl FnOnce(&mut Service) -> bool) -> Reply {
        info!(path, phase = self.phase_name(), "request of an operator");
        let done = change(self);
        Reply::new(done_status(done), &PhaseChange { done, phase: self.phase_name() })
    }

    fn phase_name(&self) -> &'static str {
        self.phase.name(self.is_draining())
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Reply {
        let status = match refusal {
            Refusal::Head => Status::BadRequest,
            Refusal::Version => Status::VersionNotSupported,
            Refusal::HeadTooLarge => Status::HeaderFieldsTooLarge,
            Refusal::BodyTooLarge => Status::ContentTooLarge,
            Refusal::Coding => Status::NotImplemented,
        };
        Reply::error(status, refusal)
    }
}

impl Phase {
    /// The phase's name in the admin interface. A process that accepts clients, or will, is named by the
    /// node's drain.
    pub(super) fn name(self, is_draining: bool) -> &'static str {
        match self {
            Phase::Starting | Phase::Serving if is_draining => "draining",
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Replaced => "replaced",
            Phase::Leaving { .. } | Phase::Flushing => "leaving",
            Phase::Left => "left",
        }
    }
}
