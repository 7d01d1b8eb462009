//! MessagePack-RPC as far as the scenarios need it: encodes requests from words, and decodes messages of the
//! program to text.

use std::io::Read;

use super::actor::{Input, read_array, read_text};
use super::{base_ms, now_ms};

/// Reads one message of the program as text.
pub(super) fn read_message(input: &mut Input) -> Option<String> {
    read_value(input)
}

/// Reads one MessagePack value as text: arrays in brackets, maps as `name=value`.
fn read_value(input: &mut impl Read) -> Option<String> {
    let [tag] = read_array::<1>(input)?;
    let read_items = |input: &mut _, n: u8| -> Option<String> {
        let items: Option<Vec<String>> = (0..n).map(|_| read_value(input)).collect();
        Some(items?.join(" "))
    };
    Some(match tag {
        0..=0x7f => tag.to_string(),
        0x80..=0x8f => {
            let pairs: Option<Vec<String>> = (0..tag & 15)
                .map(|_| Some(format!("{}={}", read_value(input)?, read_value(input)?)))
                .collect();
            pairs?.join(" ")
        }
        0x90..=0x9f => format!("[{}]", read_items(input, tag & 15)?),
        0xa0..=0xbf => read_text(input, usize::from(tag & 31))?,
        0xc0 => "nil".into(),
        0xc2 | 0xc3 => (tag == 0xc3).to_string(),
        0xc4 | 0xd9 => {
            let [n] = read_array(input)?;
            read_text(input, usize::from(n))?
        }
        0xc5 | 0xda => {
            let n = u16::from_be_bytes(read_array(input)?);
            read_text(input, usize::from(n))?
        }
        0xcc => u8::from_be_bytes(read_array(input)?).to_string(),
        0xcd => u16::from_be_bytes(read_array(input)?).to_string(),
        0xce => u32::from_be_bytes(read_array(input)?).to_string(),
        other => panic!("unexpected MessagePack type {other:#x} from the program"),
    })
}

fn write_string(out: &mut Vec<u8>, text: &str) {
    out.extend([0xd9, text.len() as u8]);
    out.extend(text.as_bytes());
}

/// Encodes `ID CLASS name=value ...|BODY` as a request, `ID ping` as a health check and `ID abort` as an
/// abort notice.
pub fn rpc_request(words: &str) -> Vec<u8> {
    let (head, body) = words.split_once('|').unwrap_or((words, ""));
    let mut words = head.split_whitespace();
    let id: u32 = words.next().and_then(|word| word.parse().ok()).expect("a numeric message id");
    let class = words.next().expect("a class");
    let message_id = [&[0xce], &id.to_be_bytes()[..]].concat();
    if class == "abort" {
        return abort_notice(&message_id);
    }
    let is_ping = class == "ping";
    let mut fields: Vec<(String, String)> =
        words.filter_map(|word| word.split_once('=')).map(|(name, value)| to_field(name, value)).collect();
    if !is_ping && !fields.iter().any(|(name, _)| name == "t0") {
        fields.push(("t0".into(), now_ms().to_string()));
    }
    let mut out = vec![0x94, 0];
    out.extend(message_id);
    write_string(&mut out, class);
    out.extend([if is_ping { 0x91 } else { 0x92 }, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        write_string(&mut out, &name);
        write_string(&mut out, &value);
    }
    if !is_ping {
        out.push(0xc5);
        out.extend((body.len() as u16).to_be_bytes());
        out.extend(body.as_bytes());
    }
    out
}

fn abort_notice(message_id: &[u8]) -> Vec<u8> {
    let mut out = vec![0x93, 2];
    write_string(&mut out, "abort");
    out.push(0x91);
    out.extend(message_id);
    out
}

/// Name and value of a request field: `rid` is padded; `t0` counts from now or, after a `b`, from
/// [`base_ms`].
fn to_field(name: &str, value: &str) -> (String, String) {
    let value = match name {
        "rid" => format!("{value:0>16}"),
        "t0" => match value.strip_prefix('b') {
            Some(after) => base_ms() as i64 + after.parse::<i64>().expect("an offset in ms"),
            None => now_ms() as i64 + value.parse::<i64>().expect("an offset in ms"),
        }
        .to_string(),
        _ => value.to_owned(),
    };
    (name.to_owned(), value)
}
