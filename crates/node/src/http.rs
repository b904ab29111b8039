//! HTTP/1.1 as far as a client of the host list needs it, one request at a time and whole answers; and as far
//! as the operators' door does, one call to a connection.

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum HttpFault {
    #[error("the head of the answer is no HTTP/1.1")]
    Head,
    #[error("the answer's length or a chunk of it cannot be read")]
    Length,
    #[error("the answer is larger than {0} bytes")]
    TooLong(usize),
    #[error("the connection ended inside the answer")]
    Ended,
}

#[derive(Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    /// How many bytes of the input it took.
    pub taken: usize,
    pub keeps_open: bool,
}

/// A line of the list is some 150 bytes; this is room for tens of thousands of hosts.
pub const LONGEST: usize = 8 << 20;
const LONGEST_HEAD: usize = 16 << 10;

pub fn encode_get(path: &str, authority: &str, out: &mut Vec<u8>) {
    for part in ["GET ", path, " HTTP/1.1\r\nHost: ", authority, "\r\nAccept: application/json\r\n\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// The answer at the start of `bytes`, once all of it has come; `ended`: nothing more will.
pub fn reply(bytes: &[u8], ended: bool) -> Result<Option<Reply>, HttpFault> {
    let Some(head_end) = find(bytes, b"\r\n\r\n") else {
        return match (bytes.len() > LONGEST_HEAD, ended) {
            (true, _) => Err(HttpFault::Head),
            (_, true) => Err(HttpFault::Ended),
            _ => Ok(None),
        };
    };
    let head = std::str::from_utf8(&bytes[..head_end]).map_err(|_| HttpFault::Head)?;
    let mut lines = head.split("\r\n");
    let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).ok_or(HttpFault::Head)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(HttpFault::Head)?;
    let (mut length, mut chunked, mut keeps_open) = (None, false, first.starts_with('1'));
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse::<usize>().map_err(|_| HttpFault::Length)?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if name.eq_ignore_ascii_case("connection") {
            keeps_open &= !value.eq_ignore_ascii_case("close");
        }
    }
    if status == 204 || status == 304 {
        length = Some(0);
    }
    let body_at = head_end + 4;
    if bytes.len() > LONGEST || length.is_some_and(|length| length > LONGEST) {
        return Err(HttpFault::TooLong(LONGEST));
    }
    let rest = &bytes[body_at..];
    let whole = if chunked {
        unchunk(rest)?
    } else if let Some(length) = length {
        rest.get(..length).map(|body| (body.to_vec(), length))
    } else {
        keeps_open = false;
        ended.then(|| (rest.to_vec(), rest.len()))
    };
    match whole {
        Some((body, length)) => Ok(Some(Reply { status, body, taken: body_at + length, keeps_open })),
        None if ended => Err(HttpFault::Ended),
        None => Ok(None),
    }
}

/// The body and how many bytes its chunks took, once the last one has come.
fn unchunk(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, HttpFault> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some(end) = find(&bytes[at..], b"\r\n") else { return Ok(None) };
        let size = std::str::from_utf8(&bytes[at..at + end]).map_err(|_| HttpFault::Length)?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| HttpFault::Length)?;
        at += end + 2;
        if size > LONGEST {
            return Err(HttpFault::TooLong(LONGEST));
        }
        if size == 0 {
            // Trailers, if any, end with an empty line.
            while let Some(end) = find(&bytes[at..], b"\r\n") {
                at += end + 2;
                if end == 0 {
                    return Ok(Some((body, at)));
                }
            }
            return Ok(None);
        }
        let Some(chunk) = bytes.get(at..at + size + 2) else { return Ok(None) };
        let chunk = chunk.strip_suffix(b"\r\n").ok_or(HttpFault::Length)?;
        body.extend_from_slice(chunk);
        at += size + 2;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Get,
    Head,
    Post,
    Other,
}

#[derive(Debug, PartialEq)]
pub struct Request {
    pub method: Method,
    pub path: String,
}

