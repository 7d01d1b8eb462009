//! Encoding of messages to routers: MessagePack-RPC responses (type 1) and one notification (type 2).
//! Stateless.

use super::msgpack::{
    write_array_header, write_bin, write_bool, write_map_header, write_nil, write_str, write_uint,
};

/// MessagePack-RPC message types.
const RESPONSE: u64 = 1;
const NOTIFICATION: u64 = 2;

/// The optional fields of a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseFields {
    /// The load hint that is sent with every response; written with four decimals.
    pub hint: Option<f64>,
    /// How long the router should stay away, ms; written as whole ms, rounded up.
    pub retry_after_ms: Option<f64>,
    /// Whether the router should not try another server.
    pub is_final: bool,
}

impl ResponseFields {
    fn write(self, out: &mut Vec<u8>) {
        let fields = [
            ("hint", self.hint.map(|value| format!("{value:.4}"))),
            ("backoff", self.retry_after_ms.map(|ms| format!("{:.0}", ms.ceil()))),
            ("final", self.is_final.then(|| "1".to_owned())),
        ];
        let present = || fields.iter().filter_map(|(name, value)| Some((name, value.as_ref()?)));
        write_map_header(out, present().count() as u8);
        for (name, value) in present() {
            write_str(out, name);
            write_str(out, value);
        }
    }
}

/// Appends the response to a request that was served.
pub fn write_result(out: &mut Vec<u8>, id: u64, result: &[u8], fields: ResponseFields) {
    write_header(out, id);
    write_nil(out);
    write_array_header(out, 2);
    write_bin(out, result);
    fields.write(out);
}

/// Appends the response to a request that was not served, with the name of the error.
pub fn write_error(out: &mut Vec<u8>, id: u64, error: &str, fields: ResponseFields) {
    write_header(out, id);
    write_array_header(out, 2);
    write_str(out, error);
    fields.write(out);
    write_nil(out);
}

/// Appends the response to a health check.
pub fn write_pong(out: &mut Vec<u8>, id: u64, healthy: bool, fields: ResponseFields) {
    write_header(out, id);
    write_nil(out);
    write_array_header(out, 2);
    write_bool(out, healthy);
    fields.write(out);
}

/// Appends the notification that the router should send no new request on this connection.
pub fn write_go_away(out: &mut Vec<u8>) {
    write_array_header(out, 3);
    write_uint(out, NOTIFICATION);
    write_str(out, "goaway");
    write_array_header(out, 0);
}

/// Appends the part of a response before its error.
fn write_header(out: &mut Vec<u8>, id: u64) {
    write_array_header(out, 4);
    write_uint(out, RESPONSE);
    write_uint(out, id);
}
