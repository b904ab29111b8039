//! The parts of HTTP/1.1 that the node needs: [`response`] for the client of the endpoint list, with one
//! request at a time and whole responses; [`request`] for the admin interface, one request per connection.

pub(crate) mod request;
pub(crate) mod response;
#[cfg(test)]
mod tests;

/// The empty line that ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Where `pattern` begins in `bytes`.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