/// Why a call cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("the head cannot be read")]
    Head,
    #[error("only HTTP/1.1 and HTTP/1.0 are spoken")]
    Version,
    #[error("the head is too large")]
    HeadTooLarge,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("bodies are taken by Content-Length only")]
    Coding,
}

/// A caller's head and body; ours are of a few hundred bytes, or none.
const CALL_HEAD: usize = 8 << 10;
const CALL_BODY: usize = 64 << 10;

/// A call on its way in: what came is looked at once, however it was cut.
#[derive(Default)]
pub struct Incoming {
    looked: usize,
    /// The head, once it is whole, and how much of the body is still to come.
    head: Option<(Request, usize)>,
}

impl Incoming {
    /// Takes what has come out of `inbox`, and hands out the call once it is whole.
    pub fn read(&mut self, inbox: &mut Vec<u8>) -> Result<Option<Request>, Refusal> {
        if self.head.is_none() {
            // An end of line may have come in two pieces.
            let from = self.looked.saturating_sub(3);
            let Some(end) = find(&inbox[from..], b"\r\n\r\n").map(|at| from + at) else {
                self.looked = inbox.len();
                return if inbox.len() > CALL_HEAD { Err(Refusal::HeadTooLarge) } else { Ok(None) };
            };
            if end > CALL_HEAD {
                return Err(Refusal::HeadTooLarge);
            }
            self.head = Some(request(&inbox[..end])?);
            inbox.drain(..end + 4);
        }
        let Some((_, left)) = &mut self.head else { return Ok(None) };
        // The body says nothing to us.
        *left -= inbox.len().min(*left);
        inbox.clear();
        let whole = *left == 0;
        Ok(self.head.take_if(|_| whole).map(|(request, _)| request))
    }
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte))
}

/// A call's head without its empty line, and how long its body is.
fn request(head: &[u8]) -> Result<(Request, usize), Refusal> {
    let text = std::str::from_utf8(head).map_err(|_| Refusal::Head)?;
    // Danger: a lone CR or LF ends a line for some and not for others.
    let clean =
        |line: &&str| line.bytes().all(|byte| byte == b'\t' || (b' '..0x7f).contains(&byte) || byte > 0x7f);
    let mut lines = text.split("\r\n");
    let first = lines.next().filter(clean).ok_or(Refusal::Head)?;
    let mut words = first.split(' ');
    let (Some(method), Some(path), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(Refusal::Head);
    };
    if !is_token(method) || !path.starts_with('/') && path != "*" || !version.starts_with("HTTP/") {
        return Err(Refusal::Head);
    }
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(Refusal::Version);
    }
    let mut length = None;
    for line in lines {
        let (name, value) =
            Some(line).filter(clean).and_then(|line| line.split_once(':')).ok_or(Refusal::Head)?;
        if !is_token(name) {
            return Err(Refusal::Head);
        }
        if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Refusal::Coding);
        }
        if name.eq_ignore_ascii_case("content-length") {
            let value = value.trim();
            // Danger: two lengths that differ are two messages, and the usual parser takes a sign.
            if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(Refusal::Head);
            }
            let value = value.parse::<usize>().map_err(|_| Refusal::BodyTooLarge)?;
            if length.is_some_and(|length| length != value) {
                return Err(Refusal::Head);
            }
            length = Some(value);
        }
    }
    if length.is_some_and(|length| length > CALL_BODY) {
        return Err(Refusal::BodyTooLarge);
    }
    let method = match method {
        "GET" => Method::Get,
        "HEAD" => Method::Head,
        "POST" => Method::Post,
        _ => Method::Other,
    };
    Ok((Request { method, path: path.to_owned() }, length.unwrap_or(0)))
}

#[cfg(test)]
mod tests {
    use super::{Incoming, Method, Refusal, Request};
    use test_case::test_case;

