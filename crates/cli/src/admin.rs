//! HTTP client for the admin interfaces of nodes.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::Value;

use crate::error::CommandError;
use crate::order::OrderRequest;

const STATUS_PATH: &str = "/v1/fleet/status";

/// A node answers within a second; the rest is for the network.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which an order that no leader has accepted is sent again, under the same id: long enough for
/// elections, which take a second or two.
const ORDER_RETRY_TIME: Duration = Duration::from_secs(10);

const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(200);

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const SERVICE_UNAVAILABLE: u16 = 503;

/// The response to a request.
struct Response {
    code: u16,
    /// The JSON body, or null if the body is not JSON.
    body: Value,
}

impl Response {
    /// The node's reason for refusing the request.
    fn reason(&self) -> String {
        #[derive(Default, Deserialize)]
        struct Refusal {
            why: Option<String>,
            error: Option<String>,
        }
        let refusal = Refusal::deserialize(&self.body).unwrap_or_default();
        refusal.why.or(refusal.error).unwrap_or_else(|| format!("refused: {}", self.body))
    }
}

/// A node's status, or why there is none.
pub(crate) struct NodeStatus {
    /// The node's admin interface.
    pub address: SocketAddr,
    /// The status as received, or why there is none.
    pub status: Result<Value, String>,
}

/// Sends requests to the admin interfaces of nodes.
pub(crate) struct AdminClient<'a> {
    addresses: &'a [SocketAddr],
}

impl AdminClient<'_> {
    /// A client for the nodes whose admin interfaces are at these addresses.
    pub(crate) fn new(addresses: &[SocketAddr]) -> AdminClient<'_> {
        AdminClient { addresses }
    }

    /// The status of the first node that answers.
    pub(crate) fn status(&self) -> Result<Value, CommandError> {
        let response = self.request("GET", STATUS_PATH, "")?;
        if response.code != OK {
            return Err(CommandError::Refused(response.reason()));
        }
        Ok(response.body)
    }

    /// The status of each node.
    pub(crate) fn each_status(&self) -> Vec<NodeStatus> {
        let ask = |address: &SocketAddr| {
            let status = match request(*address, "GET", STATUS_PATH, "") {
                Ok(response) if response.code == OK => Ok(response.body),
                Ok(response) => Err(response.reason()),
                Err(error) => Err(error.to_string()),
            };
            NodeStatus { address: *address, status }
        };
        self.addresses.iter().map(ask).collect()
    }

    /// Sends an order, again on status 503 for up to [`ORDER_RETRY_TIME`], until a leader accepts or refuses
    /// it, and returns the reply.
    pub(crate) fn order(&self, order: &OrderRequest) -> Result<Value, CommandError> {
        let body = order.to_json()?;
        let retry_until = Instant::now() + ORDER_RETRY_TIME;
        loop {
            let response = self.request("POST", order.path(), &body)?;
            match response.code {
                OK => return Ok(response.body),
                SERVICE_UNAVAILABLE if Instant::now() < retry_until => {
                    std::thread::sleep(ORDER_RETRY_INTERVAL);
                }
                SERVICE_UNAVAILABLE => {
                    let reason = format!(
                        "{} (to send the same order again, add --id {})",
                        response.reason(),
                        order.id()
                    );
                    return Err(CommandError::Unanswered(reason));
                }
                BAD_REQUEST => return Err(CommandError::Invalid(response.reason())),
                _ => return Err(CommandError::Refused(response.reason())),
            }
        }
    }

    /// The response of the first node that answers.
    fn request(&self, method: &str, path: &str, body: &str) -> Result<Response, CommandError> {
        let mut last_error = String::new();
        for address in self.addresses {
            match request(*address, method, path, body) {
                Ok(response) => return Ok(response),
                Err(error) => last_error = format!("no response from {address}: {error}"),
            }
        }
        Err(CommandError::Unanswered(last_error))
    }
}

fn request(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, REPLY_TIMEOUT)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n{body}")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let code = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let code =
        code.ok_or_else(|| io::Error::other("the response is not HTTP; expected a node's admin interface"))?;
    Ok(Response { code, body: serde_json::from_str(body).unwrap_or(Value::Null) })
}
