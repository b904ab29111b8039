//! A map from a setting's path to its text, read from `path=value` lines or from JSON.

use std::borrow::Cow;
use std::fmt::{Display, Write};
use std::str::FromStr;

use glendeck::domain::Span;
use rustc_hash::FxHashMap;
use serde_json::Value;

use crate::error::SettingsError;

const MS_PER_SECOND: f64 = 1e3;

type Pairs<'a> = FxHashMap<Cow<'a, str>, Cow<'a, str>>;

/// The text of each setting by its path. A setting that is `null` counts as absent.
pub struct SettingsMap<'a>(Pairs<'a>);

impl<'a> SettingsMap<'a> {
    /// Reads `path=value` lines; empty lines are skipped.
    ///
    /// # Errors
    /// A line that is not empty has no `=`.
    pub fn from_lines(text: &'a str) -> Result<SettingsMap<'a>, SettingsError> {
        let mut pairs = Pairs::default();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let (key, value) = line.split_once('=').ok_or(SettingsError::NotAPair { line: index + 1 })?;
            if value.trim() != "null" {
                pairs.insert(key.trim().into(), value.trim().into());
            }
        }
        Ok(SettingsMap(pairs))
    }

    /// Flattens nested JSON to the paths that the lines use: lists of plain values are joined with commas;
    /// items of lists of objects are numbered from 0, with the length of the list under `count`.
    pub fn from_json(settings: &Value) -> SettingsMap<'static> {
        let mut pairs = Pairs::default();
        flatten(&mut pairs, &mut String::new(), settings);
        SettingsMap(pairs)
    }

    /// Whether a setting is given.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// A setting's text, if it is given.
    pub(crate) fn optional_text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(|value| &**value)
    }

    /// A setting's text.
    pub(crate) fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.optional_text(key).ok_or_else(|| SettingsError::Missing(key.to_owned()))
    }

    /// Parses a setting's text as a `T`; `expected` describes the valid values in the error.
    pub(crate) fn parse<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<T, SettingsError> {
        let value = self.text(key)?;
        value.parse().map_err(|_| SettingsError::invalid(key, value, expected))
    }

    /// A whole number of 0 or more.
    pub(crate) fn whole_number<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.parse(key, "a whole number")
    }

    /// A finite number of 0 or more.
    ///
    /// # Errors
    /// It is missing, not a number, negative or not finite.
    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let value: f64 = self.parse(key, "a number")?;
        if !is_finite_non_negative(value) {
            return Err(SettingsError::invalid(key, self.text(key)?, "a finite number of 0 or more"));
        }
        Ok(value)
    }

    /// As [`SettingsMap::number`], or `default` if the setting is absent.
    pub(crate) fn number_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        if self.contains(key) { self.number(key) } else { Ok(default) }
    }

    /// A duration given in milliseconds.
    ///
    /// # Errors
    /// It is missing or not a finite number of 0 or more.
    pub fn span(&self, key: &str) -> Result<Span, SettingsError> {
        Ok(span_from_ms(self.number(key)?))
    }

    /// As [`SettingsMap::span`], or `default` if the setting is absent.
    ///
    /// # Errors
    /// It is not a finite number of 0 or more.
    pub fn span_or(&self, key: &str, default: Span) -> Result<Span, SettingsError> {
        if self.contains(key) { self.span(key) } else { Ok(default) }
    }

    /// A setting that is `true` or `false`.
    ///
    /// # Errors
    /// It is missing, or neither `true` nor `false`.
    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        self.parse(key, "true or false")
    }

    /// As [`SettingsMap::flag`], or `default` if the setting is absent.
    ///
    /// # Errors
    /// It is neither `true` nor `false`.
    pub fn flag_or(&self, key: &str, default: bool) -> Result<bool, SettingsError> {
        if self.contains(key) { self.flag(key) } else { Ok(default) }
    }

    /// A list of durations in milliseconds, where an item may be `null`; an absent list is empty.
    pub(crate) fn spans(&self, key: &str) -> Result<Vec<Option<Span>>, SettingsError> {
        let Some(text) = self.optional_text(key).filter(|text| !text.is_empty()) else {
            return Ok(Vec::new());
        };
        let spans: Option<Vec<Option<Span>>> = text.split(',').map(parse_optional_span).collect();
        spans.ok_or_else(|| SettingsError::invalid(key, text, "comma-separated numbers >= 0 or null"))
    }
}

fn is_finite_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn span_from_ms(ms: f64) -> Span {
    Span::from_seconds(ms / MS_PER_SECOND)
}

/// Returns `None` if `text` is not a valid number, and `Some(None)` if it is `null`.
fn parse_optional_span(text: &str) -> Option<Option<Span>> {
    if text == "null" {
        return Some(None);
    }
    let ms: f64 = text.parse().ok()?;
    is_finite_non_negative(ms).then(|| Some(span_from_ms(ms)))
}

fn flatten(pairs: &mut Pairs<'static>, path: &mut String, value: &Value) {
    match value {
        Value::Null => {}
        Value::Object(members) => {
            for (name, member) in members {
                flatten_below(pairs, path, name, member);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flatten_below(pairs, path, "count", &items.len().into());
            for (index, item) in items.iter().enumerate() {
                flatten_below(pairs, path, index, item);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            pairs.insert(path.clone().into(), items.join(",").into());
        }
        Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            pairs.insert(path.clone().into(), plain_text(value).into());
        }
    }
}

/// Flattens a member of the value at `path`; `path` is extended meanwhile and restored on return.
fn flatten_below(pairs: &mut Pairs<'static>, path: &mut String, name: impl Display, value: &Value) {
    let length = path.len();
    let separator = if length > 0 { "." } else { "" };
    write!(path, "{separator}{name}").expect("writing to a string does not fail");
    flatten(pairs, path, value);
    path.truncate(length);
}

/// A plain value as text. In strings, spaces and commas are replaced by `_`, because commas separate the
/// items of a list.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}
