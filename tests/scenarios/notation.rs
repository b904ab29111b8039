//! Reads the parts of a scenario's lines.

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
    text.parse().unwrap_or_else(|error| panic!("{text:?}: {error:?}"))
}

/// A span given in seconds.
pub(crate) fn seconds(text: &str) -> Span {
    Span::from_seconds(parse(text))
}

/// How an attempt or a probe ends.
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

/// The state in which the list names a host.
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
    /// Takes up all words of a statement.
    pub(crate) fn new(words: &[&'a str]) -> Options<'a> {
        Options(words.iter().map(|word| word.split_once('=').unwrap_or((word, ""))).collect())
    }

    /// Whether the name was given, with or without a value.
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

/// The settings of a node: what differs from the usual ones.
pub(crate) fn settings(words: &[&str]) -> Settings {
    let options = Options::new(words);
    let usual = default_settings(options.value("node").unwrap_or(0), options.value("nodes").unwrap_or(1));
    let other_revenue = options.value("other-revenue").unwrap_or(1.0);
    let class = |revenue| TrafficClass {
        idempotency: idempotency(&options),
        setup_target: options.span("setup-target").unwrap_or(Span::ms(800)),
        message_target: Some(Span::ms(100)),
        revenue,
    };
    Settings {
        classes: vec![class(1.0), class(other_revenue)],
        max_attempts: options.value("attempts").unwrap_or(4),
        weight_kind: if options.has("live-weights") { WeightKind::Live } else { WeightKind::Sizes },
        reports_message_times: !options.has("no-message-times"),
        retry_after: options.span("retry-after"),
        poll_interval: options.span("poll-interval"),
        slow_start: SlowStart { capacity_multiple: 4.0, ..usual.slow_start },
        retry_budget: options.text("retry-budget").map(retry_budget),
        start_uncertainty: options.span("start-uncertainty").unwrap_or(Span::ZERO),
        cross_zone_price: options.value("cross-zone-price").unwrap_or(0.0),
        overall_service_weight: options.value("whole-weight").unwrap_or(1.0),
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

/// `5+0.03`: retries without any call, and for each call, in 10 s.
fn retry_budget(text: &str) -> RetryBudget {
    let (free, part) = text.split_once('+').unwrap_or_else(|| panic!("{text:?} is no retry budget"));
    RetryBudget { min_retries: parse(free), ratio: parse(part), window: Span::ms(10_000) }
}
