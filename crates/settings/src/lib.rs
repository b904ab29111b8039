//! Reads a deployment's settings into the settings that the decisions know. The one decoder for both forms in
//! which they come: the simulator's path=value lines and a node's JSON.

use std::borrow::Cow;
use std::fmt::Write;
use std::str::FromStr;

use glendeck::domain::{
    Idempotency, RetryBudget, Scope, Settings, SlowStart, Span, TrafficClass, Weights, Zone,
};
use rustc_hash::FxHashMap;
use serde_json::Value;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("setting {0} is missing")]
    Missing(String),
    #[error("setting {key} has the value {value:?}, expected {expected}")]
    Bad { key: String, value: String, expected: &'static str },
    #[error("line {line} of the settings is no path=value pair")]
    NoPair { line: usize },
}

/// Settings by their path, as text.
pub struct SettingsMap<'a>(FxHashMap<Cow<'a, str>, Cow<'a, str>>);

impl<'a> SettingsMap<'a> {
    pub fn from_lines(text: &'a str) -> Result<SettingsMap<'a>, SettingsError> {
        let mut pairs = FxHashMap::default();
        for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let (key, value) = line.split_once('=').ok_or(SettingsError::NoPair { line: at + 1 })?;
            if value.trim() != "null" {
                pairs.insert(key.trim().into(), value.trim().into());
            }
        }
        Ok(SettingsMap(pairs))
    }

    /// Nested objects flattened to the same paths: lists of plain values joined by commas, lists of objects
    /// numbered, with their length under `count`.
    pub fn from_json(settings: &Value) -> SettingsMap<'static> {
        let mut pairs = FxHashMap::default();
        flatten(&mut pairs, &mut String::new(), settings);
        SettingsMap(pairs)
    }

    fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.0.get(key).map(|value| &**value).ok_or_else(|| SettingsError::Missing(key.to_owned()))
    }

    fn parse<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<T, SettingsError> {
        let value = self.text(key)?;
        value.parse().map_err(|_| bad(key, value, expected))
    }

    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let value: f64 = self.parse(key, "a number")?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(bad(key, self.text(key)?, "a finite number of 0 or more"))
        }
    }

    fn number_or(&self, key: &str, absent: f64) -> Result<f64, SettingsError> {
        if self.0.contains_key(key) { self.number(key) } else { Ok(absent) }
    }

    /// A time given in milliseconds.
    pub fn span(&self, key: &str) -> Result<Span, SettingsError> {
        Ok(Span::from_seconds(self.number(key)? / 1e3))
    }

    pub fn span_or(&self, key: &str, absent: Span) -> Result<Span, SettingsError> {
        if self.0.contains_key(key) { self.span(key) } else { Ok(absent) }
    }

    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        self.parse(key, "true or false")
    }

    pub fn flag_or(&self, key: &str, absent: bool) -> Result<bool, SettingsError> {
        if self.0.contains_key(key) { self.flag(key) } else { Ok(absent) }
    }

    /// A list in which single values may be absent.
    fn numbers(&self, key: &str) -> Result<Vec<Option<f64>>, SettingsError> {
        let Some(text) = self.0.get(key).filter(|text| !text.is_empty()) else {
            return Ok(Vec::new());
        };
        let each = |n: &str| match n {
            "null" => Some(None),
            n => n.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0).map(Some),
        };
        let numbers: Option<Vec<Option<f64>>> = text.split(',').map(each).collect();
        numbers.ok_or_else(|| bad(key, text, "numbers with commas between them"))
    }
}

fn bad(key: &str, value: &str, expected: &'static str) -> SettingsError {
    SettingsError::Bad { key: key.to_owned(), value: value.to_owned(), expected }
}

