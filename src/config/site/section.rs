//! Typed access to the fields of one object in the settings. This module knows no field by name.

use serde_json::{Map, Value};

use super::SiteError;

pub(super) type Object = Map<String, Value>;

/// One object of the settings. An absent field takes its default; a field of another type is an error.
pub(super) struct Section<'a> {
    /// `None` if the settings lack the object.
    object: Option<&'a Object>,
    /// Path of the object, ending with a dot, for errors; empty for the settings object.
    path: String,
}

impl<'a> Section<'a> {
    /// The settings object itself.
    pub(super) fn root(settings: &'a Object) -> Self {
        Section { object: Some(settings), path: String::new() }
    }

    /// The object in this field of the settings object; the field may be absent.
    pub(super) fn in_field(settings: &'a Object, field: &str) -> Result<Self, SiteError> {
        match settings.get(field) {
            Some(value) => Section::from_value(value, field),
            None => Ok(Section { object: None, path: String::new() }),
        }
    }

    /// The object `value`, which is at `path` in the settings.
    pub(super) fn from_value(value: &'a Value, path: &str) -> Result<Self, SiteError> {
        let not_an_object = || SiteError::Field { field: path.to_owned(), wanted: "an object" };
        let object = value.as_object().ok_or_else(not_an_object)?;
        Ok(Section { object: Some(object), path: format!("{path}.") })
    }

    /// The error for a field that is missing or not `wanted`.
    pub(super) fn invalid(&self, field: &str, wanted: &'static str) -> SiteError {
        SiteError::Field { field: format!("{}{field}", self.path), wanted }
    }

    /// Reads a number; the default if the field is absent or null.
    pub(super) fn number(&self, field: &str, default: f64) -> Result<f64, SiteError> {
        Ok(self.typed(field, "a number", Value::as_f64)?.unwrap_or(default))
    }

    /// Reads a number above 0; the default if the field is absent. Null is an error.
    pub(super) fn positive(&self, field: &str, default: f64) -> Result<f64, SiteError> {
        let Some(value) = self.get(field) else { return Ok(default) };
        let number = value.as_f64().filter(|number| *number > 0.0);
        number.ok_or_else(|| self.invalid(field, "a number above 0"))
    }

    /// Reads a flag; false if the field is absent or null.
    pub(super) fn flag(&self, field: &str) -> Result<bool, SiteError> {
        Ok(self.typed(field, "true or false", Value::as_bool)?.unwrap_or(false))
    }

    /// Reads a text; empty if the field is absent or null.
    pub(super) fn text(&self, field: &str) -> Result<&'a str, SiteError> {
        Ok(self.typed(field, "text", Value::as_str)?.unwrap_or(""))
    }

    /// Reads a list; empty if the field is absent or null.
    pub(super) fn list(&self, field: &str) -> Result<&'a [Value], SiteError> {
        Ok(self.typed(field, "a list", Value::as_array)?.map_or(&[], Vec::as_slice))
    }

    fn get(&self, field: &str) -> Option<&'a Value> {
        self.object.and_then(|object| object.get(field))
    }

    fn typed<T>(
        &self,
        field: &str,
        wanted: &'static str,
        as_type: fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, SiteError> {
        match self.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => as_type(value).map(Some).ok_or_else(|| self.invalid(field, wanted)),
        }
    }
}
