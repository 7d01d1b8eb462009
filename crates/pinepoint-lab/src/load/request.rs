//! Draws the requests of a workload at random from its classes, and parses the answers.

use std::io;

use rand::RngExt;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

use super::RequestClass;
use crate::rpc::{self, NOTIFICATION, RESPONSE, RequestFields};

/// Minimum work of a request, ms.
const MIN_WORK_MS: f64 = 0.05;

/// Outcome of an answered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Served,
    Rejected,
    Failed,
}

/// A request of a workload.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: &'static str,
    pub(crate) work_ms: f64,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: String,
    pub(crate) attempt_id: u64,
}

/// Draws the request with this number: a class by its share, and work from a log-normal distribution with the
/// mean of the class.
pub(crate) fn draw_request(
    classes: &[RequestClass],
    work_sigma: f64,
    seed: u64,
    number: u64,
    rng: &mut Pcg64Mcg,
) -> io::Result<Request> {
    let class = draw_class(classes, rng)?;
    let mu = class.work_ms.ln() - work_sigma * work_sigma / 2.0;
    let work = LogNormal::new(mu, work_sigma).map_err(io::Error::other)?;
    let work_ms = work.sample(rng).max(MIN_WORK_MS);
    let idempotency_key = class.keyed.then(|| format!("k{seed}-{number}"));
    // The engine reads the first two numbers; the rest makes bodies distinguishable.
    let suffix = if class.keyed { " keyed" } else { "" };
    let body = format!("{work_ms:.3} {} n{number}{suffix}", u8::from(class.calls));
    Ok(Request { class: class.name, work_ms, idempotency_key, body, attempt_id: seed << 32 | number })
}

fn draw_class<'a>(classes: &'a [RequestClass], rng: &mut Pcg64Mcg) -> io::Result<&'a RequestClass> {
    let mut share = rng.random::<f64>() * classes.iter().map(|class| class.share).sum::<f64>();
    let class = classes.iter().find(|class| {
        share -= class.share;
        share <= 0.0
    });
    class.or(classes.last()).ok_or_else(|| io::Error::other("the workload has no request classes"))
}

impl Request {
    /// Encodes the message of one attempt. `message_id` is unique on the connection; `first_sent_ms` is Unix
    /// time.
    pub(crate) fn message(
        &self,
        message_id: u64,
        first_sent_ms: u128,
        is_retry: bool,
    ) -> io::Result<Vec<u8>> {
        let fields = RequestFields {
            attempt_id: self.attempt_id,
            first_sent_ms,
            estimate_ms: format!("{:.3}", self.work_ms),
            idempotency_key: self.idempotency_key.clone(),
            is_retry,
        };
        rpc::encode_request(message_id, self.class, fields, &self.body)
    }
}

/// A message received on a MessagePack-RPC connection.
pub(crate) enum Incoming {
    /// The answer to the request with this message id.
    Answer(u64, Outcome),
    /// The server is draining and accepts no more requests on this connection.
    GoAway,
}

/// Removes the first complete message from `input` and returns it, if there is one; skips messages of other
/// kinds.
pub(crate) fn take_incoming(input: &mut Vec<u8>) -> Option<Incoming> {
    loop {
        let message = rpc::take_message(input)?;
        match message.as_array().map(Vec::as_slice) {
            Some([kind, _, _]) if kind.as_u64() == Some(NOTIFICATION) => return Some(Incoming::GoAway),
            Some([kind, id, error, _]) if kind.as_u64() == Some(RESPONSE) => {
                let outcome = match error.as_array().and_then(|error| error.first()?.as_str()) {
                    None => Outcome::Served,
                    Some("Busy") => Outcome::Rejected,
                    Some(_) => Outcome::Failed,
                };
                return Some(Incoming::Answer(id.as_u64()?, outcome));
            }
            _ => {}
        }
    }
}
