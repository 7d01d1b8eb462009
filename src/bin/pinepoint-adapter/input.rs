//! Translates messages of the simulator into events of the admission controller.

use std::collections::BTreeMap;

use pinepoint::admission::{AdmissionController, Event, Outcome, Request};
use pinepoint::config::site::Site;
use serde_json::Value;

use crate::error::WireError;
use crate::fields::Message;

/// A simulated server.
pub(crate) struct Server {
    pub(crate) controller: AdmissionController,
    class_names: BTreeMap<String, usize>,
    tenant_names: BTreeMap<String, usize>,
}

impl Server {
    /// Creates the server that an `Enlist` message describes.
    pub(crate) fn enlist(message: &Message) -> Result<Self, WireError> {
        let missing_seed = || message.invalid("rngSeed", "a whole number");
        let seed = message.value("rngSeed").ok_or_else(missing_seed)?;
        let signed_seed = || seed.as_i64().map(|seed| seed as u64);
        let seed = seed.as_u64().or_else(signed_seed).ok_or_else(missing_seed)?;
        let info = message.value("info").ok_or_else(|| message.invalid("info", "an object"))?;
        let site = Site::from_json(info).map_err(WireError::Site)?;
        let controller = AdmissionController::new(site.settings, seed)?;
        Ok(Server { controller, class_names: site.class_names, tenant_names: site.tenant_names })
    }

    /// Returns the event that a message reports.
    pub(crate) fn event(&self, message: &Message) -> Result<Event, WireError> {
        Ok(match message.name() {
            "Inbound" => Event::RequestArrived(self.request(message)?),
            "WoundUp" => Event::RunEnded { id: message.request_id()?, outcome: outcome(message)? },
            "Awaiting" => Event::CallNeeded { id: message.request_id()? },
            "CallEnded" => Event::CallEnded {
                id: message.request_id()?,
                outcome: outcome(message)?,
                took_ms: message.optional_number("tookMs")?.unwrap_or(0.0),
            },
            "Withdrawn" => Event::CallerGone { id: message.request_id()? },
            "Sigterm" => Event::DrainStarted { kill_ms: message.number("deadlineMs")? },
            "DeadlineHit" => timer_fired(message)?,
            other => return Err(WireError::UnknownMessage(other.to_owned())),
        })
    }

    fn request(&self, message: &Message) -> Result<Request, WireError> {
        let class = message.text("profile")?;
        let Some(&class) = self.class_names.get(class) else {
            return Err(WireError::UnknownClass {
                message: message.name().to_owned(),
                class: class.to_owned(),
            });
        };
        let tenant = message.value("team").and_then(Value::as_str);
        Ok(Request {
            id: message.request_id()?,
            class,
            tenant: tenant.and_then(|tenant| self.tenant_names.get(tenant).copied()),
            deadline_ms: message.positive_number("deadlineMs")?,
            work_hint_ms: message.positive_number("estimateMs")?,
            mem_kb: message.optional_number("memKb")?.unwrap_or(0.0),
            retry: message.flag("repeat"),
            read_delay_ms: message.optional_number("queuedForMs")?.unwrap_or(0.0),
            duplicate_of: message.positive_number("original")?.map(|id| id as u32),
            has_subject: message.value("pathKey").is_some(),
        })
    }
}

fn outcome(message: &Message) -> Result<Outcome, WireError> {
    Ok(match message.text("code")? {
        "done" => Outcome::Done,
        "err" => Outcome::Failed,
        "busy" => Outcome::Rejected,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::Unreachable,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NotStarted,
        code => {
            return Err(WireError::UnknownOutcome {
                message: message.name().to_owned(),
                code: code.to_owned(),
            });
        }
    })
}

fn timer_fired(message: &Message) -> Result<Event, WireError> {
    let handle = message.text("handle")?;
    let token = handle.parse().map_err(|_| message.invalid("handle", "a timer handle of this server"))?;
    Ok(Event::TimerFired { token, gauges: gauges(message)? })
}

fn gauges(message: &Message) -> Result<Vec<f64>, WireError> {
    let invalid = || message.invalid("load", "a list of numbers");
    match message.value("load") {
        None => Ok(Vec::new()),
        Some(Value::Array(values)) => values.iter().map(|value| value.as_f64().ok_or_else(invalid)).collect(),
        Some(_) => Err(invalid()),
    }
}