    /// Cut in two anywhere, and byte by byte, a call reads the same, and never before its last byte.
    #[test_case("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", Ok(Method::Get); "a question")]
    #[test_case("HEAD /v1/readyz HTTP/1.0\r\n\r\n", Ok(Method::Head); "a question without headers")]
    #[test_case("POST / HTTP/1.1\r\ncontent-length: 3\r\nA:\tb\r\n\r\nx\r\n", Ok(Method::Post); "a body")]
    #[test_case("DELETE /a?b HTTP/1.1\r\n\r\n", Ok(Method::Other); "another method")]
    #[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Err(Refusal::Coding); "chunks")]
    #[test_case("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", Err(Refusal::Head); "two lengths")]
    #[test_case("GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", Err(Refusal::Head); "a signed length")]
    #[test_case("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", Err(Refusal::BodyTooLarge); "a huge length")]
    #[test_case("GET / HTTP/1.1\r\nA : b\r\n\r\n", Err(Refusal::Head); "a space before the colon")]
    #[test_case("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", Err(Refusal::Head); "a folded line")]
    #[test_case("GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", Err(Refusal::Head); "a lone LF")]
    #[test_case("GET /a b HTTP/1.1\r\n\r\n", Err(Refusal::Head); "four words")]
    #[test_case("GET / HTTP/2.0\r\n\r\n", Err(Refusal::Version); "another version")]
    #[test_case("PING\r\n\r\n", Err(Refusal::Head); "a line for clients")]
    fn calls(text: &str, want: Result<Method, Refusal>) {
        for cut in 0..text.len() {
            let (mut incoming, mut inbox) = (Incoming::default(), text.as_bytes()[..cut].to_vec());
            let first = incoming.read(&mut inbox);
            if want.is_ok() {
                assert_eq!(first, Ok(None), "cut at {cut}");
            }
            inbox.extend_from_slice(&text.as_bytes()[cut..]);
            let said = first.and_then(|_| incoming.read(&mut inbox));
            assert_eq!(
                said.map(|request| request.map(|request| request.method)),
                want.map(Some),
                "cut at {cut}"
            );
        }
        let (mut incoming, mut inbox, mut said) = (Incoming::default(), Vec::new(), Ok(None));
        for byte in text.bytes() {
            if said == Ok(None) {
                inbox.push(byte);
                said = incoming.read(&mut inbox);
            }
        }
        assert_eq!(said.map(|request| request.map(|Request { method, .. }| method)), want.map(Some));
    }

    #[test]
    fn a_head_without_end_is_refused_in_bounded_memory() {
        let (mut incoming, mut inbox) = (Incoming::default(), Vec::new());
        let mut line = |text: &[u8]| {
            inbox.extend_from_slice(text);
            assert!(inbox.len() < 10_000);
            incoming.read(&mut inbox)
        };
        assert_eq!(line(b"GET / HTTP/1.1\r\n"), Ok(None));
        let refused = (0..1000).find_map(|_| line(b"A: 0123456789\r\n").err());
        assert_eq!(refused, Some(Refusal::HeadTooLarge));
    }

    /// Every split of an answer gives the same: nothing before its last byte, and no byte of the next.
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"; "by length")]
    #[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n",
        200, "hello"; "in chunks, with a trailer")]
    #[test_case("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, ""; "a refusal")]
    fn answers(text: &str, status: u16, body: &str) {
        for end in 0..text.len() {
            assert_eq!(super::reply(&text.as_bytes()[..end], false), Ok(None));
            assert!(super::reply(&text.as_bytes()[..end], true).is_err());
        }
        let more = format!("{text}HTTP/1.1");
        let reply = super::reply(more.as_bytes(), false).unwrap().unwrap();
        assert_eq!((reply.status, reply.body.as_slice(), reply.taken), (status, body.as_bytes(), text.len()));
    }

    #[test_case("SSH-2.0\r\n\r\n"; "another protocol")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"; "a length that is none")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"; "more than is taken")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"; "a chunk that is none")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc"; "a chunk that is longer")]
    fn garbage(text: &str) {
        assert!(super::reply(text.as_bytes(), false).is_err());
    }
}
