//! Encoding of packets to a web server: responses, requests for a part of a body, and answers to health
//! checks. It keeps no state of a connection.

use super::packet::{MAX_PACKET_BYTES, PACKET_HEADER_BYTES, code, write_integer, write_packet, write_string};

/// Maximum number of body bytes in one packet: the packet header, the code and a length take the rest.
const MAX_BODY_CHUNK_BYTES: usize = MAX_PACKET_BYTES - PACKET_HEADER_BYTES - 3;
/// The only header name that is sent as a code.
const CONTENT_LENGTH: [u8; 2] = [0xa0, 0x03];

/// Whether the web server may send another request on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// The web server may send another request.
    Allowed,
    /// The web server may not send another request; the connection ends.
    Denied,
}

impl Reuse {
    /// `Allowed` if `allowed` is true, else `Denied`.
    pub fn allowed_if(allowed: bool) -> Self {
        if allowed { Reuse::Allowed } else { Reuse::Denied }
    }
}

/// A response.
pub struct Response<'a> {
    /// HTTP status.
    pub status: u16,
    /// Headers other than Content-Length.
    pub headers: &'a [(&'a str, String)],
    /// The body.
    pub body: &'a [u8],
    /// Whether the connection stays open for another request.
    pub reuse: Reuse,
}

/// Appends a response: its headers, its body in chunks and the end packet.
pub fn write_response(out: &mut Vec<u8>, response: &Response<'_>) {
    write_packet(out, |out| write_headers(out, response));
    for chunk in response.body.chunks(MAX_BODY_CHUNK_BYTES) {
        write_packet(out, |out| {
            out.push(code::SEND_BODY_CHUNK);
            write_integer(out, chunk.len() as u16);
            out.extend_from_slice(chunk);
        });
    }
    let reuse = u8::from(response.reuse == Reuse::Allowed);
    write_packet(out, |out| out.extend_from_slice(&[code::END_RESPONSE, reuse]));
}

/// Appends a request for the next part of a body, of at most `max_bytes` bytes.
pub fn write_get_body_chunk(out: &mut Vec<u8>, max_bytes: u16) {
    write_packet(out, |out| {
        out.push(code::GET_BODY_CHUNK);
        write_integer(out, max_bytes);
    });
}

/// Appends the answer to a health check.
pub fn write_cpong(out: &mut Vec<u8>) {
    write_packet(out, |out| out.push(code::CPONG));
}

fn write_headers(out: &mut Vec<u8>, response: &Response<'_>) {
    out.push(code::SEND_HEADERS);
    write_integer(out, response.status);
    write_string(out, reason_phrase(response.status));
    write_integer(out, response.headers.len() as u16 + 1);
    out.extend_from_slice(&CONTENT_LENGTH);
    write_string(out, &response.body.len().to_string());
    for (name, value) in response.headers {
        write_string(out, name);
        write_string(out, value);
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        413 => "Content Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
