//! Decodes a [`SettingsMap`] into typed settings.

use glendeck::domain::{
    Idempotency, RetryBudget, Scope, Settings, SlowStart, Span, TrafficClass, WeightKind, Zone,
};

use crate::error::SettingsError;
use crate::map::SettingsMap;

const BUDGET_FREE: &str = "safety.budgetFree";
const BUDGET_RATIO: &str = "safety.repeatRatio";
const BUDGET_SPAN: &str = "safety.budgetSpanMs";
const MEMBERSHIP_MODE: &str = "membershipMode";
const REPORT_SOURCE: &str = "loadReport.source";
const WEIGHT_KIND: &str = "weightKind";

/// Decodes the settings that the decisions use, and validates some that they ignore (`check_load_reports`,
/// `check_unused`).
///
/// # Errors
/// Returns the first error found: a required setting is missing, or a value is invalid.
pub fn settings(map: &SettingsMap) -> Result<Settings, SettingsError> {
    let classes = traffic_classes(map)?;
    let poll_interval = poll_interval(map)?;
    check_load_reports(map)?;
    check_unused(map)?;
    let retry_after = retry_after(map)?;
    Ok(Settings {
        classes,
        zone: Zone(map.whole_number("myZone")?),
        node_index: map.whole_number("me")?,
        node_count: map.whole_number("fleetSize")?,
        clock_granularity: map.span("tickMs")?,
        max_attempts: map.whole_number("caps.maxLegs")?,
        can_probe: map.flag("caps.mayProbe")?,
        can_cancel: map.flag("caps.mayCancel")?,
        weight_kind: decode_weight_kind(map)?,
        reports_message_times: map.flag_or("extra.tellsDelay", false)?,
        retry_after,
        poll_interval,
        slow_start: slow_start(map)?,
        retry_budget: retry_budget(map)?,
        start_uncertainty: map.span_or("safety.startDriftMs", Span::ZERO)?,
        cross_zone_price: map.number_or("prices.crossZone", 0.0)?,
        overall_service_weight: overall_service_weight(map)?,
    })
}

fn traffic_classes(map: &SettingsMap) -> Result<Vec<TrafficClass>, SettingsError> {
    let message_targets = map.spans("extra.messageAimMs")?;
    let count: usize = map.whole_number("trafficTypes.count")?;
    let class = |index: usize| traffic_class(map, index, message_targets.get(index).copied().flatten());
    (0..count).map(class).collect()
}

fn traffic_class(
    map: &SettingsMap,
    index: usize,
    message_target: Option<Span>,
) -> Result<TrafficClass, SettingsError> {
    let key = |name: &str| format!("trafficTypes.{index}.{name}");
    Ok(TrafficClass {
        idempotency: idempotency(map, key)?,
        setup_target: map.span(&key("setupTargetMs"))?,
        message_target,
        revenue: map.number(&key("revenue"))?,
    })
}

/// Decodes the idempotency of a traffic class; `key` returns the full path of one of the class's
/// settings, given its name.
fn idempotency(map: &SettingsMap, key: impl Fn(&str) -> String) -> Result<Idempotency, SettingsError> {
    match map.text(&key("effect"))? {
        "retryable" => Ok(Idempotency::Idempotent),
        "fragile" => Ok(Idempotency::NonIdempotent),
        "dedup" => {
            let scope = key_scope(map, &key("group"))?;
            Ok(Idempotency::Keyed { scope, window: map.span(&key("windowMs"))? })
        }
        other => Err(SettingsError::invalid(&key("effect"), other, "retryable, dedup or fragile")),
    }
}

fn key_scope(map: &SettingsMap, key: &str) -> Result<Scope, SettingsError> {
    match map.text(key)? {
        "all" => Ok(Scope::All),
        "zone" => Ok(Scope::Zone),
        "cell" => Ok(Scope::Cell),
        other => Err(SettingsError::invalid(key, other, "all, zone or cell")),
    }
}

