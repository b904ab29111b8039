//! Parses the parts of a scenario's lines.

use std::collections::HashMap;
use std::fmt::Debug;
use std::str::FromStr;

use glendeck::domain::{
    AttemptOutcome, Condition, Idempotency, RetryBudget, Scope, Settings, SlowStart, Span, TrafficClass,
    WeightKind,
};

use crate::support::default_settings;

/// Parses a word.
pub(crate) fn parse<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap_or_else(|error| panic!("cannot parse {text:?}: {error:?}"))
}

/// Parses a span given in seconds.
pub(crate) fn seconds(text: &str) -> Span {
    Span::from_seconds(parse(text))
}

/// Parses the outcome of an attempt or a probe.
pub(crate) fn outcome(text: &str) -> AttemptOutcome {
    match text {
        "completed" => AttemptOutcome::Completed,
        "error" => AttemptOutcome::Error,
        "rejected" => AttemptOutcome::Rejected,
        "timed-out" => AttemptOutcome::TimedOut,
        "unreachable" => AttemptOutcome::Unreachable,
        "broken" => AttemptOutcome::Broken,
        "canceled" => AttemptOutcome::Canceled,
        other => panic!("unknown outcome {other:?}"),
    }
}

/// Parses the condition that the list gives for a host.
pub(crate) fn condition(text: &str) -> Condition {
    match text {
        "ready" => Condition::Ready,
        "draining" => Condition::Draining,
        "gone" => Condition::Gone,
        other => panic!("unknown condition {other:?}"),
    }
}

/// Words of the form `name=value`; a bare word is a flag.
pub(crate) struct Options<'a>(HashMap<&'a str, &'a str>);

impl<'a> Options<'a> {
    /// Reads all words of a statement.
    pub(crate) fn new(words: &[&'a str]) -> Options<'a> {
        Options(words.iter().map(|word| word.split_once('=').unwrap_or((word, ""))).collect())
    }

    /// Whether the name occurs, with or without a value.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// The value as text.
    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.0.get(name).copied()
    }

    /// The value, parsed.
    pub(crate) fn value<T: FromStr<Err: Debug>>(&self, name: &str) -> Option<T> {
        self.text(name).map(parse)
    }

    /// The value as a span, given in seconds.
    pub(crate) fn span(&self, name: &str) -> Option<Span> {
        self.text(name).map(seconds)
    }
}

/// Parses the settings of a node: what differs from the default ones.
pub(crate) fn settings(words: &[&str]) -> Settings {
    let options = Options::new(words);
    let usual = default_settings(options.value("node").unwrap_or(0), options.value("nodes").unwrap_or(1));
    let class_1_revenue = options.value("class-1-revenue").unwrap_or(1.0);
    let class = |revenue| TrafficClass {
        idempotency: idempotency(&options),
        setup_target: options.span("setup-target").unwrap_or(Span::ms(800)),
        message_target: Some(Span::ms(100)),
        revenue,
    };
    Settings {
        classes: vec![class(1.0), class(class_1_revenue)],
        max_attempts: options.value("attempts").unwrap_or(4),
        weight_kind: if options.has("live-weights") { WeightKind::Live } else { WeightKind::Sizes },
        reports_message_times: !options.has("no-message-times"),
        retry_after: options.span("retry-after"),
        poll_interval: options.span("poll-interval"),
        slow_start: SlowStart { capacity_multiple: 4.0, ..usual.slow_start },
        retry_budget: options.text("retry-budget").map(retry_budget),
        start_uncertainty: options.span("start-uncertainty").unwrap_or(Span::ZERO),
        cross_zone_price: options.value("cross-zone-price").unwrap_or(0.0),
        overall_service_weight: options.value("overall-service-weight").unwrap_or(1.0),
        ..usual
    }
}

fn idempotency(options: &Options) -> Idempotency {
    let scope = match options.text("scope") {
        None | Some("all") => Scope::All,
        Some("zone") => Scope::Zone,
        Some("cell") => Scope::Cell,
        Some(other) => panic!("unknown scope {other:?}"),
    };
    match options.text("idempotency") {
        None | Some("idempotent") => Idempotency::Idempotent,
        Some("keyed") => {
            Idempotency::Keyed { scope, window: options.span("window").unwrap_or(Span::ms(5_000)) }
        }
        Some("non-idempotent") => Idempotency::NonIdempotent,
        Some(other) => panic!("unknown idempotency {other:?}"),
    }
}

/// Parses a retry budget: `5+0.03` allows 5 retries and 0.03 per call in 10 s.
fn retry_budget(text: &str) -> RetryBudget {
    let (min_retries_text, ratio_text) = text
        .split_once('+')
        .unwrap_or_else(|| panic!("{text:?} is not a retry budget, which is written RETRIES+RATIO"));
    RetryBudget { min_retries: parse(min_retries_text), ratio: parse(ratio_text), window: Span::ms(10_000) }
}
