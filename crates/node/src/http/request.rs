//! Requests to the admin interface, parsed strictly by RFC 9112, except that Host is not required.

use super::{HEAD_END, find};

/// Maximum length of a request's head in bytes; expected ones have a few hundred.
const MAX_HEAD: usize = 8 << 10;

/// Maximum length of a request's body in bytes; release plans are the longest.
const MAX_BODY: usize = 64 << 10;

/// The method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// POST.
    Post,
    /// Any other method, which no path allows.
    Other,
}

/// A whole request.
#[derive(Debug, PartialEq)]
pub(crate) struct Request {
    /// Its method.
    pub method: Method,
    /// Its target as it was sent.
    pub path: String,
    /// Its body, if any.
    pub body: Vec<u8>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Refusal {
    /// The head is not valid HTTP.
    #[error("the head cannot be read")]
    Head,
    /// The HTTP version is not supported.
    #[error("only HTTP/1.1 and HTTP/1.0 are spoken")]
    Version,
    /// The head is too long.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body is too long.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body has a transfer coding.
    #[error("bodies are taken by Content-Length only")]
    Coding,
}

/// A head, and the length of the body that follows it.
struct Head {
    method: Method,
    path: String,
    body_length: usize,
}

/// A request whose head has been received.
struct PartialRequest {
    request: Request,
    /// Bytes of the body that are still to come.
    missing: usize,
}

/// Reads a request that arrives in pieces; in linear time, however the request is split.
#[derive(Default)]
pub(crate) struct RequestReader {
    /// Number of bytes already searched for the end of the head.
    searched: usize,
    partial: Option<PartialRequest>,
}

impl RequestReader {
    /// Takes received bytes out of `inbox`, and returns the request once it is complete.
    ///
    /// # Errors
    ///
    /// Fails as soon as it is known that the request is refused.
    pub(crate) fn read(&mut self, inbox: &mut Vec<u8>) -> Result<Option<Request>, Refusal> {
        if self.partial.is_none() {
            let Some(end) = self.find_head_end(inbox)? else { return Ok(None) };
            let head = Head::parse(&inbox[..end])?;
            let request = Request { method: head.method, path: head.path, body: Vec::new() };
            self.partial = Some(PartialRequest { request, missing: head.body_length });
            inbox.drain(..end + HEAD_END.len());
        }
        let Some(partial) = &mut self.partial else { return Ok(None) };
        let length = inbox.len().min(partial.missing);
        partial.request.body.extend(inbox.drain(..length));
        partial.missing -= length;
        // A connection carries one request; bytes after it are not read.
        inbox.clear();
        let is_whole = partial.missing == 0;
        Ok(self.partial.take_if(|_| is_whole).map(|partial| partial.request))
    }

    fn find_head_end(&mut self, inbox: &[u8]) -> Result<Option<usize>, Refusal> {
        // The end of the head may be split across two pieces.
        let start = self.searched.saturating_sub(HEAD_END.len() - 1);
        let end = find(&inbox[start..], HEAD_END).map(|offset| start + offset);
        self.searched = inbox.len();
        if end.unwrap_or(inbox.len()) > MAX_HEAD {
            return Err(Refusal::HeadTooLarge);
        }
        Ok(end)
    }
}

impl Head {
    /// Reads a head without its empty line.
    fn parse(head: &[u8]) -> Result<Head, Refusal> {
        let text = std::str::from_utf8(head).map_err(|_| Refusal::Head)?;
        let mut lines = text.split("\r\n");
        let (method, path) = parse_request_line(lines.next().unwrap_or_default())?;
        let mut length = None;
        for line in lines {
            let (name, value) = parse_field(line)?;
            if name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(Refusal::Coding);
            }
            if name.eq_ignore_ascii_case("content-length") {
                let value = parse_length(value)?;
                // Two different lengths allow request smuggling: another reader may use the other length.
                if length.is_some_and(|length| length != value) {
                    return Err(Refusal::Head);
                }
                length = Some(value);
            }
        }
        let body_length = length.unwrap_or(0);
        if body_length > MAX_BODY {
            return Err(Refusal::BodyTooLarge);
        }
        Ok(Head { method, path, body_length })
    }
}

fn parse_request_line(line: &str) -> Result<(Method, String), Refusal> {
    if !is_clean(line) {
        return Err(Refusal::Head);
    }
    let words: Vec<&str> = line.split(' ').collect();
    let [method, path, version] = words[..] else { return Err(Refusal::Head) };
    let is_path = path.starts_with('/') || path == "*";
    if !is_token(method) || !is_path || !version.starts_with("HTTP/") {
        return Err(Refusal::Head);
    }
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(Refusal::Version);
    }
    let method = match method {
        "GET" => Method::Get,
        "HEAD" => Method::Head,
        "POST" => Method::Post,
        _ => Method::Other,
    };
    Ok((method, path.to_owned()))
}

fn parse_field(line: &str) -> Result<(&str, &str), Refusal> {
    let (name, value) = line.split_once(':').ok_or(Refusal::Head)?;
    if !is_clean(line) || !is_token(name) {
        return Err(Refusal::Head);
    }
    Ok((name, value))
}

/// Parses a length of decimal digits only; the standard parser would accept a sign.
fn parse_length(value: &str) -> Result<usize, Refusal> {
    let digits = value.trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Refusal::Head);
    }
    digits.parse().map_err(|_| Refusal::BodyTooLarge)
}

/// Whether a line has no control characters: a lone CR or LF ends a line for some readers and not for others.
fn is_clean(line: &str) -> bool {
    line.bytes().all(|byte| byte == b'\t' || (b' '..0x7f).contains(&byte) || byte > 0x7f)
}

/// Whether the text is a token of RFC 9110, section 5.6.2.
fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte))
}
