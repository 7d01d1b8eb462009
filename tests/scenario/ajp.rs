//! AJP13 as far as the scenarios need it: encodes requests from words, and decodes packets of the program to
//! text.

use std::io::Read;

use super::actor::{Input, read_array, read_text};

fn read_string(input: &mut &[u8]) -> Option<String> {
    let n = usize::from(u16::from_be_bytes(read_array(input)?));
    let text = read_text(input, n)?;
    read_array::<1>(input)?;
    Some(text)
}

/// Reads one packet of the program as text: `status 200 Name=value ...`, `data ...`, `end 1`, `get N`,
/// `cpong`.
pub(super) fn read_packet(input: &mut Input) -> Option<String> {
    let [a, b, high, low] = read_array::<4>(input)?;
    assert_eq!([a, b], *b"AB", "magic bytes of a packet from the container");
    let length = u16::from_be_bytes([high, low]);
    assert!(length <= 8188, "packet length {length} exceeds 8188 bytes");
    let mut payload = vec![0; usize::from(length)];
    input.read_exact(&mut payload).ok()?;
    let (code, mut rest) = payload.split_first().expect("a packet code");
    Some(match code {
        3 => {
            let n = u16::from_be_bytes(read_array(&mut rest)?);
            assert_eq!(usize::from(n), rest.len());
            format!("data {}", String::from_utf8_lossy(rest))
        }
        4 => {
            let mut text = format!("status {}", u16::from_be_bytes(read_array(&mut rest)?));
            read_string(&mut rest)?;
            for _ in 0..u16::from_be_bytes(read_array(&mut rest)?) {
                let name = if rest.starts_with(&[0xa0, 3]) {
                    rest = &rest[2..];
                    "Content-Length".to_owned()
                } else {
                    read_string(&mut rest)?
                };
                text += &format!(" {name}={}", read_string(&mut rest)?);
            }
            assert!(rest.is_empty(), "unexpected bytes after the headers");
            text
        }
        5 => format!("end {}", rest[0]),
        6 => format!("get {}", u16::from_be_bytes(read_array(&mut rest)?)),
        9 => "cpong".into(),
        other => panic!("unexpected packet code {other} from the program"),
    })
}

fn encode_packet(payload: &[u8]) -> Vec<u8> {
    [&[0x12, 0x34], &(payload.len() as u16).to_be_bytes()[..], payload].concat()
}

/// Encodes a body packet; an empty packet ends the body.
pub fn ajp_body(body: &str) -> Vec<u8> {
    let data = [&(body.len() as u16).to_be_bytes()[..], body.as_bytes()].concat();
    encode_packet(if body.is_empty() { &[] } else { &data })
}

/// Encodes `PATH name=value ...|BODY` as a Forward Request; `ping`, `shutdown` and `data|BODY` as packets of
/// these types.
pub fn ajp_request(words: &str) -> Vec<u8> {
    let (head, body) = words.split_once('|').unwrap_or((words, ""));
    let mut words = head.split_whitespace();
    match words.next().expect("a path") {
        "ping" => encode_packet(&[10]),
        "shutdown" => encode_packet(&[7]),
        "data" => ajp_body(body),
        path => forward_request(path, words.filter_map(|word| word.split_once('=')), body),
    }
}

fn forward_request<'a>(path: &str, fields: impl Iterator<Item = (&'a str, &'a str)>, body: &str) -> Vec<u8> {
    let length = body.len().to_string();
    let mut headers: Vec<(&str, &str)> = fields.collect();
    let mut option = |name: &str| {
        let at = headers.iter().position(|(header, _)| *header == name)?;
        Some(headers.remove(at).1)
    };
    let (body_follows_later, secret, method) = (option("body").is_some(), option("secret"), option("method"));
    let without_body = body_follows_later || headers.iter().any(|(name, _)| *name == "transfer-encoding");
    if !without_body {
        headers.push(("content-length", &length));
    }
    let mut out = vec![2, method.map_or(4, |code| code.parse().expect("a numeric method code"))];
    for word in ["HTTP/1.1", path, "127.0.0.1", "", "portal"] {
        out.extend(encode_string(word));
    }
    out.extend([0x1f, 0x90, 0]);
    out.extend((headers.len() as u16).to_be_bytes());
    for (name, value) in headers {
        out.extend(if name == "content-length" { vec![0xa0, 8] } else { encode_string(name) });
        out.extend(encode_string(value));
    }
    out.push(0x05);
    out.extend(encode_string("a=b"));
    if let Some(secret) = secret {
        out.push(0x0c);
        out.extend(encode_string(secret));
    }
    out.push(0xff);
    let mut bytes = encode_packet(&out);
    if !without_body && !body.is_empty() {
        bytes.extend(ajp_body(body));
    }
    bytes
}

/// Encodes a string for AJP: its length, its bytes and a terminating zero.
fn encode_string(text: &str) -> Vec<u8> {
    [&(text.len() as u16).to_be_bytes()[..], text.as_bytes(), &[0]].concat()
}