/// Interval at which the endpoint list is polled; `None` if updates are pushed.
fn poll_interval(map: &SettingsMap) -> Result<Option<Span>, SettingsError> {
    match map.text(MEMBERSHIP_MODE)? {
        "on_request" => Ok(Some(map.span("safety.askWithinMs")?)),
        "pushed" => Ok(None),
        other => Err(SettingsError::invalid(MEMBERSHIP_MODE, other, "pushed or on_request")),
    }
}

/// Longest retry delay that may be sent to a rejected client; `None` if no delay may be sent.
fn retry_after(map: &SettingsMap) -> Result<Option<Span>, SettingsError> {
    if map.flag("caps.retryAfter")? { Ok(Some(map.span("caps.maxRetryAfterMs")?)) } else { Ok(None) }
}

/// Decodes what the weights mean. Without the key they are sizes, since deployments older than the key send
/// sizes.
fn decode_weight_kind(map: &SettingsMap) -> Result<WeightKind, SettingsError> {
    match map.optional_text(WEIGHT_KIND) {
        None | Some("none" | "nominal" | "rough") => Ok(WeightKind::Sizes),
        Some("live") => Ok(WeightKind::Live),
        Some(other) => Err(SettingsError::invalid(WEIGHT_KIND, other, "none, nominal, rough or live")),
    }
}

fn slow_start(map: &SettingsMap) -> Result<SlowStart, SettingsError> {
    Ok(SlowStart {
        initial_share: map.number("safety.coldFrom")?,
        duration: map.span("safety.warmAfterMs")?,
        capacity_multiple: map.number("safety.fallMultiple")?,
        window: map.span("safety.fallMs")?,
    })
}

/// Decodes the retry budget. Either all of its settings are given or none: a default for a missing one would
/// silently define a different budget.
pub(crate) fn retry_budget(map: &SettingsMap) -> Result<Option<RetryBudget>, SettingsError> {
    let is_given = [BUDGET_FREE, BUDGET_RATIO, BUDGET_SPAN].iter().any(|key| map.contains(key));
    if !is_given {
        return Ok(None);
    }
    let window = map.span(BUDGET_SPAN)?;
    if window < Span::ms(1) {
        return Err(SettingsError::invalid(BUDGET_SPAN, map.text(BUDGET_SPAN)?, "at least 1 ms"));
    }
    Ok(Some(RetryBudget { min_retries: map.number(BUDGET_FREE)?, ratio: map.number(BUDGET_RATIO)?, window }))
}

/// Weight of the whole service in the score, as a share of its weight plus that of the worst class; 1 if
/// neither weight is given, or both are 0.
fn overall_service_weight(map: &SettingsMap) -> Result<f64, SettingsError> {
    let whole = map.number_or("scoreParts.whole", 1.0)?;
    let worst_class = map.number_or("scoreParts.worstClass", 0.0)?;
    if whole + worst_class > 0.0 { Ok(whole / (whole + worst_class)) } else { Ok(1.0) }
}

/// Validates the source of load reports. The decisions do not read load reports, but an invalid source is
/// still an error.
fn check_load_reports(map: &SettingsMap) -> Result<(), SettingsError> {
    match map.optional_text(REPORT_SOURCE) {
        None | Some("none" | "answers") => Ok(()),
        Some("probe") if map.flag("caps.mayProbe")? => Ok(()),
        Some(source @ "probe") => {
            let expected = "none or answers, because caps.mayProbe is false";
            Err(SettingsError::invalid(REPORT_SOURCE, source, expected))
        }
        Some(other) => Err(SettingsError::invalid(REPORT_SOURCE, other, "none, answers or probe")),
    }
}

/// Validates `safety.droppedStayOpen` and `safety.budgetErrorMs`. The decisions make no use of what they
/// allow, but an invalid value is still an error: a host that is gone gets no new attempts, whether it was
/// drained or not, and a call is answered by its deadline as received, without a margin for error.
fn check_unused(map: &SettingsMap) -> Result<(), SettingsError> {
    map.flag_or("safety.droppedStayOpen", false)?;
    map.span_or("safety.budgetErrorMs", Span::ZERO)?;
    Ok(())
}