fn flatten(pairs: &mut FxHashMap<Cow<'static, str>, Cow<'static, str>>, path: &mut String, value: &Value) {
    let length = path.len();
    let mut below = |name: &dyn std::fmt::Display, value: &Value| {
        let dot = if length > 0 { "." } else { "" };
        write!(path, "{dot}{name}").expect("text takes what is written");
        flatten(pairs, path, value);
        path.truncate(length);
    };
    match value {
        Value::Null => {}
        Value::Object(members) => members.iter().for_each(|(name, member)| below(name, member)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            below(&"count", &items.len().into());
            items.iter().enumerate().for_each(|(i, item)| below(&i, item));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.insert(path.clone().into(), items.join(",").into());
        }
        value => {
            pairs.insert(path.clone().into(), plain(value).into());
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

pub fn settings(pairs: &SettingsMap) -> Result<Settings, SettingsError> {
    let message_targets = pairs.numbers("extra.messageAimMs")?;
    let types: usize = pairs.parse("trafficTypes.count", "a whole number")?;
    let traffic = (0..types)
        .map(|i| traffic(pairs, i, message_targets.get(i).copied().flatten()))
        .collect::<Result<_, _>>()?;
    let poll_interval = match pairs.text("membershipMode")? {
        "on_request" => Some(pairs.span("safety.askWithinMs")?),
        "pushed" => None,
        other => return Err(bad("membershipMode", other, "pushed or on_request")),
    };
    check_reports(pairs)?;
    check_leave(pairs)?;
    let retry_after =
        pairs.flag("caps.retryAfter")?.then(|| pairs.span("caps.maxRetryAfterMs")).transpose()?;
    Ok(Settings {
        classes: traffic,
        zone: Zone(pairs.parse("myZone", "a whole number")?),
        node_index: pairs.parse("me", "a whole number")?,
        node_count: pairs.parse("fleetSize", "a whole number")?,
        tick: pairs.span("tickMs")?,
        max_attempts: pairs.parse("caps.maxLegs", "a whole number")?,
        can_probe: pairs.flag("caps.mayProbe")?,
        can_cancel: pairs.flag("caps.mayCancel")?,
        // Without the key, as before there was one: sizes.
        weights: match pairs.0.get("weightKind").map(|kind| &**kind) {
            None | Some("none" | "nominal" | "rough") => Weights::Sizes,
            Some("live") => Weights::Live,
            Some(other) => return Err(bad("weightKind", other, "none, nominal, rough or live")),
        },
        reports_message_times: pairs.flag_or("extra.tellsDelay", false)?,
        retry_after,
        poll_interval,
        slow_start: SlowStart {
            initial_share: pairs.number("safety.coldFrom")?,
            duration: pairs.span("safety.warmAfterMs")?,
            multiple: pairs.number("safety.fallMultiple")?,
            window: pairs.span("safety.fallMs")?,
        },
        retry_budget: retry_budget(pairs)?,
        start_uncertainty: pairs.span_or("safety.startDriftMs", Span::ZERO)?,
        cross_zone_price: pairs.number_or("prices.crossZone", 0.0)?,
        whole_weight: match (
            pairs.number_or("scoreParts.whole", 1.0)?,
            pairs.number_or("scoreParts.worstClass", 0.0)?,
        ) {
            (whole, worst) if whole + worst > 0.0 => whole / (whole + worst),
            _ => 1.0,
        },
    })
}

/// What these allow the decisions do not use, but it has to make sense: nothing new goes to a host that is gone, drained or not,
/// and an answer goes by the deadline as it was told.
fn check_leave(pairs: &SettingsMap) -> Result<(), SettingsError> {
    pairs.flag_or("safety.droppedStayOpen", false)?;
    pairs.span_or("safety.budgetErrorMs", Span::ZERO)?;
    Ok(())
}

/// All of it or nothing: a budget with a part missing would be another budget.
fn retry_budget(pairs: &SettingsMap) -> Result<Option<RetryBudget>, SettingsError> {
    let keys = ["safety.budgetFree", "safety.repeatRatio", "safety.budgetSpanMs"];
    if !keys.iter().any(|key| pairs.0.contains_key(*key)) {
        return Ok(None);
    }
    let span = pairs.span(keys[2])?;
    if span < Span::ms(1) {
        return Err(bad(keys[2], pairs.text(keys[2])?, "a millisecond or more"));
    }
    Ok(Some(RetryBudget { min_retries: pairs.number(keys[0])?, ratio: pairs.number(keys[1])?, window: span }))
}

/// Load reports are not read by the decisions, but what is said of them has to make sense.
fn check_reports(pairs: &SettingsMap) -> Result<(), SettingsError> {
    let key = "loadReport.source";
    match pairs.0.get(key).map(|source| &**source) {
        None | Some("none" | "answers") => Ok(()),
        Some("probe") if pairs.flag("caps.mayProbe")? => Ok(()),
        Some(source @ "probe") => Err(bad(key, source, "another source where caps.mayProbe is false")),
        Some(other) => Err(bad(key, other, "none, answers or probe")),
    }
}

fn traffic(
    pairs: &SettingsMap,
    i: usize,
    message_target: Option<f64>,
) -> Result<TrafficClass, SettingsError> {
    let key = |name: &str| format!("trafficTypes.{i}.{name}");
    let idempotency = match pairs.text(&key("effect"))? {
        "retryable" => Idempotency::Idempotent,
        "fragile" => Idempotency::NonIdempotent,
        "dedup" => {
            let scope = match pairs.text(&key("group"))? {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                other => return Err(bad(&key("group"), other, "all, zone or cell")),
            };
            Idempotency::Keyed { scope, window: pairs.span(&key("windowMs"))? }
        }
        other => return Err(bad(&key("effect"), other, "retryable, dedup or fragile")),
    };
    Ok(TrafficClass {
        idempotency,
        setup_target: pairs.span(&key("setupTargetMs"))?,
        message_target: message_target.map(|ms| Span::from_seconds(ms / 1e3)),
        revenue: pairs.number(&key("revenue"))?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn budget(lines: &str) -> Result<Option<RetryBudget>, SettingsError> {
        retry_budget(&SettingsMap::from_lines(lines).unwrap())
    }

    #[test]
    fn a_budget_is_whole_or_none() {
        assert_eq!(budget("").unwrap(), None);
        let whole = "safety.budgetFree=5\nsafety.repeatRatio=0.03\nsafety.budgetSpanMs=10000";
        let expected = RetryBudget { min_retries: 5.0, ratio: 0.03, window: Span::ms(10_000) };
        assert_eq!(budget(whole).unwrap(), Some(expected));
        let missing = budget("safety.budgetFree=5\nsafety.budgetSpanMs=10000").unwrap_err();
        assert!(missing.to_string().contains("safety.repeatRatio"), "{missing}");
        let none = whole.replace("10000", "0");
        assert!(budget(&none).unwrap_err().to_string().contains("safety.budgetSpanMs"));
    }
}
