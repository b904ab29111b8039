//! HTTP/1.1 as far as a client of the host list needs it, one request at a time and whole answers; and as far
//! as the operators' door does, one call to a connection.

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum HttpError {
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

struct AnswerHead {
    status: u16,
    length: Option<usize>,
    chunked: bool,
    keeps_open: bool,
}

/// Where in a body that comes in chunks the next byte stands.
#[derive(Default)]
enum Chunk {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// An answer on its way in. Danger: a list comes in hundreds of pieces; looked through from its start with each,
/// it takes a core that calls need. What came is looked at once, however it was cut.
#[derive(Default)]
pub struct Arriving {
    looked: usize,
    head: Option<AnswerHead>,
    chunk: Chunk,
    body: Vec<u8>,
}

impl Arriving {
    /// Takes what has come out of `inbox`, and hands out the answer once it is whole. `ended`: nothing more comes.
    pub fn read(&mut self, inbox: &mut Vec<u8>, ended: bool) -> Result<Option<Reply>, HttpError> {
        let missing = || if ended { Err(HttpError::Ended) } else { Ok(None) };
        if self.head.is_none() {
            let Some(end) = self.look_for(inbox, b"\r\n\r\n") else {
                return if inbox.len() > LONGEST_HEAD { Err(HttpError::Head) } else { missing() };
            };
            self.head = Some(answer_head(&inbox[..end])?);
            inbox.drain(..end + 4);
        }
        let Some(head) = &self.head else { return missing() };
        let whole = match (head.chunked, head.length) {
            (true, _) => self.read_chunks(inbox)?,
            (false, Some(length)) => {
                let more = inbox.len().min(length - self.body.len());
                self.body.extend(inbox.drain(..more));
                self.body.len() == length
            }
            (false, None) => {
                self.body.append(inbox);
                ended
            }
        };
        if self.body.len() > LONGEST {
            return Err(HttpError::TooLong(LONGEST));
        }
        match std::mem::take(self) {
            Arriving { head: Some(head), body, .. } if whole => {
                Ok(Some(Reply { status: head.status, body, keeps_open: head.keeps_open }))
            }
            unfinished => {
                *self = unfinished;
                missing()
            }
        }
    }

    /// Where these bytes stand; what was looked through before is not again.
    fn look_for(&mut self, inbox: &[u8], what: &[u8]) -> Option<usize> {
        let from = self.looked.saturating_sub(what.len() - 1);
        let found = find(&inbox[from..], what).map(|at| from + at);
        self.looked = if found.is_some() { 0 } else { inbox.len() };
        found
    }

    /// Whether the last chunk and its trailers have come.
    fn read_chunks(&mut self, inbox: &mut Vec<u8>) -> Result<bool, HttpError> {
        loop {
            match self.chunk {
                Chunk::Size | Chunk::Trailer => {
                    let Some(end) = self.look_for(inbox, b"\r\n") else {
                        return if inbox.len() > LONGEST_HEAD { Err(HttpError::Length) } else { Ok(false) };
                    };
                    let line: Vec<u8> = inbox.drain(..end + 2).collect();
                    match self.chunk {
                        // Trailers, if any, end with an empty line.
                        Chunk::Trailer if end == 0 => return Ok(true),
                        Chunk::Trailer => {}
                        _ => {
                            let text = std::str::from_utf8(&line).map_err(|_| HttpError::Length)?;
                            let size = text.split(';').next().unwrap_or_default().trim();
                            let size = usize::from_str_radix(size, 16).map_err(|_| HttpError::Length)?;
                            if size > LONGEST {
                                return Err(HttpError::TooLong(LONGEST));
                            }
                            self.chunk = if size == 0 { Chunk::Trailer } else { Chunk::Data(size) };
                        }
                    }
                }
                Chunk::Data(left) => {
                    let more = left.min(inbox.len());
                    self.body.extend(inbox.drain(..more));
                    self.chunk = if more == left { Chunk::DataEnd } else { Chunk::Data(left - more) };
                    if more < left {
                        return Ok(false);
                    }
                }
                Chunk::DataEnd => {
                    if !b"\r\n".starts_with(&inbox[..inbox.len().min(2)]) {
                        return Err(HttpError::Length);
                    }
                    if inbox.len() < 2 {
                        return Ok(false);
                    }
                    inbox.drain(..2);
                    self.chunk = Chunk::Size;
                }
            }
            if self.body.len() > LONGEST {
                return Err(HttpError::TooLong(LONGEST));
            }
        }
    }
}

fn answer_head(head: &[u8]) -> Result<AnswerHead, HttpError> {
    let head = std::str::from_utf8(head).map_err(|_| HttpError::Head)?;
    let mut lines = head.split("\r\n");
    let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).ok_or(HttpError::Head)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(HttpError::Head)?;
    let (mut length, mut chunked, mut keeps_open) = (None, false, first.starts_with('1'));
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse::<usize>().map_err(|_| HttpError::Length)?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if name.eq_ignore_ascii_case("connection") {
            keeps_open &= !value.eq_ignore_ascii_case("close");
        }
    }
    if status == 204 || status == 304 {
        (length, chunked) = (Some(0), false);
    }
    if length.is_some_and(|length| length > LONGEST) {
        return Err(HttpError::TooLong(LONGEST));
    }
    // Its end is the end of the connection.
    keeps_open &= chunked || length.is_some();
    Ok(AnswerHead { status, length, chunked, keeps_open })
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
    pub body: Vec<u8>,
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
        let Some((request, left)) = &mut self.head else { return Ok(None) };
        let more = inbox.len().min(*left);
        request.body.extend(inbox.drain(..more));
        *left -= more;
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
    Ok((Request { method, path: path.to_owned(), body: Vec::new() }, length.unwrap_or(0)))
}

#[cfg(test)]
mod tests;
