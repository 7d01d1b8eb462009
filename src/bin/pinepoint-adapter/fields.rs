//! Reads typed fields of a message.

use serde_json::{Map, Value};

use crate::error::WireError;

/// A message: a JSON object with the name of the message in the field `t`.
pub(crate) struct Message {
    fields: Map<String, Value>,
    name: String,
}

impl Message {
    /// Parses one line.
    pub(crate) fn parse(line: &str) -> Result<Self, WireError> {
        let fields = match serde_json::from_str(line).map_err(WireError::MalformedJson)? {
            Value::Object(fields) => fields,
            _ => return Err(WireError::NotAnObject),
        };
        let name = fields.get("t").and_then(Value::as_str).ok_or(WireError::Unnamed)?.to_owned();
        Ok(Message { fields, name })
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// The error for a field that is missing or of another type.
    pub(crate) fn invalid(&self, field: &'static str, expected: &'static str) -> WireError {
        WireError::InvalidField { message: self.name.clone(), field, expected }
    }

    pub(crate) fn value(&self, field: &str) -> Option<&Value> {
        self.fields.get(field)
    }

    pub(crate) fn number(&self, field: &'static str) -> Result<f64, WireError> {
        self.value(field).and_then(Value::as_f64).ok_or_else(|| self.invalid(field, "a number"))
    }

    /// A number that may be absent; a value of another type is an error.
    pub(crate) fn optional_number(&self, field: &'static str) -> Result<Option<f64>, WireError> {
        match self.value(field) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => value.as_f64().map(Some).ok_or_else(|| self.invalid(field, "a number")),
        }
    }

    /// A number that may be absent; a number that is not above 0 counts as absent.
    pub(crate) fn positive_number(&self, field: &'static str) -> Result<Option<f64>, WireError> {
        Ok(self.optional_number(field)?.filter(|value| *value > 0.0))
    }

    pub(crate) fn unsigned(&self, field: &'static str) -> Result<u64, WireError> {
        self.value(field).and_then(Value::as_u64).ok_or_else(|| self.invalid(field, "a whole number"))
    }

    pub(crate) fn text(&self, field: &'static str) -> Result<&str, WireError> {
        self.value(field).and_then(Value::as_str).ok_or_else(|| self.invalid(field, "text"))
    }

    pub(crate) fn flag(&self, field: &str) -> bool {
        self.value(field).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Id of the request that the message is about.
    pub(crate) fn request_id(&self) -> Result<u32, WireError> {
        u32::try_from(self.unsigned("txn")?).map_err(|_| self.invalid("txn", "a whole number below 2^32"))
    }
}
