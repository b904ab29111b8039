//! Replies of the admin interface: a status and a JSON body, as one HTTP/1.1 response.

use serde::Serialize;
use serde_json::Value;

/// An HTTP status that the admin interface replies with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// The request succeeded.
    Ok,
    /// The request is invalid.
    BadRequest,
    /// There is no such path on this node.
    NotFound,
    /// The path does not allow this method.
    MethodNotAllowed,
    /// The current state does not allow the request.
    Conflict,
    /// The body is too large.
    ContentTooLarge,
    /// The head is too large.
    HeaderFieldsTooLarge,
    /// The body has an unsupported transfer coding.
    NotImplemented,
    /// Not ready, or not decided in time.
    ServiceUnavailable,
    /// The HTTP version is not supported.
    VersionNotSupported,
}

impl Status {
    /// The status code.
    pub(crate) fn code(self) -> u16 {
        match self {
            Status::Ok => 200,
            Status::BadRequest => 400,
            Status::NotFound => 404,
            Status::MethodNotAllowed => 405,
            Status::Conflict => 409,
            Status::ContentTooLarge => 413,
            Status::HeaderFieldsTooLarge => 431,
            Status::NotImplemented => 501,
            Status::ServiceUnavailable => 503,
            Status::VersionNotSupported => 505,
        }
    }

    /// The reason phrase, see RFC 9110, section 15.
    fn reason(self) -> &'static str {
        match self {
            Status::Ok => "OK",
            Status::BadRequest => "Bad Request",
            Status::NotFound => "Not Found",
            Status::MethodNotAllowed => "Method Not Allowed",
            Status::Conflict => "Conflict",
            Status::ContentTooLarge => "Content Too Large",
            Status::HeaderFieldsTooLarge => "Request Header Fields Too Large",
            Status::NotImplemented => "Not Implemented",
            Status::ServiceUnavailable => "Service Unavailable",
            Status::VersionNotSupported => "HTTP Version Not Supported",
        }
    }
}

/// The body of an error reply.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// The body of a reply that says only whether something was done.
#[derive(Serialize)]
struct DoneBody {
    done: bool,
}

/// One reply.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reply {
    status: Status,
    /// The methods that the path allows, if the request used another one.
    allow: Option<&'static str>,
    /// The body. Its keys are written in alphabetical order, whatever the field order of its type.
    body: Value,
}

impl Reply {
    /// A reply with this body.
    pub(crate) fn new(status: Status, body: &impl Serialize) -> Reply {
        // Only maps with keys other than strings fail to serialize, and the bodies have none.
        Reply { status, allow: None, body: serde_json::to_value(body).unwrap_or_default() }
    }

    /// A reply that says what is wrong with the request.
    pub(crate) fn error(status: Status, error: impl ToString) -> Reply {
        Reply::new(status, &ErrorBody { error: error.to_string() })
    }

    /// The reply for a path that does not exist.
    pub(crate) fn no_such_path() -> Reply {
        Reply::error(Status::NotFound, "no such path")
    }

    /// The reply for a method that the path does not allow.
    pub(crate) fn method_not_allowed(allow: &'static str) -> Reply {
        let reply = Reply::error(Status::MethodNotAllowed, "not with this method");
        Reply { allow: Some(allow), ..reply }
    }

    /// The reply that says whether something was done; if not, the current state does not allow it.
    pub(crate) fn done(done: bool) -> Reply {
        Reply::new(done_status(done), &DoneBody { done })
    }

    /// Appends the response to `bytes`; without its body for a HEAD request.
    pub(crate) fn encode(&self, with_body: bool, bytes: &mut Vec<u8>) {
        let body = format!("{}\n", self.body);
        let allow = self.allow.map_or(String::new(), |methods| format!("Allow: {methods}\r\n"));
        let head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{allow}\
             Cache-Control: no-store\r\nConnection: close\r\n\r\n",
            self.status.code(),
            self.status.reason(),
            body.len(),
        );
        bytes.extend_from_slice(head.as_bytes());
        if with_body {
            bytes.extend_from_slice(body.as_bytes());
        }
    }
}

/// The status for a change that was done, or that the current state does not allow.
pub(crate) fn done_status(done: bool) -> Status {
    if done { Status::Ok } else { Status::Conflict }
}
