use super::request::{Method, Refusal, Request, RequestReader};
use super::response::ResponseReader;
use test_case::test_case;

/// Split in two anywhere, or byte by byte, a request reads the same, and never before its last byte.
#[test_case("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", Ok(Method::Get); "GET request")]
#[test_case("HEAD /v1/readyz HTTP/1.0\r\n\r\n", Ok(Method::Head); "HEAD request without headers")]
#[test_case("POST / HTTP/1.1\r\ncontent-length: 3\r\nA:\tb\r\n\r\nx\r\n", Ok(Method::Post); "a body")]
#[test_case("DELETE /a?b HTTP/1.1\r\n\r\n", Ok(Method::Other); "another method")]
#[test_case("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Err(Refusal::Coding); "chunked body")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", Err(Refusal::Head); "two lengths")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", Err(Refusal::Head); "a signed length")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", Err(Refusal::BodyTooLarge); "a huge length")]
#[test_case("GET / HTTP/1.1\r\nA : b\r\n\r\n", Err(Refusal::Head); "a space before the colon")]
#[test_case("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", Err(Refusal::Head); "a folded line")]
#[test_case("GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", Err(Refusal::Head); "a lone LF")]
#[test_case("GET /a b HTTP/1.1\r\n\r\n", Err(Refusal::Head); "four words in the request line")]
#[test_case("GET / HTTP/2.0\r\n\r\n", Err(Refusal::Version); "another version")]
#[test_case("PING\r\n\r\n", Err(Refusal::Head); "line of the client protocol")]
fn requests_read_the_same_however_split(text: &str, expected: Result<Method, Refusal>) {
    for cut in 0..text.len() {
        let (mut reader, mut inbox) = (RequestReader::default(), text.as_bytes()[..cut].to_vec());
        let first = reader.read(&mut inbox);
        if expected.is_ok() {
            assert_eq!(first, Ok(None), "cut at {cut}");
        }
        inbox.extend_from_slice(&text.as_bytes()[cut..]);
        let result = first.and_then(|_| reader.read(&mut inbox));
        assert_eq!(
            result.map(|request| request.map(|request| request.method)),
            expected.map(Some),
            "cut at {cut}"
        );
    }
    let (mut reader, mut inbox, mut result) = (RequestReader::default(), Vec::new(), Ok(None));
    for byte in text.bytes() {
        if result == Ok(None) {
            inbox.push(byte);
            result = reader.read(&mut inbox);
        }
    }
    assert_eq!(result.map(|request| request.map(|Request { method, .. }| method)), expected.map(Some));
}

#[test]
fn endless_head_is_refused_in_bounded_memory() {
    let (mut reader, mut inbox) = (RequestReader::default(), Vec::new());
    let mut line = |text: &[u8]| {
        inbox.extend_from_slice(text);
        assert!(inbox.len() < 10_000);
        reader.read(&mut inbox)
    };
    assert_eq!(line(b"GET / HTTP/1.1\r\n"), Ok(None));
    let refused = (0..1000).find_map(|_| line(b"A: 0123456789\r\n").err());
    assert_eq!(refused, Some(Refusal::HeadTooLarge));
}

/// Split in two anywhere, or byte by byte, a response reads the same: nothing before its last byte, and no
/// byte of the next.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"; "Content-Length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n",
    200, "hello"; "chunked with a trailer")]
#[test_case("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 503, ""; "error status with an empty body")]
fn responses_read_the_same_however_split(text: &str, status: u16, body: &str) {
    for cut in 0..text.len() {
        let (mut reader, mut inbox) = (ResponseReader::default(), text.as_bytes()[..cut].to_vec());
        assert_eq!(reader.read(&mut inbox, false), Ok(None));
        inbox.extend_from_slice(&text.as_bytes()[cut..]);
        inbox.extend_from_slice(b"HTTP/1.1");
        let reply = reader.read(&mut inbox, false).unwrap().unwrap();
        assert_eq!((reply.status, reply.body.as_slice()), (status, body.as_bytes()));
        assert_eq!(inbox, b"HTTP/1.1");
        assert!(ResponseReader::default().read(&mut text.as_bytes()[..cut].to_vec(), true).is_err());
    }
    let (mut reader, mut inbox) = (ResponseReader::default(), Vec::new());
    let replies = text.bytes().filter_map(|byte| {
        inbox.push(byte);
        reader.read(&mut inbox, false).unwrap()
    });
    assert_eq!(replies.count(), 1);
}

#[test]
fn response_without_length_ends_with_its_connection() {
    let (mut reader, mut inbox) = (ResponseReader::default(), b"HTTP/1.1 200 OK\r\n\r\nhel".to_vec());
    assert_eq!(reader.read(&mut inbox, false), Ok(None));
    let reply = reader.read(&mut b"lo".to_vec(), true).unwrap().unwrap();
    assert_eq!((reply.body.as_slice(), reply.keeps_open), (b"hello".as_slice(), false));
}

/// Reading a list of thousands of hosts in pieces of a few bytes takes milliseconds: linear time, not
/// quadratic time.
#[test]
fn response_in_many_pieces_takes_linear_time() {
    let body = "x".repeat(1 << 20);
    let text =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", 1 << 20);
    let (mut reader, mut inbox, mut whole) = (ResponseReader::default(), Vec::new(), None);
    let began = std::time::Instant::now();
    for piece in text.as_bytes().chunks(7) {
        inbox.extend_from_slice(piece);
        whole = reader.read(&mut inbox, false).unwrap();
    }
    assert_eq!(whole.map(|reply| reply.body.len()), Some(1 << 20));
    assert!(began.elapsed() < std::time::Duration::from_secs(5), "took {:?}", began.elapsed());
}

#[test_case("SSH-2.0\r\n\r\n"; "another protocol")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"; "length is not a number")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"; "body too long")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"; "invalid chunk size")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc"; "chunk longer than its size")]
fn invalid_responses_are_refused(text: &str) {
    assert!(ResponseReader::default().read(&mut text.as_bytes().to_vec(), false).is_err());
}
