//! Translates actions of the admission controller into reply lines.

use pinepoint::admission::Action;
use serde::Serialize;

use crate::error::WireError;

/// One line of a reply. Variants and fields have the names of the line protocol.
#[derive(Serialize)]
#[serde(tag = "t")]
#[serde(rename_all_fields = "camelCase")]
pub(crate) enum ReplyLine<'a> {
    Admit { server: u64, txn: u32 },
    TurnAway { server: u64, txn: u32, pause_ms: f64, dont_retry: bool },
    Error { server: u64, txn: u32 },
    Preempt { server: u64, txn: u32 },
    GoCall { server: u64, txn: u32, patience_ms: f64 },
    DoWithout { server: u64, txn: u32 },
    StoreKey { server: u64, txn: u32, for_time_ms: f64 },
    ReleaseKey { server: u64, txn: u32 },
    Echo { server: u64, txn: u32 },
    ReportHealth { server: u64, enable: bool, light: bool },
    Stamp { server: u64, value: f64 },
    CloseIdle { server: u64, for_time_ms: f64 },
    After { server: u64, offset_ms: f64, handle: String },
    JournalLine { server: u64, msg: &'a str },
    Yield { batch: u64 },
}

impl<'a> ReplyLine<'a> {
    /// The line that requests an action of this server from the simulator.
    pub(crate) fn of(server: u64, action: &'a Action) -> Self {
        match *action {
            Action::StartRun { id } => ReplyLine::Admit { server, txn: id },
            Action::Reject { id, retry_after_ms, no_retry, .. } => {
                ReplyLine::TurnAway { server, txn: id, pause_ms: retry_after_ms, dont_retry: no_retry }
            }
            Action::Fail { id, .. } => ReplyLine::Error { server, txn: id },
            Action::CancelRun { id } => ReplyLine::Preempt { server, txn: id },
            Action::StartCall { id, call_timeout_ms } => {
                ReplyLine::GoCall { server, txn: id, patience_ms: call_timeout_ms }
            }
            Action::SkipCall { id } => ReplyLine::DoWithout { server, txn: id },
            Action::RetainKey { id, ttl_ms } => ReplyLine::StoreKey { server, txn: id, for_time_ms: ttl_ms },
            Action::ReleaseKey { id } => ReplyLine::ReleaseKey { server, txn: id },
            Action::ReuseResult { id } => ReplyLine::Echo { server, txn: id },
            Action::SetHealth { healthy, from_store } => {
                ReplyLine::ReportHealth { server, enable: healthy, light: from_store }
            }
            Action::ReportLoad { value } => ReplyLine::Stamp { server, value },
            Action::CloseIdleConnections { after_ms } => {
                ReplyLine::CloseIdle { server, for_time_ms: after_ms }
            }
            Action::SetTimer { after_ms, token } => {
                ReplyLine::After { server, offset_ms: after_ms, handle: token.to_string() }
            }
            Action::Log { ref text } => ReplyLine::JournalLine { server, msg: text },
        }
    }

    /// Appends the line to a reply.
    pub(crate) fn write_to(&self, reply: &mut Vec<u8>) -> Result<(), WireError> {
        serde_json::to_writer(&mut *reply, self).map_err(WireError::Reply)?;
        reply.push(b'\n');
        Ok(())
    }
}
